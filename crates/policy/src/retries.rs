//! The budget of repeats, kept by each node from its own count.
//!
//! The bound is on the sum over all nodes: so many repeats per request, and a slack. A node that
//! adds its share of its own requests and its part of the slack keeps the sum without agreement.

use crate::Time;

/// Spans into which a window is cut.
const SPANS: usize = 20;
/// The share of the bound that is used: calls that a repeated request makes count as repeats too,
/// and no node can tell those from others.
const USED: f64 = 0.5;

/// The bound over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats beside these.
    pub slack: f64,
    /// The span over which both are counted, in microseconds.
    pub window_us: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Span {
    /// Which span of time is counted here.
    number: u64,
    requests: u32,
    repeats: u32,
}

/// One node's budget of repeats for one service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    spans: [Span; SPANS],
}

impl RetryBudget {
    /// Counts a request.
    pub fn record_request(&mut self, now: Time, bound: &RetryBound) {
        self.span(now, bound).requests += 1;
    }

    /// Takes one repeat, or returns false where the budget has none left. `nodes` share the slack.
    pub fn take(&mut self, now: Time, bound: &RetryBound, nodes: usize) -> bool {
        let current = number(now, bound);
        let counted = self.spans.iter().filter(|span| span.number + SPANS as u64 > current);
        let (requests, repeats) = counted.fold((0, 0), |(requests, repeats), span| {
            (requests + span.requests, repeats + span.repeats)
        });
        let slack = bound.slack / nodes.max(1) as f64;
        let most = USED * (bound.ratio * f64::from(requests) + slack);
        if f64::from(repeats) + 1.0 > most {
            return false;
        }
        self.span(now, bound).repeats += 1;
        true
    }

    /// Gives back a repeat that reached no target.
    pub fn refund(&mut self, now: Time, bound: &RetryBound) {
        let span = self.span(now, bound);
        span.repeats = span.repeats.saturating_sub(1);
    }

    fn span(&mut self, now: Time, bound: &RetryBound) -> &mut Span {
        let number = number(now, bound);
        let span = &mut self.spans[(number % SPANS as u64) as usize];
        if span.number != number {
            *span = Span { number, ..Span::default() };
        }
        span
    }
}

fn number(now: Time, bound: &RetryBound) -> u64 {
    // Spans of a process that has just started must not look current.
    now.0 / (bound.window_us / SPANS as u64).max(1) + SPANS as u64
}
