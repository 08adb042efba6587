//! What is known of each other node.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use policy::{TargetView, Time};
use quinn::Connection;
use tokio::sync::Notify;
use wire::link::{Hello, Life, Node, Status};
use world::Name;

/// A link, and whether the end whose name comes first opened it.
#[derive(Clone, Debug)]
pub(super) struct Link {
    pub(super) connection: Connection,
    pub(super) by_first: bool,
}

/// A node is live that was heard of within this time, in microseconds: it reports once a second at
/// least, and one report may be lost.
const LIVE_US: u64 = 2_200_000;

/// Another node.
#[derive(Debug)]
pub struct Peer {
    /// What it is.
    node: RefCell<Node>,
    /// The link that both ends use. Where both opened one at the same time, it is that of the end
    /// whose name comes first.
    link: RefCell<Option<Link>>,
    /// The service of its target, while one is known.
    service: RefCell<Option<Name>>,
    /// What is known of its target.
    pub view: RefCell<TargetView>,
    /// When anything came from it last.
    heard: Cell<Time>,
    /// The target that it said to be leaving last.
    leaving: RefCell<Option<Life>>,
    /// The revision that it said to have.
    revision: Cell<u64>,
    /// Whether it said that the store tells it of newer ones.
    followed: Cell<bool>,
    /// Told when the link changes.
    pub(super) changed: Notify,
}

impl Peer {
    pub(super) fn new(node: Node) -> Peer {
        Peer {
            node: RefCell::new(node),
            link: RefCell::default(),
            service: RefCell::default(),
            view: RefCell::default(),
            heard: Cell::default(),
            leaving: RefCell::default(),
            revision: Cell::new(0),
            followed: Cell::new(false),
            changed: Notify::new(),
        }
    }

    /// Returns what it is.
    pub fn node(&self) -> Node {
        self.node.borrow().clone()
    }

    /// Returns whether it has this name.
    pub fn has_name(&self, name: &str) -> bool {
        *self.node.borrow().name == *name
    }

    /// Returns whether its name comes after another.
    pub(super) fn comes_after(&self, name: &str) -> bool {
        *self.node.borrow().name > *name
    }

    /// Returns the link to it, where one is open.
    pub fn link(&self) -> Option<Connection> {
        let link = self.link.borrow();
        let open = link.as_ref().filter(|link| link.connection.close_reason().is_none());
        open.map(|link| link.connection.clone())
    }

    /// Returns whether its target is one of a service and takes requests.
    pub fn serves(&self, service: &str) -> bool {
        let is_open = self.view.borrow().report.open && self.link().is_some();
        is_open && self.service.borrow().as_deref() == Some(service)
    }

    /// Returns its data centre.
    pub fn data_centre(&self) -> Name {
        self.node.borrow().data_centre.clone()
    }

    /// Returns when anything came from it last.
    pub fn last_received(&self) -> Time {
        self.heard.get()
    }

    /// Notes that something came from it.
    pub(super) fn note_heard(&self, now: Time) {
        self.heard.set(now);
    }

    /// Returns the target that it said to be leaving last.
    pub(super) fn leaving(&self) -> Option<Life> {
        self.leaving.borrow().clone()
    }

    /// Returns the revision that it said to have.
    pub(super) fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Returns whether something came from it lately, on a link that is open.
    pub(super) fn is_live(&self, now: Time) -> bool {
        now.since(self.heard.get()) < LIVE_US && self.link().is_some()
    }

    /// Returns whether it said that the store tells it of newer revisions.
    pub(super) fn is_followed(&self) -> bool {
        self.followed.get()
    }

    /// Takes over what a node said of itself, and its link. Returns the link that is not to be used
    /// from now on, where there are two.
    pub(super) fn greeted(&self, now: Time, hello: &Hello, link: Link) -> Option<Connection> {
        let restarted = hello.node.started > self.node.borrow().started;
        *self.node.borrow_mut() = hello.node.clone();
        self.say(now, &hello.status);
        let mut known = self.link.borrow_mut();
        let old = known.take().filter(|old| old.connection.close_reason().is_none());
        let kept = match &old {
            // The process at the other end of the old link is gone.
            Some(old) if restarted => {
                old.connection.close(0u32.into(), b"restarted");
                None
            }
            // Both ends keep the same one of two links, whatever order they learn of them in.
            Some(old) => (old.by_first && !link.by_first).then(|| old.clone()),
            None => None,
        };
        let unused = match &kept {
            Some(_) => Some(link.connection.clone()),
            None => old.filter(|_| !restarted).map(|old| old.connection),
        };
        *known = Some(kept.unwrap_or(link));
        self.changed.notify_waiters();
        unused
    }

    /// Takes in what it said of itself.
    pub(super) fn say(&self, now: Time, status: &Status) {
        self.note_heard(now);
        self.revision.set(status.revision);
        self.followed.set(status.followed);
        if status.leaving.is_some() {
            self.leaving.borrow_mut().clone_from(&status.leaving);
        }
        if *self.service.borrow() != status.service {
            self.service.borrow_mut().clone_from(&status.service);
        }
        self.view.borrow_mut().reported(now, status.report);
    }
}

/// Nodes that are remembered as gone: what an ordinary day replaces.
const GONE: usize = 128;

/// The other nodes, sorted by name.
#[derive(Debug, Default)]
pub(super) struct Directory {
    peers: RefCell<Vec<Rc<Peer>>>,
    /// Nodes whose address another node has by now, with their start. Others still tell of them.
    gone: RefCell<Vec<(Name, u64)>>,
}

impl Directory {
    /// Returns all of them.
    pub(super) fn all(&self) -> Vec<Rc<Peer>> {
        self.peers.borrow().clone()
    }

    /// Returns whether another node is known to have this node's address.
    pub(super) fn is_gone(&self, node: &Node) -> bool {
        let gone = self.gone.borrow();
        gone.iter().any(|(name, started)| *name == node.name && *started >= node.started)
    }

    /// Takes out a node whose address another node has.
    pub(super) fn bury(&self, node: &Node) {
        self.remove(&node.name);
        let mut gone = self.gone.borrow_mut();
        gone.retain(|(name, _)| *name != node.name);
        if gone.len() >= GONE {
            gone.remove(0);
        }
        gone.push((node.name.clone(), node.started));
    }

    /// Returns a node, and whether it is new.
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

    /// Returns how many there are.
    pub(super) fn len(&self) -> u32 {
        self.peers.borrow().len() as u32
    }

    /// Takes a node out.
    pub(super) fn remove(&self, name: &str) {
        self.peers.borrow_mut().retain(|peer| !peer.has_name(name));
    }

    /// Calls `look` with each of them.
    pub(super) fn for_each(&self, mut look: impl FnMut(&Rc<Peer>)) {
        self.peers.borrow().iter().for_each(&mut look);
    }
}
