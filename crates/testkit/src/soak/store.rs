//! The table as the machines see it: writes that take effect at once, late, or not at all, and
//! answers that are lost.

use std::collections::BTreeMap;

use policy::{IdempotencyRecord, TableReply};
use rand::Rng;
use rand::rngs::SmallRng;

/// A write of a record.
#[derive(Clone, Debug)]
pub struct Write {
    /// The key's number.
    pub key: u64,
    /// The version that the row must have; None where there must be no row.
    pub wanted: Option<u64>,
    /// Whether the write takes effect whatever the row is.
    pub always: bool,
    /// The version afterwards.
    pub version: u64,
    /// The record.
    pub record: IdempotencyRecord,
}

/// What the store does to calls now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    /// Every call succeeds.
    Well,
    /// Every call fails without effect.
    Down,
    /// Answers of some writes are lost, and some writes take effect late.
    Lossy,
}

/// The rows, and writes that take effect later.
#[derive(Clone, Debug)]
pub struct Store {
    rows: BTreeMap<u64, (u64, IdempotencyRecord)>,
    late: Vec<Write>,
    /// What it does now.
    pub mood: Mood,
}

impl Store {
    /// Opens an empty store.
    pub fn open() -> Store {
        Store { rows: BTreeMap::new(), late: Vec::new(), mood: Mood::Well }
    }

    /// Reads a row.
    pub fn read(&self, key: u64) -> TableReply {
        match self.mood {
            Mood::Down => TableReply::Unavailable,
            _ => TableReply::Found(self.rows.get(&key).cloned()),
        }
    }

    /// Takes a write.
    pub fn write(&mut self, write: Write, rng: &mut SmallRng) -> TableReply {
        match (self.mood, rng.random_range(0..3)) {
            (Mood::Down, 0) => TableReply::Unavailable,
            (Mood::Down, _) | (Mood::Lossy, 0) => TableReply::Unknown,
            (Mood::Lossy, 1) => {
                self.late.push(write);
                TableReply::Unknown
            }
            (Mood::Lossy, _) if rng.random_bool(0.5) => {
                self.apply(write);
                TableReply::Unknown
            }
            _ => self.apply(write),
        }
    }

    /// Lets one of the late writes take effect.
    pub fn settle(&mut self, rng: &mut SmallRng) {
        if !self.late.is_empty() {
            let write = self.late.swap_remove(rng.random_range(0..self.late.len()));
            self.apply(write);
        }
    }

    /// Forgets the rows of keys below `key`, as expiry does.
    pub fn forget_below(&mut self, key: u64) {
        self.rows = self.rows.split_off(&key);
        self.late.retain(|write| write.key >= key);
    }

    fn apply(&mut self, write: Write) -> TableReply {
        let version = self.rows.get(&write.key).map(|(version, _)| *version);
        if !write.always && version != write.wanted {
            return TableReply::Conflict;
        }
        self.rows.insert(write.key, (write.version, write.record));
        TableReply::Done
    }
}
