//! The operators' program of bamboowheel: see `bamboowheelctl --help`.

fn main() {
    std::process::exit(bamboowheelctl::main());
}
