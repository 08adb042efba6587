//! The guard: the one counter in front of one target.

use world::{Announcement, Class, Code, TargetState};

use crate::queue::{Queue, QueuedRequest};
use crate::{Limit, Load, Pace, Phase, Time, TokenBucket};

/// A target that has not announced itself for this long is taken for dead.
const SILENCE_US: u64 = 3_000_000;
/// Waiting requests per running one, at most.
const QUEUE_PER_SLOT: usize = 2;
/// Waiting requests per running one in a queue that stands, at most.
const STANDING_PER_SLOT: f64 = 0.25;
/// Load reports that a guard sends in a second, at most, but for changes of phase.
const REPORT_RATE: f64 = 210.0;
/// Warnings that the target slowed down that a guard sends in a second, at most.
const WARNING_RATE: f64 = 7.0;
/// Warnings that may be saved up.
const WARNING_BURST: f64 = 16.0;
/// Load reports that may be saved up.
const REPORT_BURST: f64 = 20.0;

/// What the rules say about the target's service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupSettings {
    /// What a cold target bears at once, above zero.
    pub cold_slots: u32,
    /// Answers after which a cold target bears one more at once, above zero.
    pub warm_answers: u32,
}

/// A request that asks to run.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRequest {
    /// Unique at this guard.
    pub id: u64,
    /// Its class.
    pub class: Class,
    /// When its answer must begin.
    pub deadline: Time,
    /// Whether it runs at once or not at all, as a hedge does.
    pub spare: bool,
}

/// What the guard's owner must do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GuardAction {
    /// Dispatch this request to the target now.
    Run(u64),
    /// Refuse this request; it was not dispatched.
    Refuse(u64, Code),
    /// Tell this request's entry that the target slowed down while it runs there.
    Slow(u64),
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The target answered, and its whole answer was taken.
    Answered,
    /// The target said that it did not run the request.
    Shed,
    /// The connection broke while the target ran it.
    Broken,
    /// The caller gave up, or the deadline passed.
    Cancelled,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    id: u64,
    /// When it was dispatched.
    sent: Time,
    /// When the target had its whole body; never before that.
    begun: Option<Time>,
    /// Whether its answer began.
    headed: bool,
    /// Whether its entry was told that the target slowed down.
    warned: bool,
}

/// The state in front of one target. All work for the target passes through it.
#[derive(Clone, Debug)]
pub struct Guard {
    settings: WarmupSettings,
    /// None until a target announced itself.
    target: Option<Announcement>,
    heard: Time,
    limit: Limit,
    pace: Pace,
    queue: Queue,
    /// Sorted by id; never more than the limit at the time of a dispatch.
    running: Vec<Running>,
    /// The node drains.
    draining: bool,
    /// The operators took the data centre out.
    out: bool,
    seq: u32,
    reports: TokenBucket,
    warnings: TokenBucket,
    /// The phase of the last report.
    told: Phase,
    /// Limit cuts since the guard opened.
    cuts: u64,
}

impl Guard {
    /// Opens a guard without a target.
    pub fn new(now: Time, settings: WarmupSettings) -> Guard {
        Guard {
            settings,
            target: None,
            heard: now,
            limit: Limit::new(0, settings.cold_slots, settings.warm_answers, now),
            pace: Pace::default(),
            queue: Queue::new(),
            running: Vec::new(),
            draining: false,
            out: false,
            seq: 0,
            reports: TokenBucket::new(REPORT_BURST, REPORT_RATE),
            warnings: TokenBucket::new(WARNING_BURST, WARNING_RATE),
            told: Phase::Down,
            cuts: 0,
        }
    }

    /// Sets how many load reports are sent in a second, at most, but for changes of phase.
    pub fn set_report_rate(&mut self, rate: f64) {
        self.reports = TokenBucket::new(REPORT_BURST, rate);
    }

    /// Takes over changed rules. They hold from the target's next start or fall.
    pub fn configure(&mut self, settings: WarmupSettings) {
        self.settings = settings;
    }

    /// Returns the target's announcement, where it is up.
    pub fn target(&self) -> Option<&Announcement> {
        self.target.as_ref()
    }

    /// Returns how many requests run and wait.
    pub fn pending(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns how often the limit was cut.
    pub fn limit_cuts(&self) -> u64 {
        self.cuts
    }

    /// Takes in a target's announcement or heartbeat. Returns whether the target is another one.
    pub fn announced(&mut self, now: Time, announcement: Announcement) -> bool {
        let known = self.target.as_ref().map(|target| (target.incarnation, target.state));
        if known.is_some_and(|(incarnation, _)| incarnation > announcement.incarnation) {
            return false;
        }
        self.heard = now;
        let fresh = known.is_none_or(|(incarnation, _)| incarnation < announcement.incarnation);
        if fresh {
            let WarmupSettings { cold_slots, warm_answers } = self.settings;
            self.limit = Limit::new(announcement.slots, cold_slots, warm_answers, now);
            self.pace = Pace::default();
        }
        self.limit.set_slots(announcement.slots);
        let was_cold = known.is_some_and(|(_, state)| state == TargetState::Cold);
        if announcement.state == TargetState::Cold && !was_cold && !fresh {
            self.limit.cut(now);
        }
        self.target = Some(announcement);
        fresh
    }

    /// Marks the target as dead. What waits is refused; what runs ends by its own connections.
    pub fn target_down(&mut self) -> Vec<GuardAction> {
        self.target = None;
        self.refuse_all(Code::NoTarget)
    }

    /// Begins to drain: nothing new is taken, what waits is refused, what runs ends.
    pub fn drain(&mut self) -> Vec<GuardAction> {
        self.draining = true;
        self.refuse_all(Code::ShuttingDown)
    }

    /// Marks the data centre as out or in. On its return the target ramps as if cold.
    pub fn set_out(&mut self, now: Time, out: bool) -> Vec<GuardAction> {
        let back = self.out && !out;
        self.out = out;
        match out {
            true => self.refuse_all(Code::OutOfService),
            false if back => self.cut(now),
            false => Vec::new(),
        }
    }

    /// Decides on a request. No action for it means that it waits.
    pub fn submit(&mut self, now: Time, offer: DispatchRequest) -> Vec<GuardAction> {
        let mut actions = self.check_pace(now);
        actions.extend(self.expire(now));
        let decision = self.decide(now, &offer, &mut actions);
        actions.extend(decision);
        actions
    }

    /// Notes that the target has the whole body of a request, so that its service time begins.
    pub fn body_received(&mut self, now: Time, id: u64) {
        self.pace.pass(now, self.working());
        if let Ok(at) = self.find(id) {
            self.running[at].begun.get_or_insert(now);
        }
    }

    /// Notes that the target began to answer, and whether with success.
    pub fn answer_started(&mut self, now: Time, id: u64, success: bool) {
        self.pace.pass(now, self.working());
        let Ok(at) = self.find(id) else { return };
        let running = &mut self.running[at];
        running.headed = true;
        if let Some(begun) = running.begun.filter(|_| success) {
            let service_us = now.since(begun) as f64;
            self.pace.answered(service_us);
            self.limit.answered(running.sent, service_us);
        }
    }

    /// Takes in how a dispatched request ended, and its place is free again.
    pub fn done(&mut self, now: Time, id: u64, outcome: DispatchOutcome) -> Vec<GuardAction> {
        self.pace.pass(now, self.working());
        let Ok(at) = self.find(id) else { return Vec::new() };
        self.running.remove(at);
        let mut actions = match outcome {
            DispatchOutcome::Shed | DispatchOutcome::Broken => self.cut(now),
            DispatchOutcome::Answered | DispatchOutcome::Cancelled => Vec::new(),
        };
        actions.extend(self.expire(now));
        self.start(now, &mut actions);
        actions
    }

    /// Withdraws a request that waits.
    pub fn withdraw(&mut self, id: u64) -> bool {
        self.queue.remove(id)
    }

    /// Does what is due by time alone. To be called every 2 ms while
    /// requests wait, and every 10 ms while any runs.
    pub fn tick(&mut self, now: Time) -> Vec<GuardAction> {
        if self.target.is_some() && now.since(self.heard) > SILENCE_US {
            return self.target_down();
        }
        let mut actions = self.check_pace(now);
        actions.extend(self.expire(now));
        self.start(now, &mut actions);
        actions
    }

    /// Returns the load report for the next frame to an entry, where it is worth its bytes: at a
    /// change of phase always, otherwise within a budget.
    pub fn report(&mut self, now: Time) -> Option<Load> {
        let phase = self.phase();
        let is_due = phase != self.told || self.reports.take(now, 1.0);
        self.told = phase;
        is_due.then(|| self.load())
    }

    /// Returns the load report, whatever it costs.
    pub fn load(&mut self) -> Load {
        self.seq += 1;
        let service_us = self.limit.service_us();
        Load::new(self.phase(), self.seq, self.limit.limit(), self.pending(), service_us)
    }

    /// Returns what the target can take.
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
        offer: &DispatchRequest,
        actions: &mut Vec<GuardAction>,
    ) -> Option<GuardAction> {
        if let Some(code) = self.closed() {
            return Some(GuardAction::Refuse(offer.id, code));
        }
        if offer.deadline <= now {
            return Some(GuardAction::Refuse(offer.id, Code::DeadlinePassed));
        }
        if self.queue.is_empty() && self.has_room() {
            return Some(self.run(now, offer.id));
        }
        if offer.spare {
            return Some(GuardAction::Refuse(offer.id, Code::TargetBusy));
        }
        let waiting = QueuedRequest {
            id: offer.id,
            class: offer.class,
            arrived: now,
            deadline: offer.deadline,
        };
        if self.is_worth_waiting(now, offer) {
            self.queue.push(waiting);
            return None;
        }
        self.queue.note_refusal(now);
        let code = self.full();
        let Some(evicted) = self.queue.evict_below(offer.class) else {
            return Some(GuardAction::Refuse(offer.id, code));
        };
        actions.push(GuardAction::Refuse(evicted.id, code));
        self.queue.push(waiting);
        None
    }

    fn find(&self, id: u64) -> Result<usize, usize> {
        self.running.binary_search_by_key(&id, |running| running.id)
    }

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

    fn is_worth_waiting(&self, now: Time, offer: &DispatchRequest) -> bool {
        let limit = self.limit.limit().max(1) as usize;
        let can_wait = self.queue.is_standing() && offer.class >= Class::Normal;
        let places = match can_wait {
            true => (limit as f64 * STANDING_PER_SLOT) as usize,
            false => limit * QUEUE_PER_SLOT,
        };
        if self.queue.len() >= places {
            return false;
        }
        let ahead = self.queue.ahead(offer.class) + 1;
        let wait_us = self.limit.service_us() * ahead as f64 / limit as f64;
        let patience_us = self.queue.max_wait_us(offer.class) as f64;
        wait_us <= patience_us && now.after(wait_us as u64) < offer.deadline
    }

    fn run(&mut self, now: Time, id: u64) -> GuardAction {
        let at = self.running.partition_point(|running| running.id < id);
        self.running
            .insert(at, Running { id, sent: now, begun: None, headed: false, warned: false });
        GuardAction::Run(id)
    }

    fn start(&mut self, now: Time, actions: &mut Vec<GuardAction>) {
        while self.closed().is_none() && self.has_room() {
            let Some(waiting) = self.queue.pop() else { return };
            let action = self.run(now, waiting.id);
            actions.push(action);
        }
    }

    fn expire(&mut self, now: Time) -> Vec<GuardAction> {
        self.queue.observe(now, self.limit.limit() as usize);
        let gone = self.queue.expire(now);
        gone.into_iter().map(|(waiting, code)| GuardAction::Refuse(waiting.id, code)).collect()
    }

    fn refuse_all(&mut self, code: Code) -> Vec<GuardAction> {
        let all = self.queue.clear();
        all.into_iter().map(|waiting| GuardAction::Refuse(waiting.id, code)).collect()
    }

    /// Cuts the limit, and refuses what waits: it is served sooner elsewhere.
    fn cut(&mut self, now: Time) -> Vec<GuardAction> {
        self.pace.restart();
        if !self.limit.cut(now) {
            return Vec::new();
        }
        self.cuts += 1;
        self.refuse_all(Code::TargetBusy)
    }

    /// Returns why there is no room: for want of capacity, or only just now.
    fn full(&self) -> Code {
        match self.queue.is_standing() {
            true => Code::Overload,
            false => Code::TargetBusy,
        }
    }

    fn check_pace(&mut self, now: Time) -> Vec<GuardAction> {
        if !self.pace.is_slow(now, self.working()) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for running in self.running.iter_mut().filter(|running| running.is_worked_on()) {
            let is_new = !std::mem::replace(&mut running.warned, true);
            if is_new && self.warnings.take(now, 1.0) {
                actions.push(GuardAction::Slow(running.id));
            }
        }
        actions.extend(self.cut(now));
        actions
    }

    /// Returns how many requests the target works on.
    fn working(&self) -> usize {
        self.running.iter().filter(|running| running.is_worked_on()).count()
    }
}

impl Running {
    fn is_worked_on(&self) -> bool {
        self.begun.is_some() && !self.headed
    }
}
