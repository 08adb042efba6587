//! Roll-outs of a service's version: how many requests an unproved version gets, and the verdict on
//! it.

mod coordinator;
mod evidence;
mod exposure;
mod verdict;

pub use coordinator::Coordinator;
pub use evidence::{Evidence, EvidenceReport, RouteEvidence};
pub use exposure::{Exposure, ExposureGrant, ExposureLimit};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Sorts the nodes in the order in which guards ask them to coordinate a service's roll-out, by
/// rendezvous hashing.
pub fn coordinator_order<T>(service: &str, nodes: &mut [T], name: impl Fn(&T) -> &str) {
    let seed = xxh3_64(service.as_bytes());
    nodes.sort_by_cached_key(|node| xxh3_64_with_seed(name(node).as_bytes(), seed));
}

/// Returns the id of a route in reports.
pub fn route_id(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
