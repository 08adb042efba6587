//! Random faults against keyed requests: see `soak --help`.

use gumdrop::Options;
use testkit::soak::Soak;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(help = "of everything random", no_short, default = "1")]
    seed: u64,
    #[options(help = "steps to take", no_short, default = "1000000")]
    steps: u64,
    #[options(help = "let resends run what dead guards left, to see the checks fail", no_short)]
    broken: bool,
}

fn main() {
    let args = Args::parse_args_default_or_exit();
    let report = Soak::open(args.seed, args.broken).run(args.steps);
    println!("steps {}", report.steps);
    println!("keyed requests {}", report.requests);
    println!("runs {}", report.runs);
    println!("stored answers given {}", report.stored);
    println!("told \"not run\" {}", report.not_run);
    for (fault, count) in &report.faults {
        println!("survived: {fault} {count}");
    }
    println!("violations {}", report.violations.len());
    report.violations.iter().take(10).for_each(|violation| println!("  {violation}"));
    std::process::exit(i32::from(!report.violations.is_empty()));
}
