//! Accepts a change: a compare-and-swap of the configuration in the platform's table, whose
//! outcome is always found out where the store lets it be.

use std::time::Duration;

use table::{Condition, Row, Table, Write};
use world::{Config, Key};

use crate::Error;
use crate::error::{ConflictSnafu, StoreUnknownSnafu};

/// Times that a write with an unknown outcome is settled again.
const SETTLES: u32 = 8;
/// Time between two of them.
const SETTLE_WAIT: Duration = Duration::from_millis(250);

/// An accepted change.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// The configuration that holds from now on.
    pub config: Config,
    /// Other changes that were accepted first and that this one was applied on.
    pub overtaken: u32,
}

/// Reads the configuration in force. Version 0 says that there is none.
pub async fn current<T: Table>(table: &T) -> Result<Config, Error> {
    let row = table.read(&Key::config()).await.map_err(|source| Error::Store { source })?;
    let config = row.and_then(|row| serde_json::from_slice(&row.body).ok());
    Ok(config.unwrap_or_default())
}

/// Makes a change on the configuration in force and has it accepted. `change` is called with that
/// configuration, its version raised already; where another change wins it is called again, as
/// often as `again` allows.
pub async fn change<T, F>(table: &T, id: &str, again: u32, mut change: F) -> Result<Accepted, Error>
where
    T: Table,
    F: FnMut(&mut Config) -> Result<(), Error>,
{
    let mut overtaken = 0;
    loop {
        let old = current(table).await?;
        let mut config = Config { version: old.version + 1, change: id.into(), ..old.clone() };
        change(&mut config)?;
        match swap(table, old.version, &config).await? {
            Swapped::Done => return Ok(Accepted { config, overtaken }),
            Swapped::Lost(_) if overtaken < again => overtaken += 1,
            Swapped::Lost(winner) => {
                let (version, note) = (winner.version, winner.note.to_string());
                return ConflictSnafu { version, note }.fail();
            }
        }
    }
}

enum Swapped {
    Done,
    /// The configuration that won.
    Lost(Config),
}

async fn swap<T: Table>(table: &T, old: u64, config: &Config) -> Result<Swapped, Error> {
    let mut in_doubt = false;
    for _ in 0..SETTLES {
        match table.write(writes(old, config)).await {
            Ok(()) => return Ok(Swapped::Done),
            Err(source @ table::Error::Unavailable { .. }) if !in_doubt => {
                return Err(Error::Store { source });
            }
            Err(table::Error::Unknown { .. }) => in_doubt = true,
            Err(_) => {}
        }
        if let Ok(Some(swapped)) = settle(table, config).await {
            return Ok(swapped);
        }
        tokio::time::sleep(SETTLE_WAIT).await;
    }
    StoreUnknownSnafu { change: config.change.to_string() }.fail()
}

/// Reads back who won, where the version has moved on. Then a write in doubt that has not taken
/// effect can no longer do so.
async fn settle<T: Table>(table: &T, config: &Config) -> Result<Option<Swapped>, Error> {
    let now = current(table).await?;
    if now.version < config.version {
        return Ok(None);
    }
    Ok(Some(match was_mine(table, config).await? {
        true => Swapped::Done,
        false => Swapped::Lost(now),
    }))
}

/// Whether the history holds this very change at its version.
async fn was_mine<T: Table>(table: &T, config: &Config) -> Result<bool, Error> {
    let key = Key::history(config.version);
    let row = table.read(&key).await.map_err(|source| Error::Store { source })?;
    let held: Option<Config> = row.and_then(|row| serde_json::from_slice(&row.body).ok());
    Ok(held.is_some_and(|held| held.change == config.change))
}

/// The new configuration, and its row in the history without the document where it is the old one.
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
