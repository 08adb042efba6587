//! Simple policies for comparison. They send to targets directly; a target that is full queues.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::case::{Case, Fault};
use super::model::{Arrival, Fleet, LEAVE_US, Said, TargetModel};
use super::result::Row;

/// Time between two load reports, in microseconds.
const REPORT_US: u64 = 100_000;
/// Bytes of a report, with its packet.
const MESSAGE_BYTES: u64 = 80;
/// Time after which entries no longer use a data centre that is out, in microseconds.
const LEARN_US: u64 = 500_000;

/// A simple policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// Any target.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one whose last report shows least.
    LeastReported,
    /// The one to which this entry has least under way.
    LeastOutstanding,
}

impl Baseline {
    /// Every simple policy.
    pub const ALL: [Baseline; 4] = [
        Baseline::Random,
        Baseline::RoundRobin,
        Baseline::LeastReported,
        Baseline::LeastOutstanding,
    ];

    /// Returns its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Baseline::Random => "random",
            Baseline::RoundRobin => "round robin",
            Baseline::LeastReported => "least reported",
            Baseline::LeastOutstanding => "least outstanding",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    AtTarget(usize, usize),
    Done(usize, u64),
    Fall(usize),
    Report,
}

struct Run<'f> {
    fleet: &'f Fleet,
    policy: Baseline,
    leaves: bool,
    targets: Vec<TargetModel>,
    queues: Vec<VecDeque<usize>>,
    reported: Vec<usize>,
    /// For each entry, what it has under way at each target.
    own: Vec<Vec<u32>>,
    turn: Vec<usize>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    rng: SmallRng,
    row: Row,
}

/// Runs a simple policy over a fleet.
pub fn run(fleet: &Fleet, case: &Case, policy: Baseline, seed: u64) -> Row {
    let count = fleet.targets.len();
    let model = |weather| TargetModel::new(fleet.slots, weather);
    let mut run = Run {
        fleet,
        policy,
        leaves: case.has(Fault::Leave),
        targets: fleet.weather.iter().cloned().map(model).collect(),
        queues: vec![VecDeque::new(); count],
        reported: vec![0; count],
        own: vec![vec![0; count]; fleet.entries.len()],
        turn: (0..fleet.entries.len()).collect(),
        events: BinaryHeap::from([Reverse((0, Event::Report))]),
        rng: SmallRng::seed_from_u64(seed),
        row: Row::new(policy.name(), fleet.entries.len()),
    };
    for (at, weather) in fleet.weather.iter().enumerate() {
        let falls = weather.falls.iter().map(|fall| Reverse((*fall, Event::Fall(at))));
        run.events.extend(falls);
    }
    for (id, arrival) in fleet.arrivals.iter().enumerate() {
        run.until(arrival.at);
        let target = run.choose(arrival);
        run.own[arrival.entry][target] += 1;
        let there = arrival.at + fleet.rtt_us(arrival.entry, target) / 2;
        run.events.push(Reverse((there, Event::AtTarget(target, id))));
    }
    let end = fleet.arrivals.last().map_or(0, |last| last.at);
    run.until(end + 60_000_000);
    run.row
}

impl Run<'_> {
    fn choose(&mut self, arrival: &Arrival) -> usize {
        let gone = LEAVE_US.0 + LEARN_US..LEAVE_US.1 + LEARN_US;
        let out = self.leaves && gone.contains(&arrival.at);
        let usable: Vec<usize> =
            (0..self.targets.len()).filter(|at| !(out && self.fleet.targets[*at] == 1)).collect();
        let own = &self.own[arrival.entry];
        let draw = self.rng.random_range(0..usable.len());
        // Ties are broken at random, or every entry would take the first.
        let turned = (0..usable.len()).map(|at| usable[(at + draw) % usable.len()]);
        match self.policy {
            Baseline::Random => usable[draw],
            Baseline::RoundRobin => {
                self.turn[arrival.entry] += 1;
                usable[self.turn[arrival.entry] % usable.len()]
            }
            Baseline::LeastReported => {
                turned.min_by_key(|at| self.reported[*at]).unwrap_or_default()
            }
            Baseline::LeastOutstanding => turned.min_by_key(|at| own[*at]).unwrap_or_default(),
        }
    }

    fn until(&mut self, limit: u64) {
        while let Some(Reverse((now, event))) = self.events.peek().copied() {
            if now > limit {
                return;
            }
            self.events.pop();
            match event {
                Event::AtTarget(target, id) => self.arrive(now, target, id),
                Event::Done(target, id) => self.done(now, target, id),
                Event::Fall(target) => self.fall(now, target),
                Event::Report => self.report(now),
            }
        }
    }

    fn report(&mut self, now: u64) {
        for (at, target) in self.targets.iter().enumerate() {
            self.reported[at] = target.running.len() + self.queues[at].len();
        }
        if self.policy == Baseline::LeastReported {
            let messages = self.fleet.entries.len() as u64;
            let senders = self.row.control_bytes.iter_mut().take(self.targets.len());
            senders.for_each(|bytes| *bytes += messages * MESSAGE_BYTES);
        }
        let last = self.fleet.arrivals.last().map_or(0, |last| last.at);
        if now < last {
            self.events.push(Reverse((now + REPORT_US, Event::Report)));
        }
    }

    fn arrive(&mut self, now: u64, target: usize, id: usize) {
        let leaving = self.leaves && (LEAVE_US.0..LEAVE_US.1).contains(&now);
        if leaving && self.fleet.targets[target] == 1 {
            self.row.last_out_us = self.row.last_out_us.max(now - LEAVE_US.0);
        }
        let demand_us = self.fleet.arrivals[id].demand_us;
        let is_full = self.targets[target].running.len() >= self.fleet.slots as usize;
        if is_full {
            self.queues[target].push_back(id);
            return;
        }
        match self.targets[target].take(now, id as u64, demand_us) {
            Said::At(done) => self.events.push(Reverse((done, Event::Done(target, id as u64)))),
            Said::Shed => {
                self.row.overruns += u64::from(!self.targets[target].warm);
                self.end(now, target, id, false);
            }
        }
    }

    fn fall(&mut self, now: u64, target: usize) {
        self.row.falls += 1;
        for id in self.targets[target].fall() {
            self.end(now, target, id as usize, false);
        }
    }

    fn done(&mut self, now: u64, target: usize, id: u64) {
        if !self.targets[target].over(id, true) {
            return;
        }
        self.end(now, target, id as usize, true);
        if let Some(next) = self.queues[target].pop_front() {
            self.arrive(now, target, next);
        }
    }

    fn end(&mut self, now: u64, target: usize, id: usize, answered: bool) {
        let arrival = self.fleet.arrivals[id];
        self.own[arrival.entry][target] -= 1;
        let back = now + self.fleet.rtt_us(arrival.entry, target) / 2;
        match answered {
            true => self.row.answer(arrival.class, arrival.at, back),
            false => self.row.refuse(arrival.at, back),
        }
    }
}
