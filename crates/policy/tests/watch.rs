//! Selection of the nodes that watch the operator's table, in virtual time: nodes of one data
//! centre that pass on what they know over a few links each.

use policy::{BEACON_INTERVAL_US, PassOn, Time, VALID_US, Watcher, Watchers, ruleset_wait_us};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use world::Name;

const MS: u64 = 1_000;
/// Links of each node, to the next ones and to the ones before it.
const LINKS: usize = 4;
/// Links to which a watcher sends a beacon.
const BEACON_LINKS: usize = 6;
/// Links on which each node passes on a beacon.
const RELAY_LINKS: usize = 3;

struct Node {
    watchers: Watchers,
    tries: bool,
    /// Whether the store answers it.
    answered: bool,
    alive: bool,
    /// When it died.
    died: Time,
}

/// Nodes of one data centre, each linked to the next few.
struct DataCentre {
    nodes: Vec<Node>,
    /// How many data centres the fleet has.
    data_centres: usize,
    now: Time,
    rng: SmallRng,
}

impl DataCentre {
    fn open(count: usize) -> DataCentre {
        let node = |at: usize| {
            let name: Name = format!("vm-{at:03}").into();
            let watchers = Watchers::new(Time(0), name, 1);
            Node { watchers, tries: false, answered: true, alive: true, died: Time(0) }
        };
        DataCentre {
            nodes: (0..count).map(node).collect(),
            data_centres: 1,
            now: Time(0),
            rng: SmallRng::seed_from_u64(1),
        }
    }

    fn kill(&mut self, at: usize) {
        self.nodes[at].alive = false;
        self.nodes[at].died = self.now;
    }

    fn step(&mut self) {
        self.now = self.now.after(100 * MS);
        let count = self.nodes.len();
        for at in 0..count {
            if !self.nodes[at].alive {
                continue;
            }
            let (now, nodes) = (self.now, &self.nodes[..at]);
            // A node that died counts until the others have heard nothing of it for a while.
            let counts = |node: &&Node| node.alive || now.since(node.died) < VALID_US;
            let rank = nodes.iter().filter(counts).count();
            let node = &mut self.nodes[at];
            node.tries = node.watchers.should_watch(self.now, node.tries, rank, self.data_centres);
            let own = (node.tries && node.answered).then_some(7);
            let changed = node.watchers.set_own(self.now, own);
            if changed {
                self.pass_on(at, usize::MAX);
            } else if own.is_some() && self.now.0.is_multiple_of(BEACON_INTERVAL_US) {
                self.pass_on(at, BEACON_LINKS);
            }
        }
    }

    /// Sends what a node knows over some of its links, and on from there if it is new.
    fn pass_on(&mut self, from: usize, most: usize) {
        let list = self.nodes[from].watchers.list(self.now);
        let count = self.nodes.len();
        let around = |step| [(from + step) % count, (from + count * LINKS - step) % count];
        let mut links: Vec<usize> = (1..=LINKS).flat_map(around).collect();
        links.shuffle(&mut self.rng);
        for to in links.into_iter().take(most) {
            if !self.nodes[to].alive {
                continue;
            }
            match self.nodes[to].watchers.merge(self.now, &list) {
                PassOn::Nobody => {}
                PassOn::Some => self.pass_on(to, RELAY_LINKS),
                PassOn::Many => self.pass_on(to, BEACON_LINKS),
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
        for at in 0..2 {
            data_centre.nodes[at].answered = false;
            if !alive {
                data_centre.kill(at);
            }
        }
        // Nodes that lose the store say so; those that die are missed.
        data_centre.run(1_500);
        assert_eq!(data_centre.watching(), [2, 3], "alive: {alive}");
        data_centre.nodes[..2].iter_mut().for_each(|node| {
            node.alive = true;
            node.answered = true;
        });
        data_centre.run(5_000);
        assert_eq!(data_centre.watching().len(), 2, "alive: {alive}");
    }
}

// Guards against a fleet in which nobody watches the store for seconds, since the nodes that did died
// together with those that would take over first.
#[test]
fn a_survivor_takes_over_in_time_whichever_nodes_die_together() {
    // A change has to be in force 2 s after the death, and is read and sent on meanwhile.
    const TAKEOVER_MS: u64 = 1_600;
    for count in [4, 13, 60, 200] {
        for survivors in [1, 2, count / 4, count / 2] {
            for round in 0..10 {
                let mut data_centre = DataCentre::open(count);
                data_centre.data_centres = 1 + round % 3;
                data_centre.rng = SmallRng::seed_from_u64(round as u64);
                data_centre.run(3_000);
                let mut order: Vec<usize> = (0..count).collect();
                order.shuffle(&mut data_centre.rng);
                let offset = data_centre.rng.random_range(0..4);
                data_centre.run(offset * 100);
                order[survivors..].iter().for_each(|at| data_centre.kill(*at));
                data_centre.kill(0);
                data_centre.kill(1);
                let is_left = data_centre.nodes.iter().any(|node| node.alive);
                data_centre.run(TAKEOVER_MS);
                let watching = !data_centre.watching().is_empty();
                assert_eq!(watching, is_left, "{count} {survivors} {round}");
            }
        }
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

fn beacon(revision: u64, active: bool, age_us: u64) -> Watcher {
    Watcher { name: "vm-1".into(), started: 1, number: 1, revision, active, age_us }
}

// Guards against beacons that nodes pass on to each other for ever: a copy that took longer than the
// time between two beacons looks younger than it is, and would also keep a dead watcher alive.
#[test]
fn a_copy_of_a_beacon_is_never_passed_on_twice() {
    let mut watchers = Watchers::new(Time(0), "vm-0".into(), 1);
    let first = beacon(5, true, 0);
    assert_eq!(watchers.merge(Time(60_000 * MS), std::slice::from_ref(&first)), PassOn::Many);
    // Copies come back late from nodes with much work, again and again, and their ages leave out how
    // long they were on their way.
    for ms in (60_150..75_000).step_by(150) {
        let now = Time(ms * MS);
        assert_eq!(watchers.merge(now, std::slice::from_ref(&first)), PassOn::Nobody, "at {ms} ms");
        assert_eq!(watchers.confirms(now, 5), ms < 61_000, "at {ms} ms");
    }
    let now = Time(75_000 * MS);
    let next = Watcher { number: 2, ..first.clone() };
    assert_eq!(watchers.merge(now, &[next]), PassOn::Many);
    let stopped = Watcher { number: 3, active: false, ..first.clone() };
    assert_eq!(watchers.merge(now, &[stopped]), PassOn::Many);
    let restarted = Watcher { started: 2, ..first };
    assert_eq!(watchers.merge(now, &[restarted]), PassOn::Many);
}

#[test]
fn a_watcher_confirms_only_a_revision_that_is_not_older_than_its_own() {
    struct Case {
        received: Watcher,
        confirms: bool,
    }
    let cases = [
        Case { received: beacon(5, true, 0), confirms: true },
        Case { received: beacon(4, true, 900 * MS), confirms: true },
        Case { received: beacon(6, true, 0), confirms: false },
        Case { received: beacon(5, false, 0), confirms: false },
        Case { received: beacon(5, true, 1_000 * MS), confirms: false },
    ];
    for Case { received, confirms } in cases {
        let now = Time(60_000 * MS);
        let mut watchers = Watchers::new(now, "vm-0".into(), 1);
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
