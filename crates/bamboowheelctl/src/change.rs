//! Changes the configuration in the platform's table by compare-and-swap. If the answer to a write
//! is lost, reads the table back to find out whether the write took effect.

use std::time::Duration;

use table::{Condition, Row, Table, Write};
use world::{Config, Key};

use crate::Error;
use crate::error::{ConflictSnafu, StoreUnknownSnafu};

/// The most times that one version is written before its outcome counts as unknown.
const MAX_WRITES: u32 = 8;
/// Delay between two of these writes.
const WRITE_DELAY: Duration = Duration::from_millis(250);

/// An accepted change.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// The configuration that the change put in force.
    pub config: Config,
    /// How often another change was accepted first, so that this one was made again on top of it.
    pub conflicts: u32,
}

/// Reads the configuration in force. Its version is 0 if none was ever written, or
/// if the row cannot be decoded.
pub async fn current<T: Table>(table: &T) -> Result<Config, Error> {
    let row = table.read(&Key::config()).await.map_err(|source| Error::Store { source })?;
    let config = row.and_then(|row| serde_json::from_slice(&row.body).ok());
    Ok(config.unwrap_or_default())
}

/// Applies `change` to the configuration in force and writes the result as the next version.
/// `change` gets a copy of the configuration whose version is already raised. If another change is
/// accepted first, `change` is called again on the new configuration, at most `max_retries` times;
/// after that the result is [`Error::Conflict`].
pub async fn change<T, F>(
    table: &T,
    id: &str,
    max_retries: u32,
    mut change: F,
) -> Result<Accepted, Error>
where
    T: Table,
    F: FnMut(&mut Config) -> Result<(), Error>,
{
    let mut conflicts = 0;
    loop {
        let old = current(table).await?;
        let mut config = Config { version: old.version + 1, change: id.into(), ..old.clone() };
        change(&mut config)?;
        match compare_and_swap(table, old.version, &config).await? {
            SwapOutcome::Written => return Ok(Accepted { config, conflicts }),
            SwapOutcome::Conflict(_) if conflicts < max_retries => conflicts += 1,
            SwapOutcome::Conflict(winner) => {
                let (version, note) = (winner.version, winner.note.to_string());
                return ConflictSnafu { version, note }.fail();
            }
        }
    }
}

enum SwapOutcome {
    Written,
    /// Another change was accepted first; holds the configuration now in force.
    Conflict(Config),
}

async fn compare_and_swap<T: Table>(
    table: &T,
    old: u64,
    config: &Config,
) -> Result<SwapOutcome, Error> {
    let mut outcome_unknown = false;
    for _ in 0..MAX_WRITES {
        match table.write(writes(old, config)).await {
            Ok(()) => return Ok(SwapOutcome::Written),
            Err(source @ table::Error::Unavailable { .. }) if !outcome_unknown => {
                return Err(Error::Store { source });
            }
            Err(table::Error::Unknown { .. }) => outcome_unknown = true,
            Err(_) => {}
        }
        if let Ok(Some(outcome)) = read_outcome(table, config).await {
            return Ok(outcome);
        }
        tokio::time::sleep(WRITE_DELAY).await;
    }
    StoreUnknownSnafu { change: config.change.to_string() }.fail()
}

/// Reads which change was accepted at this version, or `None` if the version has not been written
/// yet. Once it has been, an earlier write with an unknown outcome can no longer take effect,
/// because its condition no longer holds.
async fn read_outcome<T: Table>(table: &T, config: &Config) -> Result<Option<SwapOutcome>, Error> {
    let now = current(table).await?;
    if now.version < config.version {
        return Ok(None);
    }
    Ok(Some(match is_in_history(table, config).await? {
        true => SwapOutcome::Written,
        false => SwapOutcome::Conflict(now),
    }))
}

/// Whether the history has this change, by its id, at the change's version.
async fn is_in_history<T: Table>(table: &T, config: &Config) -> Result<bool, Error> {
    let key = Key::history(config.version);
    let row = table.read(&key).await.map_err(|source| Error::Store { source })?;
    let held: Option<Config> = row.and_then(|row| serde_json::from_slice(&row.body).ok());
    Ok(held.is_some_and(|held| held.change == config.change))
}

/// Returns the writes of one change: the new configuration, and its row in the history. The history
/// row leaves out the document if this change did not replace it.
fn writes(old: u64, config: &Config) -> Vec<Write> {
    let condition = match old {
        0 => Condition::Absent,
        version => Condition::Version(version),
    };
    let body = |config: &Config| serde_json::to_vec(config).unwrap_or_default();
    let row = Row { key: Key::config(), version: config.version, body: body(config) };
    let mut past = config.clone();
    if config.base != config.version {
        past.document = Default::default();
    }
    let history =
        Row { key: Key::history(config.version), version: config.version, body: body(&past) };
    vec![
        Write { row, condition, expires: None },
        Write { row: history, condition: Condition::Absent, expires: None },
    ]
}
