//! Admission in front of one target: what runs, what waits, and what is refused at once.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Knee, Occupancy, RateWindow, Time};

/// Knowledge of how slow the target's VM is lasts this long, in microseconds: neighbours keep a VM
/// busy for about a tenth of a second at a time.
const SLOWNESS_US: u64 = 100_000;
/// Long work starts only where how slow the VM is was seen within this time, in microseconds: in a
/// sixth of a neighbour's spell few VMs change.
const FRESH_US: u64 = 25_000;
/// Work that is expected to take less than this starts without a look, in microseconds: what it
/// may lose on a slow VM is less than a neighbour's spell.
const LONG_US: u64 = 40_000;
/// A VM that was slow for longer stays so, in microseconds: four times a neighbour's spell. Work is
/// not held back there.
const HOLD_US: u64 = 600_000;
/// After a look that told nothing work starts without one for this long, in microseconds.
const BLIND_US: u64 = 1_000_000;
/// A VM this many times slower than usual is left where another target has room, and long work
/// waits for it to be quiet: how long work takes is settled when it starts.
const SLOW: f64 = 2.0;
/// A VM less than this many times slower than usual has quiet neighbours.
const QUIET: f64 = 1.5;
/// Weight of one answer in the moving mean of the time that work takes.
const WORK_WEIGHT: f64 = 0.05;
/// Time that work is taken to need before any answer, in microseconds.
const WORK_US: f64 = 100_000.0;
/// Requests that wait per slot, at most; more could not start before their deadlines.
const WAITING_PER_SLOT: usize = 4;
/// The share of the time to its deadline that a request waits, at most: one that is refused in time
/// can still be served when its caller comes back.
const PATIENCE: f64 = 0.4;

/// Why a request is not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Refusal {
    /// No target is known or reachable.
    NoTarget,
    /// The target leaves.
    Leaving,
    /// The data centre is out of service.
    Out,
    /// The node shuts down.
    Draining,
    /// The target is cold and has what it bears.
    Cold,
    /// Every slot is taken, and another target may have one.
    Busy,
    /// The VM is slow just now, and another target may not be.
    Slow,
    /// Too much waits for the request to be served in time.
    Full,
    /// The deadline passed before it ran.
    Late,
    /// The target itself did not run it.
    Shed,
    /// The target is another instance than the one that was named.
    Misdirected,
    /// It crashed its targets before.
    Quarantined,
}

/// A request that asks to run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotRequest {
    /// Unique at this guard.
    pub id: u64,
    /// 0 is served first.
    pub priority: u32,
    /// When its answer is worth less.
    pub aim: Time,
    /// When its answer is worth nothing any more.
    pub deadline: Time,
    /// How long the target is expected to work on it, in microseconds.
    pub work_us: u64,
    /// Whether its entry has other targets to try, so that it should not wait here.
    pub elsewhere: bool,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs now.
    Run,
    /// It waits; a later call returns it.
    Wait,
    /// It is not run here.
    Refuse(Refusal),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    offering: SlotRequest,
    arrived: Time,
    /// When it is refused if it has not started.
    until: Time,
}

/// The order in which requests are served: what can still meet its aim first, by priority, the
/// nearest aim first.
type Rank = (bool, u32, Time);

#[derive(Clone, Copy, Debug)]
struct Running {
    id: u64,
    /// How long it was expected to take, in microseconds.
    work_us: u64,
    /// How full the target was when it started.
    usage: Occupancy,
}

/// What a cold target bears.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Warmup {
    until: Time,
    /// Requests in any second.
    most: u32,
}

/// The state in front of one target.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Requests that the target runs at once.
    slots: u32,
    /// Requests that run; may be more than `slots` after these shrank.
    running: Vec<Running>,
    knee: Knee,
    /// In the order of their arrival.
    waiting: Vec<Waiting>,
    warmup: Option<Warmup>,
    sent: RateWindow,
    slowness: f64,
    slowness_at: Time,
    /// Since when every look found the VM slow.
    slow_since: Option<Time>,
    /// Whether the target ever told how slow its VM is.
    tells: bool,
    /// Until when work starts without a look.
    blind_until: Time,
    /// Moving mean of the time that work takes on a VM that is not slow, in microseconds.
    work_us: f64,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission {
            slots: 0,
            running: Vec::new(),
            knee: Knee::default(),
            waiting: Vec::new(),
            warmup: None,
            sent: RateWindow::default(),
            slowness: 1.0,
            slowness_at: Time::default(),
            slow_since: None,
            tells: false,
            blind_until: Time::default(),
            work_us: WORK_US,
        }
    }
}

impl Admission {
    /// Sets how many requests the target runs at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Takes the target for cold until a time, bearing `most` requests in any second.
    pub fn set_warmup(&mut self, until: Time, most: u32) {
        self.warmup = Some(Warmup { until, most });
    }

    /// Takes in how slow the target's VM is, 1 being as usual.
    pub fn set_slowness(&mut self, now: Time, slowness: f64) {
        self.slowness = slowness;
        self.slowness_at = now;
        self.tells = true;
        self.slow_since = match slowness >= SLOW {
            true => self.slow_since.or(Some(now)),
            false => None,
        };
    }

    /// Notes that a look told nothing of how slow the target's VM is.
    pub fn set_slowness_unknown(&mut self, now: Time) {
        self.blind_until = now.after(BLIND_US);
    }

    /// Returns whether something could start now if it were seen that the VM is not slow.
    pub fn needs_probe(&mut self, now: Time) -> bool {
        let waits = self.waiting.iter().any(|waiting| !self.may_start(now, &waiting.offering));
        waits && !self.is_fresh(now) && self.has_room(now)
    }

    /// Returns how many times longer work takes when the target is nearly full, once that is known.
    pub fn strain(&self) -> Option<f64> {
        self.knee.strain()
    }

    /// Takes in the average of that over the service's targets.
    pub fn set_service_strain(&mut self, strain: Option<f64>) {
        self.knee.set_service(strain);
    }

    /// Decides on a request.
    pub fn admit(&mut self, now: Time, offering: SlotRequest) -> Decision {
        if offering.deadline <= now {
            return Decision::Refuse(Refusal::Late);
        }
        let is_cold = self.is_cold(now);
        let has_room = self.has_room(now);
        if offering.elsewhere && has_room && self.is_slow(now) {
            return Decision::Refuse(Refusal::Slow);
        }
        let others = self.waiting.iter().any(|waiting| !waiting.offering.elsewhere);
        if has_room && !others && self.may_start(now, &offering) {
            self.begin(now, &offering);
            return Decision::Run;
        }
        if offering.elsewhere {
            let looks = has_room && !others && self.waiting.len() < self.slots as usize;
            if looks && !self.is_fresh(now) {
                self.waiting.push(Waiting { offering, arrived: now, until: offering.deadline });
                return Decision::Wait;
            }
            return Decision::Refuse(if is_cold { Refusal::Cold } else { Refusal::Busy });
        }
        let until = now.after((offering.deadline.since(now) as f64 * PATIENCE) as u64);
        let rank = self.rank(now, &offering);
        let ahead = self.waiting.iter().filter(|other| self.rank(now, &other.offering) <= rank);
        let starts = now.after(self.wait_us(now, ahead.count()));
        let most = self.slots as usize * WAITING_PER_SLOT;
        if self.waiting.len() >= most || starts >= until {
            return Decision::Refuse(if is_cold { Refusal::Cold } else { Refusal::Full });
        }
        self.waiting.push(Waiting { offering, arrived: now, until });
        Decision::Wait
    }

    /// Returns the requests that are to run now, and those that no longer can.
    pub fn poll(&mut self, now: Time) -> Vec<(u64, Decision)> {
        let mut decided = Vec::new();
        self.waiting.retain(|waiting| {
            let stays = waiting.until > now;
            if !stays {
                decided.push((waiting.offering.id, Decision::Refuse(Refusal::Full)));
            }
            stays
        });
        while self.has_room(now) {
            let waiting = self.waiting.iter().enumerate();
            let ready = waiting.filter(|(_, waiting)| self.may_start(now, &waiting.offering));
            let ranks = ready.map(|(at, waiting)| (self.rank(now, &waiting.offering), at));
            let Some((_, at)) = ranks.min() else { break };
            let waiting = self.waiting.remove(at);
            self.begin(now, &waiting.offering);
            decided.push((waiting.offering.id, Decision::Run));
        }
        decided.extend(self.send_on(now));
        decided
    }

    /// Refuses what waited for a look only, and what others may take, once the look is done.
    fn send_on(&mut self, now: Time) -> Vec<(u64, Decision)> {
        let has_room = self.has_room(now);
        if has_room && !self.is_fresh(now) {
            return Vec::new();
        }
        let refusal = if has_room { Refusal::Slow } else { Refusal::Busy };
        let sent_on = self.waiting.extract_if(.., |waiting| waiting.offering.elsewhere);
        sent_on.map(|waiting| (waiting.offering.id, Decision::Refuse(refusal))).collect()
    }

    /// Refuses everything that waits.
    pub fn refuse_waiting(&mut self, refusal: Refusal) -> Vec<(u64, Decision)> {
        let all = self.waiting.drain(..);
        all.map(|waiting| (waiting.offering.id, Decision::Refuse(refusal))).collect()
    }

    /// Forgets a request that waits. Returns whether it did.
    pub fn withdraw(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.offering.id != id);
        self.waiting.len() < before
    }

    /// Notes that a request ended, and how long the target took where it answered, in microseconds.
    pub fn done(&mut self, now: Time, id: u64, took_us: Option<u64>) {
        let Some(at) = self.running.iter().position(|running| running.id == id) else { return };
        let running = self.running.swap_remove(at);
        let Some(took_us) = took_us else { return };
        let slowness = self.slowness(now);
        let usual_us = took_us as f64 / slowness.max(1.0);
        self.work_us += (usual_us - self.work_us) * WORK_WEIGHT;
        if slowness < QUIET {
            let ratio = took_us as f64 / running.work_us.max(1) as f64;
            self.knee.answered(running.usage, ratio);
        }
    }

    /// Returns when something may be due without any event; `Time::NEVER` where nothing waits.
    pub fn due(&mut self, now: Time) -> Time {
        let earliest = self.waiting.iter().map(|waiting| waiting.until).min();
        let mut earliest = earliest.unwrap_or(Time::NEVER);
        let held = self.waiting.iter().any(|waiting| !self.may_start(now, &waiting.offering));
        if held && self.has_room(now) {
            // The next look. Where it is due, it is under way.
            let look = self.slowness_at.after(FRESH_US);
            earliest = earliest.min(if look > now { look } else { now.after(FRESH_US) });
        }
        match self.waiting.is_empty() || !self.is_cold(now) {
            true => earliest,
            false => earliest.min(self.sent.next_room(now).max(now.after(1_000))),
        }
    }

    /// Returns how many requests could start now, or how many wait, as a negative number.
    pub fn free_slots(&mut self, now: Time) -> i32 {
        if !self.waiting.is_empty() {
            return -(self.waiting.len() as i32);
        }
        let slots = self.knee.slots(self.slots).saturating_sub(self.running());
        let room = match self.warmup.filter(|warmup| warmup.until > now) {
            Some(warmup) => slots.min(self.sent.room(now, warmup.most)),
            None => slots,
        };
        room as i32
    }

    /// Returns how many requests run.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many requests the target runs at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns how slow the VM is as far as is known, 1 being as usual.
    pub fn slowness(&self, now: Time) -> f64 {
        match now.since(self.slowness_at) < SLOWNESS_US {
            true => self.slowness,
            false => 1.0,
        }
    }

    /// Returns how slow the VM is, 1 being as usual, while that is known.
    pub fn known_slowness(&self, now: Time) -> Option<f64> {
        let known = self.tells && now.since(self.slowness_at) < SLOWNESS_US;
        known.then_some(self.slowness)
    }

    /// Returns the time that work takes on a VM that is not slow, in microseconds.
    pub fn work_us(&self) -> u64 {
        self.work_us as u64
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: Time) -> bool {
        self.warmup.is_some_and(|warmup| warmup.until > now)
    }

    /// Returns how long the longest wait has lasted, in microseconds.
    pub fn oldest_wait_us(&self, now: Time) -> u64 {
        self.waiting.iter().map(|waiting| now.since(waiting.arrived)).max().unwrap_or_default()
    }

    fn begin(&mut self, now: Time, offering: &SlotRequest) {
        let SlotRequest { id, work_us, .. } = *offering;
        let usage = match self.slowness(now) < QUIET && !self.is_cold(now) {
            true => Knee::usage(self.running() + 1, self.slots),
            false => Occupancy::Unclear,
        };
        self.running.push(Running { id, work_us, usage });
        self.sent.sent(now);
    }

    fn has_room(&mut self, now: Time) -> bool {
        let bears = match self.warmup.filter(|warmup| warmup.until > now) {
            Some(warmup) => self.sent.room(now, warmup.most) > 0,
            None => true,
        };
        bears && self.running() < self.knee.slots(self.slots)
    }

    fn is_slow(&self, now: Time) -> bool {
        self.slowness(now) >= SLOW
    }

    fn is_fresh(&self, now: Time) -> bool {
        now.since(self.slowness_at) < FRESH_US || now < self.blind_until
    }

    /// Whether work may start as far as the VM's neighbours go. A cold target is not looked at: it
    /// bears few requests, and health checks may count.
    fn may_start(&self, now: Time, offering: &SlotRequest) -> bool {
        let lasts = self.slow_since.is_some_and(|since| now.since(since) >= HOLD_US);
        let is_short = offering.work_us < LONG_US;
        let matters = self.tells && !is_short && !lasts && !self.is_cold(now);
        !matters || now < self.blind_until || self.is_fresh(now) && !self.is_slow(now)
    }

    fn rank(&self, now: Time, offering: &SlotRequest) -> Rank {
        let done = now.after((offering.work_us as f64 * self.slowness(now)) as u64);
        (done > offering.aim, offering.priority, offering.aim)
    }

    /// Returns how long a request with `ahead` others before it waits, in microseconds.
    fn wait_us(&self, now: Time, ahead: usize) -> u64 {
        let place = ahead as f64 + 1.0;
        let slots = f64::from(self.knee.slots(self.slots).max(1));
        let by_slots = self.work_us * place / slots;
        match self.warmup.filter(|warmup| warmup.until > now) {
            None => by_slots as u64,
            Some(warmup) => by_slots.max(1e6 * place / f64::from(warmup.most.max(1))) as u64,
        }
    }
}
