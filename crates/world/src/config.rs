//! A configuration: one accepted version of the operators' document and their marks on it.

use serde::{Deserialize, Serialize};

use crate::{Fault, Inventory, Name, parse};

/// One accepted configuration, as it stands in the platform's table and travels between nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Grows by one with each accepted change; 0 before the first.
    pub version: u64,
    /// The version that last changed `document`, at most `version`.
    pub base: u64,
    /// Names the change, so that an operator whose answer was lost finds it again.
    pub change: Name,
    /// What was changed, for the history.
    pub note: Name,
    /// When it was accepted, in milliseconds since 1970 by the operator's clock.
    pub time_ms: u64,
    /// The operators' TOML document.
    pub document: Name,
    /// Data centres marked out beside those the document says are out. Sorted.
    pub out: Vec<Name>,
    /// Data centres marked in, although the document says they are out. Sorted.
    pub back: Vec<Name>,
}

impl Config {
    /// Returns the inventory with the operators' marks applied.
    pub fn inventory(&self) -> Result<Inventory, Vec<Fault>> {
        let mut inventory = parse(&self.document)?;
        for dc in &mut inventory.data_centres {
            dc.out |= self.out.binary_search(&dc.name).is_ok();
            dc.out &= self.back.binary_search(&dc.name).is_err();
        }
        Ok(inventory)
    }

    /// Marks a data centre as out or in.
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
