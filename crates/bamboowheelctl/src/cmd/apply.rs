//! `apply`: puts an inventory in force.

use gumdrop::Options;
use serde_json::json;
use world::Config;

use super::{Context, change_id, read_inventory, wall_ms};
use crate::error::ConflictSnafu;
use crate::store::block_on;
use crate::{Error, change, output};

const USAGE: &str = "\
Checks an inventory file and puts it in force. Marks of data centres as out or in are kept.

Where another change was accepted since the version that --from names, or while this command ran,
it is refused with the version that won. Where the store's answer is lost, the outcome is found out
by reading back.

Usage:
    bamboowheelctl apply [options] FILE

Options:";

/// The command's arguments.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(help = "the version that the file was made from", no_short, meta = "VERSION")]
    from: Option<u64>,
    #[options(help = "what the history says of the change", no_short, meta = "TEXT")]
    note: Option<String>,
    #[options(free, help = "the inventory, TOML")]
    file: Vec<String>,
}

/// Runs the command.
pub fn run(context: &Context, args: &Args) -> Result<(), Error> {
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return Ok(());
    }
    let [file] = &args.file[..] else { return Err(Error::usage("apply takes one FILE")) };
    let (text, _) = read_inventory(file)?;
    let table = context.store.open()?;
    let make = |config: &mut Config| {
        if args.from.is_some_and(|from| from != config.version - 1) {
            let (version, note) = (config.version - 1, config.note.to_string());
            return ConflictSnafu { version, note }.fail();
        }
        config.base = config.version;
        config.document = text.as_str().into();
        config.note = args.note.as_deref().unwrap_or("apply").into();
        config.time_ms = wall_ms();
        Ok(())
    };
    let accepted = block_on(change(&table, &change_id(), 0, make))??;
    let version = accepted.config.version;
    match context.json {
        true => output::json(&json!({ "version": version })),
        false => println!("version {version} is accepted"),
    }
    Ok(())
}
