//! What the guard does in a roll-out: keeps to the grants for its target, and counts its answers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use policy::{Evidence, EvidenceReport, ExposureGrant, Time};
use wire::link::Attempt;
use world::Name;

use crate::guard::attempt::Outcome;
use crate::guard::state::{Guard, State};

/// How many times longer than expected an attempt must have run for its cancelling to show that it was
/// slow.
const CANCELLED_RATIO: u64 = 2;

/// The guard's part in the roll-out of its service.
#[derive(Debug, Default)]
pub(super) struct GuardRollout {
    /// Whether the settings bound what an unproved version is sent.
    enabled: Cell<bool>,
    /// Counts of answers since the order.
    evidence: RefCell<Evidence>,
    /// Whether the target got nothing when this was last checked.
    was_barred: Cell<bool>,
}

impl GuardRollout {
    /// Begins to count anew.
    pub(super) fn forget_evidence(&self) {
        self.evidence.replace(Evidence::default());
    }
}

impl Guard {
    /// Keeps to roll-outs from now on.
    pub fn enable_rollouts(&self) {
        self.rollout.enabled.set(true);
        self.rollout.was_barred.set(self.rules.revision() == 0);
    }

    /// Returns whether the target gets nothing because of a roll-out. Without a ruleset, nothing is
    /// known of orders.
    pub(super) fn is_barred(&self, state: &State) -> bool {
        let is_unknown = self.rollout.enabled.get() && self.rules.revision() == 0;
        is_unknown || state.admission.exposure().is_barred(self.clock.now())
    }

    /// Applies the order in force to the target, and tells peers if it may be sent requests again or no
    /// longer. To be called at each change, and at intervals since grants expire.
    pub fn update_rollout(self: &Rc<Guard>) {
        if !self.rollout.enabled.get() {
            return;
        }
        let Some(rules) = self.rules.current() else { return };
        let service = self.service().unwrap_or_else(|| self.vm_service.clone());
        let order = rules.rollout(&service);
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let exposure = state.admission.exposure_mut();
        if exposure.set_order(now, order) {
            self.rollout.forget_evidence();
            match order {
                Some(order) => tracing::info!(
                    service = &*order.service,
                    version = &*order.version,
                    period_us = order.period_us,
                    revision = order.revision,
                    "rollout: ordered"
                ),
                None => tracing::info!(service = &*service, "rollout: the order was removed"),
            }
        }
        let per_s = exposure.per_s(now);
        self.metrics.exposure.set(if per_s.is_finite() { per_s } else { -1.0 });
        let barred = exposure.is_barred(now);
        drop(state);
        if self.rollout.was_barred.replace(barred) != barred {
            if order.is_some() {
                tracing::info!(
                    barred,
                    per_s,
                    "rollout: the target gets no requests, or some again"
                );
            }
            self.update_queue();
            self.notify_peers();
        }
    }

    /// Returns what is to be reported to the coordinator, and whether a verdict is known. `None`
    /// without an order.
    pub fn evidence(&self) -> Option<(EvidenceReport, bool)> {
        let now = self.clock.now();
        let state = self.state.borrow();
        let admission = &state.admission;
        let (order, version, age_us) = admission.exposure().order(now)?;
        let is_usable = self.closed_in(&state).is_none();
        let report = EvidenceReport {
            service: order.service.clone(),
            order: order.revision,
            version: version.clone(),
            age_us,
            slots: if is_usable { admission.slots() } else { 0 },
            running: admission.running(),
            cold: admission.is_cold(now),
            routes: self.rollout.evidence.borrow().routes(now),
        };
        Some((report, admission.exposure().has_verdict()))
    }

    /// Handles a grant of the coordinator.
    pub fn exposure_granted(self: &Rc<Guard>, grant: &ExposureGrant) {
        let now = self.clock.now();
        let had_verdict = {
            let mut state = self.state.borrow_mut();
            let exposure = state.admission.exposure_mut();
            let had_verdict = exposure.has_verdict();
            exposure.granted(now, grant);
            had_verdict
        };
        if !had_verdict && grant.valid_us == u64::MAX {
            tracing::info!(per_s = grant.per_s, "rollout: a verdict stands");
        }
        self.update_rollout();
        self.start_waiting();
    }

    /// Counts an attempt that is sent to the target. `None` without an order.
    pub(super) fn track_evidence(self: &Rc<Guard>, attempt: &Attempt) -> Option<TrackedAttempt> {
        let now = self.clock.now();
        let (order, version, cold) = {
            let admission = &self.state.borrow().admission;
            let (order, version, _) = admission.exposure().order(now)?;
            let cold = admission.is_cold(now) || admission.may_be_slow(now, attempt.work_us);
            (order.revision, version.clone(), cold)
        };
        let route = self.route_of(attempt);
        let id = self.rollout.evidence.borrow_mut().sent(now, route, cold);
        let slow_us = attempt.work_us.saturating_mul(CANCELLED_RATIO);
        let guard = self.clone();
        Some(TrackedAttempt { guard, order, version, id, begun: now, slow_us, ended: false })
    }

    /// Returns what identifies the route of an attempt; 0 if the ruleset has none.
    fn route_of(&self, attempt: &Attempt) -> u64 {
        let host = attempt.fields.iter().find(|field| field.name.eq_ignore_ascii_case("host"));
        let host = host.and_then(|field| std::str::from_utf8(&field.value).ok());
        let rules = self.rules.current();
        let route = rules.as_ref().and_then(|rules| rules.routing.route(host?, &attempt.path));
        route.map_or(0, |route| policy::route_id(&route.name))
    }
}

/// An attempt at the target, of which the end is counted. Dropping it without an end counts as
/// cancelled.
#[derive(Debug)]
pub(super) struct TrackedAttempt {
    guard: Rc<Guard>,
    /// The revision of the order at its start.
    order: u64,
    /// The target's version at its start.
    version: Name,
    /// Its id among the counts.
    id: u64,
    begun: Time,
    /// The time from which on it is slow, in microseconds.
    slow_us: u64,
    /// Whether the end was counted.
    ended: bool,
}

impl TrackedAttempt {
    /// Counts the end of the attempt.
    pub(super) fn ended(mut self, outcome: &Outcome) {
        self.ended = true;
        let now = self.guard.clock.now();
        match outcome {
            Outcome::NotRun { .. } => self.count(|evidence, id| evidence.cancelled(id)),
            Outcome::Answer(answer) if !answer.status.is_server_error() => {
                self.count(|evidence, id| evidence.answered(now, id));
            }
            Outcome::Answer(_) | Outcome::Lost { .. } => {
                self.count(|evidence, id| evidence.failed(id));
            }
        }
    }

    /// Counts the end, unless the order or the target's version is another one now.
    fn count(&self, add: impl FnOnce(&mut Evidence, u64)) {
        let now = self.guard.clock.now();
        let is_current = {
            let state = self.guard.state.borrow();
            let order = state.admission.exposure().order(now);
            order.is_some_and(|(order, version, _)| {
                order.revision == self.order && *version == self.version
            })
        };
        if is_current {
            add(&mut self.guard.rollout.evidence.borrow_mut(), self.id);
        }
    }
}

impl Drop for TrackedAttempt {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let now = self.guard.clock.now();
        match now.since(self.begun) >= self.slow_us.max(1) {
            true => self.count(|evidence, id| evidence.cancelled_late(id)),
            false => self.count(|evidence, id| evidence.cancelled(id)),
        }
    }
}
