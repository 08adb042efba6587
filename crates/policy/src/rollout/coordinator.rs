//! The coordinator of one roll-out: divides the exposure among targets, and decides.

use derive_more::Display;
use world::{Name, Rollout, RolloutState};

use crate::Time;
use crate::rollout::evidence::{EvidenceReport, RouteEvidence, class_end_us};
use crate::rollout::exposure::{ExposureGrant, ExposureLimit};
use crate::rollout::verdict::{Finding, RouteTests, THRESHOLD};

/// The time after its start in which the coordinator collects the counts of all guards before it tests
/// them, in microseconds.
const COLLECT_US: u64 = 400_000;
/// Stands for all routes of a service among its tests.
const ALL_ROUTES: u64 = u64::MAX;
/// The time for which a grant holds, in microseconds: two intervals of reports.
const GRANT_US: u64 = 600_000;
/// The time in which a target may use up what is left of the exposure, in seconds: so that little is
/// sent beyond it before the next report.
const SPEND_S: f64 = 1.0;
/// The share of the bound's rate that the trial uses. The rest is for the ramp.
const TRIAL_SHARE: f64 = 0.8;
/// The share of the bound's slack that the trial uses.
const TRIAL_SLACK: f64 = 0.5;
/// The same while all targets are cold, whose answers tell little.
const COLD_SLACK: f64 = 0.1;
/// The time after which a report is outdated, in microseconds.
const FRESH_US: u64 = 1_200_000;
/// The use of a target's slots that a trial aims at.
const TRIAL_USE: f64 = 0.6;
/// The time from a request to its guard's next grant, in seconds.
const UNSEEN_S: f64 = 0.35;
/// What is left of the exposure for which one more target is added to the trial, in seconds of the
/// service's requests.
const UNUSED_S: f64 = 0.5;
/// The use of the new targets' slots up to which they have room for all that runs.
const ROOM_USE: f64 = 0.8;
/// When the trial may end, by the answers that it needs, as a share of the period.
const TRIAL_ENDS: [(f64, u64); 4] = [(0.5, 100), (0.55, 50), (0.62, 25), (0.7, 5)];
/// When the order is rolled back if the trial has not ended, as a share of the period.
const LAST_TRIAL: f64 = 0.9;
/// A sum up to which a test is quiet, as a share of its threshold.
const QUIET: f64 = 0.25;
/// The least length of the ramp, in microseconds.
const RAMP_US: u64 = 600_000;
/// The share of the period that the ramp takes.
const RAMP_SHARE: f64 = 0.08;
/// When the ramp may end before it has used up the exposure, as a share of the period.
const LAST_RAMP: f64 = 0.8;
/// The share of the exposure that the ramp uses up.
const RAMP_SPENT: f64 = 0.9;
/// The least and the longest wait for what runs at the other versions, in microseconds.
const SWITCH_US: u64 = 400_000;
const SWITCH_MOST_US: u64 = 1_500_000;
/// The longest such wait, as a share of the period.
const SWITCH_SHARE: f64 = 0.12;
/// The time without a target of another version after which the ordered one gets all, in microseconds.
const ALONE_US: u64 = 2_000_000;
/// The time after which a node that few guards report to reads the store, in microseconds.
const ASKED_US: u64 = 400_000;
/// The time without a report after which a coordinator is deserted, in microseconds.
const DESERTED_US: u64 = 5_000_000;
/// The share of the service's nodes that must report for a version to get any request.
const HALF: f64 = 0.5;
/// The share of the service's nodes that must report for a version to be completed.
const COMPLETE: f64 = 0.8;

/// The steps of a roll-out.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
enum Phase {
    /// A few targets get the share.
    Trial,
    /// All targets of the version get what entries send.
    Ramp,
    /// Targets of other versions get nothing.
    Switch,
    /// The version is accepted. Its predecessor gets nothing, and the verdict is to be written.
    Completing,
    /// The verdict.
    Completed,
    /// The verdict, which takes effect before it is written.
    RolledBack,
}

/// What one guard reported.
#[derive(Clone, Debug)]
struct Reporter {
    name: Name,
    /// When its last report arrived.
    at: Time,
    last: EvidenceReport,
    /// Whether bad answers came from its target alone.
    lone: bool,
}

/// The coordinator of one roll-out.
#[derive(Clone, Debug)]
pub struct Coordinator {
    order: Rollout,
    limit: ExposureLimit,
    /// When this coordinator began.
    opened: Time,
    /// When the order was given, as far as is known.
    begun: Time,
    /// The time since then at the last step, in microseconds.
    elapsed_us: u64,
    phase: Phase,
    phase_at: Time,
    /// Sorted by name.
    reporters: Vec<Reporter>,
    /// Sorted by route.
    tests: Vec<RouteTests>,
    /// Versions of which earlier orders were rolled back. `None` until the store was read.
    rejected: Option<Vec<Name>>,
    /// Since when no target of another version takes requests.
    alone_since: Option<Time>,
    /// Requests that reached the service since the order.
    requests: u64,
    /// Of these, those that reached the ordered version.
    exposed: u64,
    /// Answers of the ordered version that count: not those of targets of which bad answers came from
    /// one alone, nor those before it was found.
    answers: u64,
    /// The service's nodes that are up.
    nodes: usize,
    /// The state that the store has.
    stored: Option<RolloutState>,
}

impl Coordinator {
    /// Creates the coordinator of an order. It grants nothing to the ordered version until
    /// [`Coordinator::set_rejected`].
    pub fn new(now: Time, order: Rollout, limit: ExposureLimit) -> Coordinator {
        Coordinator {
            order,
            limit,
            opened: now,
            begun: now,
            elapsed_us: 0,
            phase: Phase::Trial,
            phase_at: now,
            reporters: Vec::new(),
            tests: Vec::new(),
            rejected: None,
            alone_since: None,
            requests: 0,
            exposed: 0,
            answers: 0,
            nodes: 0,
            stored: None,
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &Rollout {
        &self.order
    }

    /// Sets the versions of which earlier orders were rolled back.
    pub fn set_rejected(&mut self, mut rejected: Vec<Name>) {
        rejected.retain(|version| *version != self.order.version);
        self.rejected = Some(rejected);
    }

    /// Returns whether the store is to be read: half of the service's nodes report, so that this is the
    /// coordinator, or a guard that restarted after the verdict keeps asking.
    pub fn needs_read(&self, now: Time) -> bool {
        let is_asked = now.since(self.opened) >= ASKED_US;
        self.rejected.is_none() && (is_asked || self.coverage(now) >= HALF)
    }

    /// Sets how many nodes of the service are up. Without the reports of half of them, nothing is
    /// decided; without nearly all, the version is not completed.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes;
    }

    /// Returns whether no guard reports to this coordinator any more, since they found another one. With
    /// a verdict, a guard that restarts may still ask for it.
    pub fn is_deserted(&self, now: Time) -> bool {
        let has_verdict = self.has_verdict() || self.phase == Phase::Completing;
        !has_verdict
            && now.since(self.opened) >= DESERTED_US
            && self.reporters.iter().all(|reporter| now.since(reporter.at) >= DESERTED_US)
    }

    /// Handles a guard's report, and returns its grant.
    pub fn report(&mut self, now: Time, name: &Name, report: EvidenceReport) -> ExposureGrant {
        let age = Time(now.0.saturating_sub(report.age_us));
        self.begun = self.begun.min(age);
        let at = match self.reporters.binary_search_by(|other| other.name.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                let last = EvidenceReport { routes: Vec::new(), ..report.clone() };
                let reporter = Reporter { name: name.clone(), at: now, last, lone: false };
                self.reporters.insert(at, reporter);
                at
            }
        };
        let collects = now.since(self.opened) < COLLECT_US || self.rejected.is_none();
        if collects && !self.has_verdict() && report.version == self.order.version {
            self.reporters[at].at = now;
            return ExposureGrant { order: self.order.revision, per_s: 0.0, valid_us: GRANT_US };
        }
        let mut earlier = std::mem::replace(&mut self.reporters[at].last, report);
        self.reporters[at].at = now;
        if earlier.version != self.reporters[at].last.version {
            self.reporters[at].lone = false;
            earlier.routes.clear();
        }
        self.count(now, at, &earlier.routes);
        self.advance(now);
        let per_s = self.rate(now, at);
        let valid_us = if self.has_verdict() { u64::MAX } else { GRANT_US };
        ExposureGrant { order: self.order.revision, per_s, valid_us }
    }

    /// Adds what a guard reported since its earlier counts.
    fn count(&mut self, now: Time, at: usize, earlier: &[RouteEvidence]) {
        let Reporter { name, last, lone, .. } = &self.reporters[at];
        let (name, is_lone, is_new) = (name.clone(), *lone, last.version == self.order.version);
        let mut all = RouteEvidence { route: ALL_ROUTES, ..RouteEvidence::default() };
        let mut fresh: Vec<RouteEvidence> = Vec::new();
        for counts in &last.routes {
            let before = earlier.binary_search_by_key(&counts.route, |entry| entry.route);
            fresh.push(before.map_or(counts.clone(), |before| counts.since(&earlier[before])));
            all.add(&fresh[fresh.len() - 1]);
        }
        self.requests += all.sent;
        if is_new {
            self.exposed += all.sent;
        }
        if is_new && !is_lone {
            self.answers +=
                all.failed + all.late + all.times.iter().map(|n| u64::from(*n)).sum::<u64>();
        }
        fresh.push(all);
        if !is_new {
            fresh.iter().for_each(|counts| self.test_of(counts.route).add_other(now, counts));
        } else if !is_lone && matches!(self.phase, Phase::Trial | Phase::Ramp) {
            // Later, the other versions answer nothing that these answers could be compared with.
            let found = |counts: &RouteEvidence| self.test_of(counts.route).add_new(&name, counts);
            let findings: Vec<Finding> = fresh.iter().filter_map(found).collect();
            self.conclude(now, at, &findings);
        }
    }

    /// Returns the tests of a route.
    fn test_of(&mut self, route: u64) -> &mut RouteTests {
        let at = match self.tests.binary_search_by_key(&route, |test| test.route) {
            Ok(at) => at,
            Err(at) => {
                self.tests.insert(at, RouteTests::new(route));
                at
            }
        };
        &mut self.tests[at]
    }

    /// Acts on what the answers of one target show.
    fn conclude(&mut self, now: Time, at: usize, findings: &[Finding]) {
        let mut is_bad = findings.contains(&Finding::Bad);
        if findings.contains(&Finding::Lone) {
            // A second such target shows that it is the version, and outside of a trial, in which it is
            // sent no more, that there is no other one.
            is_bad |= self.reporters.iter().any(|reporter| reporter.lone);
            self.reporters[at].lone = true;
            let is_only = self.takers(now).all(|reporter| reporter.lone);
            is_bad |= is_only && self.phase != Phase::Trial;
            self.tests.iter_mut().for_each(RouteTests::forget_new);
            self.answers = 0;
        }
        if is_bad && !self.has_verdict() && self.may_decide(now) {
            self.enter(now, Phase::RolledBack);
        }
    }

    /// Goes on to the next phase where that is due. Also to be called without reports.
    pub fn advance(&mut self, now: Time) {
        self.elapsed_us = now.since(self.begun);
        let is_alone = self.others(now).all(|reporter| reporter.last.slots == 0);
        self.alone_since = self.alone_since.or(Some(now)).filter(|_| is_alone);
        let period = self.order.period_us as f64;
        let elapsed = self.elapsed_us as f64 / period;
        let in_phase = now.since(self.phase_at);
        match self.phase {
            Phase::Trial => {
                let may_end = TRIAL_ENDS
                    .iter()
                    .any(|(share, answers)| elapsed >= *share && self.answers >= *answers);
                if may_end && self.is_quiet() && self.has_room(now) {
                    self.enter(now, Phase::Ramp);
                } else if elapsed >= LAST_TRIAL && self.may_decide(now) {
                    self.enter(now, Phase::RolledBack);
                }
            }
            Phase::Ramp => {
                let ramp_us = RAMP_US.max((period * RAMP_SHARE) as u64);
                let may_end = in_phase >= ramp_us && (self.is_spent() || elapsed >= LAST_RAMP);
                if may_end
                    && self.is_quiet()
                    && self.coverage(now) >= COMPLETE
                    && self.has_room(now)
                {
                    self.enter(now, Phase::Switch);
                }
            }
            Phase::Switch => {
                let is_idle = self.others(now).all(|reporter| reporter.last.running == 0);
                let most = SWITCH_MOST_US.min((period * SWITCH_SHARE) as u64);
                if in_phase >= most || in_phase >= SWITCH_US && is_idle {
                    self.enter(now, Phase::Completing);
                }
            }
            Phase::Completing | Phase::Completed | Phase::RolledBack => {}
        }
    }

    /// Returns the state that is to be written to the store, if it has another one.
    pub fn due_state(&self, now: Time) -> Option<RolloutState> {
        let due = match self.phase {
            _ if self.rejected.is_none() => return None,
            Phase::Trial | Phase::Ramp | Phase::Switch if self.coverage(now) < HALF => return None,
            Phase::Trial | Phase::Ramp | Phase::Switch => RolloutState::Running,
            Phase::Completing | Phase::Completed => RolloutState::Completed,
            Phase::RolledBack => RolloutState::RolledBack,
        };
        (self.stored != Some(due)).then_some(due)
    }

    /// Handles the state that the store has for this order. A verdict there stands.
    pub fn set_stored(&mut self, now: Time, state: RolloutState) {
        self.stored = Some(state);
        let phase = match state {
            RolloutState::Running => return,
            RolloutState::Completed => Phase::Completed,
            RolloutState::RolledBack => Phase::RolledBack,
        };
        if self.phase != phase {
            self.enter(now, phase);
        }
    }

    /// Handles that the store no longer has the state, which is then due again.
    pub fn row_lost(&mut self) {
        self.stored = None;
    }

    /// Returns whether a verdict stands.
    pub fn has_verdict(&self) -> bool {
        matches!(self.phase, Phase::Completed | Phase::RolledBack)
    }

    /// Returns the state as others are to know it.
    pub fn state(&self) -> RolloutState {
        match self.phase {
            Phase::Completed => RolloutState::Completed,
            Phase::RolledBack => RolloutState::RolledBack,
            _ => RolloutState::Running,
        }
    }

    /// Returns the name of the step.
    pub fn step(&self) -> String {
        self.phase.to_string()
    }

    /// Describes the step and the figures that decide on the next one, for the log.
    pub fn describe(&self, now: Time) -> String {
        let sums = self.tests.iter().map(RouteTests::sums);
        let (failures, delays) = sums.fold((0.0, 0.0), |(most, last), (failures, delays)| {
            (f64::max(most, failures), f64::max(last, delays))
        });
        let (takers, slots) = (self.takers(now).count(), self.room(now));
        let lone = self.reporters.iter().filter(|reporter| reporter.lone).count();
        format!(
            "{} {}: {}, after {:.1} s of {:.1}, {} of {} requests, {} answers, sums {failures:.1} of failures and \
             {delays:.1} of delays, at most {THRESHOLD}, {takers} targets with {slots} slots, {lone} of them \
             failing alone, {:.0}% of the nodes report",
            self.order.service,
            self.order.version,
            self.phase,
            now.since(self.begun) as f64 / 1e6,
            self.order.period_us as f64 / 1e6,
            self.exposed,
            self.requests,
            self.answers,
            self.coverage(now) * 100.0,
        )
    }

    /// Returns the rate that the guard at this place may send.
    fn rate(&self, now: Time, at: usize) -> f64 {
        let version = &self.reporters[at].last.version;
        let is_new = *version == self.order.version || version.is_empty();
        let Some(rejected) = &self.rejected else {
            return if is_new { 0.0 } else { f64::INFINITY };
        };
        if !is_new && rejected.contains(version) {
            return 0.0;
        }
        match (self.phase, is_new) {
            (Phase::Trial, true) if self.is_alone(now) => f64::INFINITY,
            (Phase::Trial, true) => self.trial_rate(now, at),
            (Phase::Trial | Phase::Ramp | Phase::RolledBack, false) => f64::INFINITY,
            (Phase::Ramp, true) if version.is_empty() => 0.0,
            (Phase::RolledBack, true) => 0.0,
            (_, true) => f64::INFINITY,
            (_, false) => 0.0,
        }
    }

    /// Returns the part of a target in what is left of the exposure, in requests a second.
    fn trial_rate(&self, now: Time, at: usize) -> f64 {
        let ExposureLimit { share, slack } = self.limit;
        let mut takers: Vec<&Reporter> =
            self.takers(now).filter(|reporter| !reporter.lone).collect();
        takers.sort_by_key(|reporter| (reporter.last.cold, &reporter.name));
        let all_cold = takers.first().is_none_or(|reporter| reporter.last.cold);
        let slack_share = if all_cold { COLD_SLACK } else { TRIAL_SLACK };
        let allowed = TRIAL_SHARE * share * self.requests as f64 + slack_share * slack;
        let left = allowed - self.exposed as f64;
        let service_per_s = self.service_per_s();
        let slots = takers.first().map_or(1, |reporter| reporter.last.slots.max(1));
        let busy = TRIAL_SHARE * share * service_per_s * self.usual_us() / 1e6;
        let needed = (busy / (TRIAL_USE * f64::from(slots))).ceil();
        // Where a few targets do not draw the exposure, more do.
        let unused = left / (service_per_s * UNUSED_S).max(1.0);
        let count = ((needed + unused) as usize).clamp(1, takers.len().max(1));
        let name = &self.reporters[at].name;
        let is_chosen = takers.iter().take(count).any(|reporter| reporter.name == *name);
        // Until the next report, no more is sent than reaches the service.
        let unseen = service_per_s * UNSEEN_S;
        let part = (left / count as f64).max(left - unseen);
        if is_chosen && left >= 1.0 && self.coverage(now) >= HALF { part / SPEND_S } else { 0.0 }
    }

    /// Returns whether no other version has had a target for a while, so that only this one can serve.
    fn is_alone(&self, now: Time) -> bool {
        self.alone_since.is_some_and(|since| now.since(since) >= ALONE_US)
            && self.coverage(now) >= HALF
    }

    /// Returns the time that half of the other versions' answers take, in microseconds; 0 if not
    /// known.
    fn usual_us(&self) -> f64 {
        let all = self.tests.last().filter(|test| test.route == ALL_ROUTES);
        all.and_then(RouteTests::usual_class).map_or(0.0, class_end_us)
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = &Reporter> {
        self.reporters.iter().filter(move |reporter| now.since(reporter.at) < FRESH_US)
    }

    /// Returns the guards of the ordered version whose targets take requests.
    fn takers(&self, now: Time) -> impl Iterator<Item = &Reporter> {
        let is_new = |last: &EvidenceReport| last.version == self.order.version && last.slots > 0;
        self.fresh(now).filter(move |reporter| is_new(&reporter.last))
    }

    /// Returns the guards of other versions.
    fn others(&self, now: Time) -> impl Iterator<Item = &Reporter> {
        self.fresh(now).filter(|reporter| reporter.last.version != self.order.version)
    }

    /// Returns the slots of the ordered version's targets that are not cold.
    fn room(&self, now: Time) -> u32 {
        self.takers(now).filter(|taker| !taker.last.cold).map(|taker| taker.last.slots).sum()
    }

    /// Returns whether the targets of the version have room for all that runs.
    fn has_room(&self, now: Time) -> bool {
        let running: u32 = self.fresh(now).map(|reporter| reporter.last.running).sum();
        let room = f64::from(self.room(now)) * ROOM_USE;
        room >= 1.0 && room >= f64::from(running)
    }

    fn is_quiet(&self) -> bool {
        let all = self.tests.last().filter(|test| test.route == ALL_ROUTES);
        all.is_none_or(RouteTests::favour_good)
            && self.tests.iter().all(|test| test.sum() < THRESHOLD * QUIET)
    }

    /// Returns whether nearly all that the bound is expected to allow was sent.
    fn is_spent(&self) -> bool {
        let ExposureLimit { share, slack } = self.limit;
        let expected = self.service_per_s() * self.order.period_us as f64 / 1e6;
        self.exposed as f64 >= RAMP_SPENT * (share * expected + slack)
    }

    fn may_decide(&self, now: Time) -> bool {
        self.rejected.is_some() && self.coverage(now) >= HALF
    }

    /// Returns the share of the service's nodes that report.
    fn coverage(&self, now: Time) -> f64 {
        self.fresh(now).count() as f64 / self.nodes.max(1) as f64
    }

    /// Returns the requests a second that reached the service since the order.
    fn service_per_s(&self) -> f64 {
        self.requests as f64 / (self.elapsed_us as f64 / 1e6).max(1.0)
    }

    fn enter(&mut self, now: Time, phase: Phase) {
        self.phase = phase;
        self.phase_at = now;
    }
}
