//! Incarnations of the target on this VM: which one is current, and which ones left.
//!
//! An incarnation ([`Life`]) is an instance id together with the time at which the instance
//! started: a target that restarts may keep its id.

use platform::heartbeat::Heartbeat;
use wire::link::Life;
use world::Name;

/// Incarnations that are remembered as gone. A delayed heartbeat arrives seconds late, not many
/// incarnations late.
const MAX_GONE: usize = 16;

/// Start time of an incarnation that was found by a health check, whose answer does not include it.
const UNKNOWN_START: u64 = 0;

/// How a heartbeat relates to what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatKind {
    /// It was sent before one that has already arrived.
    Stale,
    /// It is from the current incarnation.
    Current,
    /// It is the first from a new incarnation, which is the current one from now on.
    New,
}

/// The incarnations of the targets on this VM.
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    /// The current incarnation, and the highest sequence number of its heartbeats.
    current: Option<(Life, u64)>,
    /// Incarnations that deregistered or reported that they leave. They get no more requests.
    gone: Vec<Life>,
    /// Ids that deregistered without a start time, and the time of day at which they did, in
    /// milliseconds since 1970: every incarnation of the id that started by then is gone.
    gone_before: Vec<(Name, u64)>,
}

impl Incarnations {
    /// Records a heartbeat, and returns how it relates to what was known.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat) -> HeartbeatKind {
        let life = Life { id: heartbeat.id.clone(), born: heartbeat.born };
        if let Some((known, _)) = &mut self.current
            && known.id == life.id
            && known.born == UNKNOWN_START
        {
            known.born = life.born;
        }
        match &mut self.current {
            Some((known, sequence)) if *known == life => {
                if heartbeat.sequence <= *sequence {
                    return HeartbeatKind::Stale;
                }
                *sequence = heartbeat.sequence;
                HeartbeatKind::Current
            }
            Some((known, _)) if life.born < known.born => HeartbeatKind::Stale,
            _ => {
                self.current = Some((life, heartbeat.sequence));
                HeartbeatKind::New
            }
        }
    }

    /// Makes an instance that answered a health check the current incarnation, with an unknown
    /// start time. Returns `None` and changes nothing if one is current or the instance left.
    pub fn adopt(&mut self, id: &Name) -> Option<Life> {
        let life = Life { id: id.clone(), born: UNKNOWN_START };
        let left = self.gone.iter().any(|life| life.id == *id) || self.is_gone(&life);
        if self.current.is_some() || left {
            return None;
        }
        self.current = Some((life.clone(), 0));
        Some(life)
    }

    /// Returns the current incarnation, which may be gone.
    pub fn current(&self) -> Option<&Life> {
        self.current.as_ref().map(|(life, _)| life)
    }

    /// Records that an incarnation left.
    pub fn mark_gone(&mut self, life: Life) {
        if let Some((known, _)) = &mut self.current
            && known.id == life.id
            && known.born == UNKNOWN_START
        {
            known.born = life.born;
        }
        if self.is_gone(&life) {
            return;
        }
        push_bounded(&mut self.gone, life);
    }

    /// Records that an instance left whose start time is not known. `now_ms` is the time of day in
    /// milliseconds since 1970.
    pub fn mark_gone_before(&mut self, id: Name, now_ms: u64) {
        push_bounded(&mut self.gone_before, (id, now_ms));
    }

    /// Returns whether an incarnation left.
    pub fn is_gone(&self, life: &Life) -> bool {
        let is_before = |(id, at): &(Name, u64)| *id == life.id && life.born <= *at;
        self.gone.contains(life) || self.gone_before.iter().any(is_before)
    }
}

/// Appends an item, and drops the oldest one if the list is full.
fn push_bounded<T>(list: &mut Vec<T>, item: T) {
    if list.len() >= MAX_GONE {
        list.remove(0);
    }
    list.push(item);
}
