//! Parses the operators' TOML document and validates it, with all faults in one pass.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::ops::Range;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use toml::Spanned;

use crate::{Class, Code, Contract, DataCentre, Inventory, Link, Name, Service, Vm};

/// The longest name of a workspace, region, data centre, VM or service.
const MAX_NAME_BYTES: usize = 63;
/// The longest deadline of a service.
const MAX_DEADLINE_MS: u64 = 600_000;
/// The largest value of `cold_slots` and `warm_answers`.
const MAX_COUNT: u32 = 1_000;
/// The longest round-trip time of a link.
const MAX_RTT_US: u64 = 10_000_000;

/// One fault of a document and its position.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[display("{line}:{column}: {} {}: {detail}", code.number(), code.text())]
pub struct Fault {
    /// The kind of fault.
    pub code: Code,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// What is wrong, with the value where it helps.
    pub detail: String,
}

/// The document before its checks. Fields that a fault can point at keep their span.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    tenant: Spanned<String>,
    #[serde(default)]
    data_centre: Vec<RawDataCentre>,
    #[serde(default)]
    vm: Vec<RawVm>,
    #[serde(default)]
    link: Vec<RawLink>,
    #[serde(default)]
    service: Vec<RawService>,
    #[serde(default)]
    contract: Vec<RawContract>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawDataCentre {
    name: Spanned<String>,
    region: Spanned<String>,
    #[serde(default)]
    out: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawVm {
    name: Spanned<String>,
    data_centre: Spanned<String>,
    address: IpAddr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLink {
    from: Spanned<String>,
    to: Spanned<String>,
    rtt_ms: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    name: Spanned<String>,
    route: Spanned<String>,
    #[serde(default)]
    class: Class,
    deadline_ms: Spanned<u64>,
    cold_slots: Spanned<u32>,
    warm_answers: Spanned<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawContract {
    service: Spanned<String>,
    method: Option<Spanned<String>>,
    path: Spanned<String>,
    #[serde(default)]
    never_repeat: bool,
    key_header: Option<Spanned<String>>,
    #[serde(default)]
    key_required: bool,
    class: Option<Class>,
}

/// Parses and checks a document, or returns all its faults, sorted by position. If it is not
/// valid TOML or has unknown or missing fields, only the first of these faults is returned.
pub fn parse(text: &str) -> Result<Inventory, Vec<Fault>> {
    let document: Document = match toml::from_str(text) {
        Ok(document) => document,
        Err(error) => {
            let span = error.span().unwrap_or_default();
            let mut checker = Checker::new(text);
            checker.add_fault(Code::BadSyntax, span, error.message());
            return Err(checker.faults);
        }
    };
    let mut checker = Checker::new(text);
    checker.check_document(&document);
    if checker.faults.is_empty() {
        return Ok(build_inventory(document));
    }
    checker.faults.sort_by_key(|fault| (fault.line, fault.column));
    Err(checker.faults)
}

/// Collects the faults of a document.
struct Checker<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

impl<'a> Checker<'a> {
    fn new(text: &'a str) -> Checker<'a> {
        Checker { text, faults: Vec::new() }
    }

    fn add_fault(&mut self, code: Code, span: Range<usize>, detail: impl ToString) {
        let before = self.text.get(..span.start).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        self.faults.push(Fault { code, line, column, detail: detail.to_string() });
    }

    fn check_document(&mut self, document: &Document) {
        self.check_name(&document.tenant);
        self.check_unique("data centre", document.data_centre.iter().map(|dc| &dc.name));
        self.check_unique("VM", document.vm.iter().map(|vm| &vm.name));
        self.check_unique("service", document.service.iter().map(|service| &service.name));
        self.check_routes(&document.service);
        document.data_centre.iter().for_each(|dc| self.check_name(&dc.region));
        let centres: Vec<_> = document.data_centre.iter().map(|dc| dc.name.as_ref()).collect();
        document
            .vm
            .iter()
            .for_each(|vm| self.check_reference("data centre", &vm.data_centre, &centres));
        document.link.iter().for_each(|link| self.check_link(link, &centres));
        document.service.iter().for_each(|service| self.check_numbers(service));
        let services: Vec<_> = document.service.iter().map(|service| &service.name).collect();
        let services: Vec<_> = services.into_iter().map(|name| name.as_ref()).collect();
        document.contract.iter().for_each(|contract| self.check_contract(contract, &services));
    }

    fn check_name(&mut self, name: &Spanned<String>) {
        let text = name.as_ref();
        let is_plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(is_plain) {
            self.add_fault(Code::BadName, name.span(), format!("{text:?}"));
        }
    }

    fn check_unique<'n>(&mut self, kind: &str, names: impl Iterator<Item = &'n Spanned<String>>) {
        let mut seen = BTreeMap::new();
        for name in names {
            self.check_name(name);
            if seen.insert(name.as_ref(), name.span()).is_some() {
                let detail = format!("{kind} {:?} is listed twice", name.as_ref());
                self.add_fault(Code::Duplicate, name.span(), detail);
            }
        }
    }

    fn check_routes(&mut self, services: &[RawService]) {
        let mut seen = Vec::new();
        for service in services {
            self.check_path(&service.route);
            let route = service.route.as_ref().trim_end_matches('/');
            if seen.contains(&route) {
                let detail = format!("route {route:?} is listed twice");
                self.add_fault(Code::Duplicate, service.route.span(), detail);
            }
            seen.push(route);
        }
    }

    fn check_path(&mut self, path: &Spanned<String>) {
        if !path.as_ref().starts_with('/') || path.as_ref().contains(['?', '#', ' ']) {
            let detail = format!("{:?} is not a path that starts with /", path.as_ref());
            self.add_fault(Code::BadName, path.span(), detail);
        }
    }

    fn check_reference(&mut self, kind: &str, name: &Spanned<String>, known: &[&String]) {
        if !known.contains(&name.as_ref()) {
            let detail = format!("no {kind} is named {:?}", name.as_ref());
            self.add_fault(Code::Dangling, name.span(), detail);
        }
    }

    fn check_link(&mut self, link: &RawLink, centres: &[&String]) {
        self.check_reference("data centre", &link.from, centres);
        self.check_reference("data centre", &link.to, centres);
        if link.from.as_ref() == link.to.as_ref() {
            self.add_fault(Code::Duplicate, link.to.span(), "a link joins two data centres");
        }
        let rtt = *link.rtt_ms.as_ref();
        if !(0.001..=MAX_RTT_US as f64 / 1e3).contains(&rtt) {
            let detail = format!("rtt_ms is {rtt}, not in 0.001 to {}", MAX_RTT_US / 1_000);
            self.add_fault(Code::BadNumber, link.rtt_ms.span(), detail);
        }
    }

    fn check_numbers(&mut self, service: &RawService) {
        let deadline = *service.deadline_ms.as_ref();
        if !(1..=MAX_DEADLINE_MS).contains(&deadline) {
            let detail = format!("deadline_ms is {deadline}, not in 1 to {MAX_DEADLINE_MS}");
            self.add_fault(Code::BadNumber, service.deadline_ms.span(), detail);
        }
        self.check_count("cold_slots", &service.cold_slots);
        self.check_count("warm_answers", &service.warm_answers);
    }

    fn check_count(&mut self, field: &str, count: &Spanned<u32>) {
        if !(1..=MAX_COUNT).contains(count.as_ref()) {
            let detail = format!("{field} is {}, not in 1 to {MAX_COUNT}", count.as_ref());
            self.add_fault(Code::BadNumber, count.span(), detail);
        }
    }

    fn check_contract(&mut self, contract: &RawContract, services: &[&String]) {
        self.check_reference("service", &contract.service, services);
        self.check_path(&contract.path);
        let has_key = contract.key_header.is_some() || contract.key_required;
        if has_key && !contract.never_repeat {
            let detail = "key_header and key_required need never_repeat = true";
            self.add_fault(Code::BadContract, contract.path.span(), detail);
        }
        if let Some(header) = &contract.key_header {
            let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-';
            if header.as_ref().is_empty() || !header.as_ref().chars().all(is_plain) {
                self.add_fault(Code::BadName, header.span(), format!("{:?}", header.as_ref()));
            }
        }
        if let Some(method) = &contract.method
            && (method.as_ref().is_empty()
                || !method.as_ref().chars().all(|c| c.is_ascii_uppercase()))
        {
            let detail = format!("{:?} is not an HTTP method", method.as_ref());
            self.add_fault(Code::BadName, method.span(), detail);
        }
    }
}

/// The header with the idempotency key where a contract sets none.
const DEFAULT_KEY_HEADER: &str = "idempotency-key";

fn build_inventory(document: Document) -> Inventory {
    let mut inventory = Inventory {
        tenant: document.tenant.into_inner().into(),
        data_centres: document.data_centre.into_iter().map(data_centre).collect(),
        vms: document.vm.into_iter().map(vm).collect(),
        links: document.link.into_iter().map(link).collect(),
        services: document.service.into_iter().map(service).collect(),
        contracts: document.contract.into_iter().map(contract).collect(),
        by_route: Vec::new(),
    };
    inventory.data_centres.sort_by(|a, b| a.name.cmp(&b.name));
    inventory.vms.sort_by(|a, b| a.name.cmp(&b.name));
    inventory.services.sort_by(|a, b| a.name.cmp(&b.name));
    inventory.contracts.sort_by(|a, b| a.service.cmp(&b.service));
    inventory.index();
    inventory
}

fn name(raw: Spanned<String>) -> Name {
    raw.into_inner().into()
}

fn data_centre(raw: RawDataCentre) -> DataCentre {
    DataCentre { name: name(raw.name), region: name(raw.region), out: raw.out }
}

fn vm(raw: RawVm) -> Vm {
    Vm { name: name(raw.name), data_centre: name(raw.data_centre), address: raw.address }
}

fn link(raw: RawLink) -> Link {
    let rtt_us = (raw.rtt_ms.into_inner() * 1e3) as u64;
    Link { from: name(raw.from), to: name(raw.to), rtt_us }
}

fn service(raw: RawService) -> Service {
    Service {
        name: name(raw.name),
        route: name(raw.route),
        class: raw.class,
        deadline_ms: raw.deadline_ms.into_inner(),
        cold_slots: raw.cold_slots.into_inner(),
        warm_answers: raw.warm_answers.into_inner(),
    }
}

fn contract(raw: RawContract) -> Contract {
    let header = raw.key_header.map_or(DEFAULT_KEY_HEADER.to_owned(), Spanned::into_inner);
    Contract {
        service: name(raw.service),
        method: raw.method.map(name),
        path: name(raw.path),
        never_repeat: raw.never_repeat,
        key_header: header.to_ascii_lowercase().into(),
        key_required: raw.key_required,
        class: raw.class,
    }
}
