//! The roll-out of a service: guards report to its coordinator, and the coordinator writes its state
//! to the store.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use platform::rollouts::{self, StatusRow};
use platform::store::{Error, StoreClient};
use policy::{
    Coordinator, EvidenceReport, ExposureGrant, ExposureLimit, Member, Time, coordinator_order,
};
use wire::link::{Frame, Node, Reply};
use world::{Name, Rollout, RolloutState};

use crate::peers::exchange;
use crate::peers::links::Peers;
use crate::peers::membership::node_of;

/// Time between two reports of a guard while a roll-out runs.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The same in the first time after the guard has seen the order, and that time in microseconds: a node
/// that restarts waits for the verdict.
const FIRST_INTERVAL: Duration = Duration::from_millis(100);
const FIRST_US: u64 = 1_000_000;
/// The same once there is a verdict, in microseconds: a coordinator may still find that the store has
/// another one.
const LATE_INTERVAL_US: u64 = 1_000_000;
/// How many periods after the order guards report.
const REPORTED_PERIODS: u64 = 3;
/// The longest wait for a link to a coordinator and for its reply, each. A node that does not reply is
/// avoided; without a grant, little is lost meanwhile.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);
/// How often in a row a node may decline before another one is asked: it may not have the order yet.
const MOST_DECLINED: u32 = 3;
/// The nodes that a guard asks in one interval, at most.
const MOST_ASKED: usize = 3;
/// How long a node that does not coordinate is not asked again, in microseconds.
const AVOID_US: u64 = 2_000_000;
/// How long a link to the coordinator is wanted, in microseconds.
const LINK_US: u64 = 5_000_000;
/// How long the store may fail before the node leaves the roll-out to others, in microseconds.
const STORE_PATIENCE_US: u64 = 1_000_000;
/// Time between two steps of a coordinator, and thus two calls of the store.
const STEP_PAUSE: Duration = Duration::from_millis(150);
/// The same once there is a verdict.
const LATE_PAUSE: Duration = Duration::from_millis(500);

/// What the node needs to take part in roll-outs.
#[derive(Clone, Copy, Debug)]
pub struct RolloutSettings {
    /// The store.
    pub store: StoreClient,
    /// The bound on what a bad version is sent.
    pub limit: ExposureLimit,
}

/// What a guard remembers of the nodes that it asked.
#[derive(Debug, Default)]
struct Asked {
    /// Nodes that are not asked, and until when.
    avoided: Vec<(Name, Time)>,
    /// How often in a row the first of the others declined.
    declined: u32,
}

/// A roll-out that this node coordinates.
#[derive(Debug)]
struct Coordinated {
    order: Rollout,
    coordinator: Coordinator,
    /// The version of the status row; 0 if there is none.
    row: u64,
    /// Since when the store fails.
    failing: Option<Time>,
    /// The last step that was logged.
    logged: String,
}

/// What a coordinator is to do at the store.
enum Task {
    /// Nothing for now.
    Wait,
    /// Read what it has of the roll-out.
    Read,
    /// Write the state.
    Write(RolloutState),
    /// Nothing any more: the order was replaced or removed, or guards report to another node.
    End,
}

/// The roll-outs that this node coordinates, sorted by service.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    settings: Option<RolloutSettings>,
    coordinated: RefCell<Vec<Coordinated>>,
}

impl Rollouts {
    pub(super) fn open(settings: Option<RolloutSettings>) -> Rollouts {
        Rollouts { settings, coordinated: RefCell::default() }
    }

    pub(super) fn is_enabled(&self) -> bool {
        self.settings.is_some()
    }

    /// Calls a function with a roll-out, if this node coordinates it still.
    fn with<T>(&self, order: &Rollout, use_it: impl FnOnce(&mut Coordinated) -> T) -> Option<T> {
        let mut all = self.coordinated.borrow_mut();
        let at = all.binary_search_by(|other| other.order.service.cmp(&order.service)).ok()?;
        (all[at].order == *order).then(|| use_it(&mut all[at]))
    }
}

impl Peers {
    /// Reports what the guard sees to the coordinator of its service's roll-out, for as long as the
    /// process runs.
    pub(super) async fn report_evidence(self: Rc<Peers>) {
        let mut rules = self.rules.subscribe();
        let mut asked = Asked::default();
        let mut reported = Time::default();
        let mut pause = REPORT_INTERVAL;
        loop {
            let _ = tokio::time::timeout(pause, rules.changed()).await;
            pause = REPORT_INTERVAL;
            self.guard.update_rollout();
            let Some((report, has_verdict)) = self.guard.evidence() else { continue };
            let now = self.clock.now();
            let order = self.rules.current();
            let order = order.as_ref().and_then(|rules| rules.rollout(&report.service));
            let is_over = order.is_none_or(|order| {
                report.age_us >= order.period_us.saturating_mul(REPORTED_PERIODS)
            });
            if has_verdict && (is_over || now.since(reported) < LATE_INTERVAL_US) {
                continue;
            }
            reported = now;
            let age_us = report.age_us;
            match self.report_to_any(report, &mut asked).await {
                Some(grant) => {
                    if age_us < FIRST_US {
                        pause = FIRST_INTERVAL;
                    }
                    self.guard.exposure_granted(&grant);
                }
                None => tracing::debug!("rollout: no node coordinates the roll-out"),
            }
        }
    }

    /// Sends a report to the first node that coordinates the roll-out.
    async fn report_to_any(
        self: &Rc<Peers>,
        report: EvidenceReport,
        asked: &mut Asked,
    ) -> Option<ExposureGrant> {
        let now = self.clock.now();
        asked.avoided.retain(|(_, until)| *until > now);
        let nodes: Vec<Node> = {
            let members = self.membership.members.borrow();
            let mut all: Vec<&Member> = members.up().chain([members.local_member()]).collect();
            coordinator_order(&report.service, &mut all, |member| &member.name);
            all.retain(|member| !asked.avoided.iter().any(|(name, _)| *name == member.name));
            all.into_iter().take(MOST_ASKED).map(node_of).collect()
        };
        for node in nodes {
            match self.report_to(&node, &report).await {
                Ok(Some(grant)) => {
                    asked.declined = 0;
                    return Some(grant);
                }
                Ok(None) if asked.declined < MOST_DECLINED => {
                    asked.declined += 1;
                    return None;
                }
                Ok(None) => asked.declined = 0,
                // Nodes of earlier versions do not know the frame.
                Err(error) => {
                    tracing::debug!(peer = &*node.name, %error, "rollout: cannot send a report");
                }
            }
            asked.avoided.push((node.name, self.clock.now().after(AVOID_US)));
        }
        None
    }

    /// Sends a report to a node, which may be this one. `None` if the node does not coordinate the
    /// roll-out.
    async fn report_to(
        self: &Rc<Peers>,
        node: &Node,
        report: &EvidenceReport,
    ) -> Result<Option<ExposureGrant>, exchange::Error> {
        if node.name == self.local_node.name {
            return Ok(self.handle_evidence(&node.name, report.clone()));
        }
        let peer = self.want_link(node, self.clock.now().after(LINK_US));
        let peer = peer.ok_or(exchange::Error::NoLink)?;
        if peer.link().is_none() {
            self.wait_for_link(&peer, REPLY_TIMEOUT).await;
        }
        let frame = Frame::Evidence(Box::new(report.clone()));
        let reply = tokio::time::timeout(REPLY_TIMEOUT, self.request(&peer, &frame)).await;
        match reply.unwrap_or(Err(exchange::Error::Slow))? {
            Reply::Exposure(grant) => Ok(grant),
            _ => {
                tracing::warn!(peer = &*node.name, "rollout: the reply is no grant");
                Ok(None)
            }
        }
    }

    /// Handles a guard's report. `None` if this node cannot coordinate the roll-out.
    pub(super) fn handle_evidence(
        self: &Rc<Peers>,
        name: &Name,
        report: EvidenceReport,
    ) -> Option<ExposureGrant> {
        let settings = self.rollouts.settings?;
        let rules = self.rules.current()?;
        let order = rules.rollout(&report.service)?;
        if order.revision != report.order {
            return None;
        }
        let now = self.clock.now();
        if self.rollouts.with(order, |_| ()).is_none() {
            self.begin_rollout(order.clone(), settings);
        }
        let nodes = self.count_nodes(&report.service);
        let grant = self.rollouts.with(order, |rollout| {
            if rollout.failing.is_some_and(|since| now.since(since) >= STORE_PATIENCE_US) {
                return None;
            }
            let coordinator = &mut rollout.coordinator;
            coordinator.set_nodes(nodes);
            Some(coordinator.report(now, name, report))
        });
        grant.flatten()
    }

    /// Returns how many nodes of a service are up.
    fn count_nodes(&self, service: &Name) -> usize {
        let members = self.membership.members.borrow();
        let all = members.up().chain([members.local_member()]);
        all.filter(|member| member.service.as_ref() == Some(service)).count()
    }

    /// Begins to coordinate a roll-out, in place of an earlier one of the service.
    fn begin_rollout(self: &Rc<Peers>, order: Rollout, settings: RolloutSettings) {
        let begun = Coordinated {
            order: order.clone(),
            coordinator: Coordinator::new(self.clock.now(), order.clone(), settings.limit),
            row: 0,
            failing: None,
            logged: String::new(),
        };
        let mut all = self.rollouts.coordinated.borrow_mut();
        match all.binary_search_by(|other| other.order.service.cmp(&order.service)) {
            Ok(at) => all[at] = begun,
            Err(at) => all.insert(at, begun),
        }
        drop(all);
        tracing::info!(
            service = &*order.service,
            version = &*order.version,
            "rollout: this node coordinates it"
        );
        tokio::task::spawn_local(self.clone().coordinate(order, settings));
    }

    /// Coordinates a roll-out until its order is replaced or removed: reads the store, and then keeps
    /// the status up to date.
    async fn coordinate(self: Rc<Peers>, order: Rollout, settings: RolloutSettings) {
        loop {
            let result = match self.next_task(&order) {
                Task::Wait => None,
                Task::Read => Some(self.read_status(&order, settings).await),
                Task::Write(state) => Some(self.write_status(&order, settings, state).await),
                Task::End => break,
            };
            self.note_store(&order, result);
            let has_verdict =
                self.rollouts.with(&order, |rollout| rollout.coordinator.has_verdict());
            let pause = if has_verdict == Some(true) { LATE_PAUSE } else { STEP_PAUSE };
            tokio::time::sleep(pause).await;
        }
        tracing::debug!(service = &*order.service, "rollout: this node no longer coordinates it");
        self.rollouts.coordinated.borrow_mut().retain(|other| other.order != order);
    }

    /// Goes on with a roll-out, and returns what is to be done at the store.
    fn next_task(&self, order: &Rollout) -> Task {
        let rules = self.rules.current();
        let current = rules.as_ref().and_then(|rules| rules.rollout(&order.service));
        if current != Some(order) {
            return Task::End;
        }
        let now = self.clock.now();
        let task = self.rollouts.with(order, |rollout| {
            let coordinator = &mut rollout.coordinator;
            coordinator.advance(now);
            let due = coordinator.due_state(now);
            if coordinator.is_deserted(now) {
                return Task::End;
            }
            let step = coordinator.step();
            if rollout.logged != step {
                rollout.logged = step;
                tracing::info!("rollout: {}", coordinator.describe(now));
            }
            match due {
                _ if coordinator.needs_read(now) => Task::Read,
                Some(state) => Task::Write(state),
                None => Task::Wait,
            }
        });
        task.unwrap_or(Task::End)
    }

    /// Records whether the store answers, and logs each change of that.
    fn note_store(&self, order: &Rollout, result: Option<Result<(), Error>>) {
        let Some(result) = result else { return };
        let now = self.clock.now();
        self.rollouts.with(order, |rollout| match result {
            Ok(()) => rollout.failing = None,
            Err(error) => {
                if rollout.failing.is_none() {
                    tracing::info!(%error, service = &*order.service, "rollout: the store fails");
                }
                rollout.failing = rollout.failing.or(Some(now));
            }
        });
    }

    /// Reads what the store has of the service's roll-outs, and tells the coordinator.
    async fn read_status(&self, order: &Rollout, settings: RolloutSettings) -> Result<(), Error> {
        let rejected = rollouts::read_rejected(&settings.store, &order.service).await?;
        let row = rollouts::read_status(&settings.store, &order.service).await?;
        let now = self.clock.now();
        self.rollouts.with(order, |rollout| {
            rollout.coordinator.set_rejected(rejected);
            rollout.note_row(now, row);
        });
        Ok(())
    }

    /// Writes the state, unless the store has a verdict already.
    async fn write_status(
        &self,
        order: &Rollout,
        settings: RolloutSettings,
        state: RolloutState,
    ) -> Result<(), Error> {
        if self.rollouts.with(order, |rollout| rollout.failing.is_some()) == Some(true) {
            // An earlier write may have been executed without an answer.
            self.read_status(order, settings).await?;
            let due = self
                .rollouts
                .with(order, |rollout| rollout.coordinator.due_state(self.clock.now()));
            if due.flatten() != Some(state) {
                return Ok(());
            }
        }
        let row = self.rollouts.with(order, |rollout| rollout.row).unwrap_or_default();
        let store = settings.store;
        if state == RolloutState::RolledBack {
            rollouts::write_rejected(&store, &order.service, &order.version).await?;
        }
        let written = rollouts::write_status(&store, order, state, row).await;
        match written {
            Ok(version) => {
                let now = self.clock.now();
                self.rollouts.with(order, |rollout| {
                    rollout.row = version;
                    rollout.coordinator.set_stored(now, state);
                    let step = rollout.coordinator.describe(now);
                    tracing::info!(%state, "rollout: written, {step}");
                });
                Ok(())
            }
            Err(Error::Conflict { .. }) => {
                tracing::info!(%state, "rollout: another node has written the status");
                self.read_status(order, settings).await
            }
            Err(error) => Err(error),
        }
    }
}

impl Coordinated {
    /// Takes over what the store has. A state of an earlier order counts as none.
    fn note_row(&mut self, now: Time, row: Option<StatusRow>) {
        self.row = row.as_ref().map_or(0, |row| row.version);
        let current =
            row.filter(|row| row.version > self.order.revision && row.target == self.order.version);
        match current {
            Some(row) => self.coordinator.set_stored(now, row.state),
            None => self.coordinator.row_lost(),
        }
    }
}
