//! Membership: joining, leaving, failing, cuts and pauses, in virtual time.

use std::collections::BTreeSet;

use policy::{ActiveConfig, Health, Member, MemberAction, MemberMessage, Members, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use world::{Config, Name};

const TICK_US: u64 = 100_000;
const LINK_US: u64 = 1_000;

/// Nodes and what is on its way between them.
struct Nodes {
    nodes: Vec<Members>,
    /// Nodes that do nothing.
    frozen: BTreeSet<usize>,
    /// The side of a cut that each node is on.
    side: Vec<u8>,
    flying: Vec<(u64, usize, usize, MemberMessage)>,
    now: u64,
    rng: SmallRng,
    sent: u64,
    /// Links that were closed because the peer has a new life.
    restarts: usize,
}

fn name(at: usize) -> Name {
    format!("node-{at:04}").into()
}

fn member(at: usize, started: u64) -> Member {
    Member {
        name: name(at),
        data_centre: format!("dc-{}", at % 3).into(),
        address: ([127, 0, 0, 1], at as u16 + 1).into(),
        service: Some("listings".into()),
        started,
        incarnation: started,
        health: Health::Alive,
    }
}

impl Nodes {
    fn open(count: usize) -> Nodes {
        let list: Vec<Member> = (0..count).map(|at| member(at, 1)).collect();
        let open = |at: usize| {
            let mut members = Members::new(Time(0), list[at].clone());
            members.merge(Time(0), list.clone());
            members
        };
        Nodes {
            nodes: (0..count).map(open).collect(),
            frozen: BTreeSet::new(),
            side: vec![0; count],
            flying: Vec::new(),
            now: 0,
            rng: SmallRng::seed_from_u64(1),
            sent: 0,
            restarts: 0,
        }
    }

    fn act(&mut self, from: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send(_, address, message) => {
                    self.sent += 1;
                    let to = usize::from(address.port()) - 1;
                    self.flying.push((self.now + LINK_US, from, to, message));
                }
                MemberAction::Sync(_, address) => self.sync(from, usize::from(address.port()) - 1),
                MemberAction::CloseLink(_) => self.restarts += 1,
                MemberAction::Event(..) | MemberAction::Changed => {}
            }
        }
    }

    fn sync(&mut self, from: usize, to: usize) {
        if self.side[from] != self.side[to] || self.frozen.contains(&to) {
            return;
        }
        let summary = self.nodes[from].summary();
        let theirs = self.nodes[to].differing(&summary);
        let own = self.nodes[from].differing(&self.nodes[to].summary());
        let now = Time(self.now);
        let actions = self.nodes[from].merge(now, theirs);
        self.act(from, actions);
        let actions = self.nodes[to].merge(now, own);
        self.act(to, actions);
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now + seconds * 1_000_000;
        while self.now < end {
            self.now += TICK_US;
            let now = Time(self.now);
            let (arrived, flying) =
                std::mem::take(&mut self.flying).into_iter().partition(|item| item.0 <= self.now);
            self.flying = flying;
            let arrived: Vec<(u64, usize, usize, MemberMessage)> = arrived;
            for (_, from, to, message) in arrived {
                if self.side[from] == self.side[to] && !self.frozen.contains(&to) {
                    let actions = self.nodes[to].received(now, message);
                    self.act(to, actions);
                }
            }
            for at in 0..self.nodes.len() {
                if !self.frozen.contains(&at) {
                    let actions = self.nodes[at].tick(now, &mut self.rng);
                    self.act(at, actions);
                }
            }
        }
    }

    /// Returns how many nodes take a member for up.
    fn believers(&self, at: usize) -> usize {
        let sees = |node: &Members| node.up().any(|member| member.name == name(at));
        self.nodes.iter().filter(|node| sees(node)).count()
    }
}

#[test]
fn a_node_that_dies_is_taken_for_dead_and_its_successor_joins_under_its_name() {
    let mut nodes = Nodes::open(13);
    nodes.run(10);
    assert_eq!(nodes.believers(5), 12);
    nodes.frozen.insert(5);
    nodes.run(15);
    assert_eq!(nodes.believers(5), 0);
    let mut reborn = Members::new(Time(nodes.now), member(5, 1_000));
    let actions = reborn.merge(Time(nodes.now), vec![member(0, 1)]);
    nodes.nodes[5] = reborn;
    nodes.frozen.remove(&5);
    nodes.act(5, actions);
    nodes.sync(5, 0);
    nodes.run(15);
    assert_eq!(nodes.believers(5), 12);
    let seen = nodes.nodes[9].member(&name(5)).unwrap();
    assert!(seen.started == 1_000 && seen.incarnation >= 1_000);
}

#[test]
fn a_node_that_restarts_sooner_than_it_is_missed_has_its_old_links_closed() {
    let mut nodes = Nodes::open(13);
    nodes.run(10);
    nodes.nodes[5] = Members::new(Time(nodes.now), member(5, 1_000));
    let actions = nodes.nodes[5].merge(Time(nodes.now), vec![member(0, 1)]);
    nodes.act(5, actions);
    nodes.sync(5, 0);
    nodes.run(10);
    assert_eq!(nodes.restarts, 12, "once at every other node");
}

#[test]
fn a_node_that_leaves_is_gone_at_once() {
    let mut nodes = Nodes::open(13);
    nodes.run(5);
    let actions = nodes.nodes[3].leave();
    nodes.act(3, actions);
    nodes.frozen.insert(3);
    nodes.run(3);
    assert_eq!(nodes.believers(3), 0, "sooner than any suspicion could end");
}

#[test]
fn a_pause_is_refuted_and_blames_nobody() {
    let mut nodes = Nodes::open(13);
    nodes.run(10);
    nodes.frozen.insert(4);
    nodes.run(30);
    assert_eq!(nodes.believers(4), 0);
    nodes.frozen.remove(&4);
    nodes.run(1);
    assert_eq!(nodes.nodes[4].up().count(), 12, "a node that was paused doubts itself first");
    nodes.run(25);
    assert_eq!(nodes.believers(4), 12, "and refutes its death");
}

#[test]
fn two_sides_of_a_cut_find_each_other_again() {
    let mut nodes = Nodes::open(12);
    nodes.run(5);
    for at in 0..5 {
        nodes.side[at] = 1;
    }
    nodes.run(40);
    assert_eq!((nodes.believers(0), nodes.believers(11)), (4, 6));
    nodes.side = vec![0; 12];
    nodes.run(60);
    for at in 0..12 {
        assert_eq!(nodes.believers(at), 11, "node {at}");
    }
}

#[test]
fn a_change_of_service_is_known_to_all_within_seconds() {
    let mut nodes = Nodes::open(64);
    nodes.run(5);
    let actions = nodes.nodes[40].set_service(None);
    nodes.act(40, actions);
    nodes.run(10);
    let knows =
        |node: &Members| node.member(&name(40)).is_none_or(|member| member.service.is_none());
    assert!(nodes.nodes.iter().all(knows));
}

#[test]
fn the_load_of_one_node_does_not_grow_with_the_fleet() {
    let mut rates = Vec::new();
    for count in [16, 128] {
        let mut nodes = Nodes::open(count);
        nodes.run(5);
        let before = nodes.sent;
        nodes.run(10);
        rates.push((nodes.sent - before) as f64 / 10.0 / count as f64);
    }
    assert!(
        rates[1] < rates[0] * 1.2 && rates[1] < 3.0,
        "messages a second of one node: {rates:?}"
    );
}

#[test]
fn a_version_never_reverts() {
    let config = |version| Config { version, ..Config::default() };
    let mut versions = ActiveConfig::default();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut highest = 0;
    for _ in 0..10_000 {
        let version = rand::Rng::random_range(&mut rng, 0..500);
        let took = versions.update(config(version));
        assert_eq!(took, version > highest);
        highest = highest.max(version);
        assert_eq!(versions.config().version, highest);
    }
    assert!(!versions.observe(highest) && versions.observe(highest + 1));
}

#[test]
fn few_nodes_read_the_table_often() {
    let mut reads = [0; 6];
    for (rank, reads) in reads.iter_mut().enumerate() {
        let mut versions = ActiveConfig::default();
        for tick in 0..600 {
            *reads += u32::from(versions.is_poll_due(Time(tick * 200_000), rank));
        }
    }
    assert_eq!(reads, [120, 120, 2, 2, 2, 2], "in two minutes, by rank");
}
