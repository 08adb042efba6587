//! The ruleset in force on this node.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use policy::Time;
use runtime::Clock;
use tokio::sync::watch;
use world::Ruleset;

use crate::metrics::Metrics;

/// The ruleset in force. It is only ever replaced by a newer one.
#[derive(Debug)]
pub struct ActiveRuleset {
    current: RefCell<Option<Rc<Ruleset>>>,
    revision: watch::Sender<u64>,
    /// Whether this node receives changes of the operator's table from the store at the moment.
    watching: watch::Sender<bool>,
    /// The newest revision that this node has heard of, and when it first did. Not older than the
    /// one in force.
    heard: Cell<(u64, Time)>,
    /// When the store last answered this node's watch; its start if it never did.
    answered_at: Cell<Time>,
    clock: Clock,
    metrics: Rc<Metrics>,
}

impl ActiveRuleset {
    /// Creates it without a ruleset.
    pub fn new(clock: Clock, metrics: Rc<Metrics>) -> ActiveRuleset {
        let (revision, _) = watch::channel(0);
        let (watching, _) = watch::channel(false);
        ActiveRuleset {
            current: RefCell::default(),
            revision,
            watching,
            heard: Cell::default(),
            answered_at: Cell::new(clock.now()),
            clock,
            metrics,
        }
    }

    /// Returns the ruleset in force. None until the first one was read or received.
    pub fn current(&self) -> Option<Rc<Ruleset>> {
        self.current.borrow().clone()
    }

    /// Returns the revision in force, 0 if there is no ruleset.
    pub fn revision(&self) -> u64 {
        *self.revision.borrow()
    }

    /// Returns a receiver that is notified of each new revision.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Records that a node of the deployment has a revision.
    pub fn record_heard(&self, revision: u64) {
        if revision > self.heard.get().0 {
            self.heard.set((revision, self.clock.now()));
            self.metrics.heard_revision.set(revision);
        }
    }

    /// Replaces the ruleset if the given one is newer, and returns whether it was. `source` is
    /// logged: the store, or the peer that sent the ruleset.
    pub fn update(&self, ruleset: Ruleset, source: &str) -> bool {
        let newer = match &*self.current.borrow() {
            Some(known) => {
                ruleset.revision > known.revision
                    && ruleset.routing.version >= known.routing.version
            }
            None => true,
        };
        if !newer {
            return false;
        }
        let (revision, version) = (ruleset.revision, ruleset.routing.version);
        self.record_heard(revision);
        let (heard, heard_at) = self.heard.get();
        let waited_us = self.clock.now().since(heard_at);
        self.metrics.record_ruleset(revision, waited_us as f64 / 1e6);
        tracing::info!(
            revision,
            version,
            heard,
            waited_us,
            routes = ruleset.routing.len(),
            out = ?ruleset.out,
            source,
            "config: a new ruleset is in force"
        );
        *self.current.borrow_mut() = Some(Rc::new(ruleset));
        self.revision.send_replace(revision);
        true
    }

    /// Returns when the store last answered this node's watch; its start if it never did.
    pub fn answered_at(&self) -> Time {
        self.answered_at.get()
    }

    /// Returns whether this node receives changes of the operator's table from the store at the
    /// moment.
    pub fn is_watching(&self) -> bool {
        *self.watching.borrow()
    }

    /// Returns a receiver that is notified whenever the store answers this node's watch, and when it
    /// no longer does.
    pub fn subscribe_watching(&self) -> watch::Receiver<bool> {
        self.watching.subscribe()
    }

    /// Records that this node stopped watching the table because other nodes watch it.
    pub fn stop_watching(&self) {
        if self.replace_watching(false) {
            tracing::info!("store: other nodes watch the operator's table, this one stopped");
        }
    }

    /// Records whether the store answers this node's watch, and logs each change of that with
    /// `detail`, the error, and the time since the last answer.
    pub fn set_watching(&self, watching: bool, detail: &str) {
        let now = self.clock.now();
        let silent_us = now.since(self.answered_at.get());
        if watching {
            self.answered_at.set(now);
        }
        if !self.replace_watching(watching) {
            return;
        }
        match watching {
            true => tracing::info!(silent_us, "store: watching the operator's table"),
            false => tracing::warn!(detail, silent_us, "store: cannot watch the operator's table"),
        }
    }

    /// Sets whether the store answers this node's watch. Returns whether that changed.
    fn replace_watching(&self, watching: bool) -> bool {
        self.watching.send_if_modified(|known| std::mem::replace(known, watching) != watching)
    }
}
