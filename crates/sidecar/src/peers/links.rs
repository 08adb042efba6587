//! Links to other nodes, one QUIC connection to each.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use policy::{Keeper, TargetView, Time};
use quinn::{ClientConfig, Endpoint, EndpointConfig, TokioRuntime};
use rand::Rng;
use rand::seq::IndexedRandom;
use runtime::{Clock, ElapsedClock};
use wire::link::{Frame, Hello, Node, Reply};
use wire::tls::{self, Identity, SERVER_NAME, Timing, Trust};
use world::Name;

use crate::configuration::ActiveRuleset;
use crate::guard::Guard;
use crate::metrics::Metrics;
use crate::peers::directory::{Directory, Link, Peer};
use crate::peers::exchange::Error;
use crate::peers::membership::{Membership, node_of};
use crate::peers::rollout::{RolloutSettings, Rollouts};
use crate::peers::serve;

/// A link is closed after 2.5 s without a packet, so that a peer that was cut off is linked again
/// within the 3 s that the platform allows for it. Reports usually keep links open.
const TIMING: Timing =
    Timing { idle: Duration::from_millis(2_500), keep_alive: Duration::from_millis(1_100) };
/// The longest wait for a handshake and the peer's hello.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a node that stops waits for its peers to learn that their links are closed.
const CLOSE_WAIT: Duration = Duration::from_millis(200);
/// The pause after a failed connection attempt. It doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long the higher of two nodes waits for the lower one to open their link when the whole
/// deployment starts for the first time. All nodes start within 0.3 s.
const FIRST_START_DELAY: Duration = Duration::from_millis(400);
/// How long it waits at any later start: about two round trips, since the lower node may not know
/// the higher one.
const LATER_START_DELAY: Duration = Duration::from_millis(30);
/// The longest pause between two connection attempts.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// The time after which a link that neither end uses any more is closed. The longest requests on it
/// have ended by then.
pub(super) const CLOSE_DELAY: Duration = Duration::from_secs(10);
/// How long a node that watches the store waits for a newer ruleset from there before it fetches it
/// from a peer.
const FETCH_DELAY: Duration = Duration::from_millis(150);
/// How long a node waits for a peer's ruleset before it asks another peer as well: ten round trips
/// between data centres and the time to send some hundred kilobytes.
const FETCH_STEP: Duration = Duration::from_millis(150);

/// The longest random wait before a node reads the operator's table because peers of earlier versions
/// cannot send theirs, in microseconds.
const READ_SPREAD_US: u64 = 400_000;

/// What the links need to know of this node.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// This node as it introduces itself to others.
    pub node: Node,
    /// The address to which the socket of the links is bound. Others may reach it at another one.
    pub bind: SocketAddr,
    /// The service of its target.
    pub service: Name,
    /// Whether the whole deployment starts for the first time. A hint from the settings file.
    pub first_start: bool,
    /// What roll-outs need. `None` where the platform has none.
    pub rollouts: Option<RolloutSettings>,
}

/// The other nodes and the links to them.
#[derive(Debug)]
pub struct Peers {
    pub(super) local_node: Node,
    pub(super) first_start: bool,
    endpoint: Endpoint,
    client: ClientConfig,
    pub(super) clock: Clock,
    pub(super) directory: Directory,
    pub(super) guard: Rc<Guard>,
    pub(super) rules: Rc<ActiveRuleset>,
    pub(super) metrics: Rc<Metrics>,
    /// The load and the results of the target on this VM, as for those of the peers.
    pub own_view: RefCell<TargetView>,
    pub(super) membership: Membership,
    /// The roll-outs that this node coordinates.
    pub(super) rollouts: Rollouts,
    /// The services that requests used, and when, sorted by name.
    pub(super) used_services: RefCell<Vec<(Name, Time)>>,
    /// Attempts of peers that are being handled here; see [`Peers::track_serving`].
    serving: Cell<usize>,
    /// Whether a ruleset is being fetched from a peer.
    fetching: Cell<bool>,
    /// When a node without a ruleset reads the operator's table itself; set when it has joined.
    pub(super) read_after: Cell<Time>,
    /// When this node reads the table once, for a ruleset that no peer can send.
    pub(super) read_at: Cell<Time>,
    /// The newest revision for which that was planned, so that it is read once for each.
    pub(super) read_for: Cell<u64>,
    /// Whether this node tries to watch the operator's table.
    pub(super) tries_watch: Cell<bool>,
    /// The time of the quotas.
    pub(super) elapsed: ElapsedClock,
    /// This node as a keeper of quotas. `None` without bounds in the settings.
    pub(super) keeper: RefCell<Option<Keeper>>,
    /// The number of nodes that count for a keeper's votes, as last read; 0 before.
    pub(super) quota_fleet: Cell<usize>,
}

impl Peers {
    /// Opens the socket of the links, and starts the tasks that accept links and send reports.
    /// Fails if the address cannot be bound.
    pub fn spawn(
        settings: PeerSettings,
        clock: Clock,
        rules: Rc<ActiveRuleset>,
        guard: Rc<Guard>,
        metrics: Rc<Metrics>,
    ) -> std::io::Result<Rc<Peers>> {
        // These VMs have no certificate files, and peers must accept a node that starts while the
        // store is not available; see docs/DESIGN.md.
        let identity = tls::open(&Trust::Development, TIMING).map_err(std::io::Error::other)?;
        let Identity { server, client } = identity;
        let socket = UdpSocket::bind(settings.bind)?;
        let runtime = Arc::new(TokioRuntime);
        let endpoint = Endpoint::new(EndpointConfig::default(), Some(server), socket, runtime)?;
        let PeerSettings { node, service, first_start, rollouts, .. } = settings;
        let now = clock.now();
        let peers = Rc::new(Peers {
            membership: Membership::open(now, &node, service, first_start),
            rollouts: Rollouts::open(rollouts),
            local_node: node,
            first_start,
            endpoint,
            client,
            clock,
            directory: Directory::default(),
            guard,
            rules,
            metrics,
            own_view: RefCell::default(),
            used_services: RefCell::default(),
            serving: Cell::new(0),
            fetching: Cell::new(false),
            read_after: Cell::new(Time::NEVER),
            read_at: Cell::new(Time::NEVER),
            read_for: Cell::new(0),
            tries_watch: Cell::new(false),
            elapsed: ElapsedClock::new(clock),
            keeper: RefCell::default(),
            quota_fleet: Cell::new(0),
        });
        let weak = Rc::downgrade(&peers);
        peers.guard.set_replicas(move |service| {
            weak.upgrade().map(|peers| peers.replicas(service)).unwrap_or_default()
        });
        tokio::task::spawn_local(serve::accept(peers.clone(), peers.endpoint.clone()));
        tokio::task::spawn_local(peers.clone().send_reports());
        tokio::task::spawn_local(peers.clone().send_changes());
        tokio::task::spawn_local(peers.clone().send_crash_updates());
        tokio::task::spawn_local(peers.clone().run_membership());
        tokio::task::spawn_local(peers.clone().run_selection());
        if peers.rollouts.is_enabled() {
            peers.guard.enable_rollouts();
            tokio::task::spawn_local(peers.clone().report_evidence());
        }
        Ok(peers)
    }

    /// Returns this node as it introduces itself to others.
    pub fn local_node(&self) -> &Node {
        &self.local_node
    }

    /// Counts an attempt of a peer as being handled until the returned value is dropped, which is when
    /// the peer has its outcome.
    pub(super) fn track_serving(self: &Rc<Peers>) -> ServedAttempt {
        self.serving.set(self.serving.get() + 1);
        ServedAttempt { peers: self.clone() }
    }

    /// Returns the number of attempts of peers that are being handled.
    pub fn serving(&self) -> usize {
        self.serving.get()
    }

    /// Closes every link, so that peers notice at once that this node ends. Waits for at most
    /// [`CLOSE_WAIT`].
    pub async fn close(&self) {
        self.endpoint.close(0u32.into(), b"stopped");
        if tokio::time::timeout(CLOSE_WAIT, self.endpoint.wait_idle()).await.is_err() {
            tracing::debug!("peers: some links were not closed in time");
        }
    }

    /// Calls a function with each node that is or was linked, sorted by name.
    pub fn for_each(&self, visit: impl FnMut(&Rc<Peer>)) {
        self.directory.for_each(visit);
    }

    /// Returns the number of nodes among which bounds over all nodes are divided: the most that
    /// were up at once, or more while this node may not know all.
    pub fn fleet(&self) -> usize {
        self.membership.fleet()
    }

    /// Wants a link to a node until `until`, and opens it if there is none. `None` for this node
    /// itself, and for one whose address another node has taken.
    pub(super) fn want_link(self: &Rc<Peers>, node: &Node, until: Time) -> Option<Rc<Peer>> {
        if node.name == self.local_node.name || self.directory.is_replaced(node) {
            return None;
        }
        let (peer, _) = self.directory.find_or_add(node);
        peer.update_node(node);
        peer.wanted_until.set(peer.wanted_until.get().max(until));
        if !peer.maintained.replace(true) {
            tokio::task::spawn_local(self.clone().maintain_link(peer.clone()));
        }
        Some(peer)
    }

    /// Links to a peer whenever there is no link, for as long as one is wanted.
    async fn maintain_link(self: Rc<Peers>, peer: Rc<Peer>) {
        let mut pause = RETRY_PAUSE;
        if self.local_node.name > peer.node().name {
            // If both nodes start at the same time, only the lower one opens a link.
            self.wait_for_link(
                &peer,
                if self.first_start { FIRST_START_DELAY } else { LATER_START_DELAY },
            )
            .await;
        }
        while peer.wanted_until.get() > self.clock.now() {
            if let Some(link) = peer.link() {
                let reason = tokio::select! {
                    reason = link.closed() => reason,
                    () = peer.link_changed.notified() => continue,
                };
                tracing::info!(peer = &*peer.node().name, %reason, "peers: link lost");
                pause = RETRY_PAUSE;
                // Both ends notice the loss. The higher node lets the lower one reconnect first.
                if self.local_node.name > peer.node().name {
                    self.wait_for_link(&peer, RETRY_PAUSE).await;
                }
                continue;
            }
            match tokio::time::timeout(CONNECT_TIMEOUT, self.connect(&peer)).await {
                Ok(Ok(name)) if name == peer.node().name => pause = RETRY_PAUSE,
                Ok(Ok(name)) => {
                    let replaced = peer.node();
                    tracing::info!(
                        peer = &*replaced.name,
                        by = &*name,
                        "peers: another node has the peer's address"
                    );
                    self.directory.mark_replaced(&replaced);
                    break;
                }
                Ok(Err(error)) => tracing::debug!(%error, "peers: cannot link to a peer"),
                Err(_) => tracing::debug!("peers: linking to a peer timed out"),
            }
            if peer.link().is_none() {
                let jitter = rand::rng().random_range(0.75..1.25);
                self.wait_for_link(&peer, pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
        peer.maintained.set(false);
    }

    /// Waits for the pause to end or for the peer to be linked, whichever comes first.
    pub(super) async fn wait_for_link(&self, peer: &Peer, pause: Duration) {
        let _ = tokio::time::timeout(pause, peer.link_changed.notified()).await;
    }

    /// Opens a link to a peer's address and exchanges hellos. Returns the name of the node that
    /// answered, which is another than the peer's if its address was reassigned.
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
        let by_lower = self.local_node.name < hello.node.name;
        let opened = Link { connection: link.clone(), by_lower, opened: true };
        let answered = self.handle_hello(&hello, opened);
        serve::spawn_receivers(self, answered, link);
        Ok(hello.node.name)
    }

    /// Returns the hello for a peer: this node, its status, and the leaving target that the peer
    /// last reported, so that the peer knows it even if it has restarted.
    pub(super) fn hello(&self, peer: Option<&Peer>) -> Hello {
        Hello {
            node: self.local_node.clone(),
            status: self.guard.status(),
            leaving: peer.and_then(Peer::leaving),
        }
    }

    /// Handles the hello of a peer on a new link.
    pub(super) fn handle_hello(self: &Rc<Peers>, hello: &Hello, link: Link) -> Rc<Peer> {
        let (peer, _) = self.directory.find_or_add(&hello.node);
        let now = self.clock.now();
        peer.last_used.set(now);
        if let Some(unused) = peer.handle_hello(now, hello, link) {
            tokio::task::spawn_local(async move {
                tokio::time::sleep(CLOSE_DELAY).await;
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
        self.fetch_newer_ruleset(&peer);
        self.introduce(&peer);
        self.membership.changed.notify_one();
        peer
    }

    /// Returns the other nodes that are known, for a peer of an earlier version.
    pub(super) fn nodes(&self) -> Vec<Node> {
        self.membership.members.borrow().up().map(node_of).collect()
    }

    /// Handles a status of a peer, and fetches its ruleset if that is newer.
    pub(super) fn handle_status(self: &Rc<Peers>, peer: &Rc<Peer>, status: &wire::link::Status) {
        peer.update_status(self.clock.now(), status);
        self.fetch_newer_ruleset(peer);
    }

    /// Fetches a newer ruleset if a peer has one and the store does not send it soon.
    fn fetch_newer_ruleset(self: &Rc<Peers>, peer: &Rc<Peer>) {
        self.rules.record_heard(peer.revision());
        if peer.revision() <= self.rules.revision() || self.fetching.replace(true) {
            return;
        }
        let (peers, peer) = (self.clone(), peer.clone());
        tokio::task::spawn_local(async move {
            if peers.rules.is_watching() {
                tokio::time::sleep(FETCH_DELAY).await;
            }
            peers.fetch_from_any(peer).await;
            peers.fetching.set(false);
        });
    }

    /// Asks the peers that have a newer ruleset, beginning with `first`. The next one is asked when
    /// none has sent it for a while, since a peer may have died or be cut off.
    async fn fetch_from_any(self: &Rc<Peers>, first: Rc<Peer>) {
        let mut changed = self.rules.subscribe();
        let mut asked: Vec<Name> = Vec::new();
        let mut next = Some(first).filter(|peer| peer.revision() > self.rules.revision());
        while let Some(peer) = next {
            asked.push(peer.node().name);
            let peers = self.clone();
            tokio::task::spawn_local(async move { peers.fetch_ruleset(&peer).await });
            if tokio::time::timeout(FETCH_STEP, changed.changed()).await.is_ok() {
                // A peer that sent it may have told of a newer one meanwhile.
                asked.clear();
            }
            next = self.newer_peer(&asked);
        }
    }

    /// Returns a linked peer, chosen at random, that has a newer ruleset and was not asked.
    fn newer_peer(&self, asked: &[Name]) -> Option<Rc<Peer>> {
        let own = self.rules.revision();
        let mut newer = self.directory.all();
        newer.retain(|peer| {
            let is_asked = asked.iter().any(|name| peer.has_name(name));
            peer.revision() > own && peer.link().is_some() && !is_asked
        });
        newer.choose(&mut rand::rng()).cloned()
    }

    /// Asks a peer for its ruleset, and replaces the one in force if that is newer.
    async fn fetch_ruleset(&self, peer: &Peer) {
        let name = peer.node().name;
        match self.request(peer, &Frame::FetchRules).await {
            Ok(Reply::Rules(Some(ruleset))) => {
                self.rules.update(*ruleset, &name);
            }
            Ok(_) => tracing::warn!(peer = &*name, "config: the reply is no ruleset"),
            Err(error) => {
                tracing::info!(peer = &*name, %error, "config: cannot fetch a ruleset");
                // A peer of an earlier version closes the stream, and the link stays open.
                if matches!(error, Error::Broken { .. }) && peer.link().is_some() {
                    self.plan_read(peer.revision());
                }
            }
        }
    }

    /// Asks a peer for what the store may have lost before this node started.
    pub(super) async fn confirm_ruleset(self: Rc<Peers>, peer: Rc<Peer>) {
        let name = peer.node().name;
        match self.request(&peer, &Frame::FetchRules).await {
            Ok(Reply::Rules(Some(ruleset))) => self.rules.confirm(*ruleset, &name),
            Ok(_) => tracing::info!(peer = &*name, "config: a peer has no ruleset"),
            Err(error) => tracing::info!(peer = &*name, %error, "config: cannot fetch a ruleset"),
        }
    }

    /// Plans to read the operator's table once for a revision that a peer cannot send, unless
    /// another one sends it before.
    fn plan_read(&self, revision: u64) {
        if revision > self.read_for.get() {
            self.read_for.set(revision);
            let wait_us = rand::rng().random_range(0..READ_SPREAD_US);
            self.read_at.set(self.clock.now().after(wait_us));
        }
    }

    /// Returns whether this node belongs to a data centre.
    pub fn is_same_data_centre(&self, data_centre: &Name) -> bool {
        self.local_node.data_centre == *data_centre
    }

    /// Returns the time since this process started.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the time since this process started, with suspensions of the VM.
    pub fn elapsed(&self) -> Time {
        self.elapsed.now()
    }
}

/// Counts one attempt in [`Peers::serving`] until it is dropped.
#[derive(Debug)]
pub(super) struct ServedAttempt {
    peers: Rc<Peers>,
}

impl Drop for ServedAttempt {
    fn drop(&mut self) {
        self.peers.serving.set(self.peers.serving.get() - 1);
    }
}
