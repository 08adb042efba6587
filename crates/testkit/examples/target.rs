//! A stand-in target as a process: see `target --help`.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;
use testkit::target::{Settings, Target};

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(help = "its name", no_short, required)]
    name: String,
    #[options(help = "the service it runs", no_short, required)]
    service: String,
    #[options(help = "where it takes requests", no_short, required)]
    address: Option<SocketAddr>,
    #[options(help = "its node's admin address", no_short, required)]
    node: Option<SocketAddr>,
    #[options(help = "requests it runs at once", no_short, default = "12")]
    slots: u32,
    #[options(help = "requests it bears when cold", no_short, default = "2")]
    cold_slots: u32,
    #[options(help = "answers after which it bears one more", no_short, default = "4")]
    warm_answers: u32,
    #[options(help = "median service time in microseconds", no_short, default = "5000")]
    work_us: u64,
    #[options(help = "of the service times", no_short, default = "1")]
    seed: u64,
    #[options(help = "where it notes its runs", no_short)]
    runs: Option<PathBuf>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let args = Args::parse_args_default_or_exit();
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let target = Target::open(Settings {
        name: args.name,
        service: args.service,
        address: args.address.unwrap_or(local),
        node: args.node.unwrap_or(local),
        slots: args.slots,
        cold_slots: args.cold_slots,
        warm_answers: args.warm_answers,
        work_us: args.work_us,
        seed: args.seed,
        runs: args.runs,
    })?;
    let _server = target.serve().await?;
    std::future::pending().await
}
