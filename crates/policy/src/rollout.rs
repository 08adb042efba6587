//! Roll-outs of a service's version: how many requests an unproved version gets, and the verdict on
//! it.

use serde::{Deserialize, Serialize};
use world::Name;

/// What one guard has seen of its target's answers since the order of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The service.
    pub service: Name,
    /// The revision of the order.
    pub order: u64,
    /// The version of the guard's target.
    pub version: Name,
    /// Counts of answers since the order, by route.
    pub routes: Vec<RouteEvidence>,
}

/// Answers to the requests of one route, counted since the order of a roll-out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Identifies the route among those of the service.
    pub route: u64,
    /// Requests that were sent to the target.
    pub sent: u64,
    /// Of these, those that failed.
    pub failed: u64,
    /// Answers by their time in the target, in steps of the logarithm.
    pub times: Vec<u32>,
}

/// What the coordinator of a roll-out lets a guard send to its target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExposureGrant {
    /// The revision of the order.
    pub order: u64,
    /// Requests a second. Infinite where the version is not limited.
    pub per_s: f64,
    /// The time for which this holds, in microseconds from the frame's arrival.
    pub valid_us: u64,
}
