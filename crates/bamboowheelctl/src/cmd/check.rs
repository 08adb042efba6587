//! `check`: checks an inventory file.

use gumdrop::Options;
use serde_json::json;

use super::{Context, read_inventory};
use crate::{Error, output};

const USAGE: &str = "\
Checks an inventory file. Every fault is listed with its line and column, and nothing is applied.

Usage:
    bamboowheelctl check FILE

Options:";

/// The command's arguments.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(free, help = "the inventory, TOML")]
    file: Vec<String>,
}

/// Runs the command.
pub fn run(context: &Context, args: &Args) -> Result<(), Error> {
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return Ok(());
    }
    let [file] = &args.file[..] else { return Err(Error::usage("check takes one FILE")) };
    match read_inventory(file) {
        Ok((_, inventory)) if context.json => output::json(&json!(inventory)),
        Ok((_, inventory)) => println!(
            "{file}: {} data centres, {} VMs, {} services, {} contracts",
            inventory.data_centres.len(),
            inventory.vms.len(),
            inventory.services.len(),
            inventory.contracts.len()
        ),
        Err(Error::Faulty { path, faults }) => {
            if context.json {
                output::json(&json!(faults));
            }
            return Err(Error::Faulty { path, faults });
        }
        Err(error) => return Err(error),
    }
    Ok(())
}
