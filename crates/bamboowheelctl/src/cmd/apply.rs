//! `apply`: puts an inventory in force.

use gumdrop::Options;
use serde_json::json;
use world::Config;

use super::{Context, change_id, read_inventory, wall_ms};
use crate::error::ConflictSnafu;
use crate::store::block_on;
use crate::{Error, change, output};

const USAGE: &str = "\
Checks an inventory file and puts it in force. Data centres that were marked with `dc out` or
`dc in` keep that mark.

The command fails if another change was accepted while it ran, or after the version given by --from,
and names the version in force. If the answer of the store is lost, the command reads the table back
to find out whether the change took effect.

Usage:
    bamboowheelctl apply [options] FILE
";

/// FILE is checked first. If it has a fault, nothing is written.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(
        help = "version that the file was derived from; fail if another one is in force",
        no_short,
        meta = "VERSION"
    )]
    from: Option<u64>,
    #[options(
        help = "description of the change in the history (default: apply)",
        no_short,
        meta = "TEXT"
    )]
    note: Option<String>,
    #[options(free, help = "the inventory file, in TOML")]
    file: Vec<String>,
}

/// Checks the file and writes it as the next version of the configuration.
pub fn run(context: &Context, args: &Args) -> Result<(), Error> {
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return Ok(());
    }
    let [file] = &args.file[..] else { return Err(Error::usage("apply takes exactly one FILE")) };
    let (text, _) = read_inventory(file)?;
    let table = context.store.open()?;
    let edit = |config: &mut Config| {
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
    let accepted = block_on(change(&table, &change_id(), 0, edit))??;
    let version = accepted.config.version;
    match context.json {
        true => output::json(&json!({ "version": version })),
        false => println!("version {version} is accepted"),
    }
    Ok(())
}
