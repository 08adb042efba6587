//! Runs scenario files: see `scenario --help`.

use std::path::PathBuf;

use gumdrop::Options;
use testkit::scenario::{parse, run};

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(free, help = "scenario files")]
    files: Vec<PathBuf>,
    #[options(help = "of service times and request ids", no_short, default = "1")]
    seed: u64,
    #[options(help = "second octet of the addresses 127.N.x.y", no_short, default = "79")]
    net: u8,
    #[options(help = "folder of the programs", no_short, default = "target/release")]
    binaries: PathBuf,
    #[options(help = "folder of logs and notes", no_short, default = "run")]
    folder: PathBuf,
}

#[tokio::main]
async fn main() {
    let args = Args::parse_args_default_or_exit();
    let mut failed = 0;
    for file in &args.files {
        let name = file.display();
        let text = match std::fs::read_to_string(file) {
            Ok(text) => text,
            Err(error) => {
                eprintln!("{name}: {error}");
                std::process::exit(2);
            }
        };
        let scenario = match parse(&text) {
            Ok(scenario) => scenario,
            Err(error) => {
                eprintln!("{name}:{error}");
                std::process::exit(2);
            }
        };
        let folder = args.folder.join(file.file_stem().unwrap_or_default());
        match run(&scenario, args.net, args.seed, &args.binaries, &folder).await {
            Ok(()) => println!("{name}: passed"),
            Err(failure) => {
                failed += 1;
                println!("{name}:{}: failed: {}", failure.line, failure.detail);
            }
        }
    }
    std::process::exit(i32::from(failed > 0));
}
