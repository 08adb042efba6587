//! The ruleset in force on this node.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use policy::{EraMerge, Time};
use runtime::Clock;
use tokio::sync::watch;
use world::{Revision, Ruleset};

use crate::metrics::Metrics;

/// Peers that a node asks for their rulesets after it may have read an older copy of the table.
const CONFIRMATIONS: u32 = 2;

/// The ruleset in force. Its revision and the version of its routes never go back.
#[derive(Debug)]
pub struct ActiveRuleset {
    current: RefCell<Option<Rc<Ruleset>>>,
    merge: RefCell<EraMerge>,
    /// Peers that are still to be asked for what the store may have lost.
    unconfirmed: Cell<u32>,
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
            merge: RefCell::default(),
            unconfirmed: Cell::new(0),
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

    /// Returns the ruleset for a peer: the one in force, without what only this node still holds.
    pub fn for_peers(&self) -> Option<Ruleset> {
        self.current().map(|known| self.merge.borrow().without_held(&known))
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

    /// Replaces the ruleset by one that was read from the store, if that is newer. A node that has
    /// just started cannot tell whether the store lost something.
    pub fn update_from_store(&self, ruleset: Ruleset) {
        if self.current.borrow().is_none() && Revision::from(ruleset.revision).era() > 0 {
            self.unconfirmed.set(CONFIRMATIONS);
        }
        self.update(ruleset, "store");
    }

    /// Replaces the ruleset if the given one is newer. `source` is logged: the store, or the peer
    /// that sent the ruleset.
    pub fn update(&self, ruleset: Ruleset, source: &str) {
        self.replace(source, |merge, now, known| match known {
            Some(known) => merge.merge(now, known, ruleset),
            None => Some(ruleset),
        });
    }

    /// Returns whether a peer is to be asked for what the store may have lost before this node
    /// started, and counts it as asked.
    pub fn take_confirmation(&self) -> bool {
        let left = self.unconfirmed.get();
        self.unconfirmed.set(left.saturating_sub(1));
        left > 0
    }

    /// Adds what a peer has in force that the store lost before this node started.
    pub fn confirm(&self, ruleset: Ruleset, source: &str) {
        if ruleset.revision > self.revision() {
            return self.update(ruleset, source);
        }
        self.replace(source, |merge, now, known| {
            let known = known?;
            let confirmed = merge.confirm(now, known, &ruleset);
            (confirmed != *known).then_some(confirmed)
        });
    }

    /// Puts the ruleset as the table has it in force once nothing of an earlier era is held any more.
    pub fn expire_held(&self) {
        self.replace("the end of a hold", |merge, now, known| merge.expire(now, known?));
    }

    /// Replaces the ruleset by what `next` returns from the one in force, if anything.
    fn replace(
        &self,
        source: &str,
        next: impl FnOnce(&mut EraMerge, Time, Option<&Ruleset>) -> Option<Ruleset>,
    ) {
        let now = self.clock.now();
        let known = self.current();
        let next = next(&mut self.merge.borrow_mut(), now, known.as_deref());
        let Some(ruleset) = next else { return };
        let era = Revision::from(ruleset.revision).era();
        if known.is_some_and(|known| era > Revision::from(known.revision).era()) {
            tracing::warn!(era, "config: the store came back from an older copy");
        }
        let (revision, version) = (ruleset.revision, ruleset.routing.version);
        self.record_heard(revision);
        let (heard, heard_at) = self.heard.get();
        let waited_us = now.since(heard_at);
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
