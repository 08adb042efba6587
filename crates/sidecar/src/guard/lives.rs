//! Which life of the target is current, and which are over.

use platform::heartbeat::Heartbeat;
use wire::link::Life;
use world::Name;

/// Lives that are remembered as over. A delayed heartbeat comes seconds late, not many lives late.
const REMEMBERED: usize = 16;

/// The start of a life that was found by a health check, which does not tell it.
const UNKNOWN: u64 = 0;

/// What a heartbeat means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beat {
    /// It is older than what is known.
    Old,
    /// It is of the life that is known.
    Current,
    /// A new life began.
    New,
}

/// The lives of the targets at this VM.
#[derive(Clone, Debug, Default)]
pub struct Lives {
    current: Option<(Life, u64)>,
    /// Lives that left. Nothing is sent to them again.
    over: Vec<Life>,
    /// Ids whose life left without telling its start, with the time of day at which it did, in
    /// milliseconds since 1970: every life of the id that started before is over.
    over_before: Vec<(Name, u64)>,
}

impl Lives {
    /// Takes in a heartbeat.
    pub fn heard(&mut self, report: &Heartbeat) -> Beat {
        let life = Life { id: report.id.clone(), born: report.born };
        if let Some((known, _)) = &mut self.current
            && known.id == life.id
            && known.born == UNKNOWN
        {
            known.born = life.born;
        }
        match &mut self.current {
            Some((known, sequence)) if *known == life => {
                if report.sequence <= *sequence {
                    return Beat::Old;
                }
                *sequence = report.sequence;
                Beat::Current
            }
            Some((known, _)) if life.born < known.born => Beat::Old,
            _ => {
                self.current = Some((life, report.sequence));
                Beat::New
            }
        }
    }

    /// Takes an instance that answered a health check for the current life, where none is known.
    /// Returns it where it did not leave before.
    pub fn found(&mut self, id: &Name) -> Option<Life> {
        let life = Life { id: id.clone(), born: UNKNOWN };
        let left = self.over.iter().any(|life| life.id == *id) || self.is_over(&life);
        if self.current.is_some() || left {
            return None;
        }
        self.current = Some((life.clone(), 0));
        Some(life)
    }

    /// Returns the current life.
    pub fn current(&self) -> Option<&Life> {
        self.current.as_ref().map(|(life, _)| life)
    }

    /// Notes that a life left.
    pub fn left(&mut self, life: Life) {
        if let Some((known, _)) = &mut self.current
            && known.id == life.id
            && known.born == UNKNOWN
        {
            known.born = life.born;
        }
        if self.is_over(&life) {
            return;
        }
        push(&mut self.over, life);
    }

    /// Notes that the life of an id left that does not tell its start, at a time of day.
    pub fn left_unknown(&mut self, id: Name, now_ms: u64) {
        push(&mut self.over_before, (id, now_ms));
    }

    /// Returns whether a life left.
    pub fn is_over(&self, life: &Life) -> bool {
        let is_before = |(id, at): &(Name, u64)| *id == life.id && life.born <= *at;
        self.over.contains(life) || self.over_before.iter().any(is_before)
    }
}

fn push<T>(list: &mut Vec<T>, item: T) {
    if list.len() >= REMEMBERED {
        list.remove(0);
    }
    list.push(item);
}
