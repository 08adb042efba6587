//! `history`: lists the accepted changes.

use gumdrop::Options;
use serde_json::json;
use table::Table;
use world::{Config, Key};

use super::Context;
use crate::store::block_on;
use crate::{Error, output};

/// How many changes are listed without `--most`.
const DEFAULT_COUNT: usize = 20;

const USAGE: &str = "\
Lists the accepted changes, the newest first.

Usage:
    bamboowheelctl history [options]
";

/// Each change has a version, a time in ms since the Unix epoch, a note and an id.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(help = "how many changes to list (default: 20)", no_short, meta = "N")]
    most: Option<usize>,
}

/// Prints the newest changes of the history.
pub fn run(context: &Context, args: &Args) -> Result<(), Error> {
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return Ok(());
    }
    let table = context.store.open()?;
    let rows = block_on(table.list(Key::HISTORY))?.map_err(|source| Error::Store { source })?;
    let newest = rows.iter().rev().take(args.most.unwrap_or(DEFAULT_COUNT));
    let changes: Vec<Config> =
        newest.filter_map(|row| serde_json::from_slice(&row.body).ok()).collect();
    if context.json {
        let list = changes.iter().map(|config| {
            json!({
                "version": config.version,
                "time_ms": config.time_ms,
                "change": config.change,
                "note": config.note,
            })
        });
        output::json(&json!(list.collect::<Vec<_>>()));
        return Ok(());
    }
    let cells = changes.iter().map(|config| {
        let (version, time) = (config.version.to_string(), config.time_ms.to_string());
        vec![version, time, config.note.to_string(), config.change.to_string()]
    });
    output::table(&["VERSION", "TIME MS", "NOTE", "CHANGE"], &cells.collect::<Vec<_>>());
    Ok(())
}
