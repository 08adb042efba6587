//! `dc`: takes a data centre out of service, or puts it back.

use gumdrop::Options;
use serde_json::json;
use world::{Config, Name};

use super::{Context, change_id, wall_ms};
use crate::error::UnknownDataCentreSnafu;
use crate::store::block_on;
use crate::{Error, change, output};

/// The most times that the change is made again because another one was accepted first.
const MAX_RETRIES: u32 = 16;

const USAGE: &str = "\
Takes a data centre out of service, or puts it back. Within 4 seconds after `out`, its targets get
no new work; they finish what they have. After `in`, they ramp up as if cold. If another change is
accepted first, this one is made again on top of it.

Usage:
    bamboowheelctl dc out NAME
    bamboowheelctl dc in NAME
";

/// NAME must be a data centre of the inventory in force.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(free, help = "`out` or `in`, and the name of the data centre")]
    words: Vec<String>,
}

/// Writes a version of the configuration in which the data centre is out or in.
pub fn run(context: &Context, args: &Args) -> Result<(), Error> {
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return Ok(());
    }
    let (out, name) = match &args.words[..] {
        [word, name] if word == "out" => (true, name),
        [word, name] if word == "in" => (false, name),
        _ => return Err(Error::usage("dc takes `out NAME` or `in NAME`")),
    };
    let table = context.store.open()?;
    let edit = |config: &mut Config| set_out(config, name, out);
    let accepted = block_on(change(&table, &change_id(), MAX_RETRIES, edit))??;
    let version = accepted.config.version;
    let word = if out { "out" } else { "in" };
    match context.json {
        true => output::json(&json!({ "version": version, "data_centre": name, "out": out })),
        false => println!("version {version} is accepted: {name} is {word}"),
    }
    Ok(())
}

/// Marks the data centre as out or in. Fails if the inventory in force does not have it.
fn set_out(config: &mut Config, name: &str, out: bool) -> Result<(), Error> {
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
