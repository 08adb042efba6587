//! The program that is deployed beside each target.

fn main() {
    std::process::exit(sidecar::main());
}
