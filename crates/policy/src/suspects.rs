//! Requests that crash the targets that run them.
//!
//! A request whose connection broke while it ran is suspected, and with it all that ran beside it.
//! A suspect runs only alone among suspects, so that a second break names the one that caused it;
//! that one is convicted and refused. An answer clears a suspect.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::Time;

/// How long a suspicion is kept, in microseconds.
const SUSPECT_US: u64 = 600_000_000;
/// How long a conviction is kept after the last attempt, in microseconds.
const CONVICT_US: u64 = 3_600_000_000;
/// How long a conviction is kept at most, in microseconds.
const CONVICT_LIMIT_US: u64 = 6 * CONVICT_US;
/// Fingerprints kept at most; the oldest suspicions go first.
const KEPT: usize = 4_096;

/// Tells one request from others: what it asks for and how its body begins.
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
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Takes the fingerprint of a request, from its service, method, path with query, and the
    /// first bytes of its body.
    pub fn of(service: &str, method: &str, path: &str, body: &[u8]) -> Fingerprint {
        let mut hash = Xxh3::new();
        for part in [service.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Fingerprint(hash.digest())
    }
}

/// What is held against one request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspectRequest {
    /// The request.
    pub print: Fingerprint,
    /// The caller's request, so that a hedge's two attempts are known as one.
    pub request: u64,
    /// The guard at which it broke.
    pub guard: u64,
    /// Whether it broke twice.
    pub convicted: bool,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Nothing is held against it.
    Free,
    /// It may run, but not beside another suspect.
    Alone,
    /// It may run, but not now: another suspect runs.
    Busy,
    /// It is convicted and not to run.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    suspicion: SuspectRequest,
    until: Time,
    /// `until` never grows past it.
    limit: Time,
}

/// The suspects that one node knows, and those that run at its target.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Sorted by fingerprint; at most `KEPT`.
    records: Vec<Record>,
    /// Suspects that run at this node's target now. At most one.
    running: Option<Fingerprint>,
}

impl Quarantine {
    /// Decides whether a request may be dispatched now, and notes a suspect as running.
    pub fn admit(&mut self, now: Time, print: Fingerprint) -> Permit {
        let Some(at) = self.find(print).ok().filter(|at| self.records[*at].until > now) else {
            return Permit::Free;
        };
        let record = &mut self.records[at];
        if record.suspicion.convicted {
            record.until = now.after(CONVICT_US).min(record.limit);
            return Permit::Refused;
        }
        if self.running.is_some() {
            return Permit::Busy;
        }
        self.running = Some(print);
        Permit::Alone
    }

    /// Returns whether anything is held against a request.
    pub fn is_listed(&self, now: Time, print: Fingerprint) -> bool {
        self.find(print).is_ok_and(|at| self.records[at].until > now)
    }

    /// Notes an answer. Returns whether it cleared a suspect, so that peers are told.
    pub fn answered(&mut self, print: Fingerprint) -> bool {
        self.released(print);
        match self.find(print) {
            Ok(at) if !self.records[at].suspicion.convicted => {
                self.records.remove(at);
                true
            }
            _ => false,
        }
    }

    /// Notes that a request ended without an answer, and without its target's death.
    pub fn released(&mut self, print: Fingerprint) {
        if self.running == Some(print) {
            self.running = None;
        }
    }

    /// Notes that the connection broke while a request ran. Returns what peers must be told.
    pub fn connection_broke(&mut self, now: Time, mut suspicion: SuspectRequest) -> SuspectRequest {
        suspicion.convicted |= self.running == Some(suspicion.print);
        self.released(suspicion.print);
        self.merge(now, suspicion)
    }

    /// Takes in a suspicion and returns what is now held against the request. A conviction is
    /// never taken back by a suspicion.
    pub fn merge(&mut self, now: Time, mut suspicion: SuspectRequest) -> SuspectRequest {
        let found = self.find(suspicion.print);
        if let Ok(at) = found {
            let known = self.records[at].suspicion;
            let both = known.request == suspicion.request && known.guard != suspicion.guard;
            suspicion.convicted |= both || known.convicted;
        }
        let kept_us = if suspicion.convicted { CONVICT_US } else { SUSPECT_US };
        let limit = now.after(CONVICT_LIMIT_US);
        let record = Record { suspicion, until: now.after(kept_us), limit };
        match found {
            Ok(at) if self.records[at].suspicion.convicted => {}
            Ok(at) => self.records[at] = record,
            Err(at) => {
                self.records.insert(at, record);
                self.shrink(now);
            }
        }
        suspicion
    }

    /// Takes in that a peer saw an answer to a suspect.
    pub fn cleared(&mut self, print: Fingerprint) {
        if let Ok(at) = self.find(print)
            && !self.records[at].suspicion.convicted
        {
            self.records.remove(at);
        }
    }

    /// Returns everything held against requests, for a node that has just joined.
    pub fn entries(&self, now: Time) -> Vec<SuspectRequest> {
        let current = self.records.iter().filter(|record| record.until > now);
        current.map(|record| record.suspicion).collect()
    }

    fn find(&self, print: Fingerprint) -> Result<usize, usize> {
        self.records.binary_search_by_key(&print, |record| record.suspicion.print)
    }

    fn shrink(&mut self, now: Time) {
        if self.records.len() <= KEPT {
            return;
        }
        self.records.retain(|record| record.until > now);
        while self.records.len() > KEPT {
            let key = |record: &Record| (record.suspicion.convicted, record.until);
            let oldest = (0..self.records.len()).min_by_key(|at| key(&self.records[*at]));
            self.records.remove(oldest.unwrap_or_default());
        }
    }
}
