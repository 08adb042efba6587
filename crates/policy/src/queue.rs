//! The short queue in front of one target.

use std::collections::VecDeque;

use world::{Class, Code};

use crate::Time;

/// Every this many starts take the oldest waiting request, whatever its class, so that none starves.
const FAIR_SHARE: u32 = 10;
/// A queue that was long and is not empty for this time stands, in microseconds: this is no burst.
const STANDING_US: u64 = 250_000;
/// A queue is long that has one waiting request for each this many places.
const LONG_SHARE: usize = 4;
/// A queue that stands is taken to stand until nothing was refused for this time, in microseconds.
const RELIEF_US: u64 = 3_000_000;
/// The longest wait of classes that can wait, in a queue that stands, in microseconds.
const STANDING_WAIT_US: u64 = 1_250;
/// The longest wait otherwise, in microseconds.
const BURST_WAIT_US: u64 = 12_000;

/// A request that waits for a free place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The guard's number for it.
    pub id: u64,
    /// Its class.
    pub class: Class,
    /// When it came.
    pub arrived: Time,
    /// When its answer must begin.
    pub deadline: Time,
}

/// Requests that wait, by class, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// One list for each class, sorted by arrival.
    lists: [VecDeque<QueuedRequest>; Class::ALL.len()],
    /// Since when the queue is long.
    long: Option<Time>,
    /// When something was last refused, while the queue stands.
    refused: Option<Time>,
    starts: u32,
}

impl Queue {
    /// Opens an empty queue.
    pub fn new() -> Queue {
        Queue::default()
    }

    /// Works out anew whether the queue stands, in front of `places` at the target.
    pub fn observe(&mut self, now: Time, places: usize) {
        match self.long {
            _ if self.is_empty() => self.long = None,
            None if self.len() >= (places / LONG_SHARE).max(1) => self.long = Some(now),
            Some(long) if now.since(long) > STANDING_US => self.refused = Some(now),
            _ => {}
        }
        if self.refused.is_some_and(|refused| now.since(refused) > RELIEF_US) {
            self.refused = None;
        }
    }

    /// Notes that something was refused for want of room.
    pub fn note_refusal(&mut self, now: Time) {
        if self.is_standing() {
            self.refused = Some(now);
        }
    }

    /// Returns whether the queue is long for longer than a burst.
    pub fn is_standing(&self) -> bool {
        self.refused.is_some()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.lists.iter().map(VecDeque::len).sum()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many requests would be served before a new one of this class.
    pub fn ahead(&self, class: Class) -> usize {
        self.lists[..=class as usize].iter().map(VecDeque::len).sum()
    }

    /// Returns the longest wait that is worth while for a request of this class.
    pub fn max_wait_us(&self, class: Class) -> u64 {
        match self.is_standing() && class >= Class::Normal {
            true => STANDING_WAIT_US,
            false => BURST_WAIT_US,
        }
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: QueuedRequest) {
        self.lists[waiting.class as usize].push_back(waiting);
    }

    /// Takes the request that starts next.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        self.starts = self.starts.wrapping_add(1);
        let first = match self.starts.is_multiple_of(FAIR_SHARE) {
            true => self.oldest(),
            false => self.lists.iter().position(|list| !list.is_empty()),
        };
        self.lists[first?].pop_front()
    }

    /// Takes the youngest request of a class served after `class`.
    pub fn evict_below(&mut self, class: Class) -> Option<QueuedRequest> {
        let below = self.lists.iter_mut().enumerate().rev();
        let mut below = below.take_while(|(at, _)| *at > class as usize);
        below.find_map(|(_, list)| list.pop_back())
    }

    /// Takes a request out.
    pub fn remove(&mut self, id: u64) -> bool {
        let before = self.len();
        self.lists.iter_mut().for_each(|list| list.retain(|waiting| waiting.id != id));
        self.len() < before
    }

    /// Takes out every request whose deadline passed or that waited longer than it is worth.
    pub fn expire(&mut self, now: Time) -> Vec<(QueuedRequest, Code)> {
        let mut gone = Vec::new();
        for class in Class::ALL {
            let patience = self.max_wait_us(class);
            let late = if self.is_standing() { Code::Overload } else { Code::TargetBusy };
            self.lists[class as usize].retain(|waiting| {
                let code = match () {
                    _ if waiting.deadline <= now => Code::DeadlinePassed,
                    _ if now.since(waiting.arrived) > patience => late,
                    _ => return true,
                };
                gone.push((*waiting, code));
                false
            });
        }
        if !gone.is_empty() {
            self.note_refusal(now);
        }
        gone
    }

    /// Takes out every request.
    pub fn clear(&mut self) -> Vec<QueuedRequest> {
        self.lists.iter_mut().flat_map(std::mem::take).collect()
    }

    fn oldest(&self) -> Option<usize> {
        let heads = self.lists.iter().enumerate();
        let heads = heads.filter_map(|(at, list)| list.front().map(|head| (head.arrived, at)));
        heads.min().map(|(_, at)| at)
    }
}
