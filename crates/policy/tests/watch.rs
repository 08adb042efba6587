//! Selection of the nodes that watch the operator's table.

use policy::should_watch;

struct Case {
    /// Whether the store answers each live node whose name sorts before, in order.
    earlier: &'static [bool],
    watches: bool,
}

#[test]
fn a_few_nodes_watch_and_others_take_over() {
    let cases = [
        Case { earlier: &[], watches: true },
        Case { earlier: &[true], watches: true },
        Case { earlier: &[true, true], watches: false },
        // The store refuses one node.
        Case { earlier: &[false, true], watches: true },
        Case { earlier: &[false, true, true], watches: false },
        // While the store is down, four nodes try to watch.
        Case { earlier: &[false, false, false], watches: true },
        Case { earlier: &[false, false, false, false], watches: false },
        Case { earlier: &[false; 60], watches: false },
    ];
    for Case { earlier, watches } in cases {
        assert_eq!(should_watch(earlier.iter().copied()), watches, "{earlier:?}");
    }
}
