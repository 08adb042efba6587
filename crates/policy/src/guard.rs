//! The guard: the only way to one target, with a concurrency limit and a short queue.

use world::{Announcement, Class, Code, TargetState};

use crate::queue::{Queue, QueuedRequest};
use crate::{ConcurrencyLimit, Load, Phase, SlowdownDetector, Time, TokenBucket};

/// Time without an announcement after which a target counts as down, in microseconds.
const HEARTBEAT_TIMEOUT_US: u64 = 3_000_000;
/// Waiting requests per slot of the concurrency limit, at most.
const QUEUE_PER_SLOT: usize = 2;
/// Waiting requests per slot of the concurrency limit, at most, while the queue is standing, that
/// is, stays or recently stayed long for longer than a burst. This applies only to new requests of
/// the classes from `Normal` on.
const STANDING_PER_SLOT: f64 = 0.25;
/// Load reports that a guard sends in a second, at most, besides those at a change of phase.
const REPORTS_PER_SECOND: f64 = 210.0;
/// Slowdown warnings that a guard sends in a second, at most.
const WARNINGS_PER_SECOND: f64 = 7.0;
/// Slowdown warnings that a guard sends at once, at most.
const WARNING_BURST: f64 = 16.0;
/// Load reports that a guard sends at once, at most.
const REPORT_BURST: f64 = 20.0;

/// How the target's service warms up, from the inventory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupSettings {
    /// Requests that a cold target can run at once, above zero.
    pub cold_slots: u32,
    /// Answers that raise the limit of a cold target by one, above zero.
    pub warm_answers: u32,
}

/// A request that asks to be dispatched.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRequest {
    /// Unique at this guard.
    pub id: u64,
    /// Its class, which decides on its place in the queue.
    pub class: Class,
    /// When its answer must begin.
    pub deadline: Time,
    /// Whether it is refused rather than queued where no place is free, as a hedge is.
    pub spare: bool,
}

/// What the owner of a guard must do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GuardAction {
    /// Dispatch this request to the target now.
    Run(u64),
    /// Refuse this request, which was not dispatched.
    Refuse(u64, Code),
    /// Warn the entry of this request, which is running, that the target has slowed down.
    Slow(u64),
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The target answered, and the whole answer was received.
    Answered,
    /// The target reported that it did not run the request.
    Shed,
    /// The connection broke while the target ran it.
    Broken,
    /// The caller gave up, or the deadline passed.
    Cancelled,
}

/// A request that was dispatched and has not ended.
#[derive(Clone, Copy, Debug)]
struct Running {
    id: u64,
    dispatched: Time,
    /// When the target had received the whole body; none before.
    body_received: Option<Time>,
    /// Whether the target has begun to answer.
    answer_started: bool,
    /// Whether its entry was warned that the target has slowed down.
    warned: bool,
}

/// The state in front of one target. Every request to the target passes through it.
#[derive(Clone, Debug)]
pub struct Guard {
    settings: WarmupSettings,
    /// The last announcement, none while the target is down.
    target: Option<Announcement>,
    /// When the target last announced itself.
    last_announced: Time,
    limit: ConcurrencyLimit,
    slowdown: SlowdownDetector,
    queue: Queue,
    /// Sorted by id. At a dispatch never more than the limit, which may be cut later.
    running: Vec<Running>,
    /// Whether the node is shutting down.
    draining: bool,
    /// Whether the operators took the data centre out of service.
    out: bool,
    /// Number of the last load report.
    seq: u32,
    report_budget: TokenBucket,
    warning_budget: TokenBucket,
    /// The phase in the last report that `report` returned.
    reported_phase: Phase,
    /// Cuts of the limit since the guard was created.
    limit_cuts: u64,
}

impl Guard {
    /// Creates a guard without a target.
    pub fn new(now: Time, settings: WarmupSettings) -> Guard {
        Guard {
            settings,
            target: None,
            last_announced: now,
            limit: ConcurrencyLimit::new(0, settings.cold_slots, settings.warm_answers, now),
            slowdown: SlowdownDetector::default(),
            queue: Queue::new(),
            running: Vec::new(),
            draining: false,
            out: false,
            seq: 0,
            report_budget: TokenBucket::new(REPORT_BURST, REPORTS_PER_SECOND),
            warning_budget: TokenBucket::new(WARNING_BURST, WARNINGS_PER_SECOND),
            reported_phase: Phase::Down,
            limit_cuts: 0,
        }
    }

    /// Sets how many load reports are sent in a second, at most, besides those at a change of
    /// phase.
    pub fn set_report_rate(&mut self, rate: f64) {
        self.report_budget = TokenBucket::new(REPORT_BURST, rate);
    }

    /// Replaces the settings. They apply from the next start of the target.
    pub fn configure(&mut self, settings: WarmupSettings) {
        self.settings = settings;
    }

    /// Returns the target's last announcement, or none while it is down.
    pub fn target(&self) -> Option<&Announcement> {
        self.target.as_ref()
    }

    /// Returns how many requests run or wait.
    pub fn pending(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns how often the limit was cut since the guard was created, not counting cuts because
    /// the target announced itself as cold.
    pub fn limit_cuts(&self) -> u64 {
        self.limit_cuts
    }

    /// Handles an announcement or heartbeat of the target; those of an earlier incarnation are
    /// ignored. Returns whether it is the first of its incarnation, or the first since the target
    /// went down.
    pub fn announced(&mut self, now: Time, announcement: Announcement) -> bool {
        let known = self.target.as_ref().map(|target| (target.incarnation, target.state));
        if known.is_some_and(|(incarnation, _)| incarnation > announcement.incarnation) {
            return false;
        }
        self.last_announced = now;
        let is_new = known.is_none_or(|(incarnation, _)| incarnation < announcement.incarnation);
        if is_new {
            let WarmupSettings { cold_slots, warm_answers } = self.settings;
            self.limit = ConcurrencyLimit::new(announcement.slots, cold_slots, warm_answers, now);
            self.slowdown = SlowdownDetector::default();
        }
        self.limit.set_slots(announcement.slots);
        let was_cold = known.is_some_and(|(_, state)| state == TargetState::Cold);
        if announcement.state == TargetState::Cold && !was_cold && !is_new {
            self.limit.cut(now);
        }
        self.target = Some(announcement);
        is_new
    }

    /// Marks the target as down and refuses waiting requests. Running ones end with their
    /// connections.
    pub fn target_down(&mut self) -> Vec<GuardAction> {
        self.target = None;
        self.refuse_waiting(Code::NoTarget)
    }

    /// Begins to drain: refuses new and waiting requests and lets running ones end.
    pub fn drain(&mut self) -> Vec<GuardAction> {
        self.draining = true;
        self.refuse_waiting(Code::ShuttingDown)
    }

    /// Marks the data centre as out of service or back in service. When it is back, the target
    /// counts as cold.
    pub fn set_out(&mut self, now: Time, out: bool) -> Vec<GuardAction> {
        let back = self.out && !out;
        self.out = out;
        match out {
            true => self.refuse_waiting(Code::OutOfService),
            false if back => self.cut_limit(now),
            false => Vec::new(),
        }
    }

    /// Decides on a request. It waits if the returned actions do not name it.
    pub fn submit(&mut self, now: Time, request: DispatchRequest) -> Vec<GuardAction> {
        let mut actions = self.check_slowdown(now);
        actions.extend(self.expire(now));
        let decision = self.decide(now, &request, &mut actions);
        actions.extend(decision);
        actions
    }

    /// Records that the target has received the whole body of a request, at which its service time
    /// begins.
    pub fn body_received(&mut self, now: Time, id: u64) {
        self.slowdown.advance(now, self.in_service());
        if let Ok(at) = self.find(id) {
            self.running[at].body_received.get_or_insert(now);
        }
    }

    /// Records that the target began to answer a request. Only successful answers count towards the
    /// service time and raise the limit.
    pub fn answer_started(&mut self, now: Time, id: u64, success: bool) {
        self.slowdown.advance(now, self.in_service());
        let Ok(at) = self.find(id) else { return };
        let running = &mut self.running[at];
        running.answer_started = true;
        if let Some(begun) = running.body_received.filter(|_| success) {
            let service_us = now.since(begun) as f64;
            self.slowdown.answered(service_us);
            self.limit.answered(running.dispatched, service_us);
        }
    }

    /// Records how a dispatched request ended, and gives its place to a waiting one. A request that
    /// was shed, or whose connection broke, cuts the limit.
    pub fn done(&mut self, now: Time, id: u64, outcome: DispatchOutcome) -> Vec<GuardAction> {
        self.slowdown.advance(now, self.in_service());
        let Ok(at) = self.find(id) else { return Vec::new() };
        self.running.remove(at);
        let mut actions = match outcome {
            DispatchOutcome::Shed | DispatchOutcome::Broken => self.cut_limit(now),
            DispatchOutcome::Answered | DispatchOutcome::Cancelled => Vec::new(),
        };
        actions.extend(self.expire(now));
        self.dispatch_waiting(now, &mut actions);
        actions
    }

    /// Removes a waiting request. Returns whether it was waiting.
    pub fn withdraw(&mut self, id: u64) -> bool {
        self.queue.remove(id)
    }

    /// Runs the timers. Must be called every 2 ms while requests wait, and every 10 ms while any
    /// runs.
    pub fn tick(&mut self, now: Time) -> Vec<GuardAction> {
        if self.target.is_some() && now.since(self.last_announced) > HEARTBEAT_TIMEOUT_US {
            return self.target_down();
        }
        let mut actions = self.check_slowdown(now);
        actions.extend(self.expire(now));
        self.dispatch_waiting(now, &mut actions);
        actions
    }

    /// Returns a load report for the next frame to an entry: always after a change of phase,
    /// otherwise while the budget of reports lasts.
    pub fn report(&mut self, now: Time) -> Option<Load> {
        let phase = self.phase();
        let is_due = phase != self.reported_phase || self.report_budget.take(now, 1.0);
        self.reported_phase = phase;
        is_due.then(|| self.load())
    }

    /// Returns a load report regardless of the budget.
    pub fn load(&mut self) -> Load {
        self.seq += 1;
        let service_us = self.limit.service_us();
        Load::new(self.phase(), self.seq, self.limit.limit(), self.pending(), service_us)
    }

    /// Returns whether the target takes requests, and whether it is warm.
    pub fn phase(&self) -> Phase {
        match &self.target {
            None => Phase::Down,
            Some(_) if self.draining || self.out => Phase::Leaving,
            Some(target) if target.state == TargetState::Draining => Phase::Leaving,
            Some(_) if self.limit.is_cold() => Phase::Cold,
            Some(_) => Phase::Warm,
        }
    }

    fn decide(
        &mut self,
        now: Time,
        request: &DispatchRequest,
        actions: &mut Vec<GuardAction>,
    ) -> Option<GuardAction> {
        if let Some(code) = self.closed() {
            return Some(GuardAction::Refuse(request.id, code));
        }
        if request.deadline <= now {
            return Some(GuardAction::Refuse(request.id, Code::DeadlinePassed));
        }
        if self.queue.is_empty() && self.has_room() {
            return Some(self.dispatch(now, request.id));
        }
        if request.spare {
            return Some(GuardAction::Refuse(request.id, Code::TargetBusy));
        }
        let waiting = QueuedRequest {
            id: request.id,
            class: request.class,
            arrived: now,
            deadline: request.deadline,
        };
        if self.is_worth_waiting(now, request) {
            self.queue.push(waiting);
            return None;
        }
        self.queue.note_refusal(now);
        let code = self.busy_code();
        let Some(evicted) = self.queue.evict_below(request.class) else {
            return Some(GuardAction::Refuse(request.id, code));
        };
        actions.push(GuardAction::Refuse(evicted.id, code));
        self.queue.push(waiting);
        None
    }

    fn find(&self, id: u64) -> Result<usize, usize> {
        self.running.binary_search_by_key(&id, |running| running.id)
    }

    /// Returns why no request is dispatched at all, or none if requests are.
    fn closed(&self) -> Option<Code> {
        match &self.target {
            _ if self.draining => Some(Code::ShuttingDown),
            _ if self.out => Some(Code::OutOfService),
            None => Some(Code::NoTarget),
            Some(target) if target.state == TargetState::Draining => Some(Code::OutOfService),
            Some(_) => None,
        }
    }

    fn has_room(&self) -> bool {
        self.running.len() < self.limit.limit() as usize
    }

    /// Whether the queue has room for the request, and the request is likely to start soon enough.
    fn is_worth_waiting(&self, now: Time, request: &DispatchRequest) -> bool {
        let limit = self.limit.limit().max(1) as usize;
        let can_wait = self.queue.is_standing() && request.class >= Class::Normal;
        let places = match can_wait {
            true => (limit as f64 * STANDING_PER_SLOT) as usize,
            false => limit * QUEUE_PER_SLOT,
        };
        if self.queue.len() >= places {
            return false;
        }
        let ahead = self.queue.ahead(request.class) + 1;
        let wait_us = self.limit.service_us() * ahead as f64 / limit as f64;
        let max_wait_us = self.queue.max_wait_us(request.class) as f64;
        wait_us <= max_wait_us && now.after(wait_us as u64) < request.deadline
    }

    fn dispatch(&mut self, now: Time, id: u64) -> GuardAction {
        let at = self.running.partition_point(|running| running.id < id);
        self.running.insert(
            at,
            Running {
                id,
                dispatched: now,
                body_received: None,
                answer_started: false,
                warned: false,
            },
        );
        GuardAction::Run(id)
    }

    fn dispatch_waiting(&mut self, now: Time, actions: &mut Vec<GuardAction>) {
        while self.closed().is_none() && self.has_room() {
            let Some(waiting) = self.queue.pop() else { return };
            let action = self.dispatch(now, waiting.id);
            actions.push(action);
        }
    }

    /// Refuses waiting requests that have waited too long or whose deadlines passed.
    fn expire(&mut self, now: Time) -> Vec<GuardAction> {
        self.queue.observe(now, self.limit.limit() as usize);
        let expired = self.queue.expire(now);
        expired.into_iter().map(|(waiting, code)| GuardAction::Refuse(waiting.id, code)).collect()
    }

    fn refuse_waiting(&mut self, code: Code) -> Vec<GuardAction> {
        let all = self.queue.clear();
        all.into_iter().map(|waiting| GuardAction::Refuse(waiting.id, code)).collect()
    }

    /// Cuts the limit to the cold value. Also refuses the waiting requests, since another target
    /// serves them sooner.
    fn cut_limit(&mut self, now: Time) -> Vec<GuardAction> {
        self.slowdown.reset();
        if !self.limit.cut(now) {
            return Vec::new();
        }
        self.limit_cuts += 1;
        self.refuse_waiting(Code::TargetBusy)
    }

    /// Returns the code of a refusal for want of room: overload while the queue is standing,
    /// otherwise that the target is busy at the moment.
    fn busy_code(&self) -> Code {
        match self.queue.is_standing() {
            true => Code::Overload,
            false => Code::TargetBusy,
        }
    }

    /// Cuts the limit if the target has slowed down, and warns the entries of the requests that it
    /// works on.
    fn check_slowdown(&mut self, now: Time) -> Vec<GuardAction> {
        if !self.slowdown.is_slow(now, self.in_service()) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for running in self.running.iter_mut().filter(|running| running.is_in_service()) {
            let is_new = !std::mem::replace(&mut running.warned, true);
            if is_new && self.warning_budget.take(now, 1.0) {
                actions.push(GuardAction::Slow(running.id));
            }
        }
        actions.extend(self.cut_limit(now));
        actions
    }

    /// Returns how many requests the target works on.
    fn in_service(&self) -> usize {
        self.running.iter().filter(|running| running.is_in_service()).count()
    }
}

impl Running {
    /// Whether the target works on it: it has the whole body and has not begun to answer.
    fn is_in_service(&self) -> bool {
        self.body_received.is_some() && !self.answer_started
    }
}
