//! Which configuration is in force, and when to look for a newer one.

use world::Config;

use crate::Time;

/// Nodes per data centre that read the table's version often.
const POLLERS: usize = 2;
/// How often a poller reads the version, in microseconds.
const POLL_US: u64 = 1_000_000;
/// How often every other node does, in microseconds.
const BACKSTOP_US: u64 = 60_000_000;

/// The configuration that this node has in force. A version only ever grows.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    config: Config,
    /// The highest version that anyone showed, at least the one in force.
    seen: u64,
    /// When the table's version is read next.
    poll: Time,
}

impl ActiveConfig {
    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the highest version that anyone showed.
    pub fn highest_seen(&self) -> u64 {
        self.seen
    }

    /// Takes in a version that someone showed. Returns whether it is worth fetching.
    pub fn observe(&mut self, version: u64) -> bool {
        self.seen = self.seen.max(version);
        version > self.config.version
    }

    /// Puts a configuration in force, where it is newer than the one in force.
    pub fn update(&mut self, config: Config) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        self.seen = self.seen.max(config.version);
        self.config = config;
        true
    }

    /// Returns whether the table's version is to be read now. `rank` counts the live nodes of this
    /// node's data centre whose names come first.
    pub fn is_poll_due(&mut self, now: Time, rank: usize) -> bool {
        let every_us = if rank < POLLERS { POLL_US } else { BACKSTOP_US };
        if now < self.poll.min(now.after(every_us)) {
            return false;
        }
        self.poll = now.after(every_us);
        true
    }
}
