//! Keys of rows in the platform's table.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Name;

/// The key of one row of the platform's table: a partition and the row's name in it.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{part}/{id}")]
pub struct Key {
    /// The table's partition, one per kind of row.
    pub part: Name,
    /// Unique in its partition.
    pub id: Name,
}

impl Key {
    /// The partition of the rows that nodes register.
    pub const NODES: &str = "node";
    /// The partition of accepted configurations.
    pub const HISTORY: &str = "history";

    /// Returns the key of a row.
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

    /// Returns the key of a node's row.
    pub fn node(name: &str) -> Key {
        Key::new(Key::NODES, name)
    }

    /// Returns the key of the record of an idempotency key of a service.
    pub fn once(service: &str, key: &str) -> Key {
        Key::new(format!("once#{service}#{key}"), "record")
    }
}
