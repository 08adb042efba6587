//! The decisions under load, held to their bounds in virtual time.

use testkit::mesh::tenant;
use testkit::sim::{CASES, check};

/// Returns the first words of the entries of KNOWN-RED.txt.
fn known_red() -> Vec<String> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../KNOWN-RED.txt");
    let page = std::fs::read_to_string(path).unwrap_or_default();
    let entries = page.lines().filter(|line| line.starts_with("policy "));
    entries.filter_map(|line| line.split_whitespace().nth(1)).map(str::to_owned).collect()
}

fn hold(name: &str) {
    let tenant = tenant(name).unwrap();
    let known = known_red();
    let mut broken = Vec::new();
    for case in &CASES {
        for bound in check(&tenant, case, 1).into_iter().filter(|bound| !bound.holds()) {
            let line = format!("{}: {:.4}, bound {:.4}", bound.name, bound.figure, bound.limit);
            match known.contains(&bound.name) {
                true => println!("known red: {line}"),
                false => broken.push(line),
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn riddim_is_held_to_its_bounds() {
    hold("riddim");
}

#[test]
fn kaiviti_is_held_to_its_bounds() {
    hold("kaiviti");
}
