//! Hedged attempts: a second attempt beside the first, for requests that may run twice.

use policy::Time;
use world::Repeat;

use super::{ActiveRequest, Next, RETURN_US, RunningAttempt};
use crate::entry::attempt::{Destination, wait_for_silence};
use crate::guard::Outcome;

/// A hedged attempt is sent no earlier than after this many times the expected work time.
const HEDGE_DELAY_FACTOR: f64 = 1.3;
/// How many guards are asked to run a hedged attempt at once or refuse it.
const HEDGE_TRIES: usize = 3;
/// A hedged attempt is expected to take this many times the expected work time.
const HEDGE_WORK_FACTOR: f64 = 1.1;

impl ActiveRequest<'_> {
    /// Runs one attempt. If the request may run twice, a hedged attempt is started beside the first
    /// when that takes long or its guard is silent. The first good answer is used, and only then is
    /// the other attempt cancelled.
    pub(super) async fn run_attempt(&mut self, destination: Destination, elsewhere: bool) -> Next {
        let mut first = self.start_attempt(&destination, elsewhere);
        let mut silence = std::pin::pin!(wait_for_silence(self.entry.clone(), destination.clone()));
        let Some(hedge_at) = self.hedge_at() else {
            let outcome = tokio::select! {
                outcome = &mut first => outcome,
                // Later requests avoid the guard, but this attempt may still be running there.
                () = silence => first.await,
            };
            return self.handle_outcome(&destination, outcome);
        };
        let hedge = tokio::time::sleep_until(self.entry.clock.instant(hedge_at));
        tokio::select! {
            biased;
            outcome = &mut first => return self.handle_outcome(&destination, outcome),
            () = &mut silence => {}
            () = hedge => {}
        }
        self.hedged = true;
        for _ in 0..HEDGE_TRIES {
            let Some((other, hedged)) = self.start_hedged_attempt() else { break };
            if let Some(next) = self.race((&destination, &mut first), (&other, hedged)).await {
                return next;
            }
        }
        let outcome = first.await;
        self.handle_outcome(&destination, outcome)
    }

    /// Returns when a hedged attempt is due: as late as it can still meet the route's latency
    /// target. None if none may be sent.
    fn hedge_at(&self) -> Option<Time> {
        if self.route.repeat != Repeat::Safe || self.hedged || self.reached > 0 {
            return None;
        }
        let now = self.entry.clock.now();
        let work_us =
            self.entry.estimates.borrow_mut().value_mut(&self.route.name).request(0).work_us;
        let aim = self.arrived.after(self.route.aim_us.saturating_sub(RETURN_US));
        let latest_us = aim.since(now) as f64 - work_us * HEDGE_WORK_FACTOR;
        Some(now.after(latest_us.max(work_us * HEDGE_DELAY_FACTOR) as u64))
    }

    /// Starts a hedged attempt, which the guard runs at once or refuses. None if no destination or
    /// retry budget is left.
    fn start_hedged_attempt(&mut self) -> Option<(Destination, RunningAttempt)> {
        if !self.may_start() {
            return None;
        }
        let destination = self.choose_destination()?;
        if !self.take_retry(self.reached + 1) {
            return None;
        }
        let attempt = self.start_attempt(&destination, true);
        Some((destination, attempt))
    }

    /// Waits for the first good answer of two attempts. None if the hedged attempt was refused
    /// while the first one is still open.
    async fn race(
        &mut self,
        first: (&Destination, &mut RunningAttempt),
        hedged: (&Destination, RunningAttempt),
    ) -> Option<Next> {
        let mut other = hedged.1;
        tokio::select! {
            outcome = &mut *first.1 => match self.handle_outcome(first.0, outcome) {
                Next::Respond(answer) => Some(Next::Respond(answer)),
                Next::TryAnother | Next::Stop => {
                    let outcome = other.await;
                    Some(self.handle_outcome(hedged.0, outcome))
                }
            },
            outcome = &mut other => {
                let ran = !matches!(outcome, Outcome::NotRun { .. });
                match self.handle_outcome(hedged.0, outcome) {
                    Next::Respond(answer) => Some(Next::Respond(answer)),
                    Next::TryAnother | Next::Stop if ran => {
                        let outcome = (&mut *first.1).await;
                        Some(self.handle_outcome(first.0, outcome))
                    }
                    Next::TryAnother | Next::Stop => {
                        let (now, bound) = (self.entry.clock.now(), self.entry.retry_bound.get());
                        let mut budgets = self.entry.budgets.borrow_mut();
                        budgets.value_mut(&self.service).refund(now, &bound);
                        self.entry.refund_repeat(self.token.as_ref());
                        None
                    }
                }
            }
        }
    }
}
