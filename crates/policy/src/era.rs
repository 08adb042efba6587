//! What stays in force after the store came back from an older copy, and when nodes write again what
//! it lost.

use world::{Name, Revision, Rollout, Ruleset, set_out, set_rollout};

use crate::Time;

/// How long data centres out of service and orders of an earlier era stay in force, in microseconds:
/// several times what the operator needs to write them again.
const HOLD_US: u64 = 10_000_000;
/// The most replaced orders that are remembered.
const MAX_REPLACED: usize = 32;
/// The time that each node adds to that in which all write their rows again, in microseconds.
const REWRITE_STEP_US: u64 = 20_000;
/// The least and the most of that time, in microseconds.
const REWRITE_US: (u64, u64) = (500_000, 10_000_000);
/// The least and the most pause before the table is read anew, from the second time in a row on, in
/// microseconds. It doubles with each further time.
const REREAD_US: (u64, u64) = (200_000, 1_000_000);

/// Returns how long a node waits after it learned of a new era until it writes its rows again, in
/// microseconds, so that `nodes` nodes do not write all at once. `draw` is uniform in 0 to 1.
pub fn rewrite_wait_us(nodes: usize, draw: f64) -> u64 {
    let (least, most) = REWRITE_US;
    let spread = (nodes as u64).saturating_mul(REWRITE_STEP_US).clamp(least, most);
    (spread as f64 * draw) as u64
}

/// Returns how long a watcher waits before it reads the whole table, in microseconds, after the store
/// rejected what it had read `rejected` times in a row. `draw` is uniform in 0 to 1.
pub fn reread_wait_us(rejected: u32, draw: f64) -> u64 {
    let (least, most) = REREAD_US;
    match rejected {
        0 | 1 => 0,
        _ => ((least << (rejected - 2).min(8)).min(most) as f64 * (0.75 + draw / 2.0)) as u64,
    }
}

/// Merges the rulesets that a node reads or receives into the one in force.
#[derive(Clone, Debug, Default)]
pub struct EraMerge {
    held: Option<Held>,
    /// Orders in whose place another one came, the latest last; at most [`MAX_REPLACED`].
    replaced: Vec<Rollout>,
}

/// What stays in force beside the table for a while.
#[derive(Clone, Debug)]
struct Held {
    until: Time,
    /// Sorted.
    out: Vec<Name>,
    /// Sorted by service.
    rollouts: Vec<Rollout>,
    /// The data centres out of service as the table has them.
    table_out: Vec<Name>,
    /// The orders as the table has them.
    table_rollouts: Vec<Rollout>,
}

impl EraMerge {
    /// Returns what is to be in force in place of `known`. `None` if `received` changes nothing.
    pub fn merge(&mut self, now: Time, known: &Ruleset, received: Ruleset) -> Option<Ruleset> {
        let (era, known_era) = (era_of(&received), era_of(known));
        let is_newer = received.revision > known.revision;
        let (version, known_version) = (received.routing.version, known.routing.version);
        if era.max(known_era) == 0 && (!is_newer || version < known_version) {
            return None;
        }
        if !is_newer {
            let newer = version > known_version;
            return newer.then(|| Ruleset { routing: received.routing, ..known.clone() });
        }
        if era > known_era {
            self.hold(now, known);
        } else {
            self.note_replaced(known, &received);
        }
        let received = match version < known_version {
            true => Ruleset { routing: known.routing.clone(), ..received },
            false => received,
        };
        Some(self.add_held(received))
    }

    /// Returns what is to be in force at a node that may have read the copy, after a peer sent a
    /// ruleset that is not newer.
    pub fn confirm(&mut self, now: Time, known: &Ruleset, received: &Ruleset) -> Ruleset {
        self.hold(now, received);
        let is_newer = received.routing.version > known.routing.version;
        let routing = if is_newer { &received.routing } else { &known.routing };
        self.add_held(Ruleset { routing: routing.clone(), ..known.clone() })
    }

    /// Returns what is to be in force once nothing is held any more. `None` while something is, and if
    /// that changes nothing.
    pub fn expire(&mut self, now: Time, known: &Ruleset) -> Option<Ruleset> {
        let held = self.held.take_if(|held| now >= held.until)?;
        let (out, rollouts) = (held.table_out, held.table_rollouts);
        let changes = known.out != out || known.rollouts != rollouts;
        changes.then(|| Ruleset { out, rollouts, ..known.clone() })
    }

    /// Returns the ruleset in force as the table has it, for peers: each holds what it knows itself, and
    /// could not tell when another one's hold ends.
    pub fn without_held(&self, known: &Ruleset) -> Ruleset {
        match &self.held {
            Some(held) => Ruleset {
                out: held.table_out.clone(),
                rollouts: held.table_rollouts.clone(),
                ..known.clone()
            },
            None => known.clone(),
        }
    }

    /// Keeps the data centres out of service and the orders of a ruleset in force for a while, beside
    /// those that are held already.
    fn hold(&mut self, now: Time, ruleset: &Ruleset) {
        let held = self.held.get_or_insert_with(|| Held {
            until: now,
            out: Vec::new(),
            rollouts: Vec::new(),
            table_out: Vec::new(),
            table_rollouts: Vec::new(),
        });
        held.until = now.after(HOLD_US);
        for name in &ruleset.out {
            set_out(&mut held.out, name.clone(), true);
        }
        for order in &ruleset.rollouts {
            set_rollout(&mut held.rollouts, &order.service, Some(order.clone()));
        }
    }

    fn add_held(&mut self, mut ruleset: Ruleset) -> Ruleset {
        let Some(held) = &mut self.held else { return ruleset };
        held.table_out.clone_from(&ruleset.out);
        held.table_rollouts.clone_from(&ruleset.rollouts);
        for name in &held.out {
            set_out(&mut ruleset.out, name.clone(), true);
        }
        for order in &held.rollouts {
            let in_table = ruleset.rollout(&order.service);
            if in_table.is_none_or(|known| self.replaced.contains(known)) {
                set_rollout(&mut ruleset.rollouts, &order.service, Some(order.clone()));
            }
        }
        ruleset
    }

    fn note_replaced(&mut self, known: &Ruleset, received: &Ruleset) {
        let is_replaced = |order: &&Rollout| {
            received.rollout(&order.service).is_some_and(|other| other != *order)
        };
        self.replaced.extend(known.rollouts.iter().filter(is_replaced).cloned());
        let surplus = self.replaced.len().saturating_sub(MAX_REPLACED);
        self.replaced.drain(..surplus);
    }
}

fn era_of(ruleset: &Ruleset) -> u64 {
    Revision::from(ruleset.revision).era()
}
