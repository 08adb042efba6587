//! The short queue in front of one target.

use std::collections::VecDeque;

use world::{Class, Code};

use crate::Time;

/// Every this many starts take the oldest waiting request, whatever its class, so that none starves.
const FAIR_SHARE: u32 = 10;
/// A queue that has not been empty for this long stands, and waits are cut short.
const STANDING_US: u64 = 60_000;
/// The longest wait in a queue that stands.
const STANDING_WAIT_US: u64 = 2_000;
/// The longest wait otherwise.
const BURST_WAIT_US: u64 = 30_000;

/// A request that waits for a free place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
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
#[derive(Clone, Debug)]
pub struct Queue {
    /// One list for each class, sorted by arrival.
    lists: [VecDeque<Waiting>; Class::ALL.len()],
    /// When the queue was last empty.
    empty: Time,
    starts: u32,
}

impl Queue {
    /// Opens an empty queue.
    pub fn new(now: Time) -> Queue {
        Queue { lists: Default::default(), empty: now, starts: 0 }
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
    pub fn patience_us(&self, now: Time, class: Class) -> u64 {
        let standing = !self.is_empty() && now.since(self.empty) > STANDING_US;
        match standing && class >= Class::Normal {
            true => STANDING_WAIT_US,
            false => BURST_WAIT_US,
        }
    }

    /// Adds a request.
    pub fn push(&mut self, now: Time, waiting: Waiting) {
        if self.is_empty() {
            self.empty = now;
        }
        self.lists[waiting.class as usize].push_back(waiting);
    }

    /// Takes the request that starts next.
    pub fn pop(&mut self, now: Time) -> Option<Waiting> {
        self.starts = self.starts.wrapping_add(1);
        let first = match self.starts.is_multiple_of(FAIR_SHARE) {
            true => self.oldest(),
            false => self.lists.iter().position(|list| !list.is_empty()),
        };
        let waiting = self.lists[first?].pop_front();
        self.note_empty(now);
        waiting
    }

    /// Takes the youngest request of a class served after `class`.
    pub fn evict_below(&mut self, class: Class) -> Option<Waiting> {
        let below = self.lists.iter_mut().enumerate().rev();
        let mut below = below.take_while(|(at, _)| *at > class as usize);
        below.find_map(|(_, list)| list.pop_back())
    }

    /// Takes a request out.
    pub fn remove(&mut self, now: Time, id: u64) -> bool {
        let before = self.len();
        self.lists.iter_mut().for_each(|list| list.retain(|waiting| waiting.id != id));
        self.note_empty(now);
        self.len() < before
    }

    /// Takes out every request whose deadline passed or that waited longer than it is worth.
    pub fn expire(&mut self, now: Time) -> Vec<(Waiting, Code)> {
        let mut gone = Vec::new();
        for class in Class::ALL {
            let patience = self.patience_us(now, class);
            self.lists[class as usize].retain(|waiting| {
                let code = match () {
                    _ if waiting.deadline <= now => Code::DeadlinePassed,
                    _ if now.since(waiting.arrived) > patience => Code::Overload,
                    _ => return true,
                };
                gone.push((*waiting, code));
                false
            });
        }
        self.note_empty(now);
        gone
    }

    /// Takes out every request.
    pub fn clear(&mut self, now: Time) -> Vec<Waiting> {
        let all = self.lists.iter_mut().flat_map(std::mem::take).collect();
        self.note_empty(now);
        all
    }

    fn note_empty(&mut self, now: Time) {
        if self.is_empty() {
            self.empty = now;
        }
    }

    fn oldest(&self) -> Option<usize> {
        let heads = self.lists.iter().enumerate();
        let heads = heads.filter_map(|(at, list)| list.front().map(|head| (head.arrived, at)));
        heads.min().map(|(_, at)| at)
    }
}
