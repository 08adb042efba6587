//! The operators' program: checks and applies inventories, takes data centres out of service, and
//! shows the state and events of nodes.

mod change;
mod cmd;
mod differences;
mod error;
mod http;
mod lint;
mod output;
mod store;

pub use change::{Accepted, change, current};
pub use cmd::check::compare;
pub use cmd::explain;
pub use differences::{Difference, differences};
pub use error::Error;
pub use lint::{Finding, Severity, lint};

use gumdrop::Options;

const USAGE: &str = "\
Checks and applies the inventory of a bamboowheel, takes data centres out of service, and shows the
state and events of nodes.

Usage:
    bamboowheelctl [options] COMMAND [arguments]

Commands:
    check       check an inventory or a routing table, and compare it with the one in force
    apply       check an inventory file and put it in force
    show        show the inventory in force
    history     list the accepted changes
    dc          take a data centre out of service, or back in
    status      show the state of nodes
    events      show recent events of nodes
    explain     show what nodes logged about a request
    certs       create certificates for the links between nodes

For the options of a command, see bamboowheelctl COMMAND --help. Store options can also be given as
environment variables: --store as BAMBOOWHEEL_STORE, and so on. Exit codes are listed in
docs/ERRORS.md.

Options:";

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
    #[options(help = "print JSON instead of tables", no_short)]
    json: bool,
    #[options(help = "address of the table service (default: that of the region)", no_short)]
    store: Option<String>,
    #[options(help = "region of the table service (default: us-east-1)", no_short)]
    store_region: Option<String>,
    #[options(help = "name of the table (default: bamboowheel)", no_short)]
    store_table: Option<String>,
    #[options(help = "id of the access key for the store", no_short)]
    store_access_key: Option<String>,
    #[options(help = "secret of the access key; prefer the environment variable", no_short)]
    store_secret_key: Option<String>,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "check an inventory or a routing table")]
    Check(cmd::check::Args),
    #[options(help = "check an inventory file and put it in force")]
    Apply(cmd::apply::Args),
    #[options(help = "show the inventory in force")]
    Show(cmd::show::Args),
    #[options(help = "list the accepted changes")]
    History(cmd::history::Args),
    #[options(help = "take a data centre out of service, or back in")]
    Dc(cmd::dc::Args),
    #[options(help = "show the state of nodes")]
    Status(cmd::status::Args),
    #[options(help = "show recent events of nodes")]
    Events(cmd::events::Args),
    #[options(help = "show what nodes logged about a request")]
    Explain(cmd::explain::Args),
    #[options(help = "create certificates for the links between nodes")]
    Certs(cmd::certs::Args),
}

/// Runs the program with the arguments of the process, prints an error to standard error, and
/// returns the exit code.
pub fn main() -> i32 {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => 0,
        Err(error) => {
            eprintln!("bamboowheelctl: {error}");
            error.code().exit()
        }
    }
}

fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse_args_default(arguments)?;
    if args.version {
        println!("bamboowheelctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let Some(command) = args.command.as_ref().filter(|_| !args.help) else {
        println!("{USAGE}\n{}", Args::usage());
        return if args.help { Ok(()) } else { Err(Error::usage("no command given")) };
    };
    let store = store::Options {
        endpoint: args.store.clone(),
        region: args.store_region.clone(),
        table: args.store_table.clone(),
        access_key: args.store_access_key.clone(),
        secret_key: args.store_secret_key.clone(),
    };
    let context = cmd::Context { json: args.json, store };
    match command {
        Command::Check(args) => cmd::check::run(&context, args),
        Command::Apply(args) => cmd::apply::run(&context, args),
        Command::Show(args) => cmd::show::run(&context, args),
        Command::History(args) => cmd::history::run(&context, args),
        Command::Dc(args) => cmd::dc::run(&context, args),
        Command::Status(args) => cmd::status::run(&context, args),
        Command::Events(args) => cmd::events::run(&context, args),
        Command::Explain(args) => cmd::explain::run(&context, args),
        Command::Certs(args) => cmd::certs::run(&context, args),
    }
}
