//! Entry point of `bamboowheelctl`; its commands are listed by `bamboowheelctl --help`.

fn main() {
    std::process::exit(bamboowheelctl::main());
}
