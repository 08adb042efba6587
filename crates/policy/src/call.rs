//! The state machine of one call at its entry: which target its attempts go to, when it is retried
//! or hedged, and whether a failure may be reported to the caller as "not run".

use rand::Rng;
use world::{Class, Code, Name};

use crate::picker::AttemptResult;
use crate::{Entry, Load, Time};

/// Limit of the attempts of one call, hedges included.
const MAX_ATTEMPTS: usize = 6;
/// Limit of the retries of one call after attempts that may have run.
const MAX_FAILURE_RETRIES: u32 = 1;
/// Delay before a bulk call is tried again if no target had room, in microseconds.
const RESUME_DELAY_US: u64 = 20_000;
/// A guard that does not respond within this time is unresponsive, in microseconds.
const RESPONSE_TIMEOUT_US: u64 = 150_000;

/// What the decisions need to know of a caller's request.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// The service that the request is for.
    pub service: Name,
    /// Bulk requests are never hedged, and are tried again until their deadline while targets are
    /// busy.
    pub class: Class,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Whether an idempotency key protects the request from running twice.
    pub keyed: bool,
    /// Whether the entry still has the whole body, so that it can be sent again.
    pub whole: bool,
    /// When the request's answer must begin.
    pub deadline: Time,
}

/// Why an attempt ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// The guard refused the request; it did not run.
    Refused(Code),
    /// The guard refused the request because of its idempotency key: an earlier attempt or another
    /// request with the key may have run.
    KeyConflict(Code),
    /// The target or the connection to it failed while the request ran.
    Failed(Code),
    /// The link to the guard broke; whether the request ran is unknown.
    Lost,
}

/// What the owner of a call must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send the request to this target.
    Send(Name),
    /// Also send the request to this target, to run only if a slot is free.
    Hedge(Name),
    /// Wait for a response, but no longer than until this time.
    Wait(Time),
    /// Report a failure to the caller, and whether the request certainly did not run.
    GiveUp(Code, bool),
}

#[derive(Clone, Debug)]
struct OpenAttempt {
    target: Name,
    sent: Time,
    /// Whether the guard responded, even if only that the request waits.
    responded: bool,
    /// Whether the guard did not respond in time.
    unresponsive: bool,
}

/// The state of one call, from its first attempt to its answer or failure.
#[derive(Clone, Debug)]
pub struct CallState {
    spec: CallSpec,
    /// Targets in the order of the attempts, with the time of each.
    tried: Vec<(Name, Time)>,
    /// Attempts that have not ended.
    open: Vec<OpenAttempt>,
    /// Whether any attempt may have run.
    may_have_run: bool,
    /// Attempts that ended in a failure or were lost.
    failures: u32,
    /// When the call is to be hedged; `Time::NEVER` once it was, or if it may not be.
    hedge_at: Time,
    /// Whether a target failed while it ran the request, which is then not hedged any more.
    target_failed: bool,
    /// When a bulk call that found no room is tried again; `Time::NEVER` if it is not paused.
    resume_at: Time,
    /// The time to the deadline when the body started to be sent, in microseconds.
    left_us: u64,
}

impl CallState {
    pub(crate) fn new(spec: CallSpec) -> CallState {
        CallState {
            spec,
            tried: Vec::new(),
            open: Vec::new(),
            may_have_run: false,
            failures: 0,
            hedge_at: Time::NEVER,
            target_failed: false,
            resume_at: Time::NEVER,
            left_us: 0,
        }
    }

    /// Returns the targets of the attempts that have not ended.
    pub fn in_flight(&self) -> impl Iterator<Item = &Name> {
        self.open.iter().map(|open| &open.target)
    }

    /// Records that a target's guard responded, even if only that the request waits.
    pub fn guard_responded(&mut self, target: &Name) {
        let open = self.open.iter_mut().find(|open| open.target == *target);
        if let Some(open) = open {
            open.responded = true;
        }
    }

    /// Returns the number of attempts so far; for a bulk call since its last pause.
    pub fn attempts(&self) -> usize {
        self.tried.len()
    }

    /// Records that the rest of the body starts to be sent to the one target that runs the request.
    /// The request can then not be sent again, and the deadline is suspended until the body is
    /// sent.
    pub fn body_started(&mut self, now: Time) {
        self.spec.whole = false;
        self.hedge_at = Time::NEVER;
        self.left_us = self.spec.deadline.since(now);
        self.spec.deadline = Time::NEVER;
    }

    /// Records that the whole body was sent, and resumes the deadline.
    pub fn body_sent(&mut self, now: Time) {
        self.spec.deadline = now.after(self.left_us);
    }

    /// Records an answer. The owner must cancel the other attempts.
    pub fn answered(&mut self, now: Time, entry: &mut Entry, target: &Name, load: Option<Load>) {
        let service = entry.service(&self.spec.service);
        if let Some(load) = load {
            service.picker.reported(now, target, load);
        }
        let sent_at = self.tried.iter().rev().find(|(name, _)| name == target);
        let latency_us = sent_at.map_or(0, |(_, sent_at)| now.since(*sent_at));
        service.picker.ended(now, target, AttemptResult::Succeeded(latency_us));
        service.answered(latency_us);
        self.open.retain(|open| open.target != *target);
        for loser in self.open.drain(..) {
            let silent = !loser.responded && now.since(loser.sent) > RESPONSE_TIMEOUT_US;
            let result =
                if silent { AttemptResult::Unreachable } else { AttemptResult::Inconclusive };
            service.picker.ended(now, &loser.target, result);
        }
    }

    /// Records that an attempt ended without an answer, and decides what is next.
    pub fn ended<R: Rng>(
        &mut self,
        now: Time,
        entry: &mut Entry,
        rng: &mut R,
        target: &Name,
        error: AttemptError,
        load: Option<Load>,
    ) -> Step {
        self.open.retain(|open| open.target != *target);
        let service = entry.service(&self.spec.service);
        if let Some(load) = load {
            service.picker.reported(now, target, load);
        }
        service.picker.ended(now, target, attempt_result(error));
        let code = match error {
            AttemptError::Refused(code)
            | AttemptError::KeyConflict(code)
            | AttemptError::Failed(code) => code,
            AttemptError::Lost => Code::LinkFailed,
        };
        self.may_have_run |= !matches!(error, AttemptError::Refused(_));
        if !self.open.is_empty() {
            return Step::Wait(self.due());
        }
        match self.may_retry(error) {
            true => {
                let step = self.retry(now, entry, rng, code);
                self.pause_if_busy(now, step)
            }
            false => Step::GiveUp(code, !self.may_have_run),
        }
    }

    /// Pauses a bulk call in place of giving up, if every target was only busy at the moment.
    fn pause_if_busy(&mut self, now: Time, step: Step) -> Step {
        let busy = matches!(step, Step::GiveUp(Code::TargetBusy | Code::TargetRefused, true));
        let resume_at = now.after(RESUME_DELAY_US);
        if !busy || self.spec.class != Class::Bulk || resume_at >= self.spec.deadline {
            return step;
        }
        self.resume_at = resume_at;
        Step::Wait(self.due())
    }

    /// Does what is due at `now`: fails at the deadline, resumes a paused call, sends the request
    /// to another target if a guard has not responded, or hedges.
    pub fn run_timers(&mut self, now: Time, entry: &mut Entry, rng: &mut impl Rng) -> Step {
        if now >= self.spec.deadline {
            let service = entry.service(&self.spec.service);
            for open in self.open.drain(..) {
                service.picker.ended(now, &open.target, AttemptResult::Failed);
                self.may_have_run = true;
            }
            return Step::GiveUp(Code::DeadlinePassed, !self.may_have_run);
        }
        if now >= self.resume_at {
            self.resume_at = Time::NEVER;
            self.tried.clear();
            return self.send(now, entry, rng, Code::TargetBusy);
        }
        let silent = self.mark_unresponsive_guards(now, entry);
        let hedge = now >= self.hedge_at;
        if hedge {
            self.hedge_at = Time::NEVER;
        }
        match (silent && self.may_run_twice(), hedge) {
            (true, _) => self.send_another(now, entry, rng, false),
            (false, true) => self.send_another(now, entry, rng, true),
            (false, false) => Step::Wait(self.due()),
        }
    }

    /// Records that a target slowed down while it runs the request, and hedges at once if the call
    /// may still be hedged.
    pub fn slowed(&mut self, now: Time, entry: &mut Entry, rng: &mut impl Rng) -> Step {
        let may_hedge = self.hedge_at != Time::NEVER && now < self.spec.deadline;
        if !may_hedge {
            return Step::Wait(self.due());
        }
        self.hedge_at = Time::NEVER;
        self.send_another(now, entry, rng, true)
    }

    /// Returns when [`CallState::run_timers`] is due.
    pub fn due(&self) -> Time {
        let silent = self.open.iter().filter(|open| !open.responded && !open.unresponsive);
        let silent = silent.map(|open| open.sent.after(RESPONSE_TIMEOUT_US));
        let due = silent.min().unwrap_or(Time::NEVER).min(self.resume_at);
        due.min(self.hedge_at).min(self.spec.deadline)
    }

    /// Marks guards that did not respond in time as unresponsive. Returns whether any is newly so.
    fn mark_unresponsive_guards(&mut self, now: Time, entry: &mut Entry) -> bool {
        let mut any = false;
        for open in &mut self.open {
            let silent = !open.responded && now.since(open.sent) >= RESPONSE_TIMEOUT_US;
            if silent && !open.unresponsive {
                open.unresponsive = true;
                any = true;
                entry.service(&self.spec.service).picker.mark_unresponsive(now, &open.target);
            }
        }
        any
    }

    fn may_run_twice(&self) -> bool {
        self.spec.whole && (self.spec.idempotent || self.spec.keyed)
    }

    /// Sends the request to another target while attempts are open, as a hedge or because a guard
    /// did not respond.
    fn send_another<R: Rng>(
        &mut self,
        now: Time,
        entry: &mut Entry,
        rng: &mut R,
        hedge: bool,
    ) -> Step {
        let tried = self.tried_targets();
        let service = entry.service(&self.spec.service);
        let budget = if hedge { &mut service.hedges } else { &mut service.retries };
        let target = service.picker.choose(now, rng, &tried);
        let target = target.filter(|_| tried.len() < MAX_ATTEMPTS && budget.take(now, 1.0));
        let Some(target) = target else { return Step::Wait(self.due()) };
        self.begin_attempt(now, entry, &target);
        match hedge {
            true => Step::Hedge(target),
            false => Step::Send(target),
        }
    }

    /// Sends the request to a target that was not tried yet; gives up with `fallback` if there is
    /// none.
    pub(crate) fn send<R: Rng>(
        &mut self,
        now: Time,
        entry: &mut Entry,
        rng: &mut R,
        fallback: Code,
    ) -> Step {
        if now >= self.spec.deadline {
            return Step::GiveUp(Code::DeadlinePassed, !self.may_have_run);
        }
        let tried = self.tried_targets();
        let service = entry.service(&self.spec.service);
        let Some(target) = service.picker.choose(now, rng, &tried) else {
            return Step::GiveUp(fallback, !self.may_have_run);
        };
        let may_hedge = self.spec.idempotent && self.spec.whole && self.spec.class != Class::Bulk;
        if may_hedge && !self.target_failed && self.tried.is_empty() {
            self.hedge_at = service.hedge_at(now).unwrap_or(Time::NEVER);
        }
        self.begin_attempt(now, entry, &target);
        Step::Send(target)
    }

    /// Takes a retry from the budget and sends the request to another target; gives up with `code`
    /// if it may not or cannot.
    fn retry<R: Rng>(&mut self, now: Time, entry: &mut Entry, rng: &mut R, code: Code) -> Step {
        let service = entry.service(&self.spec.service);
        if self.tried.len() >= MAX_ATTEMPTS || !service.retries.take(now, 1.0) {
            return Step::GiveUp(code, !self.may_have_run);
        }
        if code == Code::Overload && !service.picker.has_room(now, &self.tried_targets()) {
            return Step::GiveUp(code, !self.may_have_run);
        }
        self.send(now, entry, rng, code)
    }

    fn begin_attempt(&mut self, now: Time, entry: &mut Entry, target: &Name) {
        entry.service(&self.spec.service).picker.sent(target);
        self.tried.push((target.clone(), now));
        let target = target.clone();
        self.open.push(OpenAttempt { target, sent: now, responded: false, unresponsive: false });
    }

    /// Counts the error, and returns whether the request may be sent to another target after it.
    fn may_retry(&mut self, error: AttemptError) -> bool {
        if !self.spec.whole {
            return false;
        }
        match error {
            AttemptError::KeyConflict(_) => false,
            AttemptError::Refused(code) => may_succeed_elsewhere(code) && !self.is_retry_unsafe(),
            AttemptError::Failed(code) => {
                self.target_failed |= code == Code::TargetFailed;
                self.hedge_at = Time::NEVER;
                self.failures += 1;
                self.spec.idempotent && self.failures <= MAX_FAILURE_RETRIES
            }
            AttemptError::Lost => {
                self.failures += 1;
                (self.spec.idempotent || self.spec.keyed) && self.failures <= MAX_FAILURE_RETRIES
            }
        }
    }

    /// Returns whether an attempt may have run and nothing protects the request from running twice.
    fn is_retry_unsafe(&self) -> bool {
        self.may_have_run && !self.spec.idempotent && !self.spec.keyed
    }

    fn tried_targets(&self) -> Vec<Name> {
        self.tried.iter().map(|(name, _)| name.clone()).collect()
    }
}

fn attempt_result(error: AttemptError) -> AttemptResult {
    match error {
        AttemptError::Refused(Code::TargetRefused | Code::NoTarget) => AttemptResult::Failed,
        AttemptError::Refused(Code::LinkFailed) => AttemptResult::Unreachable,
        AttemptError::Refused(_) | AttemptError::KeyConflict(_) => AttemptResult::Inconclusive,
        AttemptError::Failed(_) => AttemptResult::Failed,
        AttemptError::Lost => AttemptResult::Unreachable,
    }
}

/// Returns whether another target may run a request that this one refused.
fn may_succeed_elsewhere(code: Code) -> bool {
    matches!(
        code,
        Code::NoTarget
            | Code::Overload
            | Code::TargetBusy
            | Code::OutOfService
            | Code::ShuttingDown
            | Code::TargetRefused
            | Code::LinkFailed
    )
}
