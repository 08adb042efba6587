//! Calls that this VM's target makes for the requests that it runs, told from callers' requests.
//!
//! A call carries no sign of its request, but it expires no later, and the guard knows when what its
//! target runs expires. See [`policy::room`] for the match itself.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use policy::{Time, Urgency};
use world::{RouteRule, Routing};

use crate::entry::callers::caller_timeout_us;
use crate::entry::state::Entry;

/// Weight of one request in the share of a route's requests that match a run.
const MATCH_WEIGHT: f64 = 0.1;
/// A route is called by the target from this share on. Of callers' requests a few match by chance.
const CALLED_SHARE: f64 = 0.5;

/// How many of a route's requests at this node expire with a request that its target runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct MatchShare(f64);

impl MatchShare {
    /// Records a request. Returns whether the route is one that the target calls.
    pub fn record(&mut self, matched: bool) -> bool {
        self.0 += (f64::from(u8::from(matched)) - self.0) * MATCH_WEIGHT;
        self.0 >= CALLED_SHARE
    }
}

impl Entry {
    /// Returns how urgent a request is if it is a call of this VM's target. `None` if it is a caller's
    /// request, or nothing that the target runs matches.
    pub(super) fn inherited(
        &self,
        routing: &Routing,
        route: &RouteRule,
        fields: &HeaderMap,
        arrived: Time,
    ) -> Option<Urgency> {
        let has_keys = !routing.workspaces.is_empty();
        if !self.is_ranked(routing) || has_keys && fields.contains_key(AUTHORIZATION) {
            return None;
        }
        let deadline = arrived.after(caller_timeout_us(fields)?);
        let urgency = self.guard.parent(deadline);
        let mut shares = self.match_shares.borrow_mut();
        let is_called = shares.value_mut(&route.name).record(urgency.is_some());
        let urgency = match has_keys {
            // Callers send a key, except some on public routes; targets send none.
            true => urgency.or_else(|| {
                let priority = self.guard.likely_priority(deadline)?;
                Some(Urgency { priority, aim: arrived.after(route.aim_us) })
            }),
            false => urgency.filter(|_| is_called),
        };
        self.metrics.inherited.inc_by(u64::from(urgency.is_some()));
        urgency
    }

    /// Returns whether the ruleset in force serves some requests before others.
    fn is_ranked(&self, routing: &Routing) -> bool {
        let revision = self.ruleset.revision();
        let (known, is_ranked) = self.ranked.get();
        if known == revision {
            return is_ranked;
        }
        let is_ranked = routing.is_ranked();
        self.ranked.set((revision, is_ranked));
        is_ranked
    }
}
