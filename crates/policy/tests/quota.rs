//! Quotas of workspaces over 75 nodes, in virtual time: a workspace that sends many times its usual
//! from few nodes or all, beside others below their limits, while nodes and keepers are lost, cut
//! off, suspended or started.

use std::collections::BTreeMap;

use policy::{
    ElapsedTime, Keeper, OutgoingAsk, QuotaAdmission, QuotaClient, QuotaTolerance, Time,
    TokenReply, TokenRequest,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use world::{Name, Quota};

const NODES: usize = 75;
const TICK_US: u64 = 5_000;
const POLL_US: u64 = 50_000;
/// How long a question stays open, and how long a request waits for a token.
const TIMEOUT_US: (u64, u64) = (200_000, 200_000);
/// How long the member list lists a node that is gone.
const DEATH_US: u64 = 4_500_000;
const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window_us: 5_000_000, overage: 0.1, slack: 20.0 };
/// The usual requests a second of each workspace. Limits are 1.6 times as high. The first one is hot.
const USUAL: [f64; 8] = [150.0, 60.0, 20.0, 10.0, 4.0, 1.0, 1.0, 1.0];
/// When the hot workspace begins to send more, and when the run ends, in seconds.
const HOT_S: (f64, f64) = (4.0, 16.0);

#[derive(Debug)]
enum Body {
    Ask(OutgoingAsk),
    Reply(TokenReply),
}

#[derive(Debug)]
struct Message {
    from: usize,
    to: usize,
    /// The number of the question.
    id: u64,
    body: Body,
}

#[derive(Debug)]
struct Node {
    client: QuotaClient,
    keeper: Keeper,
    /// Nodes reach each other if both have the same side; those down have none.
    side: Option<u8>,
    /// Since when it has its side.
    since: Time,
    /// Until when it is suspended.
    suspended: Time,
    /// Workspace, arrival and round of the requests that wait.
    waiting: Vec<(usize, Time, u64)>,
    /// Whether a request waits or an answer has come.
    wanted: bool,
    /// Open questions, by number.
    open: BTreeMap<u64, (Time, OutgoingAsk)>,
}

#[derive(Debug)]
struct Fleet {
    now: Time,
    rng: SmallRng,
    nodes: Vec<Node>,
    names: Vec<Name>,
    workspaces: Vec<(Name, Quota)>,
    /// By arrival and number.
    messages: BTreeMap<(Time, u64), Message>,
    sent: u64,
    bytes: usize,
    /// Times of requests that ran and that were refused, for each workspace.
    ran: Vec<Vec<Time>>,
    refused: Vec<Vec<Time>>,
}

fn quota(usual: f64) -> Quota {
    Quota { per_s: usual * 1.6, burst: usual * 1.6 }
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let names: Vec<Name> = (0..NODES).map(|at| format!("node-{at:02}").into()).collect();
        let workspaces = USUAL.iter().enumerate();
        let mut fleet = Fleet {
            now: Time(0),
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            workspaces: workspaces
                .map(|(at, usual)| (format!("ws-{at}").into(), quota(*usual)))
                .collect(),
            messages: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            ran: vec![Vec::new(); USUAL.len()],
            refused: vec![Vec::new(); USUAL.len()],
            names,
        };
        fleet.nodes = (0..NODES).map(|at| fleet.new_node(at)).collect();
        fleet
    }

    fn new_node(&mut self, at: usize) -> Node {
        Node {
            client: QuotaClient::new(self.now, self.names[at].clone(), TOLERANCE),
            keeper: Keeper::new(TOLERANCE, self.rng.random()),
            side: Some(0),
            since: self.now,
            suspended: Time(0),
            waiting: Vec::new(),
            wanted: false,
            open: BTreeMap::new(),
        }
    }

    fn seconds(&self) -> f64 {
        self.now.0 as f64 / 1e6
    }

    fn restart(&mut self, at: usize) {
        self.nodes[at] = self.new_node(at);
    }

    fn set_side(&mut self, at: usize, side: Option<u8>) {
        (self.nodes[at].side, self.nodes[at].since) = (side, self.now);
    }

    /// Returns the node that most nodes ask for the tokens of the hot workspace's slot.
    fn hot_keepers(&self) -> Vec<usize> {
        let is_keeper = |at: &usize| {
            let name = &self.names[*at];
            self.nodes.iter().filter(|node| node.client.is_keeper(name)).count() > NODES / 2
        };
        (0..NODES).filter(is_keeper).collect()
    }

    fn is_awake(&self, at: usize) -> bool {
        self.nodes[at].side.is_some() && self.nodes[at].suspended <= self.now
    }

    fn send(&mut self, message: Message) {
        let delay = self.rng.random_range(1_000..8_000);
        self.sent += 1;
        // A rough size: names, numbers, the headers of the packet and its acknowledgement.
        self.bytes += 150
            + match &message.body {
                Body::Ask(ask) => ask.ask.requests.len() * 30,
                Body::Reply(reply) => reply.grants.len() * 20,
            };
        self.messages.insert((self.now.after(delay), self.sent), message);
    }

    fn request(&mut self, at: usize, workspace: usize) {
        let (name, quota) = self.workspaces[workspace].clone();
        let admission = self.nodes[at].client.admit(self.now, &name, quota);
        self.settle(at, workspace, self.now, admission);
    }

    fn settle(&mut self, at: usize, workspace: usize, arrived: Time, admission: QuotaAdmission) {
        match admission {
            QuotaAdmission::Admitted(_) => self.ran[workspace].push(self.now),
            QuotaAdmission::Wait(round) => {
                self.nodes[at].waiting.push((workspace, arrived, round));
                self.nodes[at].wanted = true;
            }
            QuotaAdmission::Refused(wait_us) => {
                assert!(wait_us > 0);
                self.refused[workspace].push(self.now);
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(TICK_US);
        while let Some((key, _)) =
            self.messages.first_key_value().filter(|((at, _), _)| *at <= self.now)
        {
            let key = *key;
            let message = self.messages.remove(&key).unwrap();
            if self.nodes[message.to].suspended > self.now {
                self.messages.insert((self.nodes[message.to].suspended, key.1), message);
            } else if self.nodes[message.to].side == self.nodes[message.from].side {
                self.deliver(message);
            }
        }
        for at in 0..NODES {
            if self.is_awake(at) {
                self.run_timers(at);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let Message { from, to, id, body } = message;
        match body {
            Body::Ask(asked) => {
                let limits = self.workspaces.clone();
                let find = |request: &TokenRequest| {
                    let found = limits.iter().find(|(name, _)| *name == request.workspace);
                    (1, found.map(|(_, quota)| *quota))
                };
                let now = self.now;
                let reply =
                    self.nodes[to].keeper.answer(now, &self.names[from], NODES, &asked.ask, find);
                self.send(Message { from: to, to: from, id, body: Body::Reply(reply) });
            }
            Body::Reply(reply) => {
                let Some((sent, asked)) = self.nodes[to].open.remove(&id) else { return };
                self.nodes[to].client.answered(self.now, sent, &asked, &reply);
                self.nodes[to].wanted = true;
                for (workspace, arrived, round) in std::mem::take(&mut self.nodes[to].waiting) {
                    let (name, quota) = self.workspaces[workspace].clone();
                    let admission = self.nodes[to].client.retry(self.now, &name, quota, round);
                    self.settle(to, workspace, arrived, admission);
                }
            }
        }
    }

    fn run_timers(&mut self, at: usize) {
        let now = self.now;
        let late: Vec<u64> = self.nodes[at]
            .open
            .iter()
            .filter(|(_, (sent, _))| now.since(*sent) >= TIMEOUT_US.0)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            let (_, asked) = self.nodes[at].open.remove(&id).unwrap();
            self.nodes[at].client.unanswered(now, &asked);
        }
        let waiting = std::mem::take(&mut self.nodes[at].waiting);
        for (workspace, arrived, round) in waiting {
            let (name, quota) = self.workspaces[workspace].clone();
            let admission = match now.since(arrived) >= TIMEOUT_US.1 {
                true => self.nodes[at].client.last_resort(now, &name, quota),
                false => self.nodes[at].client.retry(now, &name, quota, round),
            };
            self.settle(at, workspace, arrived, admission);
        }
        if now.0.is_multiple_of(200_000) {
            let up = self.members_of(at);
            self.nodes[at].client.set_members(now, NODES, &up);
        }
        let is_wanted = std::mem::take(&mut self.nodes[at].wanted);
        if now.0 % POLL_US == (at as u64 * TICK_US) % POLL_US || is_wanted {
            for asked in self.nodes[at].client.asks(now, 1) {
                let to = self.names.iter().position(|name| *name == asked.to).unwrap();
                self.nodes[at].open.insert(self.sent + 1, (now, asked.clone()));
                self.send(Message { from: at, to, id: self.sent + 1, body: Body::Ask(asked) });
            }
        }
    }

    /// Returns the members as a node lists them: those that went out of its reach, for a while.
    fn members_of(&self, at: usize) -> Vec<Name> {
        let (own, now) = (&self.nodes[at], self.now);
        let is_listed = |other: &&usize| {
            let other = &self.nodes[**other];
            let since = own.since.max(other.since);
            other.side == own.side || now.since(since) < DEATH_US
        };
        let all: Vec<usize> = (0..NODES).collect();
        all.iter().filter(is_listed).map(|at| self.names[*at].clone()).collect()
    }

    /// Returns the requests of a workspace that ran between two times, in seconds.
    fn ran_between(&self, workspace: usize, (from, to): (f64, f64)) -> usize {
        let is_inside = |ran: &&Time| (from..to).contains(&(ran.0 as f64 / 1e6));
        self.ran[workspace].iter().filter(is_inside).count()
    }

    /// Returns the most requests of a workspace that ran in any window after `from`.
    fn most_in_window(&self, workspace: usize, from: Time) -> usize {
        let ran: Vec<Time> =
            self.ran[workspace].iter().copied().filter(|ran| *ran >= from).collect();
        let count = |first: &Time| {
            let end = first.after(TOLERANCE.window_us);
            ran.partition_point(|ran| *ran <= end) - ran.partition_point(|ran| ran < first)
        };
        ran.iter().map(count).max().unwrap_or(0)
    }
}

/// A load of the hot workspace, and what goes wrong meanwhile.
struct Case {
    name: &'static str,
    /// How many times its usual the hot workspace sends.
    factor: f64,
    /// The nodes on which its clients sit at a time.
    nodes: fn(f64) -> Vec<usize>,
    /// What happens at a time.
    event: fn(&mut Fleet, f64),
    /// For how long keepers may be missing, in seconds: a vote and the time to notice, for each loss.
    /// No longer is the limit not used up, nor are requests of other workspaces refused.
    gap_s: f64,
}

const CALM: fn(&mut Fleet, f64) = |_, _| {};
const EVERYWHERE: fn(f64) -> Vec<usize> = |_| (0..NODES).collect();

/// Calls `event` once, at a time.
fn once(now: f64, at: f64, event: impl FnOnce()) {
    if (at..at + TICK_US as f64 / 1e6 - 1e-9).contains(&now) {
        event();
    }
}

const CASES: [Case; 16] = [
    Case { name: "three nodes", factor: 6.0, nodes: |_| vec![3, 40, 71], event: CALM, gap_s: 0.0 },
    Case { name: "all nodes", factor: 6.0, nodes: EVERYWHERE, event: CALM, gap_s: 0.0 },
    Case {
        name: "twelvefold on three",
        factor: 12.0,
        nodes: |_| vec![3, 40, 71],
        event: CALM,
        gap_s: 0.0,
    },
    Case { name: "twelvefold on all", factor: 12.0, nodes: EVERYWHERE, event: CALM, gap_s: 0.0 },
    Case {
        name: "clients that move",
        factor: 6.0,
        nodes: |now| (0..3).map(|at| (now as usize * 7 + at * 25) % NODES).collect(),
        event: CALM,
        gap_s: 0.0,
    },
    Case {
        name: "nodes lost",
        factor: 6.0,
        nodes: EVERYWHERE,
        event: |fleet, now| {
            once(now, 8.0, || (0..NODES).step_by(5).for_each(|at| fleet.set_side(at, None)))
        },
        gap_s: 1.0,
    },
    Case {
        name: "a third cut off, and back",
        factor: 6.0,
        nodes: EVERYWHERE,
        event: |fleet, now| {
            once(now, 7.0, || (0..NODES).step_by(3).for_each(|at| fleet.set_side(at, Some(1))));
            once(now, 12.0, || (0..NODES).step_by(3).for_each(|at| fleet.set_side(at, Some(0))));
        },
        gap_s: 3.7,
    },
    Case {
        name: "halves apart",
        factor: 6.0,
        nodes: EVERYWHERE,
        event: |fleet, now| {
            once(now, 7.0, || (0..NODES).step_by(2).for_each(|at| fleet.set_side(at, Some(1))))
        },
        gap_s: 4.5,
    },
    Case {
        name: "keepers lost",
        factor: 6.0,
        nodes: EVERYWHERE,
        event: |fleet, now| {
            once(now, 8.0, || fleet.hot_keepers().iter().for_each(|at| fleet.set_side(*at, None)))
        },
        gap_s: 1.0,
    },
    Case {
        name: "keepers stopped in order",
        factor: 6.0,
        nodes: EVERYWHERE,
        event: |fleet, now| {
            once(now, 8.0, || {
                fleet.hot_keepers().iter().for_each(|at| fleet.nodes[*at].keeper.close())
            })
        },
        gap_s: 0.5,
    },
    Case {
        name: "keepers restarted, twice",
        factor: 6.0,
        nodes: EVERYWHERE,
        event: |fleet, now| {
            once(now, 7.0, || fleet.hot_keepers().into_iter().for_each(|at| fleet.restart(at)));
            once(now, 9.0, || fleet.hot_keepers().into_iter().for_each(|at| fleet.restart(at)));
        },
        gap_s: 2.0,
    },
    Case {
        name: "keepers and some nodes suspended",
        factor: 6.0,
        nodes: EVERYWHERE,
        event: |fleet, now| {
            once(now, 8.0, || {
                let until = fleet.now.after(2_500_000);
                let chosen = fleet.hot_keepers().into_iter().chain((0..NODES).step_by(7));
                chosen.for_each(|at| fleet.nodes[at].suspended = until);
            })
        },
        gap_s: 1.0,
    },
    Case {
        name: "all restarted",
        factor: 6.0,
        nodes: EVERYWHERE,
        event: |fleet, now| once(now, 8.0, || (0..NODES).for_each(|at| fleet.restart(at))),
        gap_s: 1.2,
    },
    Case {
        name: "keepers that stall for 0.1 s, twice a second",
        factor: 6.0,
        nodes: EVERYWHERE,
        event: |fleet, now| {
            once(now % 0.5, 0.0, || {
                let until = fleet.now.after(100_000);
                fleet.hot_keepers().into_iter().for_each(|at| fleet.nodes[at].suspended = until);
            })
        },
        gap_s: 0.0,
    },
    Case {
        name: "limit lowered",
        factor: 6.0,
        nodes: EVERYWHERE,
        event: |fleet, now| once(now, 6.0, || fleet.workspaces[0].1 = quota(75.0)),
        gap_s: 0.0,
    },
    Case {
        name: "limit raised",
        factor: 6.0,
        nodes: EVERYWHERE,
        event: |fleet, now| once(now, 8.0, || fleet.workspaces[0].1 = quota(300.0)),
        gap_s: 0.0,
    },
];

/// Sends the requests of one tick. All workspaces but the hot one stay inside their limits.
fn send_requests(fleet: &mut Fleet, case: &Case, reference: &mut [policy::TokenBucket]) {
    let now = fleet.seconds();
    for workspace in 0..USUAL.len() {
        let is_hot = workspace == 0 && now >= HOT_S.0;
        let rate = USUAL[workspace] * if is_hot { case.factor } else { 1.0 };
        let mut expected = rate * TICK_US as f64 / 1e6;
        while expected > 0.0 {
            let sends = fleet.rng.random::<f64>() < expected;
            expected -= 1.0;
            if !sends || !is_hot && !reference[workspace].take(fleet.now, 1.0) {
                continue;
            }
            let nodes = match workspace {
                0 => (case.nodes)(now),
                // The small ones sit on one node each.
                5.. => vec![workspace * 11 % NODES],
                _ => EVERYWHERE(now),
            };
            let at = nodes[fleet.rng.random_range(0..nodes.len())];
            if fleet.is_awake(at) {
                fleet.request(at, workspace);
            }
        }
    }
}

/// Runs a case and returns what did not hold.
fn run(case: &Case, seed: u64) -> Vec<String> {
    let mut fleet = Fleet::new(seed);
    let buckets =
        USUAL.map(|usual| policy::TokenBucket::new(quota(usual).burst.max(1.0), usual * 1.6));
    let mut reference = buckets.to_vec();
    let mut limit = 0.0;
    let mut burst = 0.0;
    while fleet.seconds() < HOT_S.1 {
        fleet.step();
        let now = fleet.seconds();
        (case.event)(&mut fleet, now);
        if now >= 1.5 {
            send_requests(&mut fleet, case, &mut reference);
        }
        if now < HOT_S.0 {
            burst = fleet.workspaces[0].1.burst;
        } else {
            limit += fleet.workspaces[0].1.per_s * TICK_US as f64 / 1e6;
        }
    }
    let per_node = 1.0 / (NODES as f64 * fleet.seconds());
    let used = fleet.ran_between(0, HOT_S) as f64 / (limit + burst);
    let refused: usize = fleet.refused[1..].iter().map(Vec::len).sum();
    let lost_s = refused as f64 / USUAL[1..].iter().sum::<f64>();
    // Requests at the beginning may only be refused because of a loss, which comes later.
    let early = fleet.refused[1..].iter().flatten().filter(|at| at.0 < 6_000_000).count();
    // A lower limit binds one window after it was applied.
    let from = if case.name == "limit lowered" { Time(11_000_000) } else { Time(0) };
    println!(
        "{} (seed {seed}): most {} of {:.0}, used {used:.3}, others refused for {lost_s:.2} s, \
         {:.1} messages and {:.0} bytes a node and second",
        case.name,
        fleet.most_in_window(0, from),
        TOLERANCE.bound(fleet.workspaces[0].1),
        fleet.sent as f64 * per_node,
        fleet.bytes as f64 * per_node,
    );
    let mut faults = Vec::new();
    for (at, (name, quota)) in fleet.workspaces.iter().enumerate() {
        let most = fleet.most_in_window(at, from) as f64;
        if most > TOLERANCE.bound(*quota) {
            faults.push(format!("{}: {name}: {most} in a window", case.name));
        }
    }
    if used < 0.97 - case.gap_s / (HOT_S.1 - HOT_S.0) {
        faults.push(format!("{}: {used:.3} of the limit was used", case.name));
    }
    if lost_s > case.gap_s || early > 0 {
        faults.push(format!("{}: others were refused for {lost_s} s", case.name));
    }
    faults
}

#[test]
fn a_quota_holds_over_all_nodes_and_nothing_below_it_is_refused() {
    let runs = CASES.iter().flat_map(|case| [1, 2].map(|seed| run(case, seed)));
    let faults: Vec<String> = runs.flatten().collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

// Guards against a cost of quotas that grows beyond what control may take on a node without load.
#[test]
fn an_idle_fleet_agrees_on_keepers_for_few_bytes() {
    const BYTES_PER_S: f64 = 3_000.0;
    /// By then the nodes have agreed.
    const SETTLED_S: f64 = 2.0;
    let mut fleet = Fleet::new(1);
    let mut before = (0, 0);
    while fleet.seconds() < 10.0 {
        fleet.step();
        if fleet.seconds() < SETTLED_S {
            before = (fleet.sent, fleet.bytes);
        }
    }
    let per_node = 1.0 / (NODES as f64 * (fleet.seconds() - SETTLED_S));
    let messages = (fleet.sent - before.0) as f64 * per_node;
    let bytes = (fleet.bytes - before.1) as f64 * per_node;
    println!("idle: {messages:.1} messages and {bytes:.0} bytes a node and second");
    assert!(bytes <= BYTES_PER_S, "{bytes} bytes a node and second");
    let is_settled = |node: &Node| node.client.keepers(fleet.now).all(|(_, settled)| settled);
    assert!(fleet.nodes.iter().all(is_settled));
}

struct Reading {
    steady: u64,
    wall: u64,
    elapsed: u64,
}

// Guards against tokens and votes that outlive a suspension of their VM.
#[test]
fn elapsed_time_counts_suspensions_and_never_goes_back() {
    let readings = [
        Reading { steady: 1_000, wall: 9_001_000, elapsed: 1_000 },
        // The wall clock is slewed.
        Reading { steady: 51_000, wall: 9_051_900, elapsed: 51_000 },
        // Suspended for 3 s.
        Reading { steady: 101_000, wall: 12_101_900, elapsed: 3_101_000 },
        // Set back by 5 s, and then suspended for 1 s.
        Reading { steady: 151_000, wall: 7_151_900, elapsed: 3_151_000 },
        Reading { steady: 201_000, wall: 8_201_900, elapsed: 4_201_000 },
    ];
    let mut elapsed = ElapsedTime::new(Time(0), 9_000_000);
    for reading in readings {
        let now = elapsed.read(Time(reading.steady), reading.wall);
        assert_eq!(now, Time(reading.elapsed), "wall {}", reading.wall);
    }
}
