//! An in-memory table with fault injection, for tests.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use world::Key;

use crate::Write;
use crate::table::{Condition, ConflictSnafu, Error, Row, Table, UnavailableSnafu, UnknownSnafu};

/// The faults that a fake table injects into calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Whether every call fails without effect.
    pub down: bool,
    /// The delay of every call before it takes effect.
    pub slow: Duration,
    /// How many of the next write calls are applied but fail as if the answer had been lost.
    pub lost: u32,
    /// How many of the next write calls fail likewise, and the delay after which they are applied.
    pub late: Option<(u32, Duration)>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    faults: Faults,
    reads: u64,
    writes: u64,
}

/// An in-memory table. Clones share their rows and faults.
#[derive(Clone, Debug, Default)]
pub struct Fake {
    state: Arc<Mutex<State>>,
}

impl Fake {
    /// Creates an empty table without faults.
    pub fn open() -> Fake {
        Fake::default()
    }

    /// Replaces the faults for calls from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the numbers of read calls and of write calls that took effect.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits and fails as the faults `slow` and `down` say.
    async fn inject_faults(&self) -> Result<(), Error> {
        let faults = self.lock().faults;
        if !faults.slow.is_zero() {
            tokio::time::sleep(faults.slow).await;
        }
        match faults.down {
            true => UnavailableSnafu { detail: "the fake table is down" }.fail(),
            false => Ok(()),
        }
    }

    /// Checks the conditions of all writes, then applies them all.
    fn apply(&self, writes: &[Write]) -> Result<(), Error> {
        let mut state = self.lock();
        for (at, write) in writes.iter().enumerate() {
            let version = state.rows.get(&write.row.key).map(|row| row.version);
            let holds = match write.condition {
                Condition::Any => true,
                Condition::Absent => version.is_none(),
                Condition::Version(wanted) => version == Some(wanted),
            };
            if !holds {
                return ConflictSnafu { at }.fail();
            }
        }
        state.writes += 1;
        for write in writes {
            state.rows.insert(write.row.key.clone(), write.row.clone());
        }
        Ok(())
    }

    /// Returns the delay of a write whose answer is to be lost, and counts it; otherwise `None`.
    fn take_lost_write(&self) -> Option<Duration> {
        let mut state = self.lock();
        if state.faults.lost > 0 {
            state.faults.lost -= 1;
            return Some(Duration::ZERO);
        }
        let (count, delay) = state.faults.late?;
        state.faults.late = (count > 1).then(|| (count - 1, delay));
        Some(delay)
    }
}

impl Table for Fake {
    async fn read(&self, key: &Key) -> Result<Option<Row>, Error> {
        self.inject_faults().await?;
        let mut state = self.lock();
        state.reads += 1;
        Ok(state.rows.get(key).cloned())
    }

    async fn list(&self, part: &str) -> Result<Vec<Row>, Error> {
        self.inject_faults().await?;
        let mut state = self.lock();
        state.reads += 1;
        Ok(state.rows.values().filter(|row| &*row.key.part == part).cloned().collect())
    }

    async fn write(&self, writes: Vec<Write>) -> Result<(), Error> {
        self.inject_faults().await?;
        let Some(delay) = self.take_lost_write() else { return self.apply(&writes) };
        if delay.is_zero() {
            let _ = self.apply(&writes);
        } else {
            let late = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = late.apply(&writes);
            });
        }
        UnknownSnafu { detail: "the fake table dropped the answer" }.fail()
    }
}
