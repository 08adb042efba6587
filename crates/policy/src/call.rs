//! One call at its entry: which target, when again, and what its caller may be told.

use rand::Rng;
use world::{Class, Code, Name};

use crate::picker::AttemptResult;
use crate::{Entry, Load, Time};

/// Attempts of one call, hedges included.
const ATTEMPTS: usize = 6;
/// Automatic repeats after a target failed while it ran the request.
const REPEATS: u32 = 1;
/// What can wait is tried again after this time where no target had room, in microseconds.
const RESUME_US: u64 = 20_000;
/// A guard that says nothing for this long is doubted, in microseconds.
const SILENT_US: u64 = 150_000;

/// What a caller asks for, as far as the decisions go.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// The service.
    pub service: Name,
    /// The request's class.
    pub class: Class,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Whether an idempotency key protects it from running twice.
    pub keyed: bool,
    /// Whether the entry still holds its whole body.
    pub whole: bool,
    /// When its answer must begin.
    pub deadline: Time,
}

/// How one attempt ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// The guard refused; the request was not dispatched.
    Refused(Code),
    /// The guard refused, but the request or one with its key may have run.
    KeyConflict(Code),
    /// The target failed or its connection broke while it ran the request.
    Failed(Code),
    /// The link to the guard broke, and nothing is known.
    Lost,
}

/// What the call's owner must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send the request to this target.
    Send(Name),
    /// Send the request to this target too, to run only in a free place.
    Hedge(Name),
    /// Wait for an answer, or until then at the latest.
    Wait(Time),
    /// Tell the caller that it failed, and whether it certainly did not run.
    GiveUp(Code, bool),
}

#[derive(Clone, Debug)]
struct Open {
    target: Name,
    sent: Time,
    /// Whether the guard answered, be it only that the request waits.
    heard: bool,
    /// Whether the silence of the guard was held against it.
    doubted: bool,
}

/// The state of one call.
#[derive(Clone, Debug)]
pub struct CallState {
    ask: CallSpec,
    /// In the order of attempts.
    tried: Vec<(Name, Time)>,
    /// Attempts without an end.
    open: Vec<Open>,
    /// Whether any attempt may have run.
    may_have_run: bool,
    repeats: u32,
    /// When a hedge is worth while; `Time::NEVER` after it was sent or ruled out.
    hedge_at: Time,
    /// Whether a target died under the request.
    crashed: bool,
    /// When a call that found no room is tried again; `Time::NEVER` while it is not paused.
    resume_at: Time,
    /// The time to the answer that was left when the body began to flow, in microseconds.
    left_us: u64,
}

impl CallState {
    pub(crate) fn new(ask: CallSpec) -> CallState {
        CallState {
            ask,
            tried: Vec::new(),
            open: Vec::new(),
            may_have_run: false,
            repeats: 0,
            hedge_at: Time::NEVER,
            crashed: false,
            resume_at: Time::NEVER,
            left_us: 0,
        }
    }

    /// Returns the targets of the attempts under way.
    pub fn open(&self) -> impl Iterator<Item = &Name> {
        self.open.iter().map(|open| &open.target)
    }

    /// Notes that a guard answered, be it only that the request waits.
    pub fn guard_responded(&mut self, target: &Name) {
        let open = self.open.iter_mut().find(|open| open.target == *target);
        if let Some(open) = open {
            open.heard = true;
        }
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> usize {
        self.tried.len()
    }

    /// Notes that the rest of the request's body begins to flow to the one target that runs it.
    /// The deadline waits until it is sent.
    pub fn body_started(&mut self, now: Time) {
        self.ask.whole = false;
        self.hedge_at = Time::NEVER;
        self.left_us = self.ask.deadline.since(now);
        self.ask.deadline = Time::NEVER;
    }

    /// Notes that the whole body is sent, and the time to the answer runs again.
    pub fn body_sent(&mut self, now: Time) {
        self.ask.deadline = now.after(self.left_us);
    }

    /// Takes in an answer. The other attempts are to be cancelled by the owner.
    pub fn answered(&mut self, now: Time, entry: &mut Entry, target: &Name, load: Option<Load>) {
        let service = entry.service(&self.ask.service);
        if let Some(load) = load {
            service.picker.reported(now, target, load);
        }
        let begun = self.tried.iter().rev().find(|(name, _)| name == target);
        let latency_us = begun.map_or(0, |(_, begun)| now.since(*begun));
        service.picker.ended(now, target, AttemptResult::Succeeded(latency_us));
        service.answered(latency_us);
        self.open.retain(|open| open.target != *target);
        for loser in self.open.drain(..) {
            let silent = !loser.heard && now.since(loser.sent) > SILENT_US;
            let health =
                if silent { AttemptResult::Unreachable } else { AttemptResult::Inconclusive };
            service.picker.ended(now, &loser.target, health);
        }
    }

    /// Takes in an attempt's end without an answer and decides what is next.
    pub fn ended<R: Rng>(
        &mut self,
        now: Time,
        entry: &mut Entry,
        rng: &mut R,
        target: &Name,
        end: AttemptError,
        load: Option<Load>,
    ) -> Step {
        self.open.retain(|open| open.target != *target);
        let service = entry.service(&self.ask.service);
        if let Some(load) = load {
            service.picker.reported(now, target, load);
        }
        service.picker.ended(now, target, health(end));
        let code = match end {
            AttemptError::Refused(code)
            | AttemptError::KeyConflict(code)
            | AttemptError::Failed(code) => code,
            AttemptError::Lost => Code::LinkFailed,
        };
        self.may_have_run |= !matches!(end, AttemptError::Refused(_));
        if !self.open.is_empty() {
            return Step::Wait(self.due());
        }
        match self.may_repeat(end) {
            true => {
                let step = self.again(now, entry, rng, code);
                self.or_pause(now, step)
            }
            false => Step::GiveUp(code, !self.may_have_run),
        }
    }

    /// Puts a call that can wait off for a while, where every target was only busy just now.
    fn or_pause(&mut self, now: Time, step: Step) -> Step {
        let busy = matches!(step, Step::GiveUp(Code::TargetBusy | Code::TargetRefused, true));
        let resume_at = now.after(RESUME_US);
        if !busy || self.ask.class != Class::Bulk || resume_at >= self.ask.deadline {
            return step;
        }
        self.resume_at = resume_at;
        Step::Wait(self.due())
    }

    /// Does what is due by time alone.
    pub fn run_timers(&mut self, now: Time, entry: &mut Entry, rng: &mut impl Rng) -> Step {
        if now >= self.ask.deadline {
            let service = entry.service(&self.ask.service);
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
        let silent = self.doubt_silent(now, entry);
        let hedge = now >= self.hedge_at;
        if hedge {
            self.hedge_at = Time::NEVER;
        }
        match (silent && self.is_safe_twice(), hedge) {
            (true, _) => self.another(now, entry, rng, false),
            (false, true) => self.another(now, entry, rng, true),
            (false, false) => Step::Wait(self.due()),
        }
    }

    /// Takes in that a target slowed down while it runs the request, which is worth a hedge at once.
    pub fn slowed(&mut self, now: Time, entry: &mut Entry, rng: &mut impl Rng) -> Step {
        let may_hedge = self.hedge_at != Time::NEVER && now < self.ask.deadline;
        if !may_hedge {
            return Step::Wait(self.due());
        }
        self.hedge_at = Time::NEVER;
        self.another(now, entry, rng, true)
    }

    /// Returns when `timer` is due.
    pub fn due(&self) -> Time {
        let silent = self.open.iter().filter(|open| !open.heard && !open.doubted);
        let silent = silent.map(|open| open.sent.after(SILENT_US));
        let due = silent.min().unwrap_or(Time::NEVER).min(self.resume_at);
        due.min(self.hedge_at).min(self.ask.deadline)
    }

    /// Holds the silence of guards against them. Returns whether any has just become silent.
    fn doubt_silent(&mut self, now: Time, entry: &mut Entry) -> bool {
        let mut any = false;
        for open in &mut self.open {
            let silent = !open.heard && now.since(open.sent) >= SILENT_US;
            if silent && !open.doubted {
                open.doubted = true;
                any = true;
                entry.service(&self.ask.service).picker.mark_unresponsive(now, &open.target);
            }
        }
        any
    }

    fn is_safe_twice(&self) -> bool {
        self.ask.whole && (self.ask.idempotent || self.ask.keyed)
    }

    /// Sends to another target beside those under way, as a hedge or in place of a silent one.
    fn another<R: Rng>(&mut self, now: Time, entry: &mut Entry, rng: &mut R, hedge: bool) -> Step {
        let tried = self.names();
        let service = entry.service(&self.ask.service);
        let budget = if hedge { &mut service.hedges } else { &mut service.retries };
        let target = service.picker.choose(now, rng, &tried);
        let target = target.filter(|_| tried.len() < ATTEMPTS && budget.take(now, 1.0));
        let Some(target) = target else { return Step::Wait(self.due()) };
        self.begin(now, entry, &target);
        match hedge {
            true => Step::Hedge(target),
            false => Step::Send(target),
        }
    }

    pub(crate) fn send<R: Rng>(
        &mut self,
        now: Time,
        entry: &mut Entry,
        rng: &mut R,
        otherwise: Code,
    ) -> Step {
        if now >= self.ask.deadline {
            return Step::GiveUp(Code::DeadlinePassed, !self.may_have_run);
        }
        let tried = self.names();
        let service = entry.service(&self.ask.service);
        let Some(target) = service.picker.choose(now, rng, &tried) else {
            return Step::GiveUp(otherwise, !self.may_have_run);
        };
        let hedged = self.ask.idempotent && self.ask.whole && self.ask.class != Class::Bulk;
        if hedged && !self.crashed && self.tried.is_empty() {
            self.hedge_at = service.hedge_at(now).unwrap_or(Time::NEVER);
        }
        self.begin(now, entry, &target);
        Step::Send(target)
    }

    fn again<R: Rng>(&mut self, now: Time, entry: &mut Entry, rng: &mut R, code: Code) -> Step {
        let service = entry.service(&self.ask.service);
        if self.tried.len() >= ATTEMPTS || !service.retries.take(now, 1.0) {
            return Step::GiveUp(code, !self.may_have_run);
        }
        if code == Code::Overload && !service.picker.has_room(now, &self.names()) {
            return Step::GiveUp(code, !self.may_have_run);
        }
        self.send(now, entry, rng, code)
    }

    fn begin(&mut self, now: Time, entry: &mut Entry, target: &Name) {
        entry.service(&self.ask.service).picker.sent(target);
        self.tried.push((target.clone(), now));
        let target = target.clone();
        self.open.push(Open { target, sent: now, heard: false, doubted: false });
    }

    /// Whether the request may be sent to another target after this end.
    fn may_repeat(&mut self, end: AttemptError) -> bool {
        if !self.ask.whole {
            return false;
        }
        match end {
            AttemptError::KeyConflict(_) => false,
            AttemptError::Refused(code) => is_elsewhere_better(code) && !self.ran_once_only(),
            AttemptError::Failed(code) => {
                self.crashed |= code == Code::TargetFailed;
                self.hedge_at = Time::NEVER;
                self.repeats += 1;
                self.ask.idempotent && self.repeats <= REPEATS
            }
            AttemptError::Lost => {
                self.repeats += 1;
                (self.ask.idempotent || self.ask.keyed) && self.repeats <= REPEATS
            }
        }
    }

    /// Whether an earlier attempt may have run a request that nothing protects from running twice.
    fn ran_once_only(&self) -> bool {
        self.may_have_run && !self.ask.idempotent && !self.ask.keyed
    }

    fn names(&self) -> Vec<Name> {
        self.tried.iter().map(|(name, _)| name.clone()).collect()
    }
}

fn health(end: AttemptError) -> AttemptResult {
    match end {
        AttemptError::Refused(Code::TargetRefused | Code::NoTarget) => AttemptResult::Failed,
        AttemptError::Refused(Code::LinkFailed) => AttemptResult::Unreachable,
        AttemptError::Refused(_) | AttemptError::KeyConflict(_) => AttemptResult::Inconclusive,
        AttemptError::Failed(_) => AttemptResult::Failed,
        AttemptError::Lost => AttemptResult::Unreachable,
    }
}

/// Whether another target may take what this one refused.
fn is_elsewhere_better(code: Code) -> bool {
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
