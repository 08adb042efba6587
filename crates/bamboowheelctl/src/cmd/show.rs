//! `show`: shows the inventory in force.

use gumdrop::Options;
use serde_json::json;

use super::Context;
use crate::error::InvalidInventorySnafu;
use crate::store::block_on;
use crate::{Error, current, output};

const USAGE: &str = "\
Shows the inventory in force, and which data centres are out of service.

Usage:
    bamboowheelctl show [options]
";

/// DEADLINE is the time that a caller of the service waits for an answer to begin.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(help = "print the inventory file as it was applied", no_short)]
    document: bool,
}

/// Prints the data centres and services of the inventory, or its document.
pub fn run(context: &Context, args: &Args) -> Result<(), Error> {
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return Ok(());
    }
    let table = context.store.open()?;
    let config = block_on(current(&table))??;
    if config.version == 0 {
        return Err(Error::NothingApplied);
    }
    if args.document {
        print!("{}", config.document);
        return Ok(());
    }
    let inventory = config.inventory();
    let inventory =
        inventory.or_else(|faults| InvalidInventorySnafu { path: "the table", faults }.fail())?;
    if context.json {
        output::json(&json!({ "version": config.version, "inventory": inventory }));
        return Ok(());
    }
    println!("version {} of {} ({})", config.version, inventory.tenant, config.note);
    let centres = inventory.data_centres.iter().map(|dc| {
        let vms = inventory.vms.iter().filter(|vm| vm.data_centre == dc.name).count();
        let state = if dc.out { "out" } else { "in" };
        vec![dc.name.to_string(), dc.region.to_string(), state.to_owned(), vms.to_string()]
    });
    output::table(&["DATA CENTRE", "REGION", "STATE", "VMS"], &centres.collect::<Vec<_>>());
    let services = inventory.services.iter().map(|service| {
        let deadline = format!("{} ms", service.deadline_ms);
        let class = service.class.to_string();
        vec![service.name.to_string(), service.route.to_string(), class, deadline]
    });
    output::table(&["SERVICE", "ROUTE", "CLASS", "DEADLINE"], &services.collect::<Vec<_>>());
    Ok(())
}
