//! The entry's state.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use policy::{RetryBound, TokenBucket};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use runtime::Clock;
use tokio::sync::Notify;
use world::Name;

use crate::configuration::ActiveRuleset;
use crate::entry::learned::{Budgets, Routes};
use crate::guard::Guard;
use crate::metrics::Metrics;
use crate::peers::Peers;

/// Log lines a second about requests that were served in time.
const ORDINARY_LINES: f64 = 2.0;
/// Log lines a second about requests that were refused, failed or late.
const NOTABLE_LINES: f64 = 40.0;

/// The entry of one node.
#[derive(Debug)]
pub struct Entry {
    pub(super) clock: Clock,
    pub(super) rules: Rc<ActiveRuleset>,
    pub(super) guard: Rc<Guard>,
    pub(super) peers: Rc<Peers>,
    pub(super) metrics: Rc<Metrics>,
    /// The service of this VM, which its requests carry.
    pub(super) caller: Name,
    pub(super) rng: RefCell<SmallRng>,
    pub(super) routes: RefCell<Routes>,
    pub(super) budgets: RefCell<Budgets>,
    pub(super) bound: Cell<RetryBound>,
    pub(super) ordinary: RefCell<TokenBucket>,
    pub(super) notable: RefCell<TokenBucket>,
    draining: Cell<bool>,
    busy: Cell<usize>,
    /// Told when a request ends.
    ended: Notify,
}

impl Entry {
    /// Opens the entry.
    pub fn open(
        clock: Clock,
        rules: Rc<ActiveRuleset>,
        guard: Rc<Guard>,
        peers: Rc<Peers>,
        metrics: Rc<Metrics>,
        caller: Name,
        bound: RetryBound,
    ) -> Rc<Entry> {
        Rc::new(Entry {
            clock,
            rules,
            guard,
            peers,
            metrics,
            caller,
            rng: RefCell::new(SmallRng::from_os_rng()),
            routes: RefCell::default(),
            budgets: RefCell::default(),
            bound: Cell::new(bound),
            ordinary: RefCell::new(TokenBucket::new(ORDINARY_LINES, ORDINARY_LINES)),
            notable: RefCell::new(TokenBucket::new(NOTABLE_LINES, NOTABLE_LINES)),
            draining: Cell::new(false),
            busy: Cell::new(0),
            ended: Notify::new(),
        })
    }

    /// Takes over a changed bound on repeats.
    pub fn set_bound(&self, bound: RetryBound) {
        self.bound.set(bound);
    }

    /// Closes each connection after its next answer.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Returns whether the node drains.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Returns whether requests can be served.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.rules.revision() > 0
    }

    /// Counts a request until the returned value is dropped.
    pub(super) fn busy(self: &Rc<Entry>) -> Busy {
        self.busy.set(self.busy.get() + 1);
        Busy { entry: self.clone() }
    }

    /// Returns how many requests are under way.
    pub fn pending(&self) -> usize {
        self.busy.get()
    }

    /// Waits until a request ends.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }
}

/// A request under way.
#[derive(Debug)]
pub(super) struct Busy {
    entry: Rc<Entry>,
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.entry.busy.set(self.entry.busy.get() - 1);
        self.entry.ended.notify_waiters();
    }
}
