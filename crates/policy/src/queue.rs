//! The short queue of requests that wait for a slot at one target.
//!
//! A queue that is long for longer than a burst is a *standing queue*, a sign of overload: it adds
//! latency to every request without any gain in throughput. While the queue is
//! standing, normal and bulk requests are refused after a much shorter wait.

use std::collections::VecDeque;

use world::{Class, Code};

use crate::Time;

/// One start in this many takes the oldest waiting request, whatever its class, so that no class
/// starves.
const FAIR_INTERVAL: u32 = 10;
/// A queue that became long and then was not empty for this time is standing, in microseconds; a
/// burst is over sooner.
const STANDING_US: u64 = 250_000;
/// A queue is long if it holds at least one request per this many slots of the target's limit.
const LIMIT_PER_QUEUED: usize = 4;
/// A queue stays standing until no request was refused for this time, in microseconds.
const STANDING_HOLD_US: u64 = 3_000_000;
/// The longest wait in a standing queue of normal and bulk requests, in microseconds.
const STANDING_MAX_WAIT_US: u64 = 1_250;
/// The longest wait of all other requests, in microseconds.
const BURST_MAX_WAIT_US: u64 = 12_000;

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Identifies the request at its guard.
    pub id: u64,
    /// Decides the order in which requests start, and how long they wait.
    pub class: Class,
    /// When the request was queued.
    pub arrived: Time,
    /// When the request's answer must begin.
    pub deadline: Time,
}

/// Waiting requests, served by class and oldest first.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// One list for each class, sorted by arrival.
    lists: [VecDeque<QueuedRequest>; Class::ALL.len()],
    /// When the queue became long; `None` once it has been empty.
    long_since: Option<Time>,
    /// When the queue was last seen standing or, as a standing queue, had a request refused. `None`
    /// while it is not standing.
    standing_at: Option<Time>,
    /// Counts the calls of `pop`, wrapping.
    starts: u32,
}

impl Queue {
    /// Creates an empty queue that is not standing.
    pub fn new() -> Queue {
        Queue::default()
    }

    /// Updates whether the queue is standing. `limit` is the target's concurrency limit.
    pub fn observe(&mut self, now: Time, limit: usize) {
        match self.long_since {
            _ if self.is_empty() => self.long_since = None,
            None if self.len() >= (limit / LIMIT_PER_QUEUED).max(1) => self.long_since = Some(now),
            Some(long_since) if now.since(long_since) > STANDING_US => self.standing_at = Some(now),
            _ => {}
        }
        if self.standing_at.is_some_and(|standing_at| now.since(standing_at) > STANDING_HOLD_US) {
            self.standing_at = None;
        }
    }

    /// Records that a request was refused for lack of room, which prolongs a standing queue.
    pub fn note_refusal(&mut self, now: Time) {
        if self.is_standing() {
            self.standing_at = Some(now);
        }
    }

    /// Returns whether the queue is standing: long for longer than a burst, at the moment or
    /// recently.
    pub fn is_standing(&self) -> bool {
        self.standing_at.is_some()
    }

    /// Returns the number of waiting requests of all classes.
    pub fn len(&self) -> usize {
        self.lists.iter().map(VecDeque::len).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many waiting requests start before a new one of this class.
    pub fn ahead(&self, class: Class) -> usize {
        self.lists[..=class as usize].iter().map(VecDeque::len).sum()
    }

    /// Returns how long a request of this class may wait at present, in microseconds.
    pub fn max_wait_us(&self, class: Class) -> u64 {
        match self.is_standing() && class >= Class::Normal {
            true => STANDING_MAX_WAIT_US,
            false => BURST_MAX_WAIT_US,
        }
    }

    /// Adds a request, which must not have arrived before the others of its class.
    pub fn push(&mut self, request: QueuedRequest) {
        self.lists[request.class as usize].push_back(request);
    }

    /// Removes and returns the request that starts next; `None` if no request waits.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        self.starts = self.starts.wrapping_add(1);
        let first = match self.starts.is_multiple_of(FAIR_INTERVAL) {
            true => self.oldest(),
            false => self.lists.iter().position(|list| !list.is_empty()),
        };
        self.lists[first?].pop_front()
    }

    /// Removes and returns the newest request of the last class that has one, among the classes
    /// that are served after `class`.
    pub fn evict_below(&mut self, class: Class) -> Option<QueuedRequest> {
        let below = self.lists.iter_mut().enumerate().rev();
        let mut below = below.take_while(|(at, _)| *at > class as usize);
        below.find_map(|(_, list)| list.pop_back())
    }

    /// Removes a request. Returns whether it was waiting.
    pub fn remove(&mut self, id: u64) -> bool {
        let before = self.len();
        self.lists.iter_mut().for_each(|list| list.retain(|request| request.id != id));
        self.len() < before
    }

    /// Removes every request whose deadline passed or that waited for too long, and returns each
    /// with the code of its refusal.
    pub fn expire(&mut self, now: Time) -> Vec<(QueuedRequest, Code)> {
        let mut expired = Vec::new();
        for class in Class::ALL {
            let max_wait_us = self.max_wait_us(class);
            let late = if self.is_standing() { Code::Overload } else { Code::TargetBusy };
            self.lists[class as usize].retain(|request| {
                let code = match () {
                    _ if request.deadline <= now => Code::DeadlinePassed,
                    _ if now.since(request.arrived) > max_wait_us => late,
                    _ => return true,
                };
                expired.push((*request, code));
                false
            });
        }
        if !expired.is_empty() {
            self.note_refusal(now);
        }
        expired
    }

    /// Removes and returns all requests.
    pub fn clear(&mut self) -> Vec<QueuedRequest> {
        self.lists.iter_mut().flat_map(std::mem::take).collect()
    }

    fn oldest(&self) -> Option<usize> {
        let heads = self.lists.iter().enumerate();
        let heads = heads.filter_map(|(at, list)| list.front().map(|head| (head.arrived, at)));
        heads.min().map(|(_, at)| at)
    }
}
