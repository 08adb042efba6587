//! What runs at the target: as the parents of its calls, and as an earlier process left it.

use platform::headers::TargetLoad;
use policy::{Time, Urgency};

use crate::guard::state::Guard;

/// How long what an earlier process left may run if no route tells, in microseconds.
const DEFAULT_TIMEOUT_US: u64 = 5_000_000;

impl Guard {
    /// Returns how urgent a call is that the target makes, by the request that expires with it at
    /// `deadline`. `None` if no running request does.
    pub fn parent(&self, deadline: Time) -> Option<Urgency> {
        self.state.borrow().admission.parent(self.clock.now(), deadline)
    }

    /// Returns the likely priority of a call that the target makes and that expires at `deadline`.
    /// `None` if what runs expires before it.
    pub fn likely_priority(&self, deadline: Time) -> Option<u32> {
        self.state.borrow().admission.likely_priority(deadline)
    }

    /// Handles the load of the target as the first health check found it: what it runs was sent by an
    /// earlier process of this node.
    pub(super) fn found_load(&self, load: TargetLoad) {
        let mut state = self.state.borrow_mut();
        let pending = load.running.saturating_add(load.waiting);
        // What this process has sent since its start may have been counted.
        let left = pending.saturating_sub(state.admission.running());
        if left == 0 {
            return;
        }
        let rules = self.rules.current();
        let timeouts = rules.iter().flat_map(|rules| rules.routing.routes());
        let longest_us = timeouts.map(|route| route.timeout_us).max().unwrap_or(DEFAULT_TIMEOUT_US);
        state.admission.found_pending(left, self.clock.now().after(longest_us));
        tracing::info!(left, longest_us, "target: an earlier process left requests there");
    }
}
