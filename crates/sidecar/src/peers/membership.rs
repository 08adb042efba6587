//! Drives the member list: sends its messages over the links, compares lists with peers, and
//! spreads which nodes watch the operator's table.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use policy::{
    BEACON_INTERVAL_US, Health, Member, MemberAction, MemberMessage, Members, PassOn, Time,
    VALID_US, Watcher, Watchers,
};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;
use wire::link::{Datagram, Frame, Node, Reply};
use world::{Code, Name};

use crate::peers::directory::Peer;
use crate::peers::links::Peers;

/// Time between two runs of the member list's timers, and between two beacons of a watcher.
const TICK: Duration = Duration::from_micros(BEACON_INTERVAL_US);
/// Peers to which a watcher sends each beacon.
const BEACON_PEERS: usize = 6;
/// Peers to which a beacon is passed on by each node that it reaches: with three, it reaches some 94
/// of 100 nodes, and the next one the others.
const RELAY_PEERS: usize = 3;
/// How long a message waits for a link to be opened to its receiver.
const LINK_WAIT: Duration = Duration::from_secs(1);
/// How long a link stays that was opened for one message, in microseconds.
const MESSAGE_LINK_US: u64 = 5_000_000;
/// Peers whose lists a node fetches after its start.
const FIRST_SYNCS: u32 = 4;
/// The number of nodes that is assumed until the list was compared with a peer's. Bounds that hold
/// over all nodes are divided by it, so that a number too high is safe.
const UNKNOWN_FLEET: usize = 1_000;
/// How long after a first start of the whole deployment no node takes over the watch, in
/// microseconds. By then every node knows the others of its data centre.
const FIRST_TAKEOVER_US: u64 = 1_500_000;

/// The member list of this node, and who watches the operator's table.
#[derive(Debug)]
pub(super) struct Membership {
    pub(super) members: RefCell<Members>,
    pub(super) watchers: RefCell<Watchers>,
    /// Comparisons with peers that succeeded since the start.
    syncs: Cell<u32>,
    /// Comparisons that were begun since the start.
    begun_syncs: Cell<u32>,
    /// Whether the store listed no other node.
    alone: Cell<bool>,
    /// The most members that were up at once, this one included.
    peak: Cell<usize>,
    /// Notified when the list changes.
    pub(super) changed: Notify,
}

impl Membership {
    /// Creates the list of a node that knows no other one.
    pub(super) fn open(now: Time, node: &Node, service: Name, first_start: bool) -> Membership {
        let local = Member {
            name: node.name.clone(),
            data_centre: node.data_centre.clone(),
            address: node.address,
            service: Some(service),
            started: node.started,
            incarnation: node.started,
            health: Health::Alive,
        };
        let earliest = if first_start { now.after(FIRST_TAKEOVER_US) } else { now };
        Membership {
            members: RefCell::new(Members::new(now, local)),
            watchers: RefCell::new(Watchers::new(earliest, node.name.clone(), node.started)),
            syncs: Cell::new(0),
            begun_syncs: Cell::new(0),
            alone: Cell::new(false),
            peak: Cell::new(1),
            changed: Notify::new(),
        }
    }

    /// Returns the most members that were up at once, or a number too high while the list may be
    /// incomplete.
    pub(super) fn fleet(&self) -> usize {
        match self.is_complete() {
            true => self.peak.get(),
            false => self.peak.get().max(UNKNOWN_FLEET),
        }
    }

    /// Returns whether the list was compared with a peer's, or there is none.
    pub(super) fn is_complete(&self) -> bool {
        self.syncs.get() > 0 || self.alone.get()
    }

    /// Records that the store lists no other node.
    pub(super) fn set_alone(&self) {
        self.alone.set(true);
    }

    fn update_peak(&self) {
        self.peak.set(self.peak.get().max(self.members.borrow().up().count() + 1));
    }
}

/// Returns a member as a node to link to.
pub(super) fn node_of(member: &Member) -> Node {
    let Member { name, data_centre, address, started, .. } = member.clone();
    Node { name, data_centre, address, started }
}

impl Peers {
    /// Runs the member list's timers for as long as the process runs.
    pub(super) async fn run_membership(self: Rc<Peers>) {
        let mut rng = SmallRng::seed_from_u64(rand::rng().random());
        loop {
            tokio::time::sleep(TICK).await;
            let now = self.clock.now();
            self.update_own_member(now);
            let actions = self.membership.members.borrow_mut().tick(now, &mut rng);
            self.act(actions);
        }
    }

    /// Keeps this node's own record and its watch up to date.
    fn update_own_member(self: &Rc<Peers>, now: Time) {
        if let Some(service) = self.guard.service() {
            let actions = self.membership.members.borrow_mut().set_service(Some(service));
            self.act(actions);
        }
        self.update_own_watch(now);
        self.confirm_rules();
        if self.rules.is_watching() {
            self.send_watchers(BEACON_PEERS);
        }
    }

    /// Asks a linked peer that has a ruleset for what the store may have lost, if one is to be asked.
    fn confirm_rules(self: &Rc<Peers>) {
        let mut peers = self.directory.all();
        peers.retain(|peer| peer.revision() > 0 && peer.link().is_some());
        if let Some(peer) = peers.choose(&mut rand::rng())
            && self.rules.take_confirmation()
        {
            tokio::task::spawn_local(self.clone().confirm_ruleset(peer.clone()));
        }
    }

    /// Records whether this node watches the operator's table, and tells the data centre if that
    /// changed.
    pub(super) fn update_own_watch(&self, now: Time) {
        let revision = self.rules.is_watching().then(|| self.rules.revision());
        if self.membership.watchers.borrow_mut().set_own(now, revision) {
            self.send_watchers(usize::MAX);
        }
    }

    /// Merges members that were read from the store or received from a peer.
    pub(super) fn merge_members(self: &Rc<Peers>, members: Vec<Member>) {
        let now = self.clock.now();
        let actions = self.membership.members.borrow_mut().merge(now, members);
        self.act(actions);
    }

    /// Tells every other node that this one stops, so that it is not linked to any more.
    pub fn leave(self: &Rc<Peers>) {
        let actions = self.membership.members.borrow_mut().leave();
        self.act(actions);
    }

    /// Handles a membership message that a peer sent.
    pub(super) fn handle_member_message(self: &Rc<Peers>, message: MemberMessage) {
        let now = self.clock.now();
        let actions = self.membership.members.borrow_mut().received(now, message);
        self.act(actions);
    }

    /// Handles the list of watchers that a peer passed on, and passes on what is new.
    pub(super) fn handle_watchers(self: &Rc<Peers>, peer: &Peer, received: &[Watcher]) {
        if !self.is_same_data_centre(&peer.data_centre()) {
            return;
        }
        let now = self.clock.now();
        peer.record_received(now);
        let pass_on = self.membership.watchers.borrow_mut().merge(now, received);
        match pass_on {
            PassOn::Nobody => {}
            PassOn::Some => self.send_watchers(RELAY_PEERS),
            PassOn::Many => self.send_watchers(BEACON_PEERS),
        }
    }

    /// Passes on which nodes watch the operator's table, to at most `most` linked peers of the data
    /// centre, chosen at random.
    fn send_watchers(&self, most: usize) {
        let Some(datagram) = self.watchers_datagram() else { return };
        let mut receivers = self.directory.all();
        receivers
            .retain(|peer| self.is_same_data_centre(&peer.data_centre()) && peer.link().is_some());
        receivers.shuffle(&mut rand::rng());
        receivers.iter().take(most).for_each(|peer| send_datagram(peer, &datagram));
    }

    /// Returns the encoded list of watchers. `None` if there are none.
    pub(super) fn watchers_datagram(&self) -> Option<bytes::Bytes> {
        let list = self.membership.watchers.borrow().list(self.clock.now());
        if list.is_empty() { None } else { encode(&Datagram::Beacons(list)) }
    }

    /// Introduces this node to a peer on a new link, tells it of requests that crash targets, and
    /// compares lists if this node is new.
    pub(super) fn introduce(self: &Rc<Peers>, peer: &Rc<Peer>) {
        let notices = self.guard.crash_notices();
        if !notices.is_empty() {
            let (peers, peer) = (self.clone(), peer.clone());
            tokio::task::spawn_local(async move {
                if let Err(error) = peers.request(&peer, &Frame::Crashes(notices)).await {
                    tracing::debug!(%error, "peers: cannot send notices of crashes");
                }
            });
        }
        let name = peer.node().name;
        let introduction = self.membership.members.borrow_mut().introduction(&name);
        if let Some(datagram) = encode(&Datagram::Member(Box::new(introduction))) {
            send_datagram(peer, &datagram);
        }
        if self.is_same_data_centre(&peer.data_centre())
            && let Some(datagram) = self.watchers_datagram()
        {
            send_datagram(peer, &datagram);
        }
        // Lists are long, and bytes between data centres are charged for.
        let is_first = self.membership.begun_syncs.get() == 0;
        let is_near = self.is_same_data_centre(&peer.data_centre());
        if is_first || is_near && self.membership.begun_syncs.get() < FIRST_SYNCS {
            tokio::task::spawn_local(self.clone().sync(peer.clone()));
        }
    }

    /// Does what the member list asks for.
    pub(super) fn act(self: &Rc<Peers>, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send(name, _, message) => self.send_member_message(&name, message),
                MemberAction::Sync(name, _) => {
                    if let Some(peer) = self.directory.find(&name) {
                        tokio::task::spawn_local(self.clone().sync(peer));
                    }
                }
                MemberAction::CloseLink(address) => self.close_links_to(address),
                MemberAction::Event(code, name) => log_event(code, &name),
                MemberAction::Changed => {
                    self.membership.update_peak();
                    self.membership.changed.notify_one();
                }
            }
        }
    }

    /// Sends a message to a member, over a link that is opened for it if there is none.
    fn send_member_message(self: &Rc<Peers>, name: &Name, message: MemberMessage) {
        let Some(datagram) = encode(&Datagram::Member(Box::new(message))) else { return };
        if let Some(peer) = self.directory.find(name).filter(|peer| peer.link().is_some()) {
            return send_datagram(&peer, &datagram);
        }
        let node = self.membership.members.borrow().member(name).map(node_of);
        let Some(node) = node else { return };
        let until = self.clock.now().after(MESSAGE_LINK_US);
        let Some(peer) = self.want_link(&node, until) else { return };
        let peers = self.clone();
        tokio::task::spawn_local(async move {
            peers.wait_for_link(&peer, LINK_WAIT).await;
            send_datagram(&peer, &datagram);
        });
    }

    /// Compares the member list with a peer's, and merges the differences on both ends.
    async fn sync(self: Rc<Peers>, peer: Rc<Peer>) {
        let membership = &self.membership;
        membership.begun_syncs.set(membership.begun_syncs.get() + 1);
        let summary = membership.members.borrow().summary();
        let (summary, received) = match self.request(&peer, &Frame::Sync(summary)).await {
            Ok(Reply::Members { summary, members }) => (summary, members),
            Ok(_) => return tracing::warn!("members: the reply is no list of members"),
            Err(error) => {
                membership.begun_syncs.set(membership.begun_syncs.get() - 1);
                return tracing::debug!(%error, "members: cannot compare lists with a peer");
            }
        };
        let own = membership.members.borrow().differing(&summary);
        self.merge_members(received);
        membership.syncs.set(membership.syncs.get() + 1);
        if !own.is_empty()
            && let Err(error) = self.request(&peer, &Frame::Members(own)).await
        {
            tracing::debug!(%error, "members: cannot send members to a peer");
        }
    }

    /// Answers a comparison of lists that a peer began.
    pub(super) fn differing_members(&self, summary: &[u64]) -> Reply {
        let members = self.membership.members.borrow();
        Reply::Members { summary: members.summary(), members: members.differing(summary) }
    }

    /// Closes links to an address whose process has restarted. The link that the new process opened
    /// is known by its later start.
    fn close_links_to(&self, address: SocketAddr) {
        let members = self.membership.members.borrow();
        self.directory.for_each(|peer| {
            let node = peer.node();
            let started = members.member(&node.name).map_or(0, |member| member.started);
            if node.address == address && node.started < started {
                peer.close_link(b"restarted");
            }
        });
    }

    /// Returns whether this node is to try to watch the operator's table. A node without a ruleset
    /// reads the table itself if its peers do not send one in time.
    pub fn should_watch(&self) -> bool {
        let now = self.clock.now();
        if self.rules.revision() == 0 && now >= self.read_after.get() {
            self.tries_watch.set(true);
            return true;
        }
        if self.must_read(now) {
            return true;
        }
        let rank = self.live_rank(now);
        let data_centres = self.membership.members.borrow().data_centres();
        let mut watchers = self.membership.watchers.borrow_mut();
        let tried = self.tries_watch.get();
        let tries = watchers.should_watch(now, tried, rank, data_centres);
        self.tries_watch.set(tries);
        if tries && !tried {
            let known = watchers.list(now).len();
            tracing::info!(rank, known, "config: this node takes over the watch of the store");
        }
        tries
    }

    /// Returns whether this node still has to read the table once for a revision that no peer sent.
    fn must_read(&self, now: Time) -> bool {
        let planned = self.read_at.get();
        if now < planned {
            return false;
        }
        let is_done =
            self.rules.revision() >= self.read_for.get() || self.rules.answered_at() >= planned;
        if is_done {
            self.read_at.set(Time::NEVER);
        }
        !is_done
    }

    /// Returns how many nodes of the data centre that were heard from recently sort before this one
    /// by name. The member list takes seconds to find that a node is dead.
    fn live_rank(&self, now: Time) -> usize {
        let mut rank = 0;
        self.directory.for_each(|peer| {
            let is_before = peer.node().name < self.local_node().name;
            let is_live = now.since(peer.last_received()) < VALID_US;
            let is_near = self.is_same_data_centre(&peer.data_centre());
            rank += usize::from(is_before && is_live && is_near);
        });
        rank
    }

    /// Returns whether this node, or a live node of its data centre without a newer ruleset,
    /// receives changes of the ruleset from the store, so that no newer one is likely to be in
    /// force elsewhere.
    pub fn is_ruleset_current(&self) -> bool {
        let revision = self.rules.revision();
        self.rules.is_watching()
            || self.membership.watchers.borrow().confirms(self.clock.now(), revision)
    }
}

/// Logs an event of the member list.
fn log_event(code: Code, name: &Name) {
    if code == Code::MemberJoined {
        // A node that starts learns of all others at once.
        return tracing::debug!(member = &**name, "members: {}", code.text());
    }
    tracing::info!(member = &**name, code = code.number(), "members: {}", code.text());
}

fn encode(datagram: &Datagram) -> Option<bytes::Bytes> {
    let encoded = wire::encode(datagram);
    encoded
        .inspect_err(|error| tracing::error!(%error, "peers: cannot encode a datagram"))
        .ok()
        .map(bytes::Bytes::from)
}

/// Sends a datagram to a peer if it is linked. It may get lost on the way.
pub(super) fn send_datagram(peer: &Peer, datagram: &bytes::Bytes) {
    if let Some(link) = peer.link()
        && let Err(error) = link.send_datagram(datagram.clone())
    {
        tracing::debug!(%error, "peers: cannot send a datagram");
    }
}
