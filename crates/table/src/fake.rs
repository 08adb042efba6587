//! An in-memory table with faults, for tests.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use world::Key;

use crate::Write;
use crate::table::{Condition, ConflictSnafu, Error, Row, Table, UnavailableSnafu, UnknownSnafu};

/// What is wrong with a fake table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call fails and has no effect.
    pub down: bool,
    /// Every call takes this long before it has its effect.
    pub slow: Duration,
    /// This many of the next writes take effect without an answer.
    pub lost: u32,
    /// This many of the next writes have no answer and take effect only this much later.
    pub late: Option<(u32, Duration)>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    faults: Faults,
    reads: u64,
    writes: u64,
}

/// An in-memory table. Clones share their rows.
#[derive(Clone, Debug, Default)]
pub struct Fake {
    state: Arc<Mutex<State>>,
}

impl Fake {
    /// Opens an empty table without faults.
    pub fn open() -> Fake {
        Fake::default()
    }

    /// Sets what is wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns how many reads and write calls took effect.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn delay(&self) -> Result<(), Error> {
        let faults = self.lock().faults;
        if !faults.slow.is_zero() {
            tokio::time::sleep(faults.slow).await;
        }
        match faults.down {
            true => UnavailableSnafu { detail: "the fake is down" }.fail(),
            false => Ok(()),
        }
    }

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

    /// Takes one of the writes whose answers are to be lost.
    fn lose(&self) -> Option<Duration> {
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
        self.delay().await?;
        let mut state = self.lock();
        state.reads += 1;
        Ok(state.rows.get(key).cloned())
    }

    async fn list(&self, part: &str) -> Result<Vec<Row>, Error> {
        self.delay().await?;
        let mut state = self.lock();
        state.reads += 1;
        Ok(state.rows.values().filter(|row| &*row.key.part == part).cloned().collect())
    }

    async fn write(&self, writes: Vec<Write>) -> Result<(), Error> {
        self.delay().await?;
        let Some(delay) = self.lose() else { return self.apply(&writes) };
        if delay.is_zero() {
            let _ = self.apply(&writes);
        } else {
            let late = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = late.apply(&writes);
            });
        }
        UnknownSnafu { detail: "the fake lost the answer" }.fail()
    }
}
