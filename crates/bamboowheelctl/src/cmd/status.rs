//! `status`: shows the state of nodes.

use gumdrop::Options;
use serde_json::{Value, json};

use super::Context;
use crate::store::block_on;
use crate::{Error, http, output};

const USAGE: &str = "\
Shows the state of nodes as they report it: configuration version, target, load, members.

Usage:
    bamboowheelctl status ADDRESS...

Each ADDRESS is a node's admin address, IP:PORT.
";

/// UP is the number of members that the node takes to be alive.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(free, help = "admin addresses of nodes")]
    nodes: Vec<String>,
}

/// Reads the status page of each node and prints one row for each.
pub fn run(context: &Context, args: &Args) -> Result<(), Error> {
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return Ok(());
    }
    if args.nodes.is_empty() {
        return Err(Error::usage("status takes at least one ADDRESS"));
    }
    let mut pages = Vec::new();
    for address in &args.nodes {
        pages.push(block_on(http::get(address, "/status"))??);
    }
    if context.json {
        output::json(&json!(pages));
        return Ok(());
    }
    let rows: Vec<Vec<String>> = pages.iter().map(row).collect();
    let head = ["NODE", "DATA CENTRE", "VERSION", "SERVICE", "PHASE", "PENDING", "LIMIT", "UP"];
    output::table(&head, &rows);
    Ok(())
}

fn row(page: &Value) -> Vec<String> {
    let members = page["members"].as_array().map_or(0, |members| {
        let is_up = |member: &&Value| member["health"] == "alive";
        members.iter().filter(is_up).count()
    });
    let cells = [
        &page["name"],
        &page["data_centre"],
        &page["version"],
        &page["target"]["service"],
        &page["load"]["phase"],
        &page["load"]["pending"],
        &page["load"]["limit"],
    ];
    let mut row: Vec<String> = cells.into_iter().map(text).collect();
    row.push(members.to_string());
    row
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
