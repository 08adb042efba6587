//! The all-knowing dispatcher without delay: one queue in front of all targets, every request to
//! the place where it is done first, be that a free one or one that is about to be free. It knows
//! every service time and every slow spell to come.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};

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
    /// When the places of each target are free again.
    frees: Vec<BTreeSet<u64>>,
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
        frees: vec![BTreeSet::new(); fleet.targets.len()],
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
        self.frees[target].remove(&now);
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
                self.frees[target].insert(done);
                self.events.push(Reverse((done, Event::Done(target, id as u64))));
            }
        }
    }

    /// Returns the free place where a request is done first, unless it is done sooner by waiting
    /// for another.
    fn best(&self, now: u64, id: usize) -> Option<usize> {
        let demand_us = self.fleet.arrivals[id].demand_us;
        let out = self.leaves && (LEAVE_US.0..LEAVE_US.1).contains(&now);
        let usable = (0..self.targets.len()).filter(|at| !(out && self.fleet.targets[*at] == 1));
        let (free, full): (Vec<usize>, Vec<usize>) =
            usable.partition(|at| self.targets[*at].has_room(now));
        let timed = free.into_iter().map(|at| (self.targets[at].finish(now, demand_us), at));
        let (done, at) = timed.min()?;
        let waiting = full.into_iter().filter_map(|at| {
            let free = *self.frees[at].first()?;
            Some(self.targets[at].finish(free.max(now), demand_us))
        });
        waiting.min().is_none_or(|later| done <= later).then_some(at)
    }
}
