//! The commands, one file each.

pub mod apply;
pub mod certs;
pub mod check;
pub mod dc;
pub mod events;
pub mod explain;
pub mod history;
pub mod show;
pub mod status;

use std::time::{SystemTime, UNIX_EPOCH};

use snafu::ResultExt;
use world::{Inventory, parse};

use crate::error::{FaultySnafu, FileSnafu};
use crate::{Error, store};

/// What holds for every command.
#[derive(Debug)]
pub struct Context {
    /// Print JSON instead of tables.
    pub json: bool,
    /// How the table is reached.
    pub store: store::Options,
}

/// Reads and checks an inventory file.
fn read_inventory(path: &str) -> Result<(String, Inventory), Error> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    match parse(&text) {
        Ok(inventory) => Ok((text, inventory)),
        Err(faults) => FaultySnafu { path, faults }.fail(),
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Returns an id that no other change has.
fn change_id() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{:x}-{:x}", since.as_nanos(), std::process::id())
}
