//! Links to other nodes, one QUIC connection to each, and the status reports that are sent on them.

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

/// A link is closed after 2.5 s without a packet, so that a peer that was cut off is linked again
/// within the 3 s that the platform allows for it. Reports usually keep links open.
const TIMING: Timing =
    Timing { idle: Duration::from_millis(2_500), keep_alive: Duration::from_millis(1_100) };
/// The longest wait for a handshake and the peer's hello.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
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
/// A node without a link for this long is removed, in microseconds.
const REMOVE_AFTER_US: u64 = 60_000_000;
/// The time after which an unused link is closed. The longest calls on it have ended by then.
const CLOSE_DELAY: Duration = Duration::from_secs(10);
/// The least time between two status reports to every peer. Answers carry reports too, so these are
/// for peers that send no requests here.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The most time between two status reports.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between two status reports per peer, so that the bytes sent per second do not grow with the
/// number of peers.
const REPORT_INTERVAL_PER_PEER: Duration = Duration::from_millis(15);
/// How long a node that watches the store waits for a newer ruleset from there before it fetches it
/// from a peer.
const FETCH_DELAY: Duration = Duration::from_millis(150);

/// How long a node that has just started waits for the ruleset from its peers before it reads the
/// store, in microseconds. Linking takes some tens of milliseconds.
const RULESET_WAIT_US: u64 = 500_000;
/// The time after which all nodes are linked when the whole deployment starts for the first time,
/// in microseconds: nodes start within 0.3 s, and a link waits for [`FIRST_START_DELAY`] at most.
/// Until then no node knows whether it is one of those that watch the store.
const FIRST_LINKS_US: u64 = 900_000;

/// What the links need to know of this node.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// This node as it introduces itself to others.
    pub node: Node,
    /// The address to which the socket of the links is bound. Others may reach it at another one.
    pub bind: SocketAddr,
    /// Whether the whole deployment starts for the first time. A hint from the settings file.
    pub first_start: bool,
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
    metrics: Rc<Metrics>,
    /// The load and the results of the target on this VM, as for those of the peers.
    pub own_view: std::cell::RefCell<TargetView>,
    /// The most nodes that were known at once, this one included.
    peak_nodes: std::cell::Cell<usize>,
    /// Whether a ruleset is being fetched from a peer.
    fetching: std::cell::Cell<bool>,
    /// Whether the list of nodes was read from the store.
    joined: std::cell::Cell<bool>,
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
        let peers = Rc::new(Peers {
            local_node: settings.node,
            first_start: settings.first_start,
            endpoint,
            client,
            clock,
            directory: Directory::default(),
            guard,
            rules,
            metrics,
            own_view: std::cell::RefCell::default(),
            peak_nodes: std::cell::Cell::new(1),
            fetching: std::cell::Cell::new(false),
            joined: std::cell::Cell::new(false),
        });
        tokio::task::spawn_local(serve::accept(peers.clone(), peers.endpoint.clone()));
        tokio::task::spawn_local(peers.clone().send_reports());
        tokio::task::spawn_local(peers.clone().send_changes());
        Ok(peers)
    }

    /// Returns this node as it introduces itself to others.
    pub fn local_node(&self) -> &Node {
        &self.local_node
    }

    /// Calls a function with each other node, sorted by name.
    pub fn for_each(&self, visit: impl FnMut(&Rc<Peer>)) {
        self.directory.for_each(visit);
    }

    /// Returns the most nodes that were known at once, this one included. Bounds that hold over all
    /// nodes are divided by it.
    pub fn peak_nodes(&self) -> usize {
        self.peak_nodes.get()
    }

    /// Adds a node if it is not known, and maintains a link to it from then on.
    pub fn add_node(self: &Rc<Peers>, node: &Node) {
        if node.name == self.local_node.name || self.directory.is_replaced(node) {
            return;
        }
        let (peer, new) = self.directory.find_or_add(node);
        if new {
            self.peak_nodes.set(self.peak_nodes.get().max(self.directory.len() as usize + 1));
            tokio::task::spawn_local(self.clone().maintain_link(peer));
        }
    }

    /// Links to a peer whenever there is no link, until there was none for a minute or another node
    /// has its address. The peer is removed then.
    async fn maintain_link(self: Rc<Peers>, peer: Rc<Peer>) {
        let mut pause = RETRY_PAUSE;
        let mut last_linked = self.clock.now();
        if self.local_node.name > peer.node().name {
            // If both nodes start at the same time, only the lower one opens a link.
            self.wait_for_link(
                &peer,
                if self.first_start { FIRST_START_DELAY } else { LATER_START_DELAY },
            )
            .await;
        }
        while self.clock.now().since(last_linked) < REMOVE_AFTER_US {
            if let Some(link) = peer.link() {
                let reason = link.closed().await;
                tracing::info!(peer = &*peer.node().name, %reason, "peers: link lost");
                pause = RETRY_PAUSE;
                last_linked = self.clock.now();
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
                    return self.directory.mark_replaced(&replaced);
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
        tracing::info!(peer = &*peer.node().name, "peers: removed a peer without a link");
        self.directory.remove(&peer.node().name);
    }

    /// Waits for the pause to end or for the peer to open a link, whichever comes first.
    async fn wait_for_link(&self, peer: &Peer, pause: Duration) {
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
        let answered = self.handle_hello(&hello, Link { connection: link.clone(), by_lower });
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
        self.add_node(&hello.node);
        let (peer, _) = self.directory.find_or_add(&hello.node);
        let now = self.clock.now();
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
        self.fetch_nodes(&peer);
        peer
    }

    /// Fetches the list of nodes from a peer, unless it was read from the store.
    fn fetch_nodes(self: &Rc<Peers>, peer: &Rc<Peer>) {
        if self.joined.get() {
            return;
        }
        let (peers, peer) = (self.clone(), peer.clone());
        tokio::task::spawn_local(async move {
            match peers.request(&peer, &Frame::FetchNodes).await {
                Ok(Reply::Nodes(nodes)) => nodes.iter().for_each(|node| peers.add_node(node)),
                Ok(_) => tracing::warn!("peers: the reply is no list of nodes"),
                Err(error) => tracing::debug!(%error, "peers: cannot fetch the list of nodes"),
            }
        });
    }

    /// Returns the other nodes that are known, for a peer that fetches the list.
    pub(super) fn nodes(&self) -> Vec<Node> {
        self.directory.all().iter().map(|peer| peer.node()).collect()
    }

    /// Records that the list of nodes was read from the store.
    pub(super) fn set_joined(&self) {
        self.joined.set(true);
    }

    /// Handles a status of a peer, and fetches its ruleset if that is newer.
    pub(super) fn handle_status(self: &Rc<Peers>, peer: &Rc<Peer>, status: &wire::link::Status) {
        peer.update_status(self.clock.now(), status);
        self.fetch_newer_ruleset(peer);
    }

    /// Fetches a peer's ruleset if it is newer and the store does not send it soon. One ruleset is
    /// fetched at a time.
    fn fetch_newer_ruleset(self: &Rc<Peers>, peer: &Rc<Peer>) {
        if peer.revision() <= self.rules.revision() || self.fetching.replace(true) {
            return;
        }
        let (peers, peer) = (self.clone(), peer.clone());
        tokio::task::spawn_local(async move {
            if peers.rules.is_watching() {
                tokio::time::sleep(FETCH_DELAY).await;
            }
            if peer.revision() > peers.rules.revision()
                && let Ok(Reply::Ruleset(Some(ruleset))) = peers.request(&peer, &Frame::Fetch).await
            {
                peers.rules.update(*ruleset, &peer.node().name);
            }
            peers.fetching.set(false);
        });
    }

    /// Sends the status to every peer at intervals, for as long as the process runs.
    async fn send_reports(self: Rc<Peers>) {
        loop {
            let interval = REPORT_INTERVAL_PER_PEER * self.directory.len();
            tokio::time::sleep(interval.clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)).await;
            self.update_service_strain();
            let status = self.guard.status();
            self.own_view.borrow_mut().reported(self.clock.now(), status.report);
            let Ok(datagram) = wire::encode(&Datagram::Status(Box::new(status))) else { continue };
            let datagram = bytes::Bytes::from(datagram);
            self.directory.for_each(|peer| {
                if let Some(link) = peer.link() {
                    // A report may get lost like any datagram, and the next one replaces it.
                    let _ = link.send_datagram(datagram.clone());
                }
            });
        }
    }

    /// Passes the strain of the peers' targets of the same service to the guard.
    fn update_service_strain(&self) {
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

    /// Returns whether this node is one of the few of its data centre that watch the operator's
    /// table: those whose names sort first. A node without a ruleset reads the table itself if its
    /// peers do not send one in time.
    pub fn should_watch(&self) -> bool {
        let now = self.clock.now();
        let is_new = self.rules.revision() == 0;
        let linked_us = if self.first_start { FIRST_LINKS_US } else { 0 };
        match is_new {
            true if now.0 > linked_us + RULESET_WAIT_US => return true,
            true if now.0 < linked_us || !self.joined.get() => return false,
            _ => {}
        }
        let mut before = Vec::new();
        self.directory.for_each(|peer| {
            let is_before = self.is_same_data_centre(&peer.data_centre())
                && !peer.sorts_after(&self.local_node.name);
            // Before the first ruleset little is known of the peers. They are assumed to be live
            // and to watch the table.
            if is_before && (is_new || peer.is_live(now)) {
                before.push(is_new || peer.is_watching());
            }
        });
        should_watch(before.into_iter())
    }

    /// Returns whether this node, or a live peer without a newer ruleset, receives changes of the
    /// ruleset from the store, so that no newer one is likely to be in force elsewhere.
    pub fn is_ruleset_current(&self) -> bool {
        let (now, revision) = (self.clock.now(), self.rules.revision());
        let mut is_current = self.rules.is_watching();
        self.directory.for_each(|peer| {
            let watches = peer.is_watching() && peer.is_live(now);
            is_current |= watches && peer.revision() <= revision;
        });
        is_current
    }

    /// Sends the status at once when a change must not wait for the next report: to every peer if
    /// the target changed, and to those of the data centre if there is a new ruleset and this node
    /// watches the store. Other peers get the new revision with a report.
    async fn send_changes(self: Rc<Peers>) {
        let mut target = self.guard.subscribe();
        let mut revision = self.rules.subscribe();
        loop {
            let to_all = tokio::select! {
                _ = target.changed() => true,
                _ = revision.changed() => {
                    self.guard.ruleset_changed();
                    false
                }
            };
            if !to_all && !self.rules.is_watching() {
                continue;
            }
            let status = self.guard.status();
            self.own_view.borrow_mut().reported(self.clock.now(), status.report);
            let frame = Rc::new(Frame::Status(Box::new(status)));
            let mut receivers = self.directory.all();
            receivers.retain(|peer| to_all || self.is_same_data_centre(&peer.data_centre()));
            for peer in receivers {
                let (peers, frame) = (self.clone(), frame.clone());
                tokio::task::spawn_local(async move {
                    if peer.link().is_some()
                        && let Err(error) = peers.request(&peer, &frame).await
                    {
                        tracing::debug!(%error, "peers: cannot send a changed status");
                    }
                });
            }
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
}
