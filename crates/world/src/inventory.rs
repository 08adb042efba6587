//! The operators' inventory: what they own and the rules on top of it.

use std::net::IpAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Name;

/// The order in which work is served when not all of it can be. Lower comes first.
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
    /// Checks between services that other work waits for.
    Internal,
    /// Work that must not be refused while other work is served.
    Favoured,
    /// Ordinary calls.
    #[default]
    Normal,
    /// Work that can wait.
    Bulk,
}

impl Class {
    /// Every class, first served first.
    pub const ALL: [Class; 4] = [Class::Internal, Class::Favoured, Class::Normal, Class::Bulk];
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DataCentre {
    /// Unique among data centres.
    pub name: Name,
    /// Data centres of one region are near each other.
    pub region: Name,
    /// No target in a data centre that is out takes new work.
    pub out: bool,
}

/// A virtual machine that holds one target and its node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// Unique among VMs.
    pub name: Name,
    /// Names an entry of the inventory's data centres.
    pub data_centre: Name,
    /// The address at which other nodes reach it.
    pub address: IpAddr,
}

/// The link between two data centres.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Link {
    /// Names an entry of the inventory's data centres.
    pub from: Name,
    /// Names an entry of the inventory's data centres, other than `from`.
    pub to: Name,
    /// The round trip in microseconds, above zero.
    pub rtt_us: u64,
}

/// A service, run by targets on some of the VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique among services.
    pub name: Name,
    /// The path prefix of its requests. Unique among services; the longest match wins.
    pub route: Name,
    /// The class of requests that no contract puts into another.
    pub class: Class,
    /// The time a caller waits for an answer to begin, in milliseconds, above zero.
    pub deadline_ms: u64,
    /// What a cold target of this service bears at once, above zero.
    pub cold_slots: u32,
    /// The answers after which a cold target bears one more at once, above zero.
    pub warm_answers: u32,
}

/// A rule about some requests of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Contract {
    /// Names an entry of the inventory's services.
    pub service: Name,
    /// The HTTP method it is about; any when absent.
    pub method: Option<Name>,
    /// The path prefix it is about.
    pub path: Name,
    /// Whether such a request may run at most once.
    pub never_repeat: bool,
    /// The header with the idempotency key. Only read where `never_repeat` is set.
    pub key_header: Name,
    /// Whether a request without a key is refused.
    pub key_required: bool,
    /// The class of such requests; the service's own when absent.
    pub class: Option<Class>,
}

/// The operators' document. Every list is sorted by name, and every reference resolves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Inventory {
    /// The users' own name, a label of every histogram.
    pub tenant: Name,
    /// Sorted by name.
    pub data_centres: Vec<DataCentre>,
    /// Sorted by name.
    pub vms: Vec<Vm>,
    /// In document order.
    pub links: Vec<Link>,
    /// Sorted by name.
    pub services: Vec<Service>,
    /// Sorted by service, those of one service in document order; the first that fits holds.
    pub contracts: Vec<Contract>,
    /// Places in `services`, sorted by route without a slash at its end.
    #[serde(skip)]
    pub(crate) by_route: Vec<usize>,
}

/// What the rules say about one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The service that answers.
    pub service: Name,
    /// The request's class.
    pub class: Class,
    /// The time until the answer must begin, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may be sent to a second target.
    pub idempotent: bool,
    /// The header with the idempotency key, where the request may run at most once.
    pub key_header: Option<Name>,
    /// Whether a request without its key is refused.
    pub key_required: bool,
}

impl Inventory {
    /// Returns the data centre of this name.
    pub fn data_centre(&self, name: &str) -> Option<&DataCentre> {
        let at = self.data_centres.binary_search_by(|dc| (*dc.name).cmp(name)).ok()?;
        Some(&self.data_centres[at])
    }

    /// Returns the VM of this name.
    pub fn vm(&self, name: &str) -> Option<&Vm> {
        let at = self.vms.binary_search_by(|vm| (*vm.name).cmp(name)).ok()?;
        Some(&self.vms[at])
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self.services.binary_search_by(|service| (*service.name).cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// Returns whether the operators took this data centre out.
    pub fn is_out(&self, data_centre: &str) -> bool {
        self.data_centre(data_centre).is_some_and(|dc| dc.out)
    }

    /// Returns what the rules say about a request, or nothing where no service has its route.
    pub fn rule(&self, method: &str, path: &str) -> Option<Rule> {
        let service = self.service_at(path)?;
        let from = self.contracts.partition_point(|contract| contract.service < service.name);
        let own = self.contracts[from..].iter().take_while(|c| c.service == service.name);
        let mut fitting = own.filter(|contract| {
            contract.method.as_deref().is_none_or(|m| m == method)
                && is_prefix(&contract.path, path)
        });
        let contract = fitting.next();
        let never = contract.is_some_and(|contract| contract.never_repeat);
        Some(Rule {
            service: service.name.clone(),
            class: contract.and_then(|contract| contract.class).unwrap_or(service.class),
            deadline_ms: service.deadline_ms,
            idempotent: is_idempotent(method) && !never,
            key_header: contract.filter(|c| c.never_repeat).map(|c| c.key_header.clone()),
            key_required: contract.is_some_and(|c| c.never_repeat && c.key_required),
        })
    }

    /// Returns the service with the longest route that covers a path.
    fn service_at(&self, path: &str) -> Option<&Service> {
        let mut rest = path.split('?').next().unwrap_or(path).trim_end_matches('/');
        loop {
            let route = |at: &usize| trimmed(&self.services[*at].route);
            if let Ok(at) = self.by_route.binary_search_by(|at| route(at).cmp(rest)) {
                return Some(&self.services[self.by_route[at]]);
            }
            rest = rest.rsplit_once('/')?.0;
        }
    }

    /// Works out what is looked up by route.
    pub(crate) fn index(&mut self) {
        self.by_route = (0..self.services.len()).collect();
        let services = &self.services;
        self.by_route
            .sort_by(|a, b| trimmed(&services[*a].route).cmp(trimmed(&services[*b].route)));
    }

    /// Returns the round trip between two data centres in microseconds.
    pub fn rtt_us(&self, from: &str, to: &str) -> u64 {
        if from == to {
            return SAME_DATA_CENTRE_US;
        }
        let is_link = |link: &&Link| {
            (&*link.from, &*link.to) == (from, to) || (&*link.from, &*link.to) == (to, from)
        };
        if let Some(link) = self.links.iter().find(is_link) {
            return link.rtt_us;
        }
        let region = |name| self.data_centre(name).map(|dc| &dc.region);
        match region(from) == region(to) {
            true => SAME_REGION_US,
            false => OTHER_REGION_US,
        }
    }
}

/// Round trip inside a data centre, in microseconds, where no link says otherwise.
const SAME_DATA_CENTRE_US: u64 = 100;
/// Round trip between data centres of a region, in microseconds, where no link says otherwise.
const SAME_REGION_US: u64 = 1_000;
/// Round trip between regions, in microseconds, where no link says otherwise.
const OTHER_REGION_US: u64 = 40_000;

fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE")
}

fn trimmed(route: &str) -> &str {
    route.trim_end_matches('/')
}

/// Returns whether `prefix` covers `path` at a segment's border.
fn is_prefix(prefix: &str, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or(path);
    let Some(rest) = path.strip_prefix(prefix.trim_end_matches('/')) else { return false };
    rest.is_empty() || rest.starts_with('/')
}
