//! The entry's state: its connections to the other parts of the node, its estimates and budgets,
//! and the number of requests that are being served.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use policy::{QuotaTolerance, RetryBound, Shutdown, TokenBucket};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use runtime::Clock;
use tokio::sync::{Notify, watch};
use world::Name;

use crate::configuration::ActiveRuleset;
use crate::entry::calls::MatchShare;
use crate::entry::connections::Connections;
use crate::entry::estimates::{NameMap, RetryBudgets, RouteEstimates};
use crate::entry::quota::Quotas;
use crate::guard::Guard;
use crate::metrics::Metrics;
use crate::peers::Peers;

/// Limit on log lines about requests that were answered in time.
const ROUTINE_LINES_PER_S: f64 = 2.0;
/// Limit on log lines about requests that were refused, failed or late.
const NOTABLE_LINES_PER_S: f64 = 40.0;

/// The limits of the settings that an entry keeps to.
#[derive(Clone, Copy, Debug)]
pub struct EntryLimits {
    /// The bound on retries.
    pub retries: RetryBound,
    /// The bound on requests over their quota. `None` where quotas do not count.
    pub quota: Option<QuotaTolerance>,
    /// The memory of the node's process, in bytes. A change needs a restart.
    pub memory_bytes: u64,
    /// The descriptors of the node's process. `None` if unknown. A change needs a restart.
    pub max_fds: Option<usize>,
}

/// The entry half of a node.
#[derive(Debug)]
pub struct Entry {
    pub(super) clock: Clock,
    pub(super) ruleset: Rc<ActiveRuleset>,
    pub(super) guard: Rc<Guard>,
    pub(super) peers: Rc<Peers>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) quotas: Rc<Quotas>,
    /// The service of this VM, sent to targets as the caller's service.
    pub(super) caller: Name,
    pub(super) connections: Rc<Connections>,
    pub(super) rng: RefCell<SmallRng>,
    pub(super) estimates: RefCell<RouteEstimates>,
    pub(super) budgets: RefCell<RetryBudgets>,
    /// By route name.
    pub(super) match_shares: RefCell<NameMap<MatchShare>>,
    /// Whether a ruleset serves some requests before others, with its revision.
    pub(super) ranked: Cell<(u64, bool)>,
    pub(super) retry_bound: Cell<RetryBound>,
    pub(super) routine_lines: RefCell<TokenBucket>,
    pub(super) notable_lines: RefCell<TokenBucket>,
    /// When the node stops, once it was asked to.
    shutdown: watch::Sender<Option<Shutdown>>,
    /// Requests that are being served.
    pending: Cell<usize>,
    /// Notified when a request ends.
    ended: Notify,
}

impl Entry {
    /// Creates the entry. `caller` is the service of this VM.
    pub fn new(
        clock: Clock,
        ruleset: Rc<ActiveRuleset>,
        guard: Rc<Guard>,
        peers: Rc<Peers>,
        metrics: Rc<Metrics>,
        caller: Name,
        limits: EntryLimits,
    ) -> Rc<Entry> {
        let EntryLimits { retries, quota, memory_bytes, max_fds } = limits;
        let quotas = Quotas::spawn(peers.clone(), ruleset.clone(), metrics.clone(), quota);
        Rc::new(Entry {
            clock,
            ruleset,
            guard,
            peers,
            metrics,
            quotas,
            caller,
            connections: Connections::new(clock, memory_bytes, max_fds),
            rng: RefCell::new(SmallRng::from_os_rng()),
            estimates: RefCell::default(),
            budgets: RefCell::default(),
            match_shares: RefCell::default(),
            ranked: Cell::default(),
            retry_bound: Cell::new(retries),
            routine_lines: RefCell::new(TokenBucket::new(ROUTINE_LINES_PER_S, ROUTINE_LINES_PER_S)),
            notable_lines: RefCell::new(TokenBucket::new(NOTABLE_LINES_PER_S, NOTABLE_LINES_PER_S)),
            shutdown: watch::Sender::new(None),
            pending: Cell::new(0),
            ended: Notify::new(),
        })
    }

    /// Replaces the limits after the settings changed.
    pub fn set_limits(&self, limits: EntryLimits) {
        self.retry_bound.set(limits.retries);
        self.quotas.set_bounds(limits.quota);
    }

    /// Begins to drain: each connection is closed after its next response, the node is not ready,
    /// and requests that cannot be served by the end of `shutdown` are refused.
    pub fn drain(&self, shutdown: Shutdown) {
        self.shutdown.send_replace(Some(shutdown));
    }

    /// Returns the schedule by which the node stops. `None` unless it was asked to.
    pub(super) fn shutdown(&self) -> Option<Shutdown> {
        *self.shutdown.borrow()
    }

    /// Waits until the node was asked to stop, and returns the schedule.
    pub(super) async fn stopping(&self) -> Shutdown {
        let mut shutdown = self.shutdown.subscribe();
        let stopping = shutdown.wait_for(Option::is_some).await;
        match stopping.ok().and_then(|shutdown| *shutdown) {
            Some(shutdown) => shutdown,
            // The sender lives as long as the entry.
            None => std::future::pending().await,
        }
    }

    /// Waits until a request that takes at most `work_us` microseconds at its target cannot be begun
    /// any more because the node stops.
    pub(super) async fn start_passed(&self, work_us: u64) {
        let until = self.stopping().await.starts_until(work_us);
        tokio::time::sleep_until(self.clock.instant(until)).await;
    }

    /// Returns whether [`Entry::drain`] was called.
    pub fn is_draining(&self) -> bool {
        self.shutdown.borrow().is_some()
    }

    /// Returns whether the node should get new callers: it has a ruleset and is not draining.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.ruleset.revision() > 0
    }

    /// Counts a request as pending until the returned value is dropped.
    pub(super) fn track_request(self: &Rc<Entry>) -> PendingRequest {
        self.pending.set(self.pending.get() + 1);
        PendingRequest { entry: self.clone() }
    }

    /// Returns the number of requests that are being served.
    pub fn pending(&self) -> usize {
        self.pending.get()
    }

    /// Waits until any request ends.
    pub async fn request_ended(&self) {
        self.ended.notified().await;
    }
}

/// Counts one request in [`Entry::pending`] until it is dropped.
#[derive(Debug)]
pub(super) struct PendingRequest {
    entry: Rc<Entry>,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.entry.pending.set(self.entry.pending.get() - 1);
        self.entry.ended.notify_waiters();
    }
}
