//! The node of bamboowheel: see `bamboowheel --help`.

fn main() {
    std::process::exit(bamboowheel::main());
}
