//! The operators' inventory: data centres, VMs, links and services, and the rules for requests.

use std::net::IpAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Name;

/// The priority of a request under overload. Classes are ordered, the first served first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Class {
    /// Checks between services that other requests wait for.
    Internal,
    /// Requests that must not be refused while those of later classes are served.
    Favoured,
    /// Requests without special priority.
    #[default]
    Normal,
    /// Requests that can wait.
    Bulk,
}

impl Class {
    /// Every class, first served first.
    pub const ALL: [Class; 4] = [Class::Internal, Class::Favoured, Class::Normal, Class::Bulk];
}

/// A group of VMs that is taken out of service as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DataCentre {
    /// Unique among data centres.
    pub name: Name,
    /// The region. Links within a region are taken to be faster than those between regions.
    pub region: Name,
    /// Whether it is out of service: its targets get no new requests.
    pub out: bool,
}

/// A virtual machine that runs one target and the node in front of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// Unique among VMs.
    pub name: Name,
    /// Name of the data centre that it belongs to.
    pub data_centre: Name,
    /// The address at which other nodes reach it.
    pub address: IpAddr,
}

/// The network between two data centres.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Link {
    /// Name of the data centre at one end; a link holds for both directions.
    pub from: Name,
    /// Name of the data centre at the other end, different from `from`.
    pub to: Name,
    /// The round-trip time in microseconds, above zero.
    pub rtt_us: u64,
}

/// A service, run by targets on some of the VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique among services.
    pub name: Name,
    /// The path prefix of its requests, unique among services. The longest matching one applies.
    pub route: Name,
    /// The class of requests for which no contract sets one.
    pub class: Class,
    /// The time until the answer must begin, in milliseconds, above zero.
    pub deadline_ms: u64,
    /// Concurrent requests that a cold target of this service can take, above zero.
    pub cold_slots: u32,
    /// Answers after which a cold target can take one more concurrent request, above zero.
    pub warm_answers: u32,
}

/// A rule for the requests of a service that match a method and a path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Contract {
    /// Name of the service whose requests the rule applies to.
    pub service: Name,
    /// The HTTP method to match; any when absent.
    pub method: Option<Name>,
    /// The path prefix to match, in whole segments.
    pub path: Name,
    /// Whether a matching request may run at most once.
    pub never_repeat: bool,
    /// The header with the idempotency key. Only read where `never_repeat` is set.
    pub key_header: Name,
    /// Whether a request without a key is refused.
    pub key_required: bool,
    /// The class of matching requests; that of the service when absent.
    pub class: Option<Class>,
}

/// The parsed document of the operators. Every reference resolves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Inventory {
    /// The workspace's name, a label of every histogram.
    pub tenant: Name,
    /// Sorted by name.
    pub data_centres: Vec<DataCentre>,
    /// Sorted by name.
    pub vms: Vec<Vm>,
    /// In document order.
    pub links: Vec<Link>,
    /// Sorted by name.
    pub services: Vec<Service>,
    /// Sorted by service, and within a service in document order: the first match applies.
    pub contracts: Vec<Contract>,
    /// Indices into `services`, sorted by route without its trailing slashes.
    #[serde(skip)]
    pub(crate) by_route: Vec<usize>,
}

/// The rules that apply to one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Name of the service that answers it.
    pub service: Name,
    /// The class from the contract, or else from the service.
    pub class: Class,
    /// The time until the answer must begin, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may be sent to a second target.
    pub idempotent: bool,
    /// The header with the idempotency key; absent unless the request may run at most once.
    pub key_header: Option<Name>,
    /// Whether a request without an idempotency key is refused.
    pub key_required: bool,
}

impl Inventory {
    /// Finds a data centre by name.
    pub fn data_centre(&self, name: &str) -> Option<&DataCentre> {
        let at = self.data_centres.binary_search_by(|dc| (*dc.name).cmp(name)).ok()?;
        Some(&self.data_centres[at])
    }

    /// Finds a VM by name.
    pub fn vm(&self, name: &str) -> Option<&Vm> {
        let at = self.vms.binary_search_by(|vm| (*vm.name).cmp(name)).ok()?;
        Some(&self.vms[at])
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self.services.binary_search_by(|service| (*service.name).cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// Returns whether a data centre is out of service; false if there is none of this name.
    pub fn is_out(&self, data_centre: &str) -> bool {
        self.data_centre(data_centre).is_some_and(|dc| dc.out)
    }

    /// Returns the rules for a request, or `None` if no service has a route for its path.
    pub fn rule(&self, method: &str, path: &str) -> Option<Rule> {
        let service = self.service_for_path(path)?;
        let from = self.contracts.partition_point(|contract| contract.service < service.name);
        let own = self.contracts[from..].iter().take_while(|c| c.service == service.name);
        let mut matching = own.filter(|contract| {
            contract.method.as_deref().is_none_or(|m| m == method)
                && is_prefix(&contract.path, path)
        });
        let contract = matching.next();
        let never_repeat = contract.is_some_and(|contract| contract.never_repeat);
        Some(Rule {
            service: service.name.clone(),
            class: contract.and_then(|contract| contract.class).unwrap_or(service.class),
            deadline_ms: service.deadline_ms,
            idempotent: is_idempotent(method) && !never_repeat,
            key_header: contract.filter(|c| c.never_repeat).map(|c| c.key_header.clone()),
            key_required: contract.is_some_and(|c| c.never_repeat && c.key_required),
        })
    }

    /// Returns the service with the longest route that is a prefix of the path.
    fn service_for_path(&self, path: &str) -> Option<&Service> {
        let mut rest = path.split('?').next().unwrap_or(path).trim_end_matches('/');
        loop {
            let route = |at: &usize| trim_slashes(&self.services[*at].route);
            if let Ok(at) = self.by_route.binary_search_by(|at| route(at).cmp(rest)) {
                return Some(&self.services[self.by_route[at]]);
            }
            rest = rest.rsplit_once('/')?.0;
        }
    }

    /// Builds the index of services by route.
    pub(crate) fn index(&mut self) {
        self.by_route = (0..self.services.len()).collect();
        let services = &self.services;
        self.by_route.sort_by(|a, b| {
            trim_slashes(&services[*a].route).cmp(trim_slashes(&services[*b].route))
        });
    }

    /// Returns the round-trip time between two data centres in microseconds: that of the link, or
    /// a default by region where the document lists none.
    pub fn rtt_us(&self, from: &str, to: &str) -> u64 {
        if from == to {
            return SAME_DATA_CENTRE_RTT_US;
        }
        let is_link = |link: &&Link| {
            (&*link.from, &*link.to) == (from, to) || (&*link.from, &*link.to) == (to, from)
        };
        if let Some(link) = self.links.iter().find(is_link) {
            return link.rtt_us;
        }
        let region = |name| self.data_centre(name).map(|dc| &dc.region);
        match region(from) == region(to) {
            true => SAME_REGION_RTT_US,
            false => OTHER_REGION_RTT_US,
        }
    }
}

/// Round-trip time within a data centre.
const SAME_DATA_CENTRE_RTT_US: u64 = 100;
/// Round-trip time between data centres of a region without a listed link.
const SAME_REGION_RTT_US: u64 = 1_000;
/// Round-trip time between regions without a listed link.
const OTHER_REGION_RTT_US: u64 = 40_000;

fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE")
}

fn trim_slashes(route: &str) -> &str {
    route.trim_end_matches('/')
}

/// Returns whether `prefix` is a prefix of `path` in whole segments, so `/a` is none of `/ab`.
fn is_prefix(prefix: &str, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or(path);
    let Some(rest) = path.strip_prefix(prefix.trim_end_matches('/')) else { return false };
    rest.is_empty() || rest.starts_with('/')
}
