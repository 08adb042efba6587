//! Admission control in front of one target: decides which requests run, wait or are refused.
//!
//! A VM shares its host with neighbours that slow it down for about a tenth of a second at a time.
//! Its *slowness* is how many times longer work takes on it than usual. The target reports it in
//! its answers and in health checks; a *probe* is a health check that is made to learn it.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Exposure, Knee, NamedRate, Occupancy, Time, Warmth};

/// A reported slowness is used for this long, in microseconds: neighbours keep a VM busy for about
/// a tenth of a second at a time.
const SLOWNESS_VALID_US: u64 = 100_000;
/// Long work starts only if the slowness was reported within this time, in microseconds: few VMs
/// change within a sixth of a neighbour's busy period.
const SLOWNESS_FRESH_US: u64 = 25_000;
/// Work that is expected to take less than this starts without a probe, in microseconds: what it
/// can lose on a slow VM is less than a neighbour's busy period.
const SHORT_WORK_US: u64 = 40_000;
/// A VM that has been slow for this long is expected to stay slow, and work is no longer held back,
/// in microseconds. It is four times a neighbour's busy period.
const LASTING_SLOW_US: u64 = 600_000;
/// After a probe that did not report the slowness, work starts without a probe for this long, in
/// microseconds.
const UNPROBED_US: u64 = 1_000_000;
/// A VM is slow from this slowness on: requests go to another target that has room, and long work
/// waits until the VM is fast again, because its duration is settled by the slowness at its start.
const SLOW_RATIO: f64 = 2.0;
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
/// How many times its expected time a request is taken to need where its aim is at stake, since
/// about half of all work takes longer than expected.
const AIM_MARGIN: f64 = 1.15;
/// Work time that is assumed before the first answer, in microseconds.
const INITIAL_WORK_US: f64 = 100_000.0;
/// A request is overdue after this many times its expected time.
const OVERDUE_FACTOR: f64 = 4.0;
/// A request is not overdue before this time, in microseconds.
const MIN_OVERDUE_US: f64 = 200_000.0;
/// Overdue requests, without any answer since the first of them started, from which the target is
/// taken to be stalled.
const STALLED_REQUESTS: usize = 2;
/// Limit of waiting requests per slot; more could not start before their deadlines.
const WAITING_PER_SLOT: usize = 4;
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
struct Waiting {
    request: SlotRequest,
    arrived: Time,
    /// When the request is refused if it has not started.
    until: Time,
}

/// The order in which requests are served, lowest first: whether the aim can no longer be met, the
/// priority, the aim.
type Rank = (bool, u32, Time);

#[derive(Clone, Copy, Debug)]
struct Running {
    id: u64,
    /// The expected work time, in microseconds.
    work_us: u64,
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
    /// In order of arrival.
    waiting: Vec<Waiting>,
    /// The limits of a cold target.
    warmth: Warmth,
    /// The limit that the target names.
    named: NamedRate,
    /// The limit of a version that is rolled out.
    exposure: Exposure,
    slowness: f64,
    slowness_at: Time,
    /// Since when every report found the VM slow.
    slow_since: Option<Time>,
    /// Whether the target ever reported its VM's slowness.
    reports_slowness: bool,
    /// Until when work starts without a probe.
    unprobed_until: Time,
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
            waiting: Vec::new(),
            warmth: Warmth::default(),
            named: NamedRate::default(),
            exposure: Exposure::default(),
            slowness: 1.0,
            slowness_at: Time::default(),
            slow_since: None,
            reports_slowness: false,
            unprobed_until: Time::default(),
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
        self.slowness = slowness;
        self.slowness_at = now;
        self.reports_slowness = true;
        self.slow_since = match slowness >= SLOW_RATIO {
            true => self.slow_since.or(Some(now)),
            false => None,
        };
    }

    /// Records that a probe did not report the VM's slowness. For a while work then starts without
    /// a probe.
    pub fn set_slowness_unknown(&mut self, now: Time) {
        self.unprobed_until = now.after(UNPROBED_US);
    }

    /// Returns whether a waiting request could start now if a probe found that the VM is not slow.
    pub fn needs_probe(&mut self, now: Time) -> bool {
        let waits = self.waiting.iter().any(|waiting| !self.may_start(now, &waiting.request));
        waits && self.may_probe(now) && !self.is_slowness_fresh(now) && self.has_room(now)
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
        let has_room = self.has_room(now);
        if request.elsewhere && has_room && self.is_slow(now) {
            return Decision::Refuse(Refusal::Slow);
        }
        let others_wait = self.waiting.iter().any(|waiting| !waiting.request.elsewhere);
        if has_room && !others_wait && self.may_start(now, &request) {
            self.begin(now, &request);
            return Decision::Run;
        }
        if request.elsewhere {
            let can_wait = has_room && !others_wait && self.waiting.len() < self.slots as usize;
            if can_wait && self.may_probe(now) && !self.is_slowness_fresh(now) {
                self.waiting.push(Waiting { request, arrived: now, until: request.deadline });
                return Decision::Wait;
            }
            return Decision::Refuse(self.lacks(now, Refusal::Busy));
        }
        let until = now.after((request.deadline.since(now) as f64 * MAX_WAIT_SHARE) as u64);
        let rank = self.rank(now, &request);
        let ahead = self.waiting.iter().filter(|other| self.rank(now, &other.request) <= rank);
        let starts_at = now.after(self.expected_wait_us(now, ahead.count()));
        let most = self.slots as usize * WAITING_PER_SLOT;
        if self.waiting.len() >= most || starts_at >= until {
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
        while self.has_room(now) {
            let waiting = self.waiting.iter().enumerate();
            let ready = waiting.filter(|(_, waiting)| self.may_start(now, &waiting.request));
            let ranks = ready.map(|(at, waiting)| (self.rank(now, &waiting.request), at));
            let Some((_, at)) = ranks.min() else { break };
            let waiting = self.waiting.remove(at);
            self.begin(now, &waiting.request);
            decided.push((waiting.request.id, Decision::Run));
        }
        decided.extend(self.refuse_redirectable(now));
        decided
    }

    /// Refuses the waiting requests that another target may take. They waited only for a probe, so
    /// this does nothing while there is room and the probe is not done.
    fn refuse_redirectable(&mut self, now: Time) -> Vec<(u64, Decision)> {
        let has_room = self.has_room(now);
        if has_room && self.may_probe(now) && !self.is_slowness_fresh(now) {
            return Vec::new();
        }
        let refusal = if has_room { Refusal::Slow } else { self.lacks(now, Refusal::Busy) };
        let redirected = self.waiting.extract_if(.., |waiting| waiting.request.elsewhere);
        redirected.map(|waiting| (waiting.request.id, Decision::Refuse(refusal))).collect()
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

    /// Returns when [`Admission::poll`] is due if nothing else happens before; `Time::NEVER` if no
    /// request waits.
    pub fn due(&mut self, now: Time) -> Time {
        let earliest = self.waiting.iter().map(|waiting| waiting.until).min();
        let mut earliest = earliest.unwrap_or(Time::NEVER);
        let held = self.waiting.iter().any(|waiting| !self.may_start(now, &waiting.request));
        if held && self.has_room(now) {
            // A probe that is due is already under way.
            let next_probe = self.slowness_at.after(SLOWNESS_FRESH_US);
            earliest = earliest.min(if next_probe > now {
                next_probe
            } else {
                now.after(SLOWNESS_FRESH_US)
            });
        }
        if self.waiting.is_empty() {
            return earliest;
        }
        if self.named.room(now) == Some(0) {
            earliest = earliest.min(self.named.next_room(now));
        }
        if self.exposure.room(now) == Some(0) {
            earliest = earliest.min(self.exposure.next_room(now).max(now.after(1_000)));
        }
        if self.is_cold(now) || self.warmth.room(now) == Some(0) {
            earliest = earliest.min(self.warmth.next_room(now).max(now.after(1_000)));
        }
        earliest
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
        match now.since(self.slowness_at) < SLOWNESS_VALID_US {
            true => self.slowness,
            false => 1.0,
        }
    }

    /// Returns the VM's slowness; `None` if there was no recent report.
    pub fn known_slowness(&self, now: Time) -> Option<f64> {
        let known = self.reports_slowness && now.since(self.slowness_at) < SLOWNESS_VALID_US;
        known.then_some(self.slowness)
    }

    /// Returns whether work that starts now may take longer because of the VM, as far as its slowness is
    /// known. Short work that starts without a probe is taken not to.
    pub fn may_be_slow(&self, now: Time, work_us: u64) -> bool {
        match self.known_slowness(now) {
            Some(slowness) => slowness >= QUIET_RATIO,
            None if work_us < SHORT_WORK_US => false,
            None => self.reports_slowness || self.answered_at == Time::default(),
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
        let SlotRequest { id, work_us, .. } = *request;
        let occupancy = match self.slowness(now) < QUIET_RATIO && !self.is_cold(now) {
            true => Knee::occupancy(self.running() + 1, self.slots),
            false => Occupancy::Unclear,
        };
        let cold = self.is_cold(now);
        let cold_ratio = if cold { self.cold_ratio } else { 1.0 };
        let expected_us = work_us as f64 * self.slowness(now) * cold_ratio;
        let overdue = now.after((expected_us * OVERDUE_FACTOR).max(MIN_OVERDUE_US) as u64);
        self.running.push(Running { id, work_us, begun: now, overdue, occupancy, cold });
        self.warmth.sent(now);
        self.named.sent(now);
        self.exposure.sent(now);
    }

    fn has_room(&mut self, now: Time) -> bool {
        let rate_allows = self.warmth.room(now) != Some(0);
        let limit_allows = self.named.room(now) != Some(0) && self.exposure.room(now) != Some(0);
        rate_allows && limit_allows && self.running() < self.limit(now)
    }

    /// Returns how many requests may run at once: one while the target is stalled.
    fn limit(&mut self, now: Time) -> u32 {
        let is_overdue = |running: &&Running| now >= running.overdue;
        let mut overdue = self.running.iter().filter(is_overdue);
        let is_stalled = overdue.clone().count() >= STALLED_REQUESTS
            && overdue.all(|running| self.answered_at < running.begun);
        self.stalled |= is_stalled;
        if self.stalled { 1 } else { self.knee.usable_slots(self.slots) }
    }

    fn is_slow(&self, now: Time) -> bool {
        self.slowness(now) >= SLOW_RATIO
    }

    fn is_slowness_fresh(&self, now: Time) -> bool {
        now.since(self.slowness_at) < SLOWNESS_FRESH_US || now < self.unprobed_until
    }

    /// Returns whether the VM's slowness may be probed. A cold target and one that names a limit take
    /// few requests, and health checks may count as such.
    fn may_probe(&self, now: Time) -> bool {
        !self.is_cold(now) && self.named.per_s().is_none()
    }

    /// Returns whether work may start as far as the VM's slowness goes. Of a target that names a
    /// limit only what its answers report is known.
    fn may_start(&self, now: Time, request: &SlotRequest) -> bool {
        let is_lasting = self.slow_since.is_some_and(|since| now.since(since) >= LASTING_SLOW_US);
        let is_short = request.work_us < SHORT_WORK_US;
        let needs_quiet = self.reports_slowness && !is_short && !is_lasting && !self.is_cold(now);
        let is_known = self.is_slowness_fresh(now) || !self.may_probe(now);
        !needs_quiet || now < self.unprobed_until || is_known && !self.is_slow(now)
    }

    fn rank(&self, now: Time, request: &SlotRequest) -> Rank {
        let cold_ratio = if self.is_cold(now) { self.cold_ratio } else { 1.0 };
        let work_us = request.work_us as f64 * self.slowness(now) * cold_ratio;
        let done = now.after((work_us * AIM_MARGIN) as u64);
        (done > request.aim, request.priority, request.aim)
    }

    /// Returns the expected wait of a request with `ahead` others before it, in microseconds.
    fn expected_wait_us(&self, now: Time, ahead: usize) -> u64 {
        let position = ahead as f64 + 1.0;
        let slots = f64::from(self.knee.usable_slots(self.slots).max(1));
        let cold_ratio = if self.is_cold(now) { self.cold_ratio } else { 1.0 };
        let by_slots = self.work_us * cold_ratio * position / slots;
        let by_rate = self.named.duration_us(position).max(self.warmth.wait_us(now, position));
        by_slots.max(by_rate) as u64
    }
}
