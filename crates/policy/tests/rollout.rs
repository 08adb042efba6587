//! Roll-outs in virtual time: guards that keep to their grants, and a coordinator that decides.

use policy::{Coordinator, Evidence, EvidenceReport, Exposure, ExposureLimit, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use world::{Name, Rollout, RolloutState};

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;
/// Length of a step of the virtual time, in microseconds.
const STEP_US: u64 = 10 * MS;
/// Time between two reports of a guard, in microseconds.
const REPORT_US: u64 = 250 * MS;
/// Targets of each version.
const TARGETS: usize = 8;
const SLOTS: u32 = 12;
/// How long a target is cold after its start, and what it takes a second then.
const COLD_US: u64 = 3 * S;
const COLD_PER_S: usize = 14;
/// The bound: a tenth of the service's requests and 50 more, and none 5 s after the 50th bad answer.
const LIMIT: ExposureLimit = ExposureLimit { share: 0.1, slack: 50.0 };
const ROLLBACK_US: u64 = 5 * S;
const MAX_BAD: usize = 50;
/// Runs of each case.
const SEEDS: u64 = 40;
/// By the stated rate, 1 of 1,000 tests of 2,000 answers; each good run has 4.
const MAX_FALSE: usize = 2;

/// When and how the new version answers badly.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Fails this share of its requests.
    Errors(f64),
    /// Takes 8 times as long for this share.
    Slow(f64),
    /// Fails half while at least so many requests run.
    UnderLoad(u32),
    /// Fails half of the requests of the rarer route.
    OneRoute,
    /// Fails half from so many seconds after its start on.
    Late(f64),
    /// Fails everything at one target only.
    OneTarget,
    /// Fails a third from this second on, as targets of the old version do.
    Everywhere(f64),
}

struct Case {
    name: &'static str,
    per_s: f64,
    period_s: f64,
    /// Share of requests that every target fails, whatever its version.
    noise: f64,
    fault: Fault,
    state: RolloutState,
}

/// One guard with its target.
struct Node {
    name: Name,
    version: Name,
    exposure: Exposure,
    evidence: Evidence,
    running: u32,
    /// When requests were sent in the last second.
    sent: Vec<Time>,
    /// When the target starts.
    starts: Time,
}

/// What a run showed.
#[derive(Debug)]
struct Seen {
    state: RolloutState,
    decided_s: f64,
    requests: usize,
    exposed: usize,
    /// Requests to the version after the 50th bad answer and the time for the roll-back.
    late: usize,
}

fn order(revision: u64, version: &str, period_s: f64) -> Rollout {
    let period_us = (period_s * S as f64) as u64;
    Rollout { service: "a".into(), version: version.into(), period_us, revision }
}

impl Node {
    fn new(at: usize, version: &str, starts: Time) -> Node {
        let mut exposure = Exposure::default();
        exposure.set_version(&version.into());
        Node {
            name: format!("vm-{at}").into(),
            version: version.into(),
            exposure,
            evidence: Evidence::default(),
            running: 0,
            sent: Vec::new(),
            starts,
        }
    }

    fn is_cold(&self, now: Time) -> bool {
        self.version == "v2".into() && now < self.starts.after(COLD_US)
    }

    fn free(&mut self, now: Time) -> u32 {
        let second = now.0.saturating_sub(S);
        self.sent.retain(|at| at.0 > second);
        if now < self.starts || self.is_cold(now) && self.sent.len() >= COLD_PER_S {
            return 0;
        }
        let free = SLOTS.saturating_sub(self.running);
        free.min(self.exposure.room(now).unwrap_or(u32::MAX))
    }

    fn report(&self, now: Time, order: &Rollout) -> EvidenceReport {
        EvidenceReport {
            service: order.service.clone(),
            order: order.revision,
            version: self.version.clone(),
            age_us: now.0,
            slots: if now < self.starts { 0 } else { SLOTS },
            running: self.running,
            cold: self.is_cold(now),
            routes: self.evidence.routes(now),
        }
    }
}

/// A request that runs.
struct Running {
    ends: Time,
    node: usize,
    /// Its id in the guard's evidence.
    id: u64,
    failed: bool,
    bad: bool,
}

fn begin(case: &Case, node: &mut Node, at: usize, now: Time, rng: &mut SmallRng) -> Running {
    let route = u64::from(rng.random_bool(0.3));
    // A long tail: a tenth takes more than 2.5 times the median.
    let spread = (rng.random_range(-1.0f64..1.0) + rng.random_range(-1.0..1.0)).exp();
    let mut took_us = 200e3 * spread * if node.is_cold(now) { 3.0 } else { 1.0 };
    let is_new = *node.version == *"v2";
    let age_s = now.since(node.starts) as f64 / 1e6;
    let (mut failed, mut slow) = (rng.random_bool(case.noise), false);
    let half = rng.random_bool(0.5);
    if let Fault::Everywhere(from_s) = case.fault {
        failed |= now.0 as f64 / 1e6 >= from_s && rng.random_bool(1.0 / 3.0);
    }
    if is_new {
        match case.fault {
            Fault::None | Fault::Everywhere(_) => {}
            Fault::Errors(share) => failed |= rng.random_bool(share),
            Fault::Slow(share) => slow = rng.random_bool(share),
            Fault::UnderLoad(least) => failed |= half && node.running >= least,
            Fault::OneRoute => failed |= half && route == 1,
            Fault::Late(from_s) => failed |= half && age_s >= from_s,
            Fault::OneTarget => failed |= at == TARGETS,
        }
    }
    if slow {
        took_us *= 8.0;
    }
    let ends = now.after(took_us as u64);
    let id = node.evidence.sent(now, route, node.is_cold(now));
    node.exposure.sent(now);
    node.sent.push(now);
    node.running += 1;
    Running { ends, node: at, id, failed, bad: is_new && (failed || slow) }
}

/// Plays one roll-out until its deadline.
fn play(case: &Case, seed: u64) -> Seen {
    let mut rng = SmallRng::seed_from_u64(seed);
    let order = order(7, "v2", case.period_s);
    let mut nodes: Vec<Node> = (0..TARGETS).map(|at| Node::new(at, "v1", Time(0))).collect();
    nodes.extend((TARGETS..2 * TARGETS).map(|at| Node::new(at, "v2", Time(500 * MS))));
    for node in &mut nodes {
        assert!(node.exposure.set_order(Time(0), Some(&order)));
    }
    let mut coordinator = Coordinator::new(Time(0), order.clone(), LIMIT);
    coordinator.set_rejected(Vec::new());
    let mut running: Vec<Running> = Vec::new();
    let mut seen = Seen {
        state: RolloutState::Running,
        decided_s: case.period_s,
        requests: 0,
        exposed: 0,
        late: 0,
    };
    let (mut bad, mut out) = (0, Time::NEVER);
    for step in 0..order.period_us / STEP_US {
        let now = Time(step * STEP_US);
        running.retain(|run| {
            if run.ends > now {
                return true;
            }
            let node = &mut nodes[run.node];
            node.running -= 1;
            match run.failed {
                true => node.evidence.failed(run.id),
                false => node.evidence.answered(now, run.id),
            }
            bad += usize::from(run.bad);
            if bad >= MAX_BAD && out == Time::NEVER {
                out = now.after(ROLLBACK_US);
            }
            false
        });
        let mut due = case.per_s * STEP_US as f64 / S as f64;
        while rng.random_bool(due.min(1.0)) {
            due -= 1.0;
            // As an entry does: the one of more free slots of three drawn at random.
            let drawn: Vec<usize> = (0..3).map(|_| rng.random_range(0..nodes.len())).collect();
            let frees: Vec<u32> = drawn.iter().map(|at| nodes[*at].free(now)).collect();
            let best = (0..3).max_by_key(|at| frees[*at]).filter(|at| frees[*at] > 0);
            if let Some(at) = best.map(|best| drawn[best]) {
                let is_new = *nodes[at].version == *"v2";
                seen.requests += 1;
                seen.exposed += usize::from(is_new);
                seen.late += usize::from(is_new && now > out);
                running.push(begin(case, &mut nodes[at], at, now, &mut rng));
            }
            if due <= 0.0 {
                break;
            }
        }
        for (at, node) in nodes.iter_mut().enumerate() {
            if (now.0 + at as u64 * STEP_US).is_multiple_of(REPORT_US) {
                coordinator.set_nodes(2 * TARGETS);
                let report = node.report(now, &order);
                let grant = coordinator.report(now, &node.name, report);
                node.exposure.granted(now, &grant);
            }
        }
        if let Some(state) = coordinator.due_state(now) {
            coordinator.set_stored(now, state);
        }
        if seen.state != coordinator.state() {
            seen.state = coordinator.state();
            seen.decided_s = now.0 as f64 / S as f64;
        }
    }
    seen
}

// Guards against bad versions that stay in service or get more than the bound allows, and against good
// ones that are rolled back or not completed in their period, at high and low load.
#[test]
fn bad_versions_are_rolled_back_inside_the_bound_and_good_ones_completed() {
    use RolloutState::{Completed, RolledBack};
    let case = |name, per_s, period_s, noise, fault, state| Case {
        name,
        per_s,
        period_s,
        noise,
        fault,
        state,
    };
    let cases = [
        case("good", 200.0, 12.0, 0.0, Fault::None, Completed),
        case("good among failures", 200.0, 12.0, 0.1, Fault::None, Completed),
        case("good at low load", 20.0, 12.0, 0.02, Fault::None, Completed),
        case("good in a short period", 100.0, 8.0, 0.02, Fault::None, Completed),
        case("good in a long period", 60.0, 30.0, 0.02, Fault::None, Completed),
        case("one target fails", 200.0, 12.0, 0.0, Fault::OneTarget, Completed),
        case("all fail in the trial", 200.0, 12.0, 0.0, Fault::Everywhere(5.0), Completed),
        case("all fail at the switch", 200.0, 12.0, 0.0, Fault::Everywhere(8.4), Completed),
        case("errors", 200.0, 12.0, 0.02, Fault::Errors(0.5), RolledBack),
        case("errors among failures", 200.0, 12.0, 0.1, Fault::Errors(0.42), RolledBack),
        case("errors at low load", 20.0, 12.0, 0.02, Fault::Errors(0.5), RolledBack),
        case("slow", 200.0, 12.0, 0.02, Fault::Slow(0.5), RolledBack),
        case("slow at low load", 30.0, 12.0, 0.02, Fault::Slow(0.5), RolledBack),
        case("under load", 200.0, 12.0, 0.02, Fault::UnderLoad(4), RolledBack),
        case("one route", 200.0, 12.0, 0.02, Fault::OneRoute, RolledBack),
        case("late", 200.0, 12.0, 0.02, Fault::Late(4.0), RolledBack),
        case("late at low load", 40.0, 16.0, 0.02, Fault::Late(5.0), RolledBack),
    ];
    let mut wrong = Vec::new();
    let mut false_verdicts = 0;
    for case in &cases {
        let runs: Vec<Seen> = (0..SEEDS).map(|seed| play(case, seed)).collect();
        let right = runs.iter().filter(|seen| seen.state == case.state).count();
        let most = runs.iter().map(|seen| seen.decided_s).fold(0.0, f64::max);
        let bound = |seen: &Seen| LIMIT.share * seen.requests as f64 + LIMIT.slack;
        let use_of = |seen: &Seen| seen.exposed as f64 / bound(seen);
        let used = runs.iter().map(use_of).fold(0.0, f64::max);
        let beyond = runs.iter().filter(|seen| use_of(seen) > 1.0).count();
        let late: usize = runs.iter().map(|seen| seen.late).sum();
        println!(
            "{:24} {right} of {SEEDS} right, decided within {most:.1} s, {used:.2} of the bound, \
             {beyond} beyond it, {late} late",
            case.name
        );
        if case.state == Completed {
            false_verdicts += SEEDS as usize - right;
        } else if right < SEEDS as usize || used > 1.0 || late > 0 {
            wrong.push(case.name);
        }
    }
    assert!(wrong.is_empty(), "missed, or beyond the bound: {wrong:?}");
    assert!(false_verdicts <= MAX_FALSE, "{false_verdicts} good versions were not completed");
}
