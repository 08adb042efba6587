//! A store that comes back from an older copy: what stays in force, and when nodes call it again.

use policy::{EraMerge, Time, Watchers, reread_wait_us, rewrite_wait_us};
use world::{CallerLimits, Revision, Rollout, Routing, Ruleset};

/// A ruleset as a node reads it.
#[derive(Clone, Copy)]
struct Read {
    /// The era, the store's version and the version of the routes.
    at: (u64, u64, u64),
    out: &'static [&'static str],
    /// The ordered version of the service `s` and the revision of its row.
    order: Option<(&'static str, u64)>,
}

const FIRST: Read = Read { at: (0, 100, 5), out: &[], order: None };

impl Read {
    fn ruleset(self) -> Ruleset {
        let (era, version, routes) = self.at;
        let limits = CallerLimits { head_bytes: 1, body_bytes: 1, head_us: 1, idle_us: 1 };
        let order = |(version, revision): (&str, u64)| Rollout {
            service: "s".into(),
            version: version.into(),
            period_us: 1,
            revision,
        };
        Ruleset {
            revision: Revision::new(era, version).into(),
            routing: Routing::new(routes, Vec::new(), Vec::new(), limits),
            out: self.out.iter().map(|name| (*name).into()).collect(),
            rollouts: self.order.map(order).into_iter().collect(),
        }
    }
}

struct Case {
    name: &'static str,
    /// What the node reads, each with the second in which it does. The first one is in force at once.
    reads: &'static [(u64, Read)],
    /// What is in force after the last one, at its second.
    expected: Read,
}

const CASES: [Case; 9] = [
    Case {
        name: "without eras only a newer revision with routes that are not older counts",
        reads: &[
            (0, FIRST),
            (1, Read { at: (0, 101, 6), out: &["x"], ..FIRST }),
            (2, Read { at: (0, 100, 7), ..FIRST }),
            (3, Read { at: (0, 102, 4), ..FIRST }),
        ],
        expected: Read { at: (0, 101, 6), out: &["x"], ..FIRST },
    },
    Case {
        name: "routes that the store lost stay in force under its new revision",
        reads: &[(0, Read { at: (0, 130, 7), ..FIRST }), (1, Read { at: (1, 100, 5), ..FIRST })],
        expected: Read { at: (1, 100, 7), ..FIRST },
    },
    Case {
        name: "the same version names other rows in another era",
        reads: &[(0, Read { at: (0, 130, 7), ..FIRST }), (1, Read { at: (1, 130, 9), ..FIRST })],
        expected: Read { at: (1, 130, 9), ..FIRST },
    },
    Case {
        name: "a ruleset of an earlier era comes late, with newer routes",
        reads: &[(0, Read { at: (1, 100, 5), ..FIRST }), (1, Read { at: (0, 130, 7), ..FIRST })],
        expected: Read { at: (1, 100, 7), ..FIRST },
    },
    Case {
        name: "a data centre out of service stays out although the store lost that",
        reads: &[
            (0, Read { at: (0, 130, 5), out: &["x"], ..FIRST }),
            (1, Read { at: (1, 100, 5), out: &["a"], ..FIRST }),
            (9, Read { at: (1, 101, 6), ..FIRST }),
        ],
        expected: Read { at: (1, 101, 6), out: &["x"], ..FIRST },
    },
    Case {
        name: "after a while the table alone counts",
        reads: &[
            (0, Read { at: (0, 130, 5), out: &["x"], order: Some(("v2", 130)) }),
            (1, Read { at: (1, 100, 5), ..FIRST }),
            (12, Read { at: (1, 100, 5), ..FIRST }),
        ],
        expected: Read { at: (1, 100, 5), ..FIRST },
    },
    Case {
        name: "an order that the store lost stays in force",
        reads: &[
            (0, Read { at: (0, 130, 5), order: Some(("v2", 130)), ..FIRST }),
            (1, Read { at: (1, 100, 5), ..FIRST }),
        ],
        expected: Read { at: (1, 100, 5), order: Some(("v2", 130)), ..FIRST },
    },
    Case {
        name: "an order of the copy does not come back in place of the one that replaced it",
        reads: &[
            (0, Read { at: (0, 90, 5), order: Some(("v1", 90)), ..FIRST }),
            (1, Read { at: (0, 130, 5), order: Some(("v2", 130)), ..FIRST }),
            (2, Read { at: (1, 100, 5), order: Some(("v1", 90)), ..FIRST }),
        ],
        expected: Read { at: (1, 100, 5), order: Some(("v2", 130)), ..FIRST },
    },
    Case {
        name: "an order that was written again takes force at once",
        reads: &[
            (0, Read { at: (0, 130, 5), order: Some(("v2", 130)), ..FIRST }),
            (1, Read { at: (1, 101, 5), order: Some(("v2", 101)), ..FIRST }),
        ],
        expected: Read { at: (1, 101, 5), order: Some(("v2", 101)), ..FIRST },
    },
];

#[test]
fn what_was_acknowledged_stays_in_force_when_the_store_loses_it() {
    for Case { name, reads, expected } in CASES {
        let mut merge = EraMerge::default();
        let mut in_force = reads[0].1.ruleset();
        for (second, read) in &reads[1..] {
            let now = Time(second * 1_000_000);
            in_force = merge.expire(now, &in_force).unwrap_or(in_force);
            in_force = merge.merge(now, &in_force, read.ruleset()).unwrap_or(in_force);
        }
        assert_eq!(in_force, expected.ruleset(), "{name}");
        // Peers get what the table has, and routes that are not older.
        let last = reads.iter().map(|(_, read)| read).filter(|read| read.at.1 == expected.at.1);
        let last = last.max_by_key(|read| read.at.0).unwrap();
        let table = Read { at: expected.at, ..*last };
        assert_eq!(merge.without_held(&in_force), table.ruleset(), "{name}: for peers");
    }
}

// Guards against a node that was started after the store came back and serves by the copy.
#[test]
fn a_node_that_read_the_copy_takes_what_a_peer_has_in_force() {
    let copy = Read { at: (1, 100, 5), ..FIRST }.ruleset();
    let peer = Read { at: (1, 100, 7), out: &["x"], order: Some(("v2", 130)) };
    let mut merge = EraMerge::default();
    let confirmed = merge.confirm(Time(0), &copy, &peer.ruleset());
    assert_eq!(confirmed, peer.ruleset());
    let later = merge.expire(Time(11_000_000), &confirmed).unwrap();
    assert_eq!(later, Read { at: (1, 100, 7), ..FIRST }.ruleset());
}

// Guards against a crowd of calls when the store comes back.
#[test]
fn nodes_write_their_rows_again_spread_out_and_read_the_table_with_pauses() {
    struct Fleet {
        nodes: usize,
        /// The most writes in any 100 ms, and the time in microseconds by which all have written.
        most: usize,
        last_us: u64,
    }
    let fleets = [
        Fleet { nodes: 1, most: 1, last_us: 500_000 },
        Fleet { nodes: 75, most: 8, last_us: 1_500_000 },
        Fleet { nodes: 1_800, most: 20, last_us: 10_000_000 },
    ];
    for Fleet { nodes, most, last_us } in fleets {
        let at = |node: usize| rewrite_wait_us(nodes, node as f64 / nodes as f64);
        let writes: Vec<u64> = (0..nodes).map(at).collect();
        let count =
            |from: u64| writes.iter().filter(|at| (from..from + 100_000).contains(*at)).count();
        let busiest = writes.iter().map(|from| count(*from)).max().unwrap();
        assert!(busiest <= most, "{nodes} nodes: {busiest} writes in 100 ms");
        assert!(writes.iter().all(|at| *at < last_us), "{nodes} nodes");
    }
    let waits = [1, 2, 3, 4, 9].map(|rejected| reread_wait_us(rejected, 0.5));
    assert_eq!(waits, [0, 200_000, 400_000, 800_000, 1_000_000]);
}

// Guards against a whole read of the table by every node after an outage in which all watchers were
// lost, as each has to read it anew in a new era.
#[test]
fn of_75_nodes_in_4_data_centres_at_most_16_read_the_whole_table() {
    let long_after = Time(60_000_000);
    let reads = |node: &usize| {
        let rank = node / 4;
        let mut watchers = Watchers::new(Time(0), format!("n-{node}").into(), 1);
        let now_and_later = [Time(0), long_after];
        now_and_later.into_iter().any(|now| watchers.should_watch(now, false, rank, 4))
    };
    let readers: Vec<usize> = (0..75).filter(reads).collect();
    assert!((4..=16).contains(&readers.len()), "{readers:?}");
}
