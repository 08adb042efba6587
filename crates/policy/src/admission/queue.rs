//! The requests that wait at one target: who has a place, who starts next, who is turned away.

use crate::room::{self, Job};
use crate::{Admission, Decision, Refusal, SlotRequest, Time};

/// Limit of waiting requests per slot; more could not start before their deadlines.
const WAITING_PER_SLOT: usize = 4;

/// The pause after which a request tries again to start at a cold target that keeps its room for
/// more urgent ones, in microseconds. The demand of these is counted over a second.
const RESERVED_WAIT_US: u64 = 20_000;

/// A request that waits for a slot or a probe.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) request: SlotRequest,
    pub(super) arrived: Time,
    /// When the request is refused if it has not started.
    pub(super) until: Time,
}

/// The order in which requests are served, lowest first: whether the aim can no longer be met, the
/// priority, the aim. Of equal priority, [`room::order`] refines it.
type Rank = (bool, u32, Time);

impl Admission {
    /// Returns how many starts a new request waits for.
    pub(super) fn starts_before(&self, now: Time, request: &SlotRequest) -> usize {
        let rank = self.rank(now, request);
        let others = || self.waiting.iter().map(|waiting| &waiting.request);
        let ahead = others().filter(|other| self.rank(now, other) <= rank).count();
        let first = others().map(|other| other.priority).min();
        let first =
            first.filter(|first| *first < request.priority && self.reserve.is_owed(now, *first));
        let lower = first.map(|first| others().filter(|other| other.priority > first).count());
        room::starts_before(ahead, lower)
    }

    /// Returns whether the queue has a place for a request. If it is full, the last in order gives
    /// way to one that goes before it, and is refused by the next [`Admission::poll`].
    pub(super) fn has_place(&mut self, now: Time, request: &SlotRequest) -> bool {
        if self.waiting.len() < self.slots as usize * WAITING_PER_SLOT {
            return true;
        }
        let ranks = self.waiting.iter().enumerate();
        let open = ranks.filter(|(_, waiting)| waiting.until > now);
        let last = open.map(|(at, waiting)| (self.rank(now, &waiting.request), at)).max();
        let Some((_, at)) = last.filter(|(rank, _)| *rank > self.rank(now, request)) else {
            return false;
        };
        self.waiting[at].until = now;
        true
    }

    /// Returns when [`Admission::poll`] is due if nothing else happens before; `Time::NEVER` if no
    /// request waits.
    pub fn due(&mut self, now: Time) -> Time {
        let earliest = self.waiting.iter().map(|waiting| waiting.until).min();
        let mut earliest = earliest.unwrap_or(Time::NEVER);
        let held = self.waiting.iter().any(|waiting| !self.may_start(now, &waiting.request));
        if held && self.has_room(now) {
            earliest = earliest.min(self.slowness.next_probe(now));
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
            let least_us = if self.has_room(now) { RESERVED_WAIT_US } else { 1_000 };
            earliest = earliest.min(self.warmth.next_room(now).max(now.after(least_us)));
        }
        earliest
    }

    /// Returns which waiting request starts now. `None` if none can.
    pub(super) fn next_start(&mut self, now: Time) -> Option<usize> {
        if self.waiting.is_empty() || !self.has_room(now) {
            return None;
        }
        let ready: Vec<usize> = (0..self.waiting.len())
            .filter(|at| {
                let request = &self.waiting[*at].request;
                self.may_start(now, request) && self.is_reserved_for(now, request.priority)
            })
            .collect();
        let jobs: Vec<Job> = ready.iter().map(|at| self.job(now, &self.waiting[*at])).collect();
        let order = room::order(now, self.knee.usable_slots(self.slots), &jobs);
        let is_owed = |priority| self.reserve.is_owed(now, priority);
        self.turns.next(&order, &jobs, is_owed).map(|at| ready[at])
    }

    /// Refuses the waiting requests that would need starts at twice the expected rate, since more
    /// urgent ones have come, and returns them by id.
    pub(super) fn refuse_hopeless(&mut self, now: Time) -> Vec<(u64, Decision)> {
        let waiting = self.waiting.iter().filter(|waiting| !waiting.request.elsewhere);
        let waiting: Vec<&Waiting> = waiting.collect();
        let jobs: Vec<Job> = waiting.iter().map(|waiting| self.job(now, waiting)).collect();
        let order = room::order(now, self.knee.usable_slots(self.slots), &jobs);
        let Some(first) = jobs.iter().map(|job| job.priority).min() else { return Vec::new() };
        let is_owed = self.reserve.is_owed(now, first);
        let mut hopeless = Vec::new();
        for (place, at) in order.into_iter().enumerate() {
            let job = &jobs[at];
            let before = |other: &&Job| other.priority > first && other.arrived < job.arrived;
            let lower =
                (is_owed && job.priority > first).then(|| jobs.iter().filter(before).count());
            let before = room::starts_before(place, lower);
            let wait_us = self.expected_wait_us(now, before) / 2;
            if now.after(wait_us) > waiting[at].until {
                hopeless.push(waiting[at].request.id);
            }
        }
        if hopeless.is_empty() {
            return Vec::new();
        }
        let refusal = self.lacks(now, Refusal::Full);
        self.waiting.retain(|waiting| !hopeless.contains(&waiting.request.id));
        hopeless.into_iter().map(|id| (id, Decision::Refuse(refusal))).collect()
    }

    /// Refuses the waiting requests that another target may take. They waited only for a probe, so
    /// this does nothing while there is room and the probe is not done.
    pub(super) fn refuse_redirectable(&mut self, now: Time) -> Vec<(u64, Decision)> {
        let has_room = self.has_room(now);
        if has_room && self.may_probe(now) && !self.slowness.is_fresh(now) {
            return Vec::new();
        }
        let refusal = if has_room { Refusal::Slow } else { self.lacks(now, Refusal::Busy) };
        let redirected = self.waiting.extract_if(.., |waiting| waiting.request.elsewhere);
        redirected.map(|waiting| (waiting.request.id, Decision::Refuse(refusal))).collect()
    }

    fn rank(&self, now: Time, request: &SlotRequest) -> Rank {
        let waiting = Waiting { request: *request, arrived: now, until: now };
        (self.job(now, &waiting).is_late(now, 0.0), request.priority, request.aim)
    }

    /// Returns a waiting request as the rules for the order see it.
    fn job(&self, now: Time, waiting: &Waiting) -> Job {
        let SlotRequest { priority, aim, work_us, .. } = waiting.request;
        let cold_ratio = if self.is_cold(now) { self.cold_ratio } else { 1.0 };
        let work_us = (work_us as f64 * self.slowness(now) * cold_ratio) as u64;
        Job { priority, aim, work_us, arrived: waiting.arrived }
    }

    /// Returns the expected wait of a request with `ahead` starts before it, in microseconds.
    pub(super) fn expected_wait_us(&self, now: Time, ahead: usize) -> u64 {
        let position = ahead as f64 + 1.0;
        let slots = f64::from(self.knee.usable_slots(self.slots).max(1));
        let cold_ratio = if self.is_cold(now) { self.cold_ratio } else { 1.0 };
        let by_slots = self.work_us * cold_ratio * position / slots;
        let by_rate = self.named.duration_us(position).max(self.warmth.wait_us(now, position));
        by_slots.max(by_rate) as u64
    }
}
