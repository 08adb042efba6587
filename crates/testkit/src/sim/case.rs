//! The cases: how much load comes, and what goes wrong.

/// What goes wrong in a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Neighbours slow a target 5 to 10 times for 20 to 100 ms, at random.
    Noisy,
    /// Load doubles for 30 ms, now and then.
    Burst,
    /// One target is slow for good.
    Slow,
    /// Targets fall back to cold without warning.
    Cold,
    /// One target sheds everything, fast.
    Shed,
    /// A data centre goes out and comes back.
    Leave,
}

/// A case.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Case {
    /// Its name on the command line.
    pub name: &'static str,
    /// Offered load as a share of what the warm targets carry.
    pub load: f64,
    /// What goes wrong.
    pub faults: &'static [Fault],
}

impl Case {
    /// Returns whether a fault belongs to the case.
    pub fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }
}

const fn case(name: &'static str, load: f64, faults: &'static [Fault]) -> Case {
    Case { name, load, faults }
}

/// Every case.
pub const CASES: [Case; 12] = [
    case("steady", 0.7, &[]),
    case("noisy", 0.7, &[Fault::Noisy]),
    case("burst", 0.7, &[Fault::Burst]),
    case("slow", 0.7, &[Fault::Slow]),
    case("cold", 0.7, &[Fault::Cold]),
    case("shed", 0.7, &[Fault::Shed]),
    case("leave", 0.55, &[Fault::Leave]),
    case("overload", 1.3, &[]),
    case("noisy+burst", 0.7, &[Fault::Noisy, Fault::Burst]),
    case("noisy+cold", 0.7, &[Fault::Noisy, Fault::Cold]),
    case("cold+leave", 0.5, &[Fault::Cold, Fault::Leave]),
    case("slow+shed", 0.55, &[Fault::Slow, Fault::Shed]),
];

/// Returns the case of this name.
pub fn named(name: &str) -> Option<Case> {
    CASES.into_iter().find(|case| case.name == name)
}
