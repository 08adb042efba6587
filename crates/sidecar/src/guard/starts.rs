//! The latest times at which attempts may be sent to the target.
//!
//! An entry that stops sets one for each of its attempts: the answer to an attempt that starts later
//! would not reach the caller.

use std::cell::RefCell;
use std::rc::Rc;

use policy::Time;
use runtime::Clock;
use tokio::sync::watch;
use wire::link::Attempt;

use crate::guard::state::Guard;

/// The most limits that are kept for attempts that have not arrived.
const MAX_EARLY: usize = 64;

/// The limits of the attempts that are being handled.
#[derive(Debug, Default)]
pub(super) struct StartLimits {
    /// The id of each attempt's request and its limit, in order of arrival.
    open: RefCell<Vec<(String, Rc<watch::Sender<Time>>)>>,
    /// Limits that arrived without their attempts, oldest first: streams may overtake each other, or
    /// the attempt has ended.
    early: RefCell<Vec<(String, Time)>>,
}

/// The limit of one attempt. Dropping it forgets the limit.
#[derive(Debug)]
pub struct StartLimit {
    guard: Rc<Guard>,
    until: Rc<watch::Sender<Time>>,
}

impl Guard {
    /// Begins to handle an attempt, and removes from its fields the time within which it may start.
    pub fn track_start(self: &Rc<Guard>, attempt: &mut Attempt) -> StartLimit {
        let within = wire::take_start_within(&mut attempt.fields);
        let until = within.map_or(Time::NEVER, |us| self.clock.now().after(us));
        let early = self.starts.early.borrow().iter().find(|(id, _)| *id == attempt.id).cloned();
        let until = early.map_or(until, |(_, latest)| latest.min(until));
        let until = Rc::new(watch::Sender::new(until));
        self.starts.open.borrow_mut().push((attempt.id.clone(), until.clone()));
        StartLimit { guard: self.clone(), until }
    }

    /// Lowers the limit of an attempt to `us` microseconds from now. Has no effect once it was sent
    /// to the target.
    pub fn limit_start(&self, id: &str, us: u64) {
        let latest = self.clock.now().after(us);
        let open = self.starts.open.borrow();
        if let Some((_, until)) = open.iter().find(|(open, _)| open == id) {
            until.send_modify(|until| *until = latest.min(*until));
            return;
        }
        let mut early = self.starts.early.borrow_mut();
        if early.len() >= MAX_EARLY {
            early.remove(0);
        }
        early.push((id.to_owned(), latest));
    }
}

impl StartLimit {
    /// Returns whether the attempt may not be sent any more.
    pub(super) fn has_passed(&self, now: Time) -> bool {
        *self.until.borrow() <= now
    }

    /// Waits until the attempt may not be sent any more.
    pub(super) async fn passed(&self, clock: Clock) {
        let mut changes = self.until.subscribe();
        loop {
            let until = clock.instant(*changes.borrow_and_update());
            tokio::select! {
                () = tokio::time::sleep_until(until) => return,
                Ok(()) = changes.changed() => {}
            }
        }
    }
}

impl Drop for StartLimit {
    fn drop(&mut self) {
        let mut open = self.guard.starts.open.borrow_mut();
        open.retain(|(_, until)| !Rc::ptr_eq(until, &self.until));
    }
}
