//! The state of each node that this one is linked to, was linked to recently, or opens a link to.
//!
//! Two nodes share one link. Where they have to agree on which of them acts first, or on which of
//! two links is kept, the order of their names decides: the lower node is the one whose name sorts
//! first.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use policy::{TargetView, Time};
use quinn::Connection;
use tokio::sync::Notify;
use wire::link::{Hello, Life, Node, Status};
use world::Name;

/// A link to another node.
#[derive(Clone, Debug)]
pub(super) struct Link {
    pub(super) connection: Connection,
    /// Whether the lower node opened it.
    pub(super) by_lower: bool,
    /// Whether this node opened it.
    pub(super) opened: bool,
}

/// Another node, with what it last reported of itself.
#[derive(Debug)]
pub struct Peer {
    /// Its name, address and start.
    node: RefCell<Node>,
    /// The link that both ends use. If both opened one at the same time, it is the lower node's.
    link: RefCell<Option<Link>>,
    /// The service of its target, once that is known.
    service: RefCell<Option<Name>>,
    /// The load that its target reported, and the results of the attempts there.
    pub view: RefCell<TargetView>,
    /// When its last message arrived.
    last_received: Cell<Time>,
    /// The last target that it reported to be leaving.
    leaving: RefCell<Option<Life>>,
    /// The revision of its ruleset, 0 if it has none.
    revision: Cell<u64>,
    /// Until when this node wants a link to it; [`Time::NEVER`] while it is selected.
    pub(super) wanted_until: Cell<Time>,
    /// Whether a task opens links to it.
    pub(super) maintained: Cell<bool>,
    /// When a request last used the link, in either direction.
    pub(super) last_used: Cell<Time>,
    /// Since when there is no link to it or its target refuses requests, as last checked.
    pub(super) closed_since: Cell<Option<Time>>,
    /// Notified when the link changes.
    pub(super) link_changed: Notify,
}

impl Peer {
    pub(super) fn new(node: Node) -> Peer {
        Peer {
            node: RefCell::new(node),
            link: RefCell::default(),
            service: RefCell::default(),
            view: RefCell::default(),
            last_received: Cell::default(),
            leaving: RefCell::default(),
            revision: Cell::new(0),
            wanted_until: Cell::default(),
            maintained: Cell::new(false),
            last_used: Cell::default(),
            closed_since: Cell::default(),
            link_changed: Notify::new(),
        }
    }

    /// Returns its name, data centre, address and start, as last reported.
    pub fn node(&self) -> Node {
        self.node.borrow().clone()
    }

    /// Replaces what is known of the node by a later record of it.
    pub(super) fn update_node(&self, node: &Node) {
        let mut known = self.node.borrow_mut();
        if node.started > known.started && self.link().is_none() {
            known.clone_from(node);
        }
    }

    /// Returns whether this is its name, without copying it.
    pub fn has_name(&self, name: &str) -> bool {
        *self.node.borrow().name == *name
    }

    /// Returns the link to it, or `None` if none is open.
    pub fn link(&self) -> Option<Connection> {
        let link = self.link.borrow();
        let open = link.as_ref().filter(|link| link.connection.close_reason().is_none());
        open.map(|link| link.connection.clone())
    }

    /// Returns whether its target runs a service, accepts requests, and can be reached over a link.
    pub fn serves(&self, service: &str) -> bool {
        let is_open = self.view.borrow().report.open && self.link().is_some();
        is_open && self.service.borrow().as_deref() == Some(service)
    }

    /// Returns the name of the data centre that its VM belongs to.
    pub fn data_centre(&self) -> Name {
        self.node.borrow().data_centre.clone()
    }

    /// Returns when its last message arrived.
    pub fn last_received(&self) -> Time {
        self.last_received.get()
    }

    /// Records that a message from it has arrived.
    pub(super) fn record_received(&self, now: Time) {
        self.last_received.set(now);
    }

    /// Returns the last target that it reported to be leaving.
    pub(super) fn leaving(&self) -> Option<Life> {
        self.leaving.borrow().clone()
    }

    /// Records a target that it reported to be leaving.
    pub(super) fn set_leaving(&self, life: Life) {
        self.leaving.replace(Some(life));
    }

    /// Returns the revision of its ruleset as last reported, 0 if it has none.
    pub(super) fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Returns whether there is a link to it and its target accepts requests.
    pub(super) fn is_open(&self) -> bool {
        self.link().is_some() && self.view.borrow().report.open
    }

    /// Returns whether this node opened the link to it.
    pub(super) fn opened_link(&self) -> bool {
        self.link.borrow().as_ref().is_some_and(|link| link.opened)
    }

    /// Stops to use the link, which stays open, and returns it.
    pub(super) fn take_link(&self) -> Option<Connection> {
        let link = self.link.borrow_mut().take();
        self.link_changed.notify_waiters();
        link.map(|link| link.connection)
    }

    /// Closes the link, if there is one.
    pub(super) fn close_link(&self, reason: &[u8]) {
        if let Some(link) = self.take_link() {
            link.close(0u32.into(), reason);
        }
    }

    /// Handles the hello that it sent on a new link. If there are two links now, returns the one
    /// that is not used any more.
    pub(super) fn handle_hello(&self, now: Time, hello: &Hello, link: Link) -> Option<Connection> {
        let restarted = hello.node.started > self.node.borrow().started;
        *self.node.borrow_mut() = hello.node.clone();
        self.update_status(now, &hello.status);
        let mut known = self.link.borrow_mut();
        let old = known.take().filter(|old| old.connection.close_reason().is_none());
        let kept = match &old {
            // The process at the other end of the old link is gone.
            Some(old) if restarted => {
                old.connection.close(0u32.into(), b"restarted");
                None
            }
            // Both ends keep the same one of two links, in whichever order they see them.
            Some(old) => (old.by_lower && !link.by_lower).then(|| old.clone()),
            None => None,
        };
        let unused = match &kept {
            Some(_) => Some(link.connection.clone()),
            None => old.filter(|_| !restarted).map(|old| old.connection),
        };
        *known = Some(kept.unwrap_or(link));
        self.link_changed.notify_waiters();
        unused
    }

    /// Stores the status that it sent. A leaving target is kept when later statuses name none.
    pub(super) fn update_status(&self, now: Time, status: &Status) {
        self.record_received(now);
        self.revision.set(status.revision);
        if let Some(life) = &status.leaving {
            self.set_leaving(life.clone());
        }
        if *self.service.borrow() != status.service {
            self.service.borrow_mut().clone_from(&status.service);
        }
        self.view.borrow_mut().reported(now, status.report);
    }
}

/// Replaced nodes that are remembered: as many as are replaced on an ordinary day.
const MAX_REPLACED: usize = 128;

/// The other nodes, sorted by name.
#[derive(Debug, Default)]
pub(super) struct Directory {
    peers: RefCell<Vec<Rc<Peer>>>,
    /// Names and starts of nodes whose address another node has now. Peers may still list them.
    replaced: RefCell<Vec<(Name, u64)>>,
}

impl Directory {
    /// Returns a copy of the list, which may be kept across an await.
    pub(super) fn all(&self) -> Vec<Rc<Peer>> {
        self.peers.borrow().clone()
    }

    /// Returns whether another node has taken this node's address since its start.
    pub(super) fn is_replaced(&self, node: &Node) -> bool {
        let replaced = self.replaced.borrow();
        replaced.iter().any(|(name, started)| *name == node.name && *started >= node.started)
    }

    /// Removes a node whose address another node has, and does not add it again until it has
    /// restarted.
    pub(super) fn mark_replaced(&self, node: &Node) {
        self.remove(&node.name);
        let mut replaced = self.replaced.borrow_mut();
        replaced.retain(|(name, _)| *name != node.name);
        if replaced.len() >= MAX_REPLACED {
            replaced.remove(0);
        }
        replaced.push((node.name.clone(), node.started));
    }

    /// Returns the node of this name, adding it if necessary, and whether it was added.
    pub(super) fn find_or_add(&self, node: &Node) -> (Rc<Peer>, bool) {
        let mut peers = self.peers.borrow_mut();
        match peers.binary_search_by(|peer| peer.node.borrow().name.cmp(&node.name)) {
            Ok(at) => (peers[at].clone(), false),
            Err(at) => {
                let peer = Rc::new(Peer::new(node.clone()));
                peers.insert(at, peer.clone());
                (peer, true)
            }
        }
    }

    /// Returns a node by its name.
    pub(super) fn find(&self, name: &str) -> Option<Rc<Peer>> {
        let peers = self.peers.borrow();
        let at = peers.binary_search_by(|peer| (*peer.node.borrow().name).cmp(name)).ok()?;
        Some(peers[at].clone())
    }

    /// Returns the number of nodes to which a link is open.
    pub(super) fn count_linked(&self) -> u32 {
        self.peers.borrow().iter().filter(|peer| peer.link().is_some()).count() as u32
    }

    /// Removes a node. Does nothing if it is not known.
    pub(super) fn remove(&self, name: &str) {
        self.peers.borrow_mut().retain(|peer| !peer.has_name(name));
    }

    /// Calls a function with each node. It must not add or remove nodes.
    pub(super) fn for_each(&self, mut visit: impl FnMut(&Rc<Peer>)) {
        self.peers.borrow().iter().for_each(&mut visit);
    }
}
