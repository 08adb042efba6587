//! `dc`: takes a data centre out of service, or back in.

use gumdrop::Options;
use serde_json::json;
use world::{Config, Name};

use super::{Context, change_id, wall_ms};
use crate::error::UnknownDataCentreSnafu;
use crate::store::block_on;
use crate::{Error, change, output};

/// Other changes that may be accepted first.
const AGAIN: u32 = 16;

const USAGE: &str = "\
Takes a data centre out of service, or back in. Its targets take no new work within 4 seconds and
finish what they have; back in, they ramp up as if cold. Where another change is accepted first,
the mark is made on top of it.

Usage:
    bamboowheelctl dc out NAME
    bamboowheelctl dc in NAME

Options:";

/// The command's arguments.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(free, help = "out or in, and the data centre's name")]
    words: Vec<String>,
}

/// Runs the command.
pub fn run(context: &Context, args: &Args) -> Result<(), Error> {
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return Ok(());
    }
    let (out, name) = match &args.words[..] {
        [word, name] if word == "out" => (true, name),
        [word, name] if word == "in" => (false, name),
        _ => return Err(Error::usage("dc takes out NAME or in NAME")),
    };
    let table = context.store.open()?;
    let make = |config: &mut Config| mark(config, name, out);
    let accepted = block_on(change(&table, &change_id(), AGAIN, make))??;
    let version = accepted.config.version;
    let word = if out { "out" } else { "in" };
    match context.json {
        true => output::json(&json!({ "version": version, "data_centre": name, "out": out })),
        false => println!("version {version} is accepted: {name} is {word}"),
    }
    Ok(())
}

fn mark(config: &mut Config, name: &str, out: bool) -> Result<(), Error> {
    if config.base == 0 {
        return Err(Error::NothingApplied);
    }
    let inventory = config.inventory().unwrap_or_default();
    if inventory.data_centre(name).is_none() {
        return UnknownDataCentreSnafu { name }.fail();
    }
    config.mark(&Name::from(name), out);
    config.note = format!("dc {} {name}", if out { "out" } else { "in" }).into();
    config.time_ms = wall_ms();
    Ok(())
}
