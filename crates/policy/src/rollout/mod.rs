//! Roll-outs of a service's version: how many requests an unproved version gets, and the verdict on
//! it.

mod coordinator;
mod evidence;
mod exposure;
mod verdict;

pub use coordinator::{Coordinator, ExposureLimit, coordinator_order, route_id};
pub use evidence::{Evidence, EvidenceReport, RouteEvidence};
pub use exposure::{Exposure, ExposureGrant};
