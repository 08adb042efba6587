//! Membership in virtual time: joins, leaves, crashes, restarts, partitions and pauses. Also the
//! configuration in force, and which nodes poll the table for it.

use std::collections::BTreeSet;

use policy::{ActiveConfig, Health, Member, MemberAction, MemberMessage, Members, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use world::{Config, Name};

const TICK_US: u64 = 100_000;
const LINK_US: u64 = 1_000;

/// Simulated nodes and the messages in flight between them.
struct Cluster {
    nodes: Vec<Members>,
    /// Nodes that neither receive messages nor run timers.
    frozen: BTreeSet<usize>,
    /// The side of a partition that each node is on. Messages between different sides are lost.
    side: Vec<u8>,
    /// Arrival time, sender, receiver and message.
    in_flight: Vec<(u64, usize, usize, MemberMessage)>,
    now: u64,
    rng: SmallRng,
    /// Messages sent so far, except those of list comparisons.
    sent: u64,
    /// Links closed because the peer had restarted.
    closed_links: usize,
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

impl Cluster {
    fn open(count: usize) -> Cluster {
        let list: Vec<Member> = (0..count).map(|at| member(at, 1)).collect();
        let open = |at: usize| {
            let mut members = Members::new(Time(0), list[at].clone());
            members.merge(Time(0), list.clone());
            members
        };
        Cluster {
            nodes: (0..count).map(open).collect(),
            frozen: BTreeSet::new(),
            side: vec![0; count],
            in_flight: Vec::new(),
            now: 0,
            rng: SmallRng::seed_from_u64(1),
            sent: 0,
            closed_links: 0,
        }
    }

    fn act(&mut self, from: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send(_, address, message) => {
                    self.sent += 1;
                    let to = usize::from(address.port()) - 1;
                    self.in_flight.push((self.now + LINK_US, from, to, message));
                }
                MemberAction::Sync(_, address) => self.sync(from, usize::from(address.port()) - 1),
                MemberAction::CloseLink(_) => self.closed_links += 1,
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
            let (arrived, in_flight) = std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|item| item.0 <= self.now);
            self.in_flight = in_flight;
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

    /// Returns how many nodes consider this node to be up.
    fn count_up(&self, at: usize) -> usize {
        let is_up = |node: &Members| node.up().any(|member| member.name == name(at));
        self.nodes.iter().filter(|node| is_up(node)).count()
    }
}

#[test]
fn a_crashed_node_is_detected_and_rejoins_under_its_name() {
    let mut cluster = Cluster::open(13);
    cluster.run(10);
    assert_eq!(cluster.count_up(5), 12);
    cluster.frozen.insert(5);
    cluster.run(15);
    assert_eq!(cluster.count_up(5), 0);
    let mut restarted = Members::new(Time(cluster.now), member(5, 1_000));
    let actions = restarted.merge(Time(cluster.now), vec![member(0, 1)]);
    cluster.nodes[5] = restarted;
    cluster.frozen.remove(&5);
    cluster.act(5, actions);
    cluster.sync(5, 0);
    cluster.run(15);
    assert_eq!(cluster.count_up(5), 12);
    let seen = cluster.nodes[9].member(&name(5)).unwrap();
    assert!(seen.started == 1_000 && seen.incarnation >= 1_000);
}

#[test]
fn a_restart_before_detection_closes_the_old_links() {
    let mut cluster = Cluster::open(13);
    cluster.run(10);
    cluster.nodes[5] = Members::new(Time(cluster.now), member(5, 1_000));
    let actions = cluster.nodes[5].merge(Time(cluster.now), vec![member(0, 1)]);
    cluster.act(5, actions);
    cluster.sync(5, 0);
    cluster.run(10);
    assert_eq!(cluster.closed_links, 12, "each other node closes its link once");
}

#[test]
fn a_leaving_node_is_down_without_a_suspicion() {
    let mut cluster = Cluster::open(13);
    cluster.run(5);
    let actions = cluster.nodes[3].leave();
    cluster.act(3, actions);
    cluster.frozen.insert(3);
    cluster.run(3);
    assert_eq!(cluster.count_up(3), 0, "no suspicion could have timed out yet");
}

#[test]
fn a_paused_node_suspects_nobody_and_refutes_its_death() {
    let mut cluster = Cluster::open(13);
    cluster.run(10);
    cluster.frozen.insert(4);
    cluster.run(30);
    assert_eq!(cluster.count_up(4), 0);
    cluster.frozen.remove(&4);
    cluster.run(1);
    assert_eq!(cluster.nodes[4].up().count(), 12, "a paused node must not suspect others");
    cluster.run(25);
    assert_eq!(cluster.count_up(4), 12, "its refutation reaches every node");
}

#[test]
fn members_find_each_other_after_a_partition() {
    let mut cluster = Cluster::open(12);
    cluster.run(5);
    for at in 0..5 {
        cluster.side[at] = 1;
    }
    cluster.run(40);
    assert_eq!((cluster.count_up(0), cluster.count_up(11)), (4, 6));
    cluster.side = vec![0; 12];
    cluster.run(60);
    for at in 0..12 {
        assert_eq!(cluster.count_up(at), 11, "node {at}");
    }
}

#[test]
fn a_service_change_reaches_every_node_within_seconds() {
    let mut cluster = Cluster::open(64);
    cluster.run(5);
    let actions = cluster.nodes[40].set_service(None);
    cluster.act(40, actions);
    cluster.run(10);
    let knows =
        |node: &Members| node.member(&name(40)).is_none_or(|member| member.service.is_none());
    assert!(cluster.nodes.iter().all(knows));
}

#[test]
fn the_message_rate_of_a_node_does_not_grow_with_the_cluster() {
    let mut rates = Vec::new();
    for count in [16, 128] {
        let mut cluster = Cluster::open(count);
        cluster.run(5);
        let before = cluster.sent;
        cluster.run(10);
        rates.push((cluster.sent - before) as f64 / 10.0 / count as f64);
    }
    assert!(rates[1] < rates[0] * 1.2 && rates[1] < 3.0, "messages per node and second: {rates:?}");
}

#[test]
fn the_active_version_never_decreases() {
    let config = |version| Config { version, ..Config::default() };
    let mut active = ActiveConfig::default();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut highest = 0;
    for _ in 0..10_000 {
        let version = rand::Rng::random_range(&mut rng, 0..500);
        let updated = active.update(config(version));
        assert_eq!(updated, version > highest);
        highest = highest.max(version);
        assert_eq!(active.config().version, highest);
    }
    assert!(!active.observe(highest) && active.observe(highest + 1));
}

#[test]
fn only_the_first_two_nodes_poll_the_table_often() {
    let mut reads = [0; 6];
    for (rank, reads) in reads.iter_mut().enumerate() {
        let mut active = ActiveConfig::default();
        for tick in 0..600 {
            *reads += u32::from(active.is_poll_due(Time(tick * 200_000), rank));
        }
    }
    assert_eq!(reads, [120, 120, 2, 2, 2, 2], "polls in two minutes, by rank");
}

#[test]
fn one_member_removes_the_row_of_another_that_is_gone() {
    let mut cluster = Cluster::open(12);
    cluster.run(5);
    cluster.frozen.insert(4);
    cluster.run(60);
    let responsible = |cluster: &Cluster| -> Vec<usize> {
        let now = Time(cluster.now);
        let removes = |at: &usize| cluster.nodes[*at].rows_to_remove(now) == [name(4)];
        (0..12).filter(|at| *at != 4).filter(removes).collect()
    };
    assert!(responsible(&cluster).is_empty(), "it may come back");
    cluster.run(120);
    assert_eq!(responsible(&cluster), [5], "the next by name");
    cluster.nodes[5].row_removed(&name(4));
    assert!(responsible(&cluster).is_empty());
}
