//! Selection of the nodes that watch the operator's table in the store. Calls to the store are
//! charged for and limited, so that only a few nodes of each data centre watch it, and the others
//! receive changes from these.
//!
//! Nodes pass on which nodes watch and how long ago each of them said so. A node starts to watch
//! when it has known too few watchers for a time that grows with its rank, and stops when it knows
//! enough whose names sort before its own.
//!
//! All watchers may be lost at the same moment, in which a change may be acknowledged. It has to be
//! in force 2 s later, so that the waits in series must stay below that: what a watcher said expires
//! ([`VALID_US`]), a node takes over ([`TAKEOVER_US`], and [`TAKEOVER_STEP_US`] for each candidate
//! before it that fails), reads the store and sends on what it read.

use serde::{Deserialize, Serialize};
use world::Name;

use crate::Time;

/// Nodes of a data centre that watch the table: one, and a spare in case it is lost.
const WATCHERS: usize = 2;
/// The same in a fleet of at least [`MANY_DATA_CENTRES`]: the watchers of the others send changes
/// to every data centre.
const WATCHERS_OF_MANY: usize = 1;
/// Data centres from which on one watcher in each is enough.
const MANY_DATA_CENTRES: usize = 3;
/// Limit of the nodes of a data centre that try to watch while the store refuses some of them.
const MAX_CANDIDATES: usize = 4;
/// How long the number of a node's last beacon is remembered, in microseconds, so that a copy of an
/// earlier one that comes late is not taken for a new one.
const MEMORY_US: u64 = 60_000_000;
/// What a node said of itself counts for this long, in microseconds: five beacons, so that some may
/// be lost or late.
pub const VALID_US: u64 = 1_000_000;
/// How often a watcher says that it watches, in microseconds.
pub const BEACON_INTERVAL_US: u64 = 200_000;
/// How long too few watchers are known before the first node by name takes over, in microseconds.
const TAKEOVER_US: u64 = 100_000;
/// The same after a node's start, when it does not know yet who watches.
const FIRST_TAKEOVER_US: u64 = 300_000;
/// How much longer each further node waits, in microseconds: the time in which every node of a data
/// centre learns of a new watcher.
const TAKEOVER_STEP_US: u64 = 100_000;

/// How long a node that has just started waits for the ruleset from its peers before it reads the
/// store, in microseconds, at least and at most, if others of its data centre read it before.
const RULESET_WAIT_US: (u64, u64) = (300_000, 700_000);
/// The longest wait of a node that does not know whether others do, in microseconds. Of hundreds of
/// nodes that start at once, some read the store at once, and send the ruleset to most others
/// before these do.
const SPREAD_US: u64 = 600_000;

/// Returns how long a node without a ruleset waits for its peers before it reads the store, in
/// microseconds. `earlier` is the number of nodes of its data centre that sort before it by name, if
/// it knows all nodes, and `draw` a random number from 0 to 1.
pub fn ruleset_wait_us(earlier: Option<usize>, draw: f64) -> u64 {
    let (least, most) = match earlier {
        Some(earlier) if earlier < WATCHERS => return 0,
        Some(_) => RULESET_WAIT_US,
        None => (0, SPREAD_US),
    };
    least + ((most - least) as f64 * draw) as u64
}

/// What a node said of its watch on the operator's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watcher {
    /// Its name.
    pub name: Name,
    /// The start of its process in milliseconds since 1970.
    pub started: u64,
    /// Grows with each beacon of one process. Copies of a beacon arrive by several ways and late, and
    /// must not be passed on again.
    pub number: u64,
    /// The revision of its ruleset at that time.
    pub revision: u64,
    /// Whether it received changes from the store, or had just stopped to.
    pub active: bool,
    /// How long ago it said so, in microseconds.
    pub age_us: u64,
}

/// To which peers of the data centre what a peer passed on must be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PassOn {
    /// To none: it is known already.
    Nobody,
    /// To a few: a watcher still watches.
    Some,
    /// To more: a node began or stopped to watch.
    Many,
}

impl Watcher {
    /// Returns what orders the beacons of one node.
    fn position(&self) -> (u64, u64) {
        (self.started, self.number)
    }
}

#[derive(Clone, Debug)]
struct Listed {
    watcher: Watcher,
    /// When it said so.
    at: Time,
}

impl Listed {
    /// Returns whether what it said still counts.
    fn is_valid(&self, now: Time) -> bool {
        now.since(self.at) < VALID_US
    }

    /// Returns whether it watches, as far as is known.
    fn is_active(&self, now: Time) -> bool {
        self.watcher.active && self.is_valid(now)
    }
}

/// The watchers of a node's own data centre, as far as that node knows.
#[derive(Clone, Debug)]
pub struct Watchers {
    local: Name,
    /// The start of this process, as in [`Watcher::started`].
    started: u64,
    /// The number of this node's last beacon.
    number: u64,
    /// Sorted by name; includes this node if it watches or has stopped. Those that are not valid any
    /// more are kept for their numbers.
    listed: Vec<Listed>,
    /// Since when too few other watchers were known; may lie ahead at a start. `None` while there
    /// are enough.
    few_since: Option<Time>,
}

impl Watchers {
    /// Creates the list of a node that knows no watcher, and does not take over before a while
    /// after `earliest`. `started` is the start of this process, as in [`Watcher::started`].
    pub fn new(earliest: Time, local: Name, started: u64) -> Watchers {
        let few_since = Some(earliest.after(FIRST_TAKEOVER_US - TAKEOVER_US));
        Watchers { local, started, number: 0, listed: Vec::new(), few_since }
    }

    /// Records whether this node watches: the revision of its ruleset if it does. Returns whether
    /// that changed, which must be passed on at once.
    pub fn set_own(&mut self, now: Time, revision: Option<u64>) -> bool {
        let own = self.listed.iter().find(|listed| listed.watcher.name == self.local);
        let was_active = own.is_some_and(|own| own.watcher.active);
        if revision.is_some() || was_active {
            self.number += 1;
            let watcher = Watcher {
                name: self.local.clone(),
                started: self.started,
                number: self.number,
                revision: revision.unwrap_or_default(),
                active: revision.is_some(),
                age_us: 0,
            };
            self.insert(Listed { watcher, at: now });
        }
        was_active != revision.is_some()
    }

    /// Merges what a peer of the same data centre passed on, and returns to whom it must be passed
    /// on.
    pub fn merge(&mut self, now: Time, received: &[Watcher]) -> PassOn {
        self.forget(now);
        let mut pass_on = PassOn::Nobody;
        for watcher in received {
            let at = Time(now.0.saturating_sub(watcher.age_us));
            if watcher.name == self.local || now.since(at) >= VALID_US {
                continue;
            }
            let known = self.listed.iter().find(|listed| listed.watcher.name == watcher.name);
            if known.is_some_and(|known| known.watcher.position() >= watcher.position()) {
                continue;
            }
            let was_active = known.is_some_and(|known| known.is_active(now));
            pass_on = pass_on.max(match was_active == watcher.active {
                true => PassOn::Some,
                false => PassOn::Many,
            });
            self.insert(Listed { watcher: watcher.clone(), at });
        }
        pass_on
    }

    /// Returns what to pass on.
    pub fn list(&self, now: Time) -> Vec<Watcher> {
        let with_age =
            |listed: &Listed| Watcher { age_us: now.since(listed.at), ..listed.watcher.clone() };
        self.listed.iter().filter(|listed| listed.is_valid(now)).map(with_age).collect()
    }

    /// Returns whether this node is to try to watch the table. `tries` is whether it does so
    /// already, `rank` how many nodes of the data centre that were heard from within [`VALID_US`]
    /// sort before it by name, and `data_centres` the number of data centres with live nodes.
    pub fn should_watch(
        &mut self,
        now: Time,
        tries: bool,
        rank: usize,
        data_centres: usize,
    ) -> bool {
        let wanted = if data_centres < MANY_DATA_CENTRES { WATCHERS } else { WATCHERS_OF_MANY };
        let others = self
            .listed
            .iter()
            .filter(|listed| listed.is_active(now) && listed.watcher.name != self.local);
        let (count, before) = others.fold((0, 0), |(count, before), other| {
            (count + 1, before + usize::from(other.watcher.name < self.local))
        });
        if count >= wanted {
            self.few_since = None;
            return tries && before < wanted;
        }
        let since = *self.few_since.get_or_insert(now);
        let wait_us = TAKEOVER_US + rank as u64 * TAKEOVER_STEP_US;
        tries || rank < MAX_CANDIDATES && now.since(since) >= wait_us
    }

    /// Returns whether a watcher has no newer ruleset than `revision`, so that no newer one is
    /// likely to be in force elsewhere.
    pub fn confirms(&self, now: Time, revision: u64) -> bool {
        let current =
            |listed: &Listed| listed.is_active(now) && listed.watcher.revision <= revision;
        self.listed.iter().any(current)
    }

    fn insert(&mut self, listed: Listed) {
        let by_name = |known: &Listed| known.watcher.name.cmp(&listed.watcher.name);
        match self.listed.binary_search_by(by_name) {
            Ok(at) => self.listed[at] = listed,
            Err(at) => self.listed.insert(at, listed),
        }
    }

    fn forget(&mut self, now: Time) {
        self.listed.retain(|listed| now.since(listed.at) < MEMORY_US);
    }
}
