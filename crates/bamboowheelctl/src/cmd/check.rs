//! `check`: checks an inventory file, or the routing table of a deployment.

use gumdrop::Options;
use serde_json::{Value, json};
use snafu::ResultExt;
use world::Routing;

use super::{Context, read_inventory};
use crate::error::FileSnafu;
use crate::{Difference, Error, Finding, Severity, differences, lint, output};

const USAGE: &str = "\
Checks a configuration without applying it: an inventory in TOML, whose faults are listed with line
and column, or the operator's routing table in JSON, for entries that cannot work, never match or
contradict each other.

Usage:
    bamboowheelctl check FILE [--in-force FILE]
";

/// With --json before the command, the parsed inventory or the list of faults is printed as JSON.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(help = "the routing table in force, in JSON, to compare with", no_short)]
    in_force: Option<String>,
    #[options(free, help = "the inventory in TOML, or the routing table in JSON")]
    file: Vec<String>,
}

/// Checks the file and prints a summary of it or its faults.
pub fn run(context: &Context, args: &Args) -> Result<(), Error> {
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return Ok(());
    }
    let [file] = &args.file[..] else { return Err(Error::usage("check takes exactly one FILE")) };
    let text = std::fs::read_to_string(file).context(FileSnafu { path: file })?;
    // No TOML document begins with a brace.
    if text.trim_start().starts_with('{') {
        return check_routing(context, file, &text, args.in_force.as_deref());
    }
    if args.in_force.is_some() {
        return Err(Error::usage("--in-force needs a FILE in JSON"));
    }
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

fn check_routing(
    context: &Context,
    file: &str,
    text: &str,
    in_force: Option<&str>,
) -> Result<(), Error> {
    let routing = decode(file, text).inspect_err(|error| {
        if context.json {
            let finding = Finding::new(Severity::Error, file, error);
            output::json(&json!({ "findings": [finding.json()], "differences": [] }));
        }
    })?;
    let old = match in_force {
        None => None,
        Some(path) => {
            let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
            Some(decode(path, &text)?)
        }
    };
    let (findings, changes) = compare(&routing, old.as_ref());
    if context.json {
        let findings: Vec<Value> = findings.iter().map(Finding::json).collect();
        let changes: Vec<Value> = changes.iter().map(Difference::json).collect();
        output::json(&json!({ "findings": findings, "differences": changes }));
    } else {
        print(file, &routing, &findings, &changes);
    }
    match findings.iter().filter(|finding| finding.severity == Severity::Error).count() {
        0 => Ok(()),
        count => {
            Err(Error::InvalidRouting { path: file.into(), detail: format!("{count} errors") })
        }
    }
}

/// Checks a routing table, and compares it with the one in force if there is one.
pub fn compare(routing: &Routing, old: Option<&Routing>) -> (Vec<Finding>, Vec<Difference>) {
    let mut findings = lint(routing);
    let Some(old) = old else { return (findings, Vec::new()) };
    if routing.version <= old.version {
        let problem = format!("{} is not above {} in force", routing.version, old.version);
        findings.insert(0, Finding::new(Severity::Error, "version", problem));
    }
    (findings, differences(old, routing))
}

fn decode(path: &str, text: &str) -> Result<Routing, Error> {
    platform::operator::routing(text.as_bytes())
        .map_err(|error| Error::InvalidRouting { path: path.into(), detail: error.to_string() })
}

fn print(file: &str, routing: &Routing, findings: &[Finding], changes: &[Difference]) {
    println!(
        "{file}: version {}, {} routes, {} services, {} workspaces",
        routing.version,
        routing.len(),
        routing.services().len(),
        routing.workspaces.iter().count()
    );
    if !findings.is_empty() {
        let row = |finding: &Finding| {
            let Finding { severity, entry, problem } = finding;
            vec![severity.name().into(), entry.clone(), problem.clone()]
        };
        let rows: Vec<_> = findings.iter().map(row).collect();
        output::table(&["SEVERITY", "ENTRY", "PROBLEM"], &rows);
    }
    if !changes.is_empty() {
        let row = |change: &Difference| vec![change.entry.clone(), change.change.clone()];
        let rows: Vec<_> = changes.iter().map(row).collect();
        output::table(&["ENTRY", "DIFFERENCE"], &rows);
    }
}
