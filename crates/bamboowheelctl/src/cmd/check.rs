//! `check`: checks an inventory file.

use gumdrop::Options;
use serde_json::json;

use super::{Context, read_inventory};
use crate::{Error, output};

const USAGE: &str = "\
Checks an inventory file without applying it. Lists every fault with its line and column.

Usage:
    bamboowheelctl check FILE
";

/// With --json before the command, the parsed inventory or the list of faults is printed as JSON.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(free, help = "the inventory file, in TOML")]
    file: Vec<String>,
}

/// Checks the file and prints a summary of it or its faults.
pub fn run(context: &Context, args: &Args) -> Result<(), Error> {
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return Ok(());
    }
    let [file] = &args.file[..] else { return Err(Error::usage("check takes exactly one FILE")) };
    match read_inventory(file) {
        Ok((_, inventory)) if context.json => output::json(&json!(inventory)),
        Ok((_, inventory)) => println!(
            "{file}: {} data centres, {} VMs, {} services, {} contracts",
            inventory.data_centres.len(),
            inventory.vms.len(),
            inventory.services.len(),
            inventory.contracts.len()
        ),
        Err(Error::InvalidInventory { path, faults }) => {
            if context.json {
                output::json(&json!(faults));
            }
            return Err(Error::InvalidInventory { path, faults });
        }
        Err(error) => return Err(error),
    }
    Ok(())
}
