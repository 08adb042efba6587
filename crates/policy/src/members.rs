//! Membership among nodes: who is there, and who is gone.
//!
//! The published models are SWIM (constant load per node, indirect probes, suspicion, refutation by
//! incarnation) and Lifeguard (a node that was paused doubts itself first). Unlike SWIM, a node
//! probes only its fingers: the members 1, 2, 4, 8 ... places after it in the order of names. So it
//! holds few links, and news reaches every node in as many hops as the number of fingers.

use rand::Rng;
use world::{Code, Name};
use xxhash_rust::xxh3::xxh3_64;

use crate::Time;
use crate::member::{Health, Member, MemberAction, MemberMessage, MessageKind};

/// Time between two probes of one node, in microseconds.
const PROBE_US: u64 = 1_000_000;
/// Time until a probe without an answer is tried through others, in microseconds.
const DIRECT_US: u64 = 300_000;
/// Time until a probe without any answer makes its subject suspect, in microseconds.
const INDIRECT_US: u64 = 900_000;
/// Time until a suspect is taken for dead, in microseconds.
const SUSPECT_US: u64 = 3_000_000;
/// Time a dead member is remembered, in microseconds.
const DEAD_US: u64 = 600_000_000;
/// Time between two probes of a dead member, by which a healed cut is found, in microseconds.
const HEAL_US: u64 = 5_000_000;
/// A gap between two ticks from which a node takes itself to have been paused, in microseconds.
const PAUSE_US: u64 = 1_500_000;
/// Members asked to probe in one's place.
const HELPERS: usize = 2;
/// News on one message, at most.
const NEWS: usize = 6;
/// Times that one piece of news is sent on, for each doubling of the number of members.
const REPEATS: u32 = 3;
/// Time between two comparisons of whole lists that a differing digest starts, in microseconds.
const SYNC_US: u64 = 10_000_000;
/// Members that are sent together and still passed on one by one.
const BULK: usize = 32;
/// Buckets into which members fall when lists are compared.
const BUCKETS: usize = 64;
/// Fingers that are told of urgent news at once.
const URGENT: usize = 16;

#[derive(Clone, Debug)]
struct Record {
    member: Member,
    /// When its health last changed.
    since: Time,
    /// Times that it is still to be sent on.
    sends: u32,
}

#[derive(Clone, Debug)]
struct Pending {
    name: Name,
    sent: Time,
    asked: bool,
    /// The member in whose place the probe was sent.
    client: Option<Name>,
}

/// The members that one node knows.
#[derive(Clone, Debug)]
pub struct Members {
    /// This node; always alive and always the highest incarnation of its name.
    me: Member,
    /// The others, sorted by name.
    records: Vec<Record>,
    /// Probes without an answer yet.
    pending: Vec<Pending>,
    version: u64,
    finger: usize,
    probe: Time,
    heal: Time,
    sync: Time,
    ticked: Time,
    actions: Vec<MemberAction>,
}

impl Members {
    /// Opens the list of a node that knows only itself.
    pub fn new(now: Time, me: Member) -> Members {
        Members {
            me,
            records: Vec::new(),
            pending: Vec::new(),
            version: 0,
            finger: 0,
            probe: now,
            heal: now,
            sync: now,
            ticked: now,
            actions: Vec::new(),
        }
    }

    /// Returns this node as others are told of it.
    pub fn local_member(&self) -> &Member {
        &self.me
    }

    /// Returns every other member that is known, the dead among them, sorted by name.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.records.iter().map(|record| &record.member)
    }

    /// Returns the other members that are up, sorted by name.
    pub fn up(&self) -> impl Iterator<Item = &Member> {
        self.others().filter(|member| member.is_up())
    }

    /// Returns a member by name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.find(name).ok().map(|at| &self.records[at].member)
    }

    /// Returns how many live nodes of this node's data centre come before it by name.
    pub fn rank(&self) -> usize {
        let before = self.up().take_while(|member| member.name < self.me.name);
        before.filter(|member| member.data_centre == self.me.data_centre).count()
    }

    /// Notes the version of the configuration in force, which rides on every message.
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Notes that this node's target came up or went, and tells the fingers.
    pub fn set_service(&mut self, service: Option<Name>) -> Vec<MemberAction> {
        if self.me.service == service {
            return Vec::new();
        }
        self.me.service = service;
        self.me.incarnation += 1;
        self.notify_fingers()
    }

    /// Says goodbye to the fingers.
    pub fn leave(&mut self) -> Vec<MemberAction> {
        self.me.health = Health::Left;
        self.notify_fingers()
    }

    /// Returns a message of news to every finger, so that what is urgent spreads at once.
    pub fn notify_fingers(&mut self) -> Vec<MemberAction> {
        let fingers = self.fingers();
        for at in fingers.into_iter().take(URGENT) {
            self.send(at, MessageKind::News);
        }
        std::mem::take(&mut self.actions)
    }

    /// Takes in members that were read from the table or sent whole by a peer.
    pub fn merge(&mut self, now: Time, members: Vec<Member>) -> Vec<MemberAction> {
        // What a whole list holds is no news to the others.
        let is_news = members.len() <= BULK;
        members.into_iter().for_each(|member| self.learn_as(now, member, is_news));
        std::mem::take(&mut self.actions)
    }

    /// Returns a digest of each bucket of members, for a peer that compares lists.
    pub fn summary(&self) -> Vec<u64> {
        let mut buckets = vec![0; BUCKETS];
        for member in self.listed() {
            buckets[bucket(member)] ^= member.digest();
        }
        buckets
    }

    /// Returns the members of the buckets that differ from a peer's summary.
    pub fn differing(&self, summary: &[u64]) -> Vec<Member> {
        let own = self.summary();
        let differs = |member: &&Member| summary.get(bucket(member)) != own.get(bucket(member));
        self.listed().filter(differs).cloned().collect()
    }

    fn listed(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.up())
    }

    /// Takes in a message.
    pub fn received(&mut self, now: Time, message: MemberMessage) -> Vec<MemberAction> {
        let MemberMessage { probe, from, digest, version: _, news } = message;
        let (name, address) = (from.name.clone(), from.address);
        self.learn(now, from);
        news.into_iter().for_each(|member| self.learn(now, member));
        match probe {
            MessageKind::Ping => self.reply(&name, MessageKind::Ack),
            MessageKind::Ack => self.answered(&name),
            MessageKind::Relayed(subject) => self.pending.retain(|pending| pending.name != subject),
            MessageKind::Ask(subject) => self.ping_for(now, &subject, name.clone()),
            MessageKind::News => {}
        }
        if digest != self.digest() && now >= self.sync {
            self.sync = now.after(SYNC_US);
            self.actions.push(MemberAction::Sync(name, address));
        }
        std::mem::take(&mut self.actions)
    }

    /// Does what is due by time alone. To be called at least every 100 ms.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<MemberAction> {
        if now.since(self.ticked) > PAUSE_US {
            self.doubt_self(now);
        }
        self.ticked = now;
        self.chase(now, rng);
        self.bury(now);
        if now >= self.probe {
            self.probe = now.after(PROBE_US - PROBE_US / 8 + rng.random_range(0..PROBE_US / 4));
            self.probe_next(now);
        }
        if now >= self.heal {
            self.heal = now.after(HEAL_US);
            self.probe_dead(now, rng);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the members that this node probes: indices into `records`.
    fn fingers(&self) -> Vec<usize> {
        let up: Vec<usize> =
            (0..self.records.len()).filter(|at| self.records[*at].member.is_up()).collect();
        let next = up.partition_point(|at| self.records[*at].member.name < self.me.name);
        let steps = (0..usize::BITS).map(|bit| 1usize << bit);
        let steps = steps.take_while(|step| *step <= up.len());
        steps.map(|step| up[(next + step - 1) % up.len()]).collect()
    }

    fn probe_next(&mut self, now: Time) {
        let fingers = self.fingers();
        if fingers.is_empty() {
            return;
        }
        self.finger = (self.finger + 1) % fingers.len();
        self.ping(now, fingers[self.finger], None);
    }

    fn probe_dead(&mut self, now: Time, rng: &mut impl Rng) {
        let is_dead = |at: &usize| self.records[*at].member.health == Health::Dead;
        let dead: Vec<usize> = (0..self.records.len()).filter(is_dead).collect();
        if dead.is_empty() {
            return;
        }
        let at = dead[rng.random_range(0..dead.len())];
        self.records[at].sends = self.records[at].sends.max(1);
        self.send_with(at, MessageKind::Ping, true);
        self.records.retain(|record| record.member.is_up() || now.since(record.since) < DEAD_US);
    }

    fn ping(&mut self, now: Time, at: usize, client: Option<Name>) {
        let name = self.records[at].member.name.clone();
        self.pending.push(Pending { name, sent: now, asked: false, client });
        self.send(at, MessageKind::Ping);
    }

    fn ping_for(&mut self, now: Time, subject: &Name, client: Name) {
        if let Ok(at) = self.find(subject) {
            self.ping(now, at, Some(client));
        }
    }

    fn answered(&mut self, name: &Name) {
        let (done, open) = self.pending.drain(..).partition(|pending| pending.name == *name);
        self.pending = open;
        let done: Vec<Pending> = done;
        for client in done.into_iter().filter_map(|pending| pending.client) {
            self.reply(&client, MessageKind::Relayed(name.clone()));
        }
    }

    /// Goes after probes that were not answered.
    fn chase(&mut self, now: Time, rng: &mut impl Rng) {
        let mut late = Vec::new();
        let mut ask = Vec::new();
        self.pending.retain_mut(|pending| {
            let age_us = now.since(pending.sent);
            if age_us >= INDIRECT_US {
                late.extend(pending.client.is_none().then(|| pending.name.clone()));
                return false;
            }
            if age_us >= DIRECT_US && !pending.asked && pending.client.is_none() {
                pending.asked = true;
                ask.push(pending.name.clone());
            }
            true
        });
        ask.into_iter().for_each(|name| self.ask_helpers(&name, rng));
        late.into_iter().for_each(|name| self.suspect(now, &name));
    }

    fn ask_helpers(&mut self, subject: &Name, rng: &mut impl Rng) {
        let fits = |at: &usize| {
            let member = &self.records[*at].member;
            member.health == Health::Alive && member.name != *subject
        };
        let mut fitting: Vec<usize> = (0..self.records.len()).filter(fits).collect();
        for _ in 0..HELPERS.min(fitting.len()) {
            let helper = fitting.swap_remove(rng.random_range(0..fitting.len()));
            self.send(helper, MessageKind::Ask(subject.clone()));
        }
    }

    fn suspect(&mut self, now: Time, name: &Name) {
        let Ok(at) = self.find(name) else { return };
        let member = &self.records[at].member;
        if member.health == Health::Alive {
            let suspect = Member { health: Health::Suspect, ..member.clone() };
            self.learn(now, suspect);
        }
    }

    /// Takes suspects that did not refute for dead.
    fn bury(&mut self, now: Time) {
        let is_due = |record: &&Record| {
            record.member.health == Health::Suspect && now.since(record.since) >= SUSPECT_US
        };
        let due: Vec<Member> =
            self.records.iter().filter(is_due).map(|record| record.member.clone()).collect();
        for member in due {
            self.learn(now, Member { health: Health::Dead, ..member });
        }
    }

    /// After a pause, what went unanswered was this node's own fault.
    fn doubt_self(&mut self, now: Time) {
        self.pending.clear();
        for record in &mut self.records {
            if record.member.health == Health::Suspect {
                record.since = now;
            }
        }
        self.probe = now.after(DIRECT_US);
    }

    fn learn(&mut self, now: Time, member: Member) {
        self.learn_as(now, member, true);
    }

    fn learn_as(&mut self, now: Time, member: Member, is_news: bool) {
        if member.name == self.me.name {
            self.refute(member);
            return;
        }
        let sends = if is_news { self.sends() } else { 0 };
        match self.find(&member.name) {
            Ok(at) if member.beats(&self.records[at].member) => {
                let was = self.records[at].member.health;
                if member.started > self.records[at].member.started {
                    self.actions.push(MemberAction::CloseLink(member.address));
                }
                self.note(was, &member);
                let since = if was == member.health { self.records[at].since } else { now };
                self.records[at] = Record { member, since, sends };
            }
            Ok(_) => {}
            Err(at) => {
                if member.is_up() {
                    self.actions.push(MemberAction::Event(Code::MemberJoined, member.name.clone()));
                    self.actions.push(MemberAction::Changed);
                }
                self.records.insert(at, Record { member, since: now, sends });
            }
        }
    }

    fn note(&mut self, was: Health, member: &Member) {
        self.actions.push(MemberAction::Changed);
        let code = match (was, member.health) {
            (_, Health::Suspect) => Code::MemberSuspect,
            (_, Health::Dead | Health::Left) => Code::MemberDead,
            (Health::Dead | Health::Left, Health::Alive) => Code::MemberJoined,
            _ => return,
        };
        self.actions.push(MemberAction::Event(code, member.name.clone()));
    }

    /// Outbids what others say of this node, where it is not what this node says of itself.
    fn refute(&mut self, said: Member) {
        let is_mine = said.health == self.me.health && said.incarnation <= self.me.incarnation;
        if is_mine || said.incarnation < self.me.incarnation {
            return;
        }
        self.me.incarnation = said.incarnation + 1;
        let told = self.notify_fingers();
        self.actions.extend(told);
    }

    fn reply(&mut self, name: &Name, probe: MessageKind) {
        if let Ok(at) = self.find(name) {
            self.send(at, probe);
        }
    }

    fn send(&mut self, at: usize, probe: MessageKind) {
        self.send_with(at, probe, false);
    }

    /// Sends a message; `confront` adds what is held against its receiver, so that it refutes.
    fn send_with(&mut self, at: usize, probe: MessageKind, confront: bool) {
        let to = self.records[at].member.clone();
        let mut news = self.news(&to.name);
        if confront || to.health != Health::Alive {
            news.push(to.clone());
        }
        let digest = self.digest();
        let from = self.me.clone();
        let message = MemberMessage { probe, from, digest, version: self.version, news };
        self.actions.push(MemberAction::Send(to.name, to.address, message));
    }

    /// Returns the news that were sent on least.
    fn news(&mut self, to: &Name) -> Vec<Member> {
        let is_new = |at: &usize| {
            let record = &self.records[*at];
            record.sends > 0 && record.member.name != *to
        };
        let mut fresh: Vec<usize> = (0..self.records.len()).filter(is_new).collect();
        fresh.sort_by_key(|at| std::cmp::Reverse(self.records[*at].sends));
        fresh.truncate(NEWS);
        fresh.iter().for_each(|at| self.records[*at].sends -= 1);
        fresh.into_iter().map(|at| self.records[at].member.clone()).collect()
    }

    fn sends(&self) -> u32 {
        REPEATS * (usize::BITS - (self.records.len() + 1).leading_zeros())
    }

    fn digest(&self) -> u64 {
        let others = self.up().map(Member::digest);
        others.fold(self.me.digest(), std::ops::BitXor::bitxor)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.records.binary_search_by(|record| (*record.member.name).cmp(name))
    }
}

fn bucket(member: &Member) -> usize {
    xxh3_64(member.name.as_bytes()) as usize % BUCKETS
}
