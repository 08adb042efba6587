//! The ruleset in force.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::watch;
use world::Ruleset;

/// The ruleset in force. It only ever gets newer.
#[derive(Debug)]
pub struct ActiveRuleset {
    current: RefCell<Option<Rc<Ruleset>>>,
    revision: watch::Sender<u64>,
    /// Whether the store tells of changes at this moment.
    followed: Cell<bool>,
}

impl ActiveRuleset {
    /// Opens without a ruleset.
    pub fn open() -> ActiveRuleset {
        let (revision, _) = watch::channel(0);
        ActiveRuleset { current: RefCell::default(), revision, followed: Cell::new(false) }
    }

    /// Returns the ruleset in force.
    pub fn current(&self) -> Option<Rc<Ruleset>> {
        self.current.borrow().clone()
    }

    /// Returns the revision in force, 0 where there is none.
    pub fn revision(&self) -> u64 {
        *self.revision.borrow()
    }

    /// Returns a receiver that is told of each revision that takes force.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Puts a ruleset in force where it is newer. `source` says where it came from.
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
            "config: in force"
        );
        *self.current.borrow_mut() = Some(Rc::new(ruleset));
        self.revision.send_replace(revision);
        true
    }

    /// Returns whether the store tells of changes at this moment.
    pub fn is_watching(&self) -> bool {
        self.followed.get()
    }

    /// Notes that this node does not watch the store any more; others do.
    pub fn set_unwatched(&self) {
        if self.followed.replace(false) {
            tracing::info!("store: watched by others");
        }
    }

    /// Notes whether the store tells of changes, and logs when that changes.
    pub fn set_followed(&self, followed: bool, detail: &str) {
        if self.followed.replace(followed) == followed {
            return;
        }
        match followed {
            true => tracing::info!("store: regained"),
            false => tracing::warn!(detail, "store: lost"),
        }
    }
}
