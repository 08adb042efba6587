//! The member list of one node, kept by gossip and a failure detector.
//!
//! The protocol follows SWIM (constant load per node, indirect probes, suspicion, refutation by
//! incarnation) and Lifeguard (a node that was paused blames itself first). Unlike in SWIM, a node
//! probes only its fingers: the members 1, 2, 4, 8, ... places after it in the order of names. So
//! it needs few links, and an update reaches every node in as many hops as a node has fingers.

use rand::Rng;
use world::{Code, Name};
use xxhash_rust::xxh3::xxh3_64;

use crate::Time;
use crate::member::{Health, Member, MemberAction, MemberMessage, MessageKind};

/// Mean interval between two probes that a node sends, in microseconds.
const PROBE_INTERVAL_US: u64 = 1_000_000;
/// Time without an answer after which other members are asked to probe as well, in microseconds.
const DIRECT_TIMEOUT_US: u64 = 300_000;
/// Time without any answer after which the probed member becomes suspect, in microseconds.
const PROBE_TIMEOUT_US: u64 = 900_000;
/// Time after which a suspect that did not refute is declared dead, in microseconds.
const SUSPICION_TIMEOUT_US: u64 = 3_000_000;
/// Time for which a member that died or left is remembered, in microseconds.
const DEAD_RETENTION_US: u64 = 600_000_000;
/// Interval between two probes of dead members, in microseconds. These probes find the other side
/// again after a network partition.
const DEAD_PROBE_INTERVAL_US: u64 = 5_000_000;
/// A gap between two ticks above this, in microseconds, means that the process was paused.
const PAUSE_US: u64 = 1_500_000;
/// Members asked for an indirect probe.
const INDIRECT_PROBES: usize = 2;
/// Updates in one message, at most.
const MAX_UPDATES: usize = 6;
/// How often a node sends an update on, per doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;
/// Shortest interval between two list comparisons started by a differing digest, in microseconds.
const SYNC_INTERVAL_US: u64 = 10_000_000;
/// The same after a comparison that brought several new members, since the list is then likely to
/// be incomplete still.
const INCOMPLETE_SYNC_INTERVAL_US: u64 = 700_000;
/// New members in one comparison from which the list is taken to be incomplete.
const MANY_NEW_MEMBERS: usize = 4;
/// Time for which a member is down until its row in the store is removed, in microseconds.
const ROW_RETENTION_US: u64 = 120_000_000;
/// Longest received list whose members are still passed on as updates.
const MAX_GOSSIPED_LIST: usize = 32;
/// Buckets into which members are hashed to compare lists.
const SUMMARY_BUCKETS: usize = 64;
/// Fingers that are notified of an urgent change, at most.
const MAX_NOTIFIED_FINGERS: usize = 16;

#[derive(Clone, Debug)]
struct Record {
    member: Member,
    /// When its health last changed.
    since: Time,
    /// How often this node still has to send it on as an update.
    sends: u32,
    /// Whether this node has removed its row from the store since it is down.
    row_removed: bool,
}

/// A probe without an answer yet.
#[derive(Clone, Debug)]
struct PendingProbe {
    name: Name,
    sent: Time,
    /// Whether other members were asked for an indirect probe.
    indirect: bool,
    /// The member on whose behalf the probe was sent; none for this node's own probes.
    requester: Option<Name>,
}

/// The members that one node knows.
#[derive(Clone, Debug)]
pub struct Members {
    /// This node; alive until it leaves, and always with the highest incarnation of its name.
    local: Member,
    /// The other members, sorted by name.
    records: Vec<Record>,
    pending: Vec<PendingProbe>,
    /// Version of the configuration in force.
    version: u64,
    /// Index of the finger that was probed last.
    finger: usize,
    next_probe: Time,
    next_dead_probe: Time,
    /// The earliest time at which a differing digest starts a list comparison.
    next_sync: Time,
    last_tick: Time,
    /// Actions that the current call returns.
    actions: Vec<MemberAction>,
}

impl Members {
    /// Creates the list of a node that knows only itself.
    pub fn new(now: Time, local: Member) -> Members {
        Members {
            local,
            records: Vec::new(),
            pending: Vec::new(),
            version: 0,
            finger: 0,
            next_probe: now,
            next_dead_probe: now,
            next_sync: now,
            last_tick: now,
            actions: Vec::new(),
        }
    }

    /// Returns this node's own record, as it is sent to peers.
    pub fn local_member(&self) -> &Member {
        &self.local
    }

    /// Returns every other known member, including those that died or left, sorted by name.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.records.iter().map(|record| &record.member)
    }

    /// Returns the other members that are alive or only suspect, sorted by name.
    pub fn up(&self) -> impl Iterator<Item = &Member> {
        self.others().filter(|member| member.is_up())
    }

    /// Returns the number of nodes that may run, this one included: all that did not leave, and one
    /// for each address. Dead ones may run beyond a broken link.
    pub fn present(&self) -> usize {
        let stays = |member: &&Member| member.health != Health::Left;
        let others = self.others().filter(stays).map(|member| member.address);
        let mut addresses: Vec<_> = others.chain([self.local.address]).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses.len()
    }

    /// Returns another member by its name, whatever its health.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.find(name).ok().map(|at| &self.records[at].member)
    }

    /// Returns whether another member is known and up.
    pub fn is_up(&self, name: &str) -> bool {
        self.member(name).is_some_and(Member::is_up)
    }

    /// Returns how many other nodes of this node's data centre are up and sort before it by name.
    pub fn rank(&self) -> usize {
        let before = self.up().take_while(|member| member.name < self.local.name);
        before.filter(|member| member.data_centre == self.local.data_centre).count()
    }

    /// Returns the number of services of the other members that are up.
    pub fn services(&self) -> usize {
        let mut names: Vec<&Name> =
            self.up().filter_map(|member| member.service.as_ref()).collect();
        names.sort_unstable();
        names.dedup();
        names.len()
    }

    /// Returns the number of data centres with members that are up.
    pub fn data_centres(&self) -> usize {
        let all = self.up().chain([&self.local]);
        let mut names: Vec<&Name> = all.map(|member| &member.data_centre).collect();
        names.sort_unstable();
        names.dedup();
        names.len()
    }

    /// Sets the version of the configuration in force, which every message carries.
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Sets the service of this node's target, none while the target is down. Notifies the fingers
    /// of a change.
    pub fn set_service(&mut self, service: Option<Name>) -> Vec<MemberAction> {
        if self.local.service == service {
            return Vec::new();
        }
        self.local.service = service;
        self.local.incarnation = self.local.incarnation.saturating_add(1);
        self.notify_fingers()
    }

    /// Marks this node as leaving and notifies the fingers.
    pub fn leave(&mut self) -> Vec<MemberAction> {
        self.local.health = Health::Left;
        self.notify_fingers()
    }

    /// Returns a message for every finger, up to `MAX_NOTIFIED_FINGERS`, so that an urgent change
    /// spreads without waiting for the next probes.
    pub fn notify_fingers(&mut self) -> Vec<MemberAction> {
        let fingers = self.fingers();
        for at in fingers.into_iter().take(MAX_NOTIFIED_FINGERS) {
            self.send(at, MessageKind::News);
        }
        std::mem::take(&mut self.actions)
    }

    /// Merges members that were read from the table or received in a list comparison.
    pub fn merge(&mut self, now: Time, members: Vec<Member>) -> Vec<MemberAction> {
        // The other nodes already know the members of a long list.
        let gossip = members.len() <= MAX_GOSSIPED_LIST;
        let known = self.records.len();
        members.into_iter().for_each(|member| self.apply_update(now, member, gossip));
        if self.records.len() >= known + MANY_NEW_MEMBERS {
            self.next_sync = self.next_sync.min(now.after(INCOMPLETE_SYNC_INTERVAL_US));
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns an update that introduces this node on a new link.
    pub fn introduction(&mut self, receiver: &Name) -> MemberMessage {
        let (from, digest, news) = (self.local.clone(), self.digest(), self.updates(receiver));
        MemberMessage { probe: MessageKind::News, from, digest, version: self.version, news }
    }

    /// Returns the members that this node probes. Links to them connect all nodes.
    pub fn probed(&self) -> impl Iterator<Item = &Member> {
        self.fingers().into_iter().map(|at| &self.records[at].member)
    }

    /// Records that the row of a member that is down was removed, or need not be.
    pub fn row_removed(&mut self, name: &str) {
        if let Ok(at) = self.find(name)
            && !self.records[at].member.is_up()
        {
            self.records[at].row_removed = true;
        }
    }

    /// Returns members that have been down for so long that their rows in the store are to be
    /// removed, and that this node is responsible for: it is the next one by name that is up.
    pub fn rows_to_remove(&self, now: Time) -> Vec<Name> {
        let is_gone = |record: &&Record| {
            !record.member.is_up()
                && !record.row_removed
                && now.since(record.since) >= ROW_RETENTION_US
        };
        let is_next = |name: &Name| {
            let up = || self.up().map(|member| &member.name).chain([&self.local.name]);
            let next = up().filter(|other| *other > name).min().or_else(|| up().min());
            next == Some(&self.local.name)
        };
        let gone = self.records.iter().filter(is_gone).map(|record| record.member.name.clone());
        gone.filter(is_next).collect()
    }

    /// Returns the combined digest of each bucket of members, for a peer to compare with its own.
    pub fn summary(&self) -> Vec<u64> {
        let mut buckets = vec![0; SUMMARY_BUCKETS];
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

    /// Returns the members that list comparisons cover: this node and the others that are up.
    fn listed(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.local).chain(self.up())
    }

    /// Handles a message from another member.
    pub fn received(&mut self, now: Time, message: MemberMessage) -> Vec<MemberAction> {
        let MemberMessage { probe, from, digest, version: _, news } = message;
        let (name, address) = (from.name.clone(), from.address);
        self.apply(now, from);
        news.into_iter().for_each(|member| self.apply(now, member));
        match probe {
            MessageKind::Ping => self.reply(&name, MessageKind::Ack),
            MessageKind::Ack => self.acknowledged(&name),
            MessageKind::Relayed(subject) => self.pending.retain(|pending| pending.name != subject),
            MessageKind::Ask(subject) => self.ping_for(now, &subject, name.clone()),
            MessageKind::News => {}
        }
        if digest != self.digest() && now >= self.next_sync {
            self.next_sync = now.after(SYNC_INTERVAL_US);
            self.actions.push(MemberAction::Sync(name, address));
        }
        std::mem::take(&mut self.actions)
    }

    /// Runs the timers. Must be called at least every 200 ms.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<MemberAction> {
        if now.since(self.last_tick) > PAUSE_US {
            self.reset_after_pause(now);
        }
        self.last_tick = now;
        self.check_probes(now, rng);
        self.expire_suspects(now);
        if now >= self.next_probe {
            // The jitter is an eighth of the interval either way.
            self.next_probe = now.after(
                PROBE_INTERVAL_US - PROBE_INTERVAL_US / 8
                    + rng.random_range(0..PROBE_INTERVAL_US / 4),
            );
            self.probe_next(now);
        }
        if now >= self.next_dead_probe {
            self.next_dead_probe = now.after(DEAD_PROBE_INTERVAL_US);
            self.probe_dead(now, rng);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the members that this node probes, as indices into `records`.
    fn fingers(&self) -> Vec<usize> {
        let up: Vec<usize> =
            (0..self.records.len()).filter(|at| self.records[*at].member.is_up()).collect();
        let next = up.partition_point(|at| self.records[*at].member.name < self.local.name);
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

    /// Forgets members that died or left long ago, and probes a random dead one, which refutes its
    /// death if it is up.
    fn probe_dead(&mut self, now: Time, rng: &mut impl Rng) {
        self.records
            .retain(|record| record.member.is_up() || now.since(record.since) < DEAD_RETENTION_US);
        let is_dead = |at: &usize| self.records[*at].member.health == Health::Dead;
        let dead: Vec<usize> = (0..self.records.len()).filter(is_dead).collect();
        if dead.is_empty() {
            return;
        }
        let at = dead[rng.random_range(0..dead.len())];
        self.records[at].sends = self.records[at].sends.max(1);
        self.send_with(at, MessageKind::Ping, true);
    }

    fn ping(&mut self, now: Time, at: usize, requester: Option<Name>) {
        let name = self.records[at].member.name.clone();
        self.pending.push(PendingProbe { name, sent: now, indirect: false, requester });
        self.send(at, MessageKind::Ping);
    }

    fn ping_for(&mut self, now: Time, subject: &Name, requester: Name) {
        if let Ok(at) = self.find(subject) {
            self.ping(now, at, Some(requester));
        }
    }

    /// Ends the probes of a member that answered, and reports the answer to their requesters.
    fn acknowledged(&mut self, name: &Name) {
        let (done, open) = self.pending.drain(..).partition(|pending| pending.name == *name);
        self.pending = open;
        let done: Vec<PendingProbe> = done;
        for requester in done.into_iter().filter_map(|pending| pending.requester) {
            self.reply(&requester, MessageKind::Relayed(name.clone()));
        }
    }

    /// Asks for indirect probes where a probe is late, and suspects members whose probes timed out.
    fn check_probes(&mut self, now: Time, rng: &mut impl Rng) {
        let mut timed_out = Vec::new();
        let mut late = Vec::new();
        self.pending.retain_mut(|pending| {
            let age_us = now.since(pending.sent);
            if age_us >= PROBE_TIMEOUT_US {
                timed_out.extend(pending.requester.is_none().then(|| pending.name.clone()));
                return false;
            }
            if age_us >= DIRECT_TIMEOUT_US && !pending.indirect && pending.requester.is_none() {
                pending.indirect = true;
                late.push(pending.name.clone());
            }
            true
        });
        late.into_iter().for_each(|name| self.probe_indirectly(&name, rng));
        timed_out.into_iter().for_each(|name| self.suspect(now, &name));
    }

    fn probe_indirectly(&mut self, subject: &Name, rng: &mut impl Rng) {
        let can_probe = |at: &usize| {
            let member = &self.records[*at].member;
            member.health == Health::Alive && member.name != *subject
        };
        let mut probers: Vec<usize> = (0..self.records.len()).filter(can_probe).collect();
        for _ in 0..INDIRECT_PROBES.min(probers.len()) {
            let prober = probers.swap_remove(rng.random_range(0..probers.len()));
            self.send(prober, MessageKind::Ask(subject.clone()));
        }
    }

    fn suspect(&mut self, now: Time, name: &Name) {
        let Ok(at) = self.find(name) else { return };
        let member = &self.records[at].member;
        if member.health == Health::Alive {
            let suspect = Member { health: Health::Suspect, ..member.clone() };
            self.apply(now, suspect);
        }
    }

    /// Marks suspects that did not refute in time as dead.
    fn expire_suspects(&mut self, now: Time) {
        let is_due = |record: &&Record| {
            record.member.health == Health::Suspect
                && now.since(record.since) >= SUSPICION_TIMEOUT_US
        };
        let due: Vec<Member> =
            self.records.iter().filter(is_due).map(|record| record.member.clone()).collect();
        for member in due {
            self.apply(now, Member { health: Health::Dead, ..member });
        }
    }

    /// Drops pending probes and restarts the timers of suspects after this process was paused,
    /// since answers and refutations were missed because of the pause.
    fn reset_after_pause(&mut self, now: Time) {
        self.pending.clear();
        for record in &mut self.records {
            if record.member.health == Health::Suspect {
                record.since = now;
            }
        }
        self.next_probe = now.after(DIRECT_TIMEOUT_US);
    }

    fn apply(&mut self, now: Time, member: Member) {
        self.apply_update(now, member, true);
    }

    /// Applies a received record if it supersedes the known one. `gossip` says whether it is then
    /// sent on as an update.
    fn apply_update(&mut self, now: Time, member: Member, gossip: bool) {
        if member.name == self.local.name {
            self.refute(member);
            return;
        }
        let sends = if gossip { self.sends() } else { 0 };
        match self.find(&member.name) {
            Ok(at) if member.supersedes(&self.records[at].member) => {
                let before = self.records[at].member.health;
                if member.started > self.records[at].member.started {
                    self.actions.push(MemberAction::CloseLink(member.address));
                }
                self.push_change(before, &member);
                let since = if before == member.health { self.records[at].since } else { now };
                self.records[at] = Record { member, since, sends, row_removed: false };
            }
            Ok(_) => {}
            Err(at) => {
                if member.is_up() {
                    self.actions.push(MemberAction::Event(Code::MemberJoined, member.name.clone()));
                    self.actions.push(MemberAction::Changed);
                }
                let record = Record { member, since: now, sends, row_removed: false };
                self.records.insert(at, record);
            }
        }
    }

    fn push_change(&mut self, before: Health, member: &Member) {
        self.actions.push(MemberAction::Changed);
        let code = match (before, member.health) {
            (_, Health::Suspect) => Code::MemberSuspect,
            (_, Health::Dead | Health::Left) => Code::MemberDead,
            (Health::Dead | Health::Left, Health::Alive) => Code::MemberJoined,
            _ => return,
        };
        self.actions.push(MemberAction::Event(code, member.name.clone()));
    }

    /// Raises this node's incarnation above that of a claim that contradicts its own record, so
    /// that the own record supersedes the claim, and notifies the fingers.
    fn refute(&mut self, claim: Member) {
        let agrees =
            claim.health == self.local.health && claim.incarnation <= self.local.incarnation;
        if agrees || claim.incarnation < self.local.incarnation {
            return;
        }
        self.local.incarnation = claim.incarnation.saturating_add(1);
        let notifications = self.notify_fingers();
        self.actions.extend(notifications);
    }

    fn reply(&mut self, name: &Name, probe: MessageKind) {
        if let Ok(at) = self.find(name) {
            self.send(at, probe);
        }
    }

    fn send(&mut self, at: usize, probe: MessageKind) {
        self.send_with(at, probe, false);
    }

    /// Sends a message. Where the receiver is not taken to be alive, or `own_record` is set, the
    /// message includes the receiver's record, so that the receiver can refute it.
    fn send_with(&mut self, at: usize, probe: MessageKind, own_record: bool) {
        let to = self.records[at].member.clone();
        let mut news = self.updates(&to.name);
        if own_record || to.health != Health::Alive {
            news.push(to.clone());
        }
        let digest = self.digest();
        let from = self.local.clone();
        let message = MemberMessage { probe, from, digest, version: self.version, news };
        self.actions.push(MemberAction::Send(to.name, to.address, message));
    }

    /// Takes the updates for one message, those first that were sent least often.
    fn updates(&mut self, receiver: &Name) -> Vec<Member> {
        let is_pending = |at: &usize| {
            let record = &self.records[*at];
            record.sends > 0 && record.member.name != *receiver
        };
        let mut fresh: Vec<usize> = (0..self.records.len()).filter(is_pending).collect();
        fresh.sort_by_key(|at| std::cmp::Reverse(self.records[*at].sends));
        fresh.truncate(MAX_UPDATES);
        fresh.iter().for_each(|at| self.records[*at].sends -= 1);
        fresh.into_iter().map(|at| self.records[at].member.clone()).collect()
    }

    /// Returns how often a new update is sent on: in proportion to the logarithm of the number of
    /// members.
    fn sends(&self) -> u32 {
        SENDS_PER_DOUBLING * (usize::BITS - (self.records.len() + 1).leading_zeros())
    }

    fn digest(&self) -> u64 {
        let others = self.up().map(Member::digest);
        others.fold(self.local.digest(), std::ops::BitXor::bitxor)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.records.binary_search_by(|record| (*record.member.name).cmp(name))
    }
}

fn bucket(member: &Member) -> usize {
    xxh3_64(member.name.as_bytes()) as usize % SUMMARY_BUCKETS
}
