//! The commands, one module each, and what several of them share.

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

use crate::error::{FileSnafu, InvalidInventorySnafu};
use crate::{Error, store};

/// Options that apply to every command.
#[derive(Debug)]
pub struct Context {
    /// Whether output is JSON instead of tables.
    pub json: bool,
    /// Settings of the platform's table.
    pub store: store::Options,
}

/// Reads and checks an inventory file. Returns its text and the parsed inventory.
fn read_inventory(path: &str) -> Result<(String, Inventory), Error> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    match parse(&text) {
        Ok(inventory) => Ok((text, inventory)),
        Err(faults) => InvalidInventorySnafu { path, faults }.fail(),
    }
}

/// Returns the time since the Unix epoch in milliseconds.
fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Returns a new id for a change, made of the time in nanoseconds and the process id.
fn change_id() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{:x}-{:x}", since.as_nanos(), std::process::id())
}
