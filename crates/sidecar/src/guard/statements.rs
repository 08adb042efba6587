//! What the target says of itself: the rate of requests that it takes, that it leaves, and whether it
//! is cold.

use std::rc::Rc;

use http::HeaderMap;
use platform::headers::{self, NamedLimit};
use policy::{Refusal, Time};
use runtime::wall_ms;
use wire::link::Life;

use crate::guard::state::{Guard, Target};

impl Guard {
    /// Handles the headers of an answer of `target` to a request that was sent at `sent`.
    pub(super) fn note_answer(self: &Rc<Guard>, target: &Target, sent: Time, answer: &HeaderMap) {
        if headers::is_leaving(answer) {
            self.note_leaving(target);
        }
        let per_s = match headers::named_limit(answer) {
            NamedLimit::PerSecond(per_s) => Some(per_s),
            NamedLimit::Absent => None,
            NamedLimit::Invalid => {
                tracing::warn!(id = &*target.life.id, "target: its limit is not a rate");
                return;
            }
        };
        self.note_limit(target, sent, per_s);
    }

    /// Handles the headers of an answer of `target` to a health check. These need not name a limit
    /// that holds for requests.
    pub(super) fn note_health(self: &Rc<Guard>, target: &Target, sent: Time, answer: &HeaderMap) {
        if headers::is_leaving(answer) {
            self.note_leaving(target);
        }
        if let NamedLimit::PerSecond(per_s) = headers::named_limit(answer) {
            self.note_limit(target, sent, Some(per_s));
        }
        // An answer without an id may be another instance's.
        let is_target = headers::answering_instance(answer).is_some_and(|id| id == target.life.id);
        match headers::cold_us(answer) {
            0 if is_target => self.note_warm(&target.life, sent),
            0 => {
                let now = self.clock.now();
                self.state.borrow_mut().admission.warmth_mut().record_no_answer(now);
            }
            cold_us => self.note_cold(&target.life, cold_us, "health check"),
        }
    }

    /// Handles a statement that an incarnation stays cold for `cold_us` microseconds.
    pub(super) fn note_cold(&self, life: &Life, cold_us: u64, source: &str) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.incarnations.current() != Some(life) {
            return;
        }
        let warmth = state.admission.warmth_mut();
        if !warmth.is_cold(now) {
            let (unproven, proof_us) = warmth.unproven(now);
            tracing::info!(id = &*life.id, cold_us, source, unproven, proof_us, "target: cold");
        }
        warmth.record_cold(now, now.after(cold_us));
    }

    /// Handles the answer of an incarnation to a health check that was sent at `sent`: it is warm.
    fn note_warm(&self, life: &Life, sent: Time) {
        let mut state = self.state.borrow_mut();
        if state.incarnations.current() == Some(life) {
            state.admission.warmth_mut().record_warm(sent);
        }
    }

    /// Sends nothing more to a target that leaves. Has no effect if another one has taken its place.
    fn note_leaving(self: &Rc<Guard>, target: &Target) {
        {
            let mut state = self.state.borrow_mut();
            let is_current = state.incarnations.current() == Some(&target.life);
            if !is_current || state.incarnations.is_gone(&target.life) {
                return;
            }
            if target.life.born == 0 {
                // Found by a health check: a heartbeat will give its start.
                state.incarnations.mark_gone_before(target.life.id.clone(), wall_ms());
            }
            state.incarnations.mark_gone(target.life.clone());
            state.target_refusal = Some(Refusal::Leaving);
        }
        tracing::info!(id = &*target.life.id, "target: an answer says that it leaves");
        self.update_queue();
        self.notify_peers();
    }

    /// Returns the target's incarnation if it leaves.
    pub fn leaving(&self) -> Option<Life> {
        let state = self.state.borrow();
        state.incarnations.current().filter(|life| state.incarnations.is_gone(life)).cloned()
    }

    fn note_limit(self: &Rc<Guard>, target: &Target, sent: Time, per_s: Option<f64>) {
        let now = self.clock.now();
        {
            let mut state = self.state.borrow_mut();
            if state.incarnations.current() != Some(&target.life)
                || !state.admission.named_mut().answered(now, sent, per_s)
            {
                return;
            }
        }
        self.limit_changed();
    }

    /// Handles the limit that an entry remembers of the target. This node may have restarted since
    /// the target named it.
    pub(super) fn restore_limit(self: &Rc<Guard>, per_s: f64) {
        let now = self.clock.now();
        let began = self.state.borrow_mut().admission.named_mut().restore(now, per_s);
        if began {
            self.limit_changed();
        }
    }

    /// Logs that a limit began or ended, and lets requests and peers know of it.
    fn limit_changed(self: &Rc<Guard>) {
        let per_s = self.state.borrow().admission.named().per_s();
        match per_s {
            Some(per_s) => tracing::info!(per_s, "target: names a limit of requests a second"),
            None => tracing::info!("target: names no limit any more"),
        }
        self.metrics.target_limit.set(per_s.unwrap_or(-1.0));
        self.update_queue();
        self.notify_peers();
    }
}
