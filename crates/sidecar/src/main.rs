//! The program `bamboowheel-sidecar`, which is deployed beside each target.

fn main() {
    std::process::exit(sidecar::main());
}
