//! Keys of rows in the platform's table.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Name;

/// The key of one row of the platform's table: a partition and the row's id in it.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{part}/{id}")]
pub struct Key {
    /// The partition. There is one for each kind of row, and one for each idempotency key.
    pub part: Name,
    /// Unique in its partition.
    pub id: Name,
}

impl Key {
    /// The partition of the rows that nodes register.
    pub const NODES: &str = "node";
    /// The partition of accepted configurations.
    pub const HISTORY: &str = "history";

    /// Returns the key of the row `id` in the partition `part`.
    pub fn new(part: impl Into<Name>, id: impl Into<Name>) -> Key {
        Key { part: part.into(), id: id.into() }
    }

    /// Returns the key of the configuration in force.
    pub fn config() -> Key {
        Key::new("config", "current")
    }

    /// Returns the key of one version in the configuration's history.
    pub fn history(version: u64) -> Key {
        Key::new(Key::HISTORY, format!("{version:020}"))
    }

    /// Returns the key of the row that a node registers under its name.
    pub fn node(name: &str) -> Key {
        Key::new(Key::NODES, name)
    }

    /// Returns the key of the record of an idempotency key, which is separate for each service.
    pub fn once(service: &str, key: &str) -> Key {
        Key::new(format!("once#{service}#{key}"), "record")
    }
}
