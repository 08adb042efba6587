//! The all-knowing dispatcher without delay: one queue in front of all targets, every request to
//! the free place where it is done first. No policy can do better on the same arrivals.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use world::Class;

use super::case::{Case, Fault};
use super::model::{Arrival, Fleet, LEAVE_US, Said, TargetModel};
use super::result::Row;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Done(usize, u64),
    Fall(usize),
}

struct Oracle<'f> {
    fleet: &'f Fleet,
    leaves: bool,
    targets: Vec<TargetModel>,
    queues: [VecDeque<usize>; Class::ALL.len()],
    events: BinaryHeap<Reverse<(u64, Event)>>,
    row: Row,
}

/// Runs the dispatcher over a fleet.
pub fn run(fleet: &Fleet, case: &Case) -> Row {
    let model = |weather| TargetModel::new(fleet.slots, weather);
    let mut oracle = Oracle {
        fleet,
        leaves: case.has(Fault::Leave),
        targets: fleet.weather.iter().cloned().map(model).collect(),
        queues: Default::default(),
        events: BinaryHeap::new(),
        row: Row::new("all-knowing", fleet.entries.len()),
    };
    for (at, weather) in fleet.weather.iter().enumerate() {
        let falls = weather.falls.iter().map(|fall| Reverse((*fall, Event::Fall(at))));
        oracle.events.extend(falls);
    }
    for (at, arrival) in fleet.arrivals.iter().enumerate() {
        oracle.until(arrival.at);
        oracle.queues[arrival.class as usize].push_back(at);
        oracle.start(arrival.at);
    }
    oracle.until(u64::MAX);
    oracle.row
}

impl Oracle<'_> {
    fn until(&mut self, limit: u64) {
        while let Some(Reverse((now, event))) = self.events.peek().copied() {
            if now > limit {
                return;
            }
            self.events.pop();
            match event {
                Event::Done(target, id) => self.done(now, target, id),
                Event::Fall(target) => {
                    self.row.falls += 1;
                    for id in self.targets[target].fall() {
                        let class = self.fleet.arrivals[id as usize].class;
                        self.queues[class as usize].push_front(id as usize);
                    }
                }
            }
            self.start(now);
        }
    }

    fn done(&mut self, now: u64, target: usize, id: u64) {
        if self.targets[target].over(id, true) {
            let Arrival { at, class, .. } = self.fleet.arrivals[id as usize];
            self.row.answer(class, at, now);
        }
    }

    fn start(&mut self, now: u64) {
        while let Some(class) = self.queues.iter().position(|queue| !queue.is_empty()) {
            let Some(id) = self.queues[class].front().copied() else { return };
            let Some(target) = self.best(now, id) else { return };
            self.queues[class].pop_front();
            let demand_us = self.fleet.arrivals[id].demand_us;
            if let Said::At(done) = self.targets[target].take(now, id as u64, demand_us) {
                self.events.push(Reverse((done, Event::Done(target, id as u64))));
            }
        }
    }

    fn best(&self, now: u64, id: usize) -> Option<usize> {
        let demand_us = self.fleet.arrivals[id].demand_us;
        let out = self.leaves && (LEAVE_US.0..LEAVE_US.1).contains(&now);
        let usable = (0..self.targets.len()).filter(|at| !(out && self.fleet.targets[*at] == 1));
        let timed = usable.filter_map(|at| {
            let mut trial = self.targets[at].clone();
            match trial.take(now, id as u64, demand_us) {
                Said::At(done) => Some((done, at)),
                Said::Shed => None,
            }
        });
        timed.min().map(|(_, at)| at)
    }
}
