//! Admission control in front of one target: decides which requests run, wait or are refused.
//!
//! A target reports its VM's slowness in its answers and in health checks; a *probe* is a health
//! check that is made to learn it.

mod queue;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use self::queue::Waiting;
use crate::leftover::Leftover;
use crate::room::{self, Reserve, Run, Turns, Urgency};
use crate::slowness::Slowness;
use crate::{Exposure, Knee, NamedRate, Occupancy, Time, Warmth};

/// Work that is expected to take less than this starts without a probe, in microseconds: what it
/// can lose on a slow VM is less than a neighbour's busy period.
const SHORT_WORK_US: u64 = 40_000;
/// Below this slowness a VM's neighbours are taken to be idle.
const QUIET_RATIO: f64 = 1.5;
/// Weight of one answer in the exponentially weighted average of the work time.
const WORK_WEIGHT: f64 = 0.05;
/// How many times longer work is expected to take on a cold target than on a warm one before the
/// first answer tells.
const INITIAL_COLD_RATIO: f64 = 1.5;
/// The highest ratio that one answer counts for.
const MAX_COLD_RATIO: f64 = 5.0;
/// Weight of one answer in the exponentially weighted average of that ratio.
const COLD_WEIGHT: f64 = 0.1;
/// Work time that is assumed before the first answer, in microseconds.
const INITIAL_WORK_US: f64 = 100_000.0;
/// A request is overdue after this many times its expected time.
const OVERDUE_FACTOR: f64 = 4.0;
/// A request is not overdue before this time, in microseconds.
const MIN_OVERDUE_US: f64 = 200_000.0;
/// Overdue requests, without any answer since the first of them started, from which the target is
/// taken to be stalled.
const STALLED_REQUESTS: usize = 2;
/// Limit of a request's wait, as a share of the time to its deadline: a request that is refused
/// early can still be served when its caller retries.
const MAX_WAIT_SHARE: f64 = 0.4;

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Refusal {
    /// No target is known, or it cannot be reached.
    NoTarget,
    /// The target is leaving: it announced its shutdown or deregistered.
    Leaving,
    /// The target's data centre is out of service.
    Out,
    /// The node in front of the target is shutting down.
    Draining,
    /// The target is warming up and may not be sent more at the moment.
    Cold,
    /// No slot is free, but another target may have one.
    Busy,
    /// The VM is slow at the moment, but that of another target may not be.
    Slow,
    /// Too many requests wait for this one to be served in time.
    Full,
    /// The deadline passed before the request ran.
    Late,
    /// The target itself refused to run the request.
    Shed,
    /// The target is another instance than the one that the request was meant for.
    Misdirected,
    /// The request crashed targets before.
    Quarantined,
    /// The target named a limit of requests a second, and may not be sent more at the moment.
    Limited,
}

/// A request for one of the target's slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotRequest {
    /// Identifies the request at this guard.
    pub id: u64,
    /// 0 is served first.
    pub priority: u32,
    /// The latency objective: an answer after this time is late, but still of use.
    pub aim: Time,
    /// An answer after this time is of no use.
    pub deadline: Time,
    /// The expected work time on a VM that is not slow, in microseconds.
    pub work_us: u64,
    /// Whether its entry has other targets to try, so that it should not wait for a slot here.
    pub elsewhere: bool,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request runs now.
    Run,
    /// The request waits; a later call of [`Admission::poll`] returns the final decision.
    Wait,
    /// The request is not run here.
    Refuse(Refusal),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    id: u64,
    /// The expected work time, in microseconds.
    work_us: u64,
    /// How urgent it is, and so its calls.
    run: Run,
    /// When it started.
    begun: Time,
    /// When it is overdue.
    overdue: Time,
    /// How full the target was when the request started.
    occupancy: Occupancy,
    /// Whether the target was cold when the request started.
    cold: bool,
}

/// Admission control in front of one target: its slots, its warm-up and the slowness of its VM.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The target's concurrency limit.
    slots: u32,
    /// Requests that run; may be more than `slots` after `slots` was lowered.
    running: Vec<Running>,
    knee: Knee,
    /// What an earlier process left at the target.
    leftover: Leftover,
    /// In order of arrival.
    waiting: Vec<Waiting>,
    /// The share of lower priorities in the starts.
    turns: Turns,
    /// What of a cold target's limit is kept for urgent requests.
    reserve: Reserve,
    /// The limits of a cold target.
    warmth: Warmth,
    /// The limit that the target names.
    named: NamedRate,
    /// The limit of a version that is rolled out.
    exposure: Exposure,
    slowness: Slowness,
    /// Exponentially weighted average of the work time on a VM that is not slow, in microseconds.
    work_us: f64,
    /// How many times longer work takes while the target is cold; at least 1.
    cold_ratio: f64,
    /// When the target last answered.
    answered_at: Time,
    /// Overdue requests that were given up since then.
    unanswered: usize,
    /// Whether the target seems to answer nothing. Until it answers in time, it gets one request at
    /// a time.
    stalled: bool,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission {
            slots: 0,
            running: Vec::new(),
            knee: Knee::default(),
            leftover: Leftover::default(),
            waiting: Vec::new(),
            turns: Turns::default(),
            reserve: Reserve::default(),
            warmth: Warmth::default(),
            named: NamedRate::default(),
            exposure: Exposure::default(),
            slowness: Slowness::default(),
            work_us: INITIAL_WORK_US,
            cold_ratio: INITIAL_COLD_RATIO,
            answered_at: Time::default(),
            unanswered: 0,
            stalled: false,
        }
    }
}

impl Admission {
    /// Sets the target's concurrency limit. Requests that run already are not affected.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Records the requests that an earlier process left at the target, found before this one sent
    /// any. They take slots until the target reports fewer, or until the time `until`.
    pub fn found_pending(&mut self, count: u32, until: Time) {
        self.leftover.found(count, until);
    }

    /// Records how many requests the target reports to run or queue.
    pub fn reported_pending(&mut self, count: u32) {
        self.leftover.reported(count, self.running());
    }

    /// Returns what is known of the target's warmth, to record what it says.
    pub fn warmth_mut(&mut self) -> &mut Warmth {
        &mut self.warmth
    }

    /// Records that a health check is sent, which uses up what a limited target takes.
    pub fn check_sent(&mut self, now: Time) {
        self.warmth.sent(now);
        self.named.sent(now);
    }

    /// Returns whether a health check is due because the target may have become cold.
    pub fn needs_warmth_check(&mut self, now: Time) -> bool {
        self.warmth.needs_check(now)
    }

    /// Returns the limit that the target names.
    pub fn named(&self) -> &NamedRate {
        &self.named
    }

    /// Returns the limit that the target names, to record what it answers.
    pub fn named_mut(&mut self) -> &mut NamedRate {
        &mut self.named
    }

    /// Returns what the target's version may be sent.
    pub fn exposure(&self) -> &Exposure {
        &self.exposure
    }

    /// Returns what the target's version may be sent, to record orders and grants.
    pub fn exposure_mut(&mut self) -> &mut Exposure {
        &mut self.exposure
    }

    /// Forgets what an earlier target named.
    pub fn reset_named(&mut self) {
        self.named = NamedRate::default();
    }

    /// Records the slowness of the target's VM; 1 means as fast as usual.
    pub fn set_slowness(&mut self, now: Time, slowness: f64) {
        self.slowness.set(now, slowness);
    }

    /// Records that a probe did not report the VM's slowness. For a while work then starts without
    /// a probe.
    pub fn set_slowness_unknown(&mut self, now: Time) {
        self.slowness.set_unknown(now);
    }

    /// Returns whether a waiting request could start now if a probe found that the VM is not slow.
    pub fn needs_probe(&mut self, now: Time) -> bool {
        let waits = self.waiting.iter().any(|waiting| !self.may_start(now, &waiting.request));
        waits && self.may_probe(now) && !self.slowness.is_fresh(now) && self.has_room(now)
    }

    /// Returns how many times longer work takes when the target is nearly full; `None` until there
    /// are enough answers to tell.
    pub fn strain(&self) -> Option<f64> {
        self.knee.strain()
    }

    /// Sets the average of [`Admission::strain`] over the service's targets; `None` where no target
    /// has one.
    pub fn set_service_strain(&mut self, strain: Option<f64>) {
        self.knee.set_service_strain(strain);
    }

    /// Decides on a new request.
    pub fn admit(&mut self, now: Time, request: SlotRequest) -> Decision {
        if request.deadline <= now {
            return Decision::Refuse(Refusal::Late);
        }
        self.reserve.asked(now, request.priority);
        let has_room = self.has_room_for(now, request.priority);
        if request.elsewhere && has_room && self.slowness.is_slow(now) {
            return Decision::Refuse(Refusal::Slow);
        }
        let others_wait = self.waiting.iter().any(|waiting| !waiting.request.elsewhere);
        if has_room && !others_wait && self.may_start(now, &request) {
            self.begin(now, &request);
            return Decision::Run;
        }
        if request.elsewhere {
            let can_wait = has_room && !others_wait && self.waiting.len() < self.slots as usize;
            if can_wait && self.may_probe(now) && !self.slowness.is_fresh(now) {
                self.waiting.push(Waiting { request, arrived: now, until: request.deadline });
                return Decision::Wait;
            }
            return Decision::Refuse(self.lacks(now, Refusal::Busy));
        }
        let until = now.after((request.deadline.since(now) as f64 * MAX_WAIT_SHARE) as u64);
        let before = self.starts_before(now, &request);
        let starts_at = now.after(self.expected_wait_us(now, before));
        if starts_at >= until || !self.has_place(now, &request) {
            return Decision::Refuse(self.lacks(now, Refusal::Full));
        }
        self.waiting.push(Waiting { request, arrived: now, until });
        Decision::Wait
    }

    /// Returns what the target lacks to run another request: the refusal of its rate limits, or
    /// `otherwise`.
    fn lacks(&mut self, now: Time, otherwise: Refusal) -> Refusal {
        let is_cold = self.is_cold(now) || self.warmth.room(now) == Some(0);
        let is_limited = self.named.room(now) == Some(0) || self.exposure.room(now) == Some(0);
        match (is_cold, is_limited) {
            (true, _) => Refusal::Cold,
            (false, true) => Refusal::Limited,
            (false, false) => otherwise,
        }
    }

    /// Starts waiting requests that can run now, refuses those whose wait is over, and returns both
    /// by id.
    pub fn poll(&mut self, now: Time) -> Vec<(u64, Decision)> {
        let mut decided = Vec::new();
        self.waiting.retain(|waiting| {
            let may_wait = waiting.until > now;
            if !may_wait {
                decided.push((waiting.request.id, Decision::Refuse(Refusal::Full)));
            }
            may_wait
        });
        while let Some(at) = self.next_start(now) {
            let waiting = self.waiting.remove(at);
            self.begin(now, &waiting.request);
            decided.push((waiting.request.id, Decision::Run));
        }
        decided.extend(self.refuse_redirectable(now));
        decided.extend(self.refuse_hopeless(now));
        decided
    }

    /// Refuses all waiting requests with `refusal`, and returns them by id.
    pub fn refuse_waiting(&mut self, refusal: Refusal) -> Vec<(u64, Decision)> {
        let all = self.waiting.drain(..);
        all.map(|waiting| (waiting.request.id, Decision::Refuse(refusal))).collect()
    }

    /// Removes a waiting request without a decision. Returns whether it was waiting.
    pub fn withdraw(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.request.id != id);
        self.waiting.len() < before
    }

    /// Records that a running request ended. `took_us` is how long the target worked on it, in
    /// microseconds; `None` if it did not answer.
    pub fn done(&mut self, now: Time, id: u64, took_us: Option<u64>) {
        let Some(at) = self.running.iter().position(|running| running.id == id) else { return };
        let running = self.running.swap_remove(at);
        let Some(took_us) = took_us else {
            // One that was given up because the target did not answer counts as much as one that
            // still runs.
            if now >= running.overdue && self.answered_at < running.begun {
                self.unanswered += 1;
                self.stalled |= self.unanswered >= STALLED_REQUESTS;
            }
            return;
        };
        self.answered_at = now;
        self.unanswered = 0;
        self.stalled &= now >= running.overdue;
        let slowness = self.slowness(now);
        let normal_us = took_us as f64 / slowness.max(1.0);
        let ratio = normal_us / running.work_us.max(1) as f64;
        if running.cold {
            let ratio = ratio.clamp(1.0, MAX_COLD_RATIO);
            self.cold_ratio += (ratio - self.cold_ratio) * COLD_WEIGHT;
            return;
        }
        self.work_us += (normal_us - self.work_us) * WORK_WEIGHT;
        if slowness < QUIET_RATIO {
            self.knee.answered(running.occupancy, took_us as f64 / running.work_us.max(1) as f64);
        }
    }

    /// Returns how many requests could start now; if any wait, their number, negated.
    pub fn free_slots(&mut self, now: Time) -> i32 {
        if !self.waiting.is_empty() {
            return -(self.waiting.len() as i32);
        }
        let slots = self.limit(now).saturating_sub(self.running());
        let room = slots.min(self.warmth.room(now).unwrap_or(u32::MAX));
        let room = room.min(self.named.room(now).unwrap_or(u32::MAX));
        let room = room.min(self.exposure.room(now).unwrap_or(u32::MAX));
        room as i32
    }

    /// Returns how urgent a call is that the target makes, from the running request that it belongs
    /// to: both expire together. `None` if no running request matches.
    pub fn parent(&self, now: Time, deadline: Time) -> Option<Urgency> {
        room::parent(now, deadline, self.running.iter().map(|running| running.run))
    }

    /// Returns the likely priority of a call that the target makes for one of the running requests.
    /// `None` if all of them expire before it.
    pub fn likely_priority(&self, deadline: Time) -> Option<u32> {
        room::likely_priority(deadline, self.running.iter().map(|running| running.run))
    }

    /// Returns the number of running requests; above [`Admission::slots`] after that was lowered.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the target's concurrency limit as it was set.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the VM's slowness; 1 if there was no recent report.
    pub fn slowness(&self, now: Time) -> f64 {
        self.slowness.ratio(now)
    }

    /// Returns the VM's slowness; `None` if there was no recent report.
    pub fn known_slowness(&self, now: Time) -> Option<f64> {
        self.slowness.known(now)
    }

    /// Returns whether work that starts now may take longer because of the VM, as far as its slowness is
    /// known. Short work that starts without a probe is taken not to.
    pub fn may_be_slow(&self, now: Time, work_us: u64) -> bool {
        match self.known_slowness(now) {
            Some(slowness) => slowness >= QUIET_RATIO,
            None if work_us < SHORT_WORK_US => false,
            None => self.slowness.is_reported() || self.answered_at == Time::default(),
        }
    }

    /// Returns the average work time on a VM that is not slow, in microseconds.
    pub fn work_us(&self) -> u64 {
        self.work_us as u64
    }

    /// Returns whether the target is still warming up, so that its request rate is limited.
    pub fn is_cold(&self, now: Time) -> bool {
        self.warmth.is_cold(now)
    }

    /// Returns how long the oldest waiting request has waited, in microseconds; 0 if none waits.
    pub fn oldest_wait_us(&self, now: Time) -> u64 {
        self.waiting.iter().map(|waiting| now.since(waiting.arrived)).max().unwrap_or_default()
    }

    fn begin(&mut self, now: Time, request: &SlotRequest) {
        let SlotRequest { id, work_us, priority, aim, deadline, .. } = *request;
        let occupancy = match self.slowness(now) < QUIET_RATIO && !self.is_cold(now) {
            true => Knee::occupancy(self.running() + 1, self.slots),
            false => Occupancy::Unclear,
        };
        let cold = self.is_cold(now);
        let cold_ratio = if cold { self.cold_ratio } else { 1.0 };
        let expected_us = work_us as f64 * self.slowness(now) * cold_ratio;
        let overdue = now.after((expected_us * OVERDUE_FACTOR).max(MIN_OVERDUE_US) as u64);
        let run = Run { priority, aim, deadline, ends: now.after(expected_us as u64) };
        self.running.push(Running { id, work_us, run, begun: now, overdue, occupancy, cold });
        self.reserve.started(now, priority);
        self.warmth.sent(now);
        self.named.sent(now);
        self.exposure.sent(now);
    }

    fn has_room(&mut self, now: Time) -> bool {
        let rate_allows = self.warmth.room(now) != Some(0);
        let limit_allows = self.named.room(now) != Some(0) && self.exposure.room(now) != Some(0);
        rate_allows && limit_allows && self.running() < self.limit(now)
    }

    /// Returns whether there is room that is not kept for more urgent requests.
    fn has_room_for(&mut self, now: Time, priority: u32) -> bool {
        self.has_room(now) && self.is_reserved_for(now, priority)
    }

    /// Returns whether the room that there is may be used by requests of a priority.
    fn is_reserved_for(&self, now: Time, priority: u32) -> bool {
        let limit = self.warmth.cold_limit(now);
        limit.is_none_or(|limit| self.reserve.allows(now, priority, limit))
    }

    /// Returns how many requests may run at once: one while the target is stalled.
    fn limit(&mut self, now: Time) -> u32 {
        let is_overdue = |running: &&Running| now >= running.overdue;
        let mut overdue = self.running.iter().filter(is_overdue);
        let is_stalled = overdue.clone().count() >= STALLED_REQUESTS
            && overdue.all(|running| self.answered_at < running.begun);
        self.stalled |= is_stalled;
        if self.stalled {
            return 1;
        }
        self.knee.usable_slots(self.slots).saturating_sub(self.leftover.count(now)).max(1)
    }

    /// Returns whether the VM's slowness may be probed. A cold target and one that names a limit take
    /// few requests, and health checks may count as such.
    fn may_probe(&self, now: Time) -> bool {
        !self.is_cold(now) && self.named.per_s().is_none()
    }

    /// Returns whether work may start as far as the VM's slowness goes. Of a target that names a
    /// limit only what its answers report is known.
    fn may_start(&self, now: Time, request: &SlotRequest) -> bool {
        let is_short = request.work_us < SHORT_WORK_US;
        let is_held = self.slowness.is_reported() && !is_short && !self.slowness.is_lasting(now);
        let needs_quiet = is_held && !self.is_cold(now);
        let is_known = self.slowness.is_fresh(now) || !self.may_probe(now);
        !needs_quiet || self.slowness.is_unprobed(now) || is_known && !self.slowness.is_slow(now)
    }
}
