//! Quarantine of requests that crash the targets they run at.
//!
//! A request whose connection to the target breaks while it runs becomes a suspect, and so do the
//! requests that ran beside it, whose connections break as well. A guard runs only one suspect at a
//! time, so that a second break identifies the request that caused it. That request is convicted
//! and refused from then on. An answer clears a suspect.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::Time;

/// Time for which a request stays suspect, in microseconds.
const SUSPECT_RETENTION_US: u64 = 600_000_000;
/// Time for which a request stays convicted after it was last tried, in microseconds.
const CONVICT_RETENTION_US: u64 = 3_600_000_000;
/// Time for which a request stays convicted however often it is tried, in microseconds.
const MAX_CONVICT_RETENTION_US: u64 = 6 * CONVICT_RETENTION_US;
/// Entries kept at most. The oldest suspects are dropped first, convicted requests last.
const MAX_ENTRIES: usize = 4_096;

/// A hash that identifies a request by its service, its method, its path and its body or the start of
/// that.
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
    /// Computes the fingerprint of a request. `path` includes the query, and `body` is the body
    /// or its first bytes.
    pub fn of(service: &str, method: &str, path: &str, body: &[u8]) -> Fingerprint {
        let mut hash = Xxh3::new();
        for part in [service.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Fingerprint(hash.digest())
    }

    /// Returns the fingerprint of the request as it is sent in the name of a workspace. Targets answer
    /// the same request with other data for another one.
    pub fn in_workspace(self, workspace: &[u8]) -> Fingerprint {
        Fingerprint(xxh3_64_with_seed(workspace, self.0))
    }
}

/// A request that is suspected or convicted of crashing targets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspectRequest {
    /// Fingerprint of the request.
    pub print: Fingerprint,
    /// Identifies the caller's request, so that both attempts of a hedged request are known to
    /// belong together.
    pub request: u64,
    /// Identifies the guard at whose target the connection broke.
    pub guard: u64,
    /// Whether connections broke twice, so that it is refused.
    pub convicted: bool,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// It is no suspect and may run.
    Free,
    /// It is a suspect and may run now, but no other suspect beside it.
    Alone,
    /// It is a suspect and may not run now, since another suspect does.
    Busy,
    /// It is convicted and may not run.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct QuarantineEntry {
    suspect: SuspectRequest,
    expires: Time,
    /// Upper bound of `expires`.
    max_expires: Time,
}

/// The suspect and convicted requests that one node knows, and the suspect that runs at its target.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Sorted by fingerprint, at most `MAX_ENTRIES`.
    entries: Vec<QuarantineEntry>,
    /// The suspect that runs at this node's target now.
    running: Option<Fingerprint>,
}

impl Quarantine {
    /// Decides whether a request may be dispatched now. Where a suspect may, it counts as running
    /// until it is answered or released, or its connection breaks.
    pub fn admit(&mut self, now: Time, print: Fingerprint) -> Permit {
        let Some(at) = self.find(print).ok().filter(|at| self.entries[*at].expires > now) else {
            return Permit::Free;
        };
        let entry = &mut self.entries[at];
        if entry.suspect.convicted {
            entry.expires = now.after(CONVICT_RETENTION_US).min(entry.max_expires);
            return Permit::Refused;
        }
        if self.running.is_some() {
            return Permit::Busy;
        }
        self.running = Some(print);
        Permit::Alone
    }

    /// Returns whether a request is suspect or convicted.
    pub fn is_listed(&self, now: Time, print: Fingerprint) -> bool {
        self.find(print).is_ok_and(|at| self.entries[at].expires > now)
    }

    /// Records that a request was answered. Returns whether this cleared a suspect, which peers
    /// must be informed of.
    pub fn answered(&mut self, print: Fingerprint) -> bool {
        self.released(print);
        match self.find(print) {
            Ok(at) if !self.entries[at].suspect.convicted => {
                self.entries.remove(at);
                true
            }
            _ => false,
        }
    }

    /// Records that a request ended without an answer, and not because its target died.
    pub fn released(&mut self, print: Fingerprint) {
        if self.running == Some(print) {
            self.running = None;
        }
    }

    /// Records that the connection broke while a request ran. Returns the entry to send to peers.
    pub fn connection_broke(&mut self, now: Time, mut suspect: SuspectRequest) -> SuspectRequest {
        suspect.convicted |= self.running == Some(suspect.print);
        self.released(suspect.print);
        self.merge(now, suspect)
    }

    /// Merges a suspect with what is known of the request and returns the result. A conviction is
    /// never undone by a suspicion.
    pub fn merge(&mut self, now: Time, mut suspect: SuspectRequest) -> SuspectRequest {
        let found = self.find(suspect.print);
        if let Ok(at) = found {
            let known = self.entries[at].suspect;
            // Both attempts of a hedged request broke their connections.
            let both = known.request == suspect.request && known.guard != suspect.guard;
            suspect.convicted |= both || known.convicted;
        }
        let retention_us =
            if suspect.convicted { CONVICT_RETENTION_US } else { SUSPECT_RETENTION_US };
        let max_expires = now.after(MAX_CONVICT_RETENTION_US);
        let entry = QuarantineEntry { suspect, expires: now.after(retention_us), max_expires };
        match found {
            Ok(at) if self.entries[at].suspect.convicted => {}
            Ok(at) => self.entries[at] = entry,
            Err(at) => {
                self.entries.insert(at, entry);
                self.shrink(now);
            }
        }
        suspect
    }

    /// Removes a suspect that was answered at a peer's target.
    pub fn cleared(&mut self, print: Fingerprint) {
        if let Ok(at) = self.find(print)
            && !self.entries[at].suspect.convicted
        {
            self.entries.remove(at);
        }
    }

    /// Returns all entries that have not expired, for a node that joins.
    pub fn entries(&self, now: Time) -> Vec<SuspectRequest> {
        let current = self.entries.iter().filter(|entry| entry.expires > now);
        current.map(|entry| entry.suspect).collect()
    }

    fn find(&self, print: Fingerprint) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&print, |entry| entry.suspect.print)
    }

    fn shrink(&mut self, now: Time) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        self.entries.retain(|entry| entry.expires > now);
        while self.entries.len() > MAX_ENTRIES {
            let key = |entry: &QuarantineEntry| (entry.suspect.convicted, entry.expires);
            let oldest = (0..self.entries.len()).min_by_key(|at| key(&self.entries[*at]));
            self.entries.remove(oldest.unwrap_or_default());
        }
    }
}
