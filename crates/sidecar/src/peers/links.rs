//! Links to other nodes: one QUIC connection to each.

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use policy::{TargetView, Time, should_watch};
use quinn::{ClientConfig, Endpoint, EndpointConfig, TokioRuntime};
use rand::Rng;
use runtime::Clock;
use wire::link::{Datagram, Frame, Hello, Node, Reply};
use wire::tls::{self, Identity, SERVER_NAME, Timing, Trust};
use world::Name;

use crate::configuration::ActiveRuleset;
use crate::guard::Guard;
use crate::metrics::Metrics;
use crate::peers::directory::{Directory, Link, Peer};
use crate::peers::serve;

/// A link on which nothing came for 2.5 s is closed, so that a peer that was cut off is found again
/// within the 3 s after which the platform counts on it. Reports keep links open as a rule.
const TIMING: Timing =
    Timing { idle: Duration::from_millis(2_500), keep_alive: Duration::from_millis(1_100) };
/// The longest wait for a handshake and the peer's word on itself.
const CONNECT: Duration = Duration::from_millis(1_000);
/// The pause after a failed attempt to link. It doubles with each further one.
const PAUSE: Duration = Duration::from_millis(200);
/// The time that the second of two names leaves to the first where all nodes start: within 0.3 s.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// The same at any later start, when the first may not know of the second: two round trips or so.
const LATER_PAUSE: Duration = Duration::from_millis(30);
/// The longest pause between two attempts to link.
const PAUSE_LIMIT: Duration = Duration::from_millis(1_000);
/// A node without a link for this long is forgotten, in microseconds.
const FORGET_US: u64 = 60_000_000;
/// A link that is not used is closed after the longest calls on it have ended.
const LINGER: Duration = Duration::from_secs(10);
/// The least time between two reports to every peer: answers carry reports too, and these are for
/// peers to which none go.
const REPORT: Duration = Duration::from_millis(500);
/// The most time between two reports.
const REPORT_LIMIT: Duration = Duration::from_millis(1_000);
/// Time between two reports for each peer, so that their bytes do not grow with their number.
const REPORT_EACH: Duration = Duration::from_millis(15);
/// Time given to the store to tell a node that watches it of a revision before a peer is asked for it.
const FETCH_DELAY: Duration = Duration::from_millis(150);

/// A node that has just started is told of the ruleset by its peers as a rule, and reads the store
/// where it was not within this time, in microseconds: linking takes some tens of milliseconds.
const LEARN_US: u64 = 500_000;
/// Where all nodes start for the first time, they are linked after this time, in microseconds: they
/// start within 0.3 s, and a link waits for `FIRST_PAUSE` at most. Until then none can tell whether it is
/// one of those that watch the store.
const SETTLE_US: u64 = 900_000;

/// What a node is told about itself.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// The node as others know it.
    pub node: Node,
    /// The socket at which others reach it.
    pub bind: SocketAddr,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
}

/// The other nodes and the links to them.
#[derive(Debug)]
pub struct Peers {
    pub(super) me: Node,
    pub(super) first_start: bool,
    endpoint: Endpoint,
    client: ClientConfig,
    pub(super) clock: Clock,
    pub(super) directory: Directory,
    pub(super) guard: Rc<Guard>,
    pub(super) rules: Rc<ActiveRuleset>,
    metrics: Rc<Metrics>,
    /// What is known of the node's own target, as for those of others.
    pub own_view: std::cell::RefCell<TargetView>,
    /// The most nodes that were known at once.
    most: std::cell::Cell<usize>,
    /// A ruleset is being asked for.
    fetching: std::cell::Cell<bool>,
    /// Whether the other nodes are known, from the store or from a peer.
    joined: std::cell::Cell<bool>,
}

impl Peers {
    /// Opens the links and their tasks.
    pub fn spawn(
        settings: PeerSettings,
        clock: Clock,
        rules: Rc<ActiveRuleset>,
        guard: Rc<Guard>,
        metrics: Rc<Metrics>,
    ) -> std::io::Result<Rc<Peers>> {
        // No file holds a certificate on these VMs, and a node that starts while the store is away
        // must still be let in by its peers; see docs/DESIGN.md.
        let identity = tls::open(&Trust::Development, TIMING).map_err(std::io::Error::other)?;
        let Identity { server, client } = identity;
        let socket = UdpSocket::bind(settings.bind)?;
        let runtime = Arc::new(TokioRuntime);
        let endpoint = Endpoint::new(EndpointConfig::default(), Some(server), socket, runtime)?;
        let peers = Rc::new(Peers {
            me: settings.node,
            first_start: settings.first_start,
            endpoint,
            client,
            clock,
            directory: Directory::default(),
            guard,
            rules,
            metrics,
            own_view: std::cell::RefCell::default(),
            most: std::cell::Cell::new(1),
            fetching: std::cell::Cell::new(false),
            joined: std::cell::Cell::new(false),
        });
        tokio::task::spawn_local(serve::accept(peers.clone(), peers.endpoint.clone()));
        tokio::task::spawn_local(peers.clone().report());
        tokio::task::spawn_local(peers.clone().tell_changes());
        Ok(peers)
    }

    /// Returns this node as others know it.
    pub fn local_node(&self) -> &Node {
        &self.me
    }

    /// Calls `look` with each other node.
    pub fn for_each(&self, look: impl FnMut(&Rc<Peer>)) {
        self.directory.for_each(look);
    }

    /// Returns the most nodes that were known at once, this one among them.
    pub fn peak_nodes(&self) -> usize {
        self.most.get()
    }

    /// Learns of a node, and keeps a link to it from then on.
    pub fn learn(self: &Rc<Peers>, node: &Node) {
        if node.name == self.me.name || self.directory.is_gone(node) {
            return;
        }
        let (peer, new) = self.directory.find_or_add(node);
        if new {
            self.most.set(self.most.get().max(self.directory.len() as usize + 1));
            tokio::task::spawn_local(self.clone().keep(peer));
        }
    }

    /// Keeps a link to a peer until it was without one for long.
    async fn keep(self: Rc<Peers>, peer: Rc<Peer>) {
        let mut pause = PAUSE;
        let mut linked = self.clock.now();
        if self.me.name > peer.node().name {
            // Where both start at the same time, one link is enough.
            self.rest(&peer, if self.first_start { FIRST_PAUSE } else { LATER_PAUSE }).await;
        }
        while self.clock.now().since(linked) < FORGET_US {
            if let Some(link) = peer.link() {
                let reason = link.closed().await;
                tracing::info!(peer = &*peer.node().name, %reason, "peers: link lost");
                pause = PAUSE;
                linked = self.clock.now();
                // Both ends see the loss; the second name waits for the first one's attempt.
                if self.me.name > peer.node().name {
                    self.rest(&peer, PAUSE).await;
                }
                continue;
            }
            match tokio::time::timeout(CONNECT, self.connect(&peer)).await {
                Ok(Ok(name)) if name == peer.node().name => pause = PAUSE,
                Ok(Ok(name)) => {
                    let gone = peer.node();
                    tracing::info!(peer = &*gone.name, by = &*name, "peers: address taken");
                    return self.directory.bury(&gone);
                }
                Ok(Err(error)) => tracing::debug!(%error, "peers: no link"),
                Err(_) => tracing::debug!("peers: no link in time"),
            }
            if peer.link().is_none() {
                let spread = rand::rng().random_range(0.75..1.25);
                self.rest(&peer, pause.mul_f64(spread)).await;
                pause = (pause * 2).min(PAUSE_LIMIT);
            }
        }
        tracing::info!(peer = &*peer.node().name, "peers: forgotten");
        self.directory.remove(&peer.node().name);
    }

    /// Waits, or until the peer links itself.
    async fn rest(&self, peer: &Peer, pause: Duration) {
        let _ = tokio::time::timeout(pause, peer.changed.notified()).await;
    }

    /// Links to a peer's address. Returns the name of the node that answered.
    async fn connect(self: &Rc<Peers>, peer: &Rc<Peer>) -> Result<Name, String> {
        let address = peer.node().address;
        let connecting = self.endpoint.connect_with(self.client.clone(), address, SERVER_NAME);
        let link = connecting.map_err(|error| error.to_string())?;
        let link = link.await.map_err(|error| error.to_string())?;
        let (mut send, mut receive) = link.open_bi().await.map_err(|error| error.to_string())?;
        let hello = Frame::Hello(Box::new(self.hello(Some(peer))));
        wire::write(&mut send, &hello).await.map_err(|error| error.to_string())?;
        let _ = send.finish();
        let hello: Hello = wire::read(&mut receive).await.map_err(|error| error.to_string())?;
        let by_first = self.me.name < hello.node.name;
        let answered = self.greeted(&hello, Link { connection: link.clone(), by_first });
        serve::spawn(self, answered, link);
        Ok(hello.node.name)
    }

    /// Returns what this node says of itself to a peer.
    pub(super) fn hello(&self, peer: Option<&Peer>) -> Hello {
        Hello {
            node: self.me.clone(),
            status: self.guard.status(),
            leaving: peer.and_then(Peer::leaving),
        }
    }

    /// Takes in a peer's hello on a link.
    pub(super) fn greeted(self: &Rc<Peers>, hello: &Hello, link: Link) -> Rc<Peer> {
        self.learn(&hello.node);
        let (peer, _) = self.directory.find_or_add(&hello.node);
        let now = self.clock.now();
        if let Some(unused) = peer.greeted(now, hello, link) {
            tokio::task::spawn_local(async move {
                tokio::time::sleep(LINGER).await;
                unused.close(0u32.into(), b"unused");
            });
        }
        if let Some(life) = &hello.leaving {
            self.guard.restore_leaving(life.clone());
        }
        self.metrics.links_opened.inc();
        tracing::info!(
            peer = &*hello.node.name,
            service = hello.status.service.as_deref(),
            started = hello.node.started,
            "peers: linked"
        );
        self.compare(&peer);
        self.introduce(&peer);
        peer
    }

    /// Asks a peer for the other nodes while the store has not told of them.
    fn introduce(self: &Rc<Peers>, peer: &Rc<Peer>) {
        if self.joined.get() {
            return;
        }
        let (peers, peer) = (self.clone(), peer.clone());
        tokio::task::spawn_local(async move {
            match peers.ask(&peer, &Frame::FetchNodes).await {
                Ok(Reply::Nodes(nodes)) => nodes.iter().for_each(|node| peers.learn(node)),
                Ok(_) => tracing::warn!("peers: a list of nodes makes no sense"),
                Err(error) => tracing::debug!(%error, "peers: no list of nodes"),
            }
        });
    }

    /// Returns the nodes that are known, for a peer that asks.
    pub(super) fn nodes(&self) -> Vec<Node> {
        self.directory.all().iter().map(|peer| peer.node()).collect()
    }

    /// Notes that the store told of the other nodes.
    pub(super) fn set_joined(&self) {
        self.joined.set(true);
    }

    /// Takes in what a peer said of itself.
    pub(super) fn said(self: &Rc<Peers>, peer: &Rc<Peer>, status: &wire::link::Status) {
        peer.say(self.clock.now(), status);
        self.compare(peer);
    }

    /// Asks a peer for its ruleset where it is newer and the store does not tell of it soon.
    fn compare(self: &Rc<Peers>, peer: &Rc<Peer>) {
        if peer.revision() <= self.rules.revision() || self.fetching.replace(true) {
            return;
        }
        let (peers, peer) = (self.clone(), peer.clone());
        tokio::task::spawn_local(async move {
            if peers.rules.is_watching() {
                tokio::time::sleep(FETCH_DELAY).await;
            }
            if peer.revision() > peers.rules.revision()
                && let Ok(Reply::Ruleset(Some(ruleset))) = peers.ask(&peer, &Frame::Fetch).await
            {
                peers.rules.update(*ruleset, &peer.node().name);
            }
            peers.fetching.set(false);
        });
    }

    /// Reports to every peer from time to time.
    async fn report(self: Rc<Peers>) {
        loop {
            let pause = REPORT_EACH * self.directory.len();
            tokio::time::sleep(pause.clamp(REPORT, REPORT_LIMIT)).await;
            self.compare_strain();
            let status = self.guard.status();
            self.own_view.borrow_mut().reported(self.clock.now(), status.report);
            let Ok(datagram) = wire::encode(&Datagram::Status(Box::new(status))) else { continue };
            let datagram = bytes::Bytes::from(datagram);
            self.directory.for_each(|peer| {
                if let Some(link) = peer.link() {
                    // A full or closing link loses a report like any other packet.
                    let _ = link.send_datagram(datagram.clone());
                }
            });
        }
    }

    /// Tells the guard what others found of targets of the same service.
    fn compare_strain(&self) {
        let Some(service) = self.guard.service() else { return };
        let mut strains = Vec::new();
        self.directory.for_each(|peer| {
            if peer.serves(&service) {
                let strain = peer.view.borrow().report.strain;
                strains.extend((strain > 0).then(|| f64::from(strain) / 100.0));
            }
        });
        self.guard.update_service_strain(strains.into_iter());
    }

    /// Returns whether this node watches the operator's table itself.
    pub fn should_watch(&self) -> bool {
        let now = self.clock.now();
        let is_new = self.rules.revision() == 0;
        let settles = if self.first_start { SETTLE_US } else { 0 };
        match is_new {
            true if now.0 > settles + LEARN_US => return true,
            true if now.0 < settles || !self.joined.get() => return false,
            _ => {}
        }
        let mut before = Vec::new();
        self.directory.for_each(|peer| {
            let is_before =
                self.is_same_data_centre(&peer.data_centre()) && !peer.comes_after(&self.me.name);
            // Nothing is known of the others yet; they are taken to be live and watching.
            if is_before && (is_new || peer.is_live(now)) {
                before.push(is_new || peer.is_followed());
            }
        });
        should_watch(before.into_iter())
    }

    /// Returns whether the ruleset in force is the newest that this node could know of.
    pub fn is_ruleset_current(&self) -> bool {
        let (now, revision) = (self.clock.now(), self.rules.revision());
        let mut told = self.rules.is_watching();
        self.directory.for_each(|peer| {
            let is_told = peer.is_followed() && peer.is_live(now);
            told |= is_told && peer.revision() <= revision;
        });
        told
    }

    /// Tells peers at once of what they must not learn late: every one of a change of the target,
    /// and those of the data centre of a new revision where this node watches the store. Others
    /// learn of it by reports.
    async fn tell_changes(self: Rc<Peers>) {
        let mut target = self.guard.subscribe();
        let mut revision = self.rules.subscribe();
        loop {
            let all = tokio::select! {
                _ = target.changed() => true,
                _ = revision.changed() => {
                    self.guard.ruleset_changed();
                    false
                }
            };
            if !all && !self.rules.is_watching() {
                continue;
            }
            let status = self.guard.status();
            self.own_view.borrow_mut().reported(self.clock.now(), status.report);
            let frame = Rc::new(Frame::Status(Box::new(status)));
            let mut told = self.directory.all();
            told.retain(|peer| all || self.is_same_data_centre(&peer.data_centre()));
            for peer in told {
                let (peers, frame) = (self.clone(), frame.clone());
                tokio::task::spawn_local(async move {
                    if peer.link().is_some()
                        && let Err(error) = peers.ask(&peer, &frame).await
                    {
                        tracing::debug!(%error, "peers: a change was not told");
                    }
                });
            }
        }
    }

    /// Returns whether a data centre is that of this node.
    pub fn is_same_data_centre(&self, data_centre: &Name) -> bool {
        self.me.data_centre == *data_centre
    }

    /// Returns the time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }
}
