//! Selection of the nodes that watch the operator's table, in virtual time: nodes of one data
//! centre that pass on what they know over a few links each.

use policy::{Time, Watcher, Watchers, ruleset_wait_us};
use world::Name;

const MS: u64 = 1_000;
/// How often nodes pass on what they know.
const REPORT_MS: u64 = 2_000;
/// Links of each node.
const LINKS: usize = 4;

struct Node {
    watchers: Watchers,
    tries: bool,
    /// Whether the store answers it.
    answered: bool,
    alive: bool,
}

/// Nodes of one data centre, each linked to the next few.
struct DataCentre {
    nodes: Vec<Node>,
    /// How many data centres the fleet has.
    data_centres: usize,
    now: Time,
}

impl DataCentre {
    fn open(count: usize) -> DataCentre {
        let node = |at: usize| {
            let name: Name = format!("vm-{at:03}").into();
            let watchers = Watchers::new(Time(0), name);
            Node { watchers, tries: false, answered: true, alive: true }
        };
        DataCentre { nodes: (0..count).map(node).collect(), data_centres: 1, now: Time(0) }
    }

    fn step(&mut self) {
        self.now = self.now.after(100 * MS);
        let count = self.nodes.len();
        for at in 0..count {
            if !self.nodes[at].alive {
                continue;
            }
            let rank = self.nodes[..at].iter().filter(|node| node.alive).count();
            let node = &mut self.nodes[at];
            node.tries = node.watchers.should_watch(self.now, node.tries, rank, self.data_centres);
            let own = (node.tries && node.answered).then_some(7);
            let changed = node.watchers.set_own(self.now, own);
            if changed || (self.now.0 / MS + at as u64 * 100).is_multiple_of(REPORT_MS) {
                self.pass_on(at);
            }
        }
    }

    /// Sends what a node knows over its links, and on from there if it is new.
    fn pass_on(&mut self, from: usize) {
        let list = self.nodes[from].watchers.list(self.now);
        let count = self.nodes.len();
        for step in 1..=LINKS {
            for to in [(from + step) % count, (from + count * LINKS - step) % count] {
                let news = self.nodes[to].watchers.merge(self.now, &list);
                if self.nodes[to].alive && news {
                    self.pass_on(to);
                }
            }
        }
    }

    fn run(&mut self, ms: u64) {
        (0..ms / 100).for_each(|_| self.step());
    }

    fn watching(&self) -> Vec<usize> {
        let watches = |node: &Node| node.alive && node.tries && node.answered;
        (0..self.nodes.len()).filter(|at| watches(&self.nodes[*at])).collect()
    }

    fn trying(&self) -> usize {
        self.nodes.iter().filter(|node| node.alive && node.tries).count()
    }
}

#[test]
fn two_nodes_watch_whatever_the_size_of_the_data_centre() {
    for count in [1, 2, 3, 12, 60, 200] {
        let mut data_centre = DataCentre::open(count);
        data_centre.run(2_000);
        let expected: Vec<usize> = (0..count.min(2)).collect();
        assert_eq!(data_centre.watching(), expected, "{count} nodes");
        data_centre.run(20_000);
        assert_eq!(data_centre.watching(), expected, "{count} nodes, later");
    }
}

#[test]
fn one_node_of_each_watches_where_there_are_many_data_centres() {
    let mut data_centre = DataCentre::open(30);
    data_centre.data_centres = 3;
    data_centre.run(3_000);
    assert_eq!(data_centre.watching(), [0]);
    data_centre.nodes[0].answered = false;
    data_centre.run(1_500);
    assert_eq!(data_centre.watching(), [1]);
}

#[test]
fn others_take_over_within_seconds_and_keep_the_watch() {
    for alive in [true, false] {
        let mut data_centre = DataCentre::open(30);
        data_centre.run(3_000);
        data_centre.nodes[..2].iter_mut().for_each(|node| {
            node.alive = alive;
            node.answered = false;
        });
        // Nodes that lose the store say so; those that die are missed after six seconds.
        data_centre.run(if alive { 1_500 } else { 7_500 });
        assert_eq!(data_centre.watching(), [2, 3], "alive: {alive}");
        data_centre.nodes[..2].iter_mut().for_each(|node| {
            node.alive = true;
            node.answered = true;
        });
        data_centre.run(5_000);
        assert_eq!(data_centre.watching().len(), 2, "alive: {alive}");
    }
}

#[test]
fn few_nodes_try_while_the_store_is_down() {
    let mut data_centre = DataCentre::open(60);
    data_centre.run(3_000);
    data_centre.nodes.iter_mut().for_each(|node| node.answered = false);
    data_centre.run(20_000);
    assert_eq!((data_centre.watching().len(), data_centre.trying()), (0, 4));
    data_centre.nodes.iter_mut().for_each(|node| node.answered = true);
    data_centre.run(3_000);
    assert_eq!(data_centre.watching(), [0, 1]);
}

#[test]
fn a_watcher_confirms_only_a_revision_that_is_not_older_than_its_own() {
    let watcher =
        |revision, active, age_us| Watcher { name: "vm-1".into(), revision, active, age_us };
    struct Case {
        received: Watcher,
        confirms: bool,
    }
    let cases = [
        Case { received: watcher(5, true, 0), confirms: true },
        Case { received: watcher(4, true, 2_000 * MS), confirms: true },
        Case { received: watcher(6, true, 0), confirms: false },
        Case { received: watcher(5, false, 0), confirms: false },
        Case { received: watcher(5, true, 7_000 * MS), confirms: false },
    ];
    for Case { received, confirms } in cases {
        let now = Time(60_000 * MS);
        let mut watchers = Watchers::new(now, "vm-0".into());
        watchers.merge(now, std::slice::from_ref(&received));
        assert_eq!(watchers.confirms(now, 5), confirms, "{received:?}");
    }
}

#[test]
fn after_a_mass_restart_a_few_nodes_read_the_ruleset_at_once() {
    struct Case {
        earlier: Option<usize>,
        draw: f64,
        wait_ms: u64,
    }
    let cases = [
        Case { earlier: Some(0), draw: 0.9, wait_ms: 0 },
        Case { earlier: Some(1), draw: 0.9, wait_ms: 0 },
        // The others leave time for the ruleset to arrive from these.
        Case { earlier: Some(2), draw: 0.0, wait_ms: 300 },
        Case { earlier: Some(50), draw: 1.0, wait_ms: 700 },
        // A node that knows only a part of the fleet.
        Case { earlier: None, draw: 0.0, wait_ms: 0 },
        Case { earlier: None, draw: 0.5, wait_ms: 300 },
    ];
    for Case { earlier, draw, wait_ms } in cases {
        assert_eq!(ruleset_wait_us(earlier, draw), wait_ms * MS, "{earlier:?} {draw}");
    }
}
