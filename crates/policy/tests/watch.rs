//! Which nodes watch the operator's table.

use policy::should_watch;

struct Case {
    /// Whether the store answers each live node that comes before, in order.
    before: &'static [bool],
    watches: bool,
}

#[test]
fn a_few_nodes_watch_and_others_take_over() {
    let cases = [
        Case { before: &[], watches: true },
        Case { before: &[true], watches: true },
        Case { before: &[true, true], watches: false },
        // The store turns one away.
        Case { before: &[false, true], watches: true },
        Case { before: &[false, true, true], watches: false },
        // While it is away, four nodes ask for it.
        Case { before: &[false, false, false], watches: true },
        Case { before: &[false, false, false, false], watches: false },
        Case { before: &[false; 60], watches: false },
    ];
    for Case { before, watches } in cases {
        assert_eq!(should_watch(before.iter().copied()), watches, "{before:?}");
    }
}
