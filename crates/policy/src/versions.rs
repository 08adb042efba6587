//! The configuration in force, and when to poll the table for a newer one.

use world::Config;

use crate::Time;

/// Nodes of each data centre that poll the table often. The others learn of a new version from
/// their peers' messages.
const POLLERS: usize = 2;
/// Interval between two polls of a poller, in microseconds.
const POLL_INTERVAL_US: u64 = 1_000_000;
/// Interval between two polls of every other node, as a fallback, in microseconds.
const FALLBACK_INTERVAL_US: u64 = 60_000_000;

/// The configuration that this node has in force. Its version never decreases.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    config: Config,
    /// The highest version seen in the table or at a peer; at least the version in force.
    highest_seen: u64,
    /// When to poll the table next.
    next_poll: Time,
}

impl ActiveConfig {
    /// Returns the configuration in force; version 0 before the first one.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the highest version seen in the table or at a peer.
    pub fn highest_seen(&self) -> u64 {
        self.highest_seen
    }

    /// Records a version that a peer has. Returns whether it is newer than the one in force and
    /// should be fetched.
    pub fn observe(&mut self, version: u64) -> bool {
        self.highest_seen = self.highest_seen.max(version);
        version > self.config.version
    }

    /// Puts a configuration in force if it is newer than the one in force. Returns whether it was.
    pub fn update(&mut self, config: Config) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        self.highest_seen = self.highest_seen.max(config.version);
        self.config = config;
        true
    }

    /// Returns whether to poll the table now, and if so schedules the next poll. `rank` is the
    /// number of other nodes of this data centre that are up and sort before this node by name.
    pub fn is_poll_due(&mut self, now: Time, rank: usize) -> bool {
        let interval_us = if rank < POLLERS { POLL_INTERVAL_US } else { FALLBACK_INTERVAL_US };
        if now < self.next_poll.min(now.after(interval_us)) {
            return false;
        }
        self.next_poll = now.after(interval_us);
        true
    }
}
