//! `events`: shows recent events of nodes.

use gumdrop::Options;
use serde_json::{Value, json};

use super::Context;
use crate::store::block_on;
use crate::{Error, http, output};

const USAGE: &str = "\
Shows recent events of nodes: retries, hedges, refusals, cuts of a target's limit, nodes that
joined or left, configurations that took force. The codes are explained in docs/ERRORS.md.

Usage:
    bamboowheelctl events [options] ADDRESS...

Each ADDRESS is a node's admin address, IP:PORT.
";

/// Events of all nodes are listed together, the oldest first.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(help = "only events with this code", no_short, meta = "N")]
    code: Option<u64>,
    #[options(help = "only events of the request with this id", no_short, meta = "ID")]
    request: Option<String>,
    #[options(free, help = "admin addresses of nodes")]
    nodes: Vec<String>,
}

/// Reads the events of the nodes and prints those that match the options, ordered by time.
pub fn run(context: &Context, args: &Args) -> Result<(), Error> {
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return Ok(());
    }
    if args.nodes.is_empty() {
        return Err(Error::usage("events takes at least one ADDRESS"));
    }
    let mut events = Vec::new();
    for address in &args.nodes {
        let page = block_on(http::get(address, "/events"))??;
        let Value::Array(list) = page else { continue };
        for mut event in list.into_iter().filter(|event| matches(args, event)) {
            event["node"] = json!(address);
            events.push(event);
        }
    }
    events.sort_by_key(|event| event["time_ms"].as_u64());
    if context.json {
        output::json(&json!(events));
        return Ok(());
    }
    let rows: Vec<Vec<String>> = events.iter().map(row).collect();
    output::table(&["TIME MS", "NODE", "CODE", "ABOUT", "REQUEST", "WHAT"], &rows);
    Ok(())
}

fn matches(args: &Args, event: &Value) -> bool {
    let code = args.code.is_none_or(|code| event["code"] == code);
    code && args.request.as_ref().is_none_or(|request| event["request"] == *request)
}

fn row(event: &Value) -> Vec<String> {
    let text = |name: &str| match &event[name] {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    ["time_ms", "node", "code", "about", "request", "text"].map(text).to_vec()
}
