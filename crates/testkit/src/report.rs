//! What a mesh did: runs as the targets noted them, processes as the kernel saw them.

use std::collections::BTreeMap;
use std::path::Path;

/// One run that a target noted.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// Microseconds since 1970.
    pub time_us: u64,
    /// The idempotency key, where there was one.
    pub key: Option<String>,
    /// The request's id, where there was one.
    pub request: Option<u64>,
}

/// Reads the runs that a target noted. A file that is not there holds none.
pub fn runs(path: &Path) -> Vec<Run> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().filter_map(run).collect()
}

fn run(line: &str) -> Option<Run> {
    let mut words = line.split(' ');
    let time_us = words.next()?.parse().ok()?;
    let key = words.next().filter(|key| *key != "-").map(str::to_owned);
    let request = words.next().and_then(|id| u64::from_str_radix(id, 16).ok());
    Some(Run { time_us, key, request })
}

/// Returns how many keys ran more than once.
pub fn twice(runs: &[Run]) -> usize {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for key in runs.iter().filter_map(|run| run.key.as_deref()) {
        *counts.entry(key).or_default() += 1;
    }
    counts.values().filter(|count| **count > 1).count()
}

/// Returns how many of the requests said not to have run did run. `not_run` is sorted.
pub fn false_not_run(runs: &[Run], not_run: &[u64]) -> usize {
    let mut ran: Vec<u64> = runs.iter().filter_map(|run| run.request).collect();
    ran.sort_unstable();
    ran.dedup();
    ran.iter().filter(|id| not_run.binary_search(id).is_ok()).count()
}

/// What the kernel says of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub resident: u64,
    /// The most that was ever resident, in bytes.
    pub peak: u64,
}

/// Reads what the kernel says of a process.
pub fn usage(id: u32) -> Usage {
    /// Clock ticks a second in the kernel's reports.
    const TICKS: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok());
    let cpu_s = (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS;
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    Usage { cpu_s, resident: bytes(&status, "VmRSS:"), peak: bytes(&status, "VmHWM:") }
}

fn bytes(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    number.unwrap_or(0) * 1_024
}
