//! The ruleset in force on this node.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::watch;
use world::Ruleset;

/// The ruleset in force. It is only ever replaced by a newer one.
#[derive(Debug)]
pub struct ActiveRuleset {
    current: RefCell<Option<Rc<Ruleset>>>,
    revision: watch::Sender<u64>,
    /// Whether this node receives changes of the operator's table from the store at the moment.
    watching: Cell<bool>,
}

impl ActiveRuleset {
    /// Creates it without a ruleset.
    pub fn new() -> ActiveRuleset {
        let (revision, _) = watch::channel(0);
        ActiveRuleset { current: RefCell::default(), revision, watching: Cell::new(false) }
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
        tracing::info!(
            revision,
            version,
            routes = ruleset.routing.len(),
            out = ?ruleset.out,
            source,
            "config: a new ruleset is in force"
        );
        *self.current.borrow_mut() = Some(Rc::new(ruleset));
        self.revision.send_replace(revision);
        true
    }

    /// Returns whether this node receives changes of the operator's table from the store at the
    /// moment.
    pub fn is_watching(&self) -> bool {
        self.watching.get()
    }

    /// Records that this node stopped watching the table because other nodes watch it.
    pub fn stop_watching(&self) {
        if self.watching.replace(false) {
            tracing::info!("store: other nodes watch the operator's table, this one stopped");
        }
    }

    /// Records whether the store answers this node's watch, and logs each change of that with
    /// `detail`, the error.
    pub fn set_watching(&self, watching: bool, detail: &str) {
        if self.watching.replace(watching) == watching {
            return;
        }
        match watching {
            true => tracing::info!("store: watching the operator's table"),
            false => tracing::warn!(detail, "store: cannot watch the operator's table"),
        }
    }
}
