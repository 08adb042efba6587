//! The bounds that each case is held to. They come from the targets of the users and are the same
//! whatever a run gives.

use super::baseline::Baseline;
use super::case::{Case, Fault, named};
use super::model::{Fleet, least_warm_us};
use super::ours::Options;
use super::result::Line;
use super::{run_baseline, run_oracle, run_ours};
use crate::mesh::Tenant;

/// Factor over the all-knowing dispatcher at the 99th percentile.
const P99_FACTOR: f64 = 1.25;
/// Factor over the all-knowing dispatcher at the 99.9th percentile.
const P999_FACTOR: f64 = 1.5;
/// Factor over the best simple policy at the 99.9th percentile.
const BASELINE_FACTOR: f64 = 0.5;
/// Factor over the least time that warming takes.
const WARM_FACTOR: f64 = 1.5;
/// Factor over the steady tail near a data centre's changes.
const AROUND_FACTOR: f64 = 1.5;
/// Factor over the steady tail of the favoured classes under overload.
const FAVOURED_FACTOR: f64 = 1.25;
/// The least goodput where the rest can carry the load.
const LEAVE_GOODPUT: f64 = 0.999;
/// The least goodput under overload, as a share of capacity.
const OVERLOAD_GOODPUT: f64 = 0.95;
/// The longest time until a refusal, in microseconds.
const REFUSAL_US: f64 = 5_000.0;
/// The longest time that a target that is out takes new work, in microseconds.
const LAST_OUT_US: f64 = 4_000_000.0;
/// The most control bytes a second of one node.
const CONTROL_BYTES_S: f64 = 3_000.0;

/// Of these, what an idle node sends for membership and configuration.
const MEMBERSHIP_BYTES_S: f64 = 1_000.0;

/// One figure beside its bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// The case and what is bounded, without spaces.
    pub name: String,
    /// What the run gave.
    pub figure: f64,
    /// What it is held to.
    pub limit: f64,
    /// Whether the figure is to be at least the limit, not at most.
    pub at_least: bool,
}

impl Bound {
    /// Returns whether the figure keeps the bound.
    pub fn holds(&self) -> bool {
        match self.at_least {
            true => self.figure >= self.limit,
            false => self.figure <= self.limit,
        }
    }
}

struct Bounds<'c> {
    tenant: &'c Tenant,
    case: &'c Case,
    list: Vec<Bound>,
}

/// Runs a case and returns its figures beside their bounds.
pub fn check(tenant: &Tenant, case: &Case, seed: u64) -> Vec<Bound> {
    let fleet = Fleet::new(tenant, case, seed);
    let ours = run_ours(&fleet, case, Options::default(), seed).line();
    let mut bounds = Bounds { tenant, case, list: Vec::new() };
    bounds.always(&ours);
    bounds.tails(&ours, &fleet, seed);
    if case.has(Fault::Cold) && case.faults.len() == 1 {
        let least = least_warm_us(tenant.slots) * WARM_FACTOR;
        bounds.at_most("rewarm_p90_us", ours.rewarm_p90_us as f64, least);
    }
    if case.has(Fault::Leave) {
        bounds.at_most("last_out_us", ours.last_out_us as f64, LAST_OUT_US);
    }
    match case.name {
        "leave" => bounds.leave(&ours, seed),
        "overload" => bounds.overload(&ours, seed),
        _ => {}
    }
    bounds.list
}

impl Bounds<'_> {
    fn at_most(&mut self, what: &str, figure: f64, limit: f64) {
        let name = format!("{}:{}:{what}", self.tenant.name, self.case.name);
        self.list.push(Bound { name, figure, limit, at_least: false });
    }

    fn at_least(&mut self, what: &str, figure: f64, limit: f64) {
        let name = format!("{}:{}:{what}", self.tenant.name, self.case.name);
        self.list.push(Bound { name, figure, limit, at_least: true });
    }

    fn always(&mut self, ours: &Line) {
        let control = ours.control_bytes_s + MEMBERSHIP_BYTES_S;
        self.at_most("control_bytes_s", control, CONTROL_BYTES_S);
        self.at_most("overruns", ours.overruns as f64, 0.0);
        self.at_most("false_not_run", ours.false_not_run as f64, 0.0);
    }

    fn tails(&mut self, ours: &Line, fleet: &Fleet, seed: u64) {
        if ["steady", "noisy", "burst"].contains(&self.case.name) {
            let best = run_oracle(fleet, self.case).line();
            self.at_most("p99_us", ours.p99_us as f64, best.p99_us as f64 * P99_FACTOR);
            self.at_most("p999_us", ours.p999_us as f64, best.p999_us as f64 * P999_FACTOR);
        }
        if ["noisy", "slow"].contains(&self.case.name) {
            let baselines = Baseline::ALL.into_iter();
            let tails =
                baselines.map(|policy| run_baseline(fleet, self.case, policy, seed).line().p999_us);
            let best = tails.min().unwrap_or(0) as f64 * BASELINE_FACTOR;
            self.at_most("p999_us_of_baseline", ours.p999_us as f64, best);
        }
    }

    fn leave(&mut self, ours: &Line, seed: u64) {
        let calm = Case { name: "calm", load: self.case.load, faults: &[] };
        let fleet = Fleet::new(self.tenant, &calm, seed);
        let steady = run_ours(&fleet, &calm, Options::default(), seed).line();
        let limit = steady.p99_us as f64 * AROUND_FACTOR;
        self.at_most("around_p99_us", ours.around_p99_us as f64, limit);
        self.at_least("goodput", ours.goodput, LEAVE_GOODPUT);
    }

    fn overload(&mut self, ours: &Line, seed: u64) {
        let calm = named("steady").unwrap_or(*self.case);
        let fleet = Fleet::new(self.tenant, &calm, seed);
        let steady = run_ours(&fleet, &calm, Options::default(), seed).line();
        let limit = steady.favoured_p99_us as f64 * FAVOURED_FACTOR;
        self.at_most("favoured_p99_us", ours.favoured_p99_us as f64, limit);
        self.at_most("refusal_p99_us", ours.refusal_p99_us as f64, REFUSAL_US);
        let share = ours.goodput * self.case.load;
        self.at_least("goodput_of_capacity", share, OVERLOAD_GOODPUT);
    }
}
