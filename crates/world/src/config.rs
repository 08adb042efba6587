//! A configuration: one accepted version of the operators' document, and the data centres that
//! they took out of service or put back without changing it.

use serde::{Deserialize, Serialize};

use crate::{Fault, Inventory, Name, parse};

/// One accepted configuration, as stored in the platform's table and sent between nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Increases by one with each accepted change; 0 before the first.
    pub version: u64,
    /// The version that last changed `document`, at most `version`.
    pub base: u64,
    /// Id of the change. An operator whose answer was lost finds the change by it.
    pub change: Name,
    /// Describes the change in the history.
    pub note: Name,
    /// When it was accepted, in milliseconds since 1970 by the operator's clock.
    pub time_ms: u64,
    /// The operators' TOML document.
    pub document: Name,
    /// Data centres out of service in addition to those that the document lists as out. Sorted.
    pub out: Vec<Name>,
    /// Data centres in service although the document lists them as out. Sorted.
    pub back: Vec<Name>,
}

impl Config {
    /// Parses the document and applies `out` and `back` to it, or returns the document's faults.
    pub fn inventory(&self) -> Result<Inventory, Vec<Fault>> {
        let mut inventory = parse(&self.document)?;
        for dc in &mut inventory.data_centres {
            dc.out |= self.out.binary_search(&dc.name).is_ok();
            dc.out &= self.back.binary_search(&dc.name).is_err();
        }
        Ok(inventory)
    }

    /// Takes a data centre out of service or puts it back, whatever the document says.
    pub fn mark(&mut self, data_centre: &Name, out: bool) {
        let (add, remove) = match out {
            true => (&mut self.out, &mut self.back),
            false => (&mut self.back, &mut self.out),
        };
        remove.retain(|name| name != data_centre);
        if let Err(at) = add.binary_search(data_centre) {
            add.insert(at, data_centre.clone());
        }
    }
}
