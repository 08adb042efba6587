//! The guard's state: the target, the requests that run there and those that wait.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use platform::settings::WarmupLimits;
use policy::{Admission, Crashes, Decision, Refusal, Report, SlotRequest, Time, TokenBucket};
use runtime::Clock;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use wire::link::{Attempt, Life, Status};
use world::Name;

use crate::configuration::ActiveRuleset;
use crate::guard::bodies::BodyMemory;
use crate::guard::crashes::{CrashState, CrashUpdate};
use crate::guard::incarnations::Incarnations;
use crate::guard::pool::Pool;
use crate::guard::probe;
use crate::guard::rollout::GuardRollout;
use crate::guard::starts::StartLimits;
use crate::metrics::Metrics;

/// Share of what a cold target may be sent beyond its rate that is used. The rest is a margin,
/// since the target may count requests differently.
const WARMUP_EXCESS_SHARE: f64 = 0.75;

/// The most log lines a second about requests that were late or got no answer.
const LOG_LINES_PER_SECOND: f64 = 40.0;

/// The target on this VM.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its current incarnation.
    pub life: Life,
    /// The service that it runs.
    pub service: Name,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
}

/// The names of a VM, by its settings.
#[derive(Clone, Debug)]
pub struct VmNames {
    /// The node on it.
    pub node: Name,
    /// The data centre that it belongs to.
    pub data_centre: Name,
    /// The service of its target.
    pub service: Name,
}

/// Sends a waiting request the decision whether it runs.
type Waiter = oneshot::Sender<Result<(), Refusal>>;

#[derive(Debug)]
pub(super) struct State {
    pub(super) admission: Admission,
    pub(super) target: Option<Target>,
    pub(super) incarnations: Incarnations,
    /// Why the target gets no requests, if it gets none: it leaves, or it is suspected. Reasons of
    /// the node or its data centre are not held here.
    pub(super) target_refusal: Option<Refusal>,
    /// Requests that wait, sorted by their slot's id.
    waiters: Vec<(u64, Waiter)>,
    /// The id of the last slot that was requested.
    last_id: u64,
    /// Limits the log lines about requests.
    pub(super) log_budget: TokenBucket,
}

impl Default for State {
    fn default() -> State {
        State {
            admission: Admission::default(),
            target: None,
            incarnations: Incarnations::default(),
            target_refusal: None,
            waiters: Vec::new(),
            last_id: 0,
            log_budget: TokenBucket::new(LOG_LINES_PER_SECOND, LOG_LINES_PER_SECOND),
        }
    }
}

/// Admits requests to the target on this VM. Every request to the target passes its guard,
/// whichever node it came from.
#[derive(Debug)]
pub struct Guard {
    pub(super) state: RefCell<State>,
    pub(super) clock: Clock,
    pub(super) rules: Rc<ActiveRuleset>,
    pub(super) pool: Pool,
    /// The memory for the bodies of all requests and answers on this node.
    pub bodies: BodyMemory,
    pub(super) metrics: Rc<Metrics>,
    data_centre: Name,
    /// The name of this node.
    pub(super) node_name: Name,
    /// The service of this VM by its settings.
    pub(super) vm_service: Name,
    warmup_limits: Cell<WarmupLimits>,
    /// Whether the node will drain soon, and reports its target as closed already.
    drain_announced: Cell<bool>,
    /// Whether the data centre was out of service under the previous ruleset.
    was_out: Cell<bool>,
    draining: Cell<bool>,
    /// Whether a suspected target is being probed.
    pub(super) confirming: Cell<bool>,
    /// Whether a health check on a pooled connection is under way.
    pub(super) checking: Cell<bool>,
    /// Notified when a request begins to wait, since that may change what is due next.
    queued: Notify,
    /// Until when attempts may be sent to the target.
    pub(super) starts: StartLimits,
    /// The roll-out of the service.
    pub(super) rollout: GuardRollout,
    /// Requests that crash their targets, as far as this node knows.
    pub(super) crashes: RefCell<Crashes>,
    /// What this guard knows of runs at its target that may have crashed it.
    pub(super) crash_state: RefCell<CrashState>,
    /// What this guard found of such requests and the peers are to be told.
    crash_updates: mpsc::UnboundedSender<CrashUpdate>,
    pub(super) crash_receiver: RefCell<Option<mpsc::UnboundedReceiver<CrashUpdate>>>,
    /// Counts the changes of which other nodes must be notified at once.
    changes: watch::Sender<u64>,
}

impl Guard {
    /// Returns the guard of a VM whose target is not known yet.
    pub fn open(
        clock: Clock,
        rules: Rc<ActiveRuleset>,
        metrics: Rc<Metrics>,
        vm: VmNames,
        warmup_limits: WarmupLimits,
        bodies: BodyMemory,
    ) -> Rc<Guard> {
        let VmNames { node: node_name, data_centre, service: vm_service } = vm;
        let (changes, _) = watch::channel(0);
        let (crash_updates, crash_receiver) = mpsc::unbounded_channel();
        Rc::new(Guard {
            state: RefCell::default(),
            clock,
            rules,
            pool: Pool::default(),
            bodies,
            metrics,
            data_centre,
            node_name,
            vm_service,
            warmup_limits: Cell::new(warmup_limits),
            drain_announced: Cell::new(false),
            was_out: Cell::new(false),
            draining: Cell::new(false),
            confirming: Cell::new(false),
            checking: Cell::new(false),
            queued: Notify::new(),
            starts: StartLimits::default(),
            rollout: GuardRollout::default(),
            crashes: RefCell::default(),
            crash_state: RefCell::default(),
            crash_updates,
            crash_receiver: RefCell::new(Some(crash_receiver)),
            changes,
        })
    }

    /// Returns a receiver that is notified whenever other nodes must be sent the status at once.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the status that is sent to other nodes.
    pub fn status(&self) -> Status {
        Status {
            service: self.service(),
            report: self.report(),
            leaving: self.leaving(),
            revision: self.rules.revision(),
            followed: self.rules.is_watching(),
        }
    }

    /// Returns the target's load, and whether other nodes may send it requests.
    pub fn report(&self) -> Report {
        let now = self.clock.now();
        let open = self.refusal().is_none() && !self.drain_announced.get();
        let admission = &mut self.state.borrow_mut().admission;
        Report {
            open,
            free: admission.free_slots(now).clamp(i32::from(i16::MIN), i32::from(i16::MAX)) as i16,
            slots: admission.slots().min(u32::from(u16::MAX)) as u16,
            slowness: admission.known_slowness(now).map_or(0, to_tenths),
            strain: admission.strain().map_or(0, |strain| (strain * 100.0) as u16),
        }
    }

    /// Averages this target's strain with the strain that the guards of the service's other targets
    /// reported. Strain is how many times longer work takes when a target is nearly full; a single
    /// target's value rests on too few answers.
    pub fn update_service_strain(&self, others: impl Iterator<Item = f64>) {
        let admission = &mut self.state.borrow_mut().admission;
        let known = others.chain(admission.strain());
        let (sum, count) = known.fold((0.0, 0), |(sum, count), strain| (sum + strain, count + 1));
        admission.set_service_strain((count > 0).then(|| sum / f64::from(count)));
    }

    /// Returns the service of the target, or `None` before the target is known.
    pub fn service(&self) -> Option<Name> {
        self.state.borrow().target.as_ref().map(|target| target.service.clone())
    }

    /// Returns why the guard refuses every request, or `None` if it accepts requests.
    pub fn refusal(&self) -> Option<Refusal> {
        self.refusal_in(&self.state.borrow())
    }

    fn refusal_in(&self, state: &State) -> Option<Refusal> {
        self.closed_in(state).or_else(|| self.is_barred(state).then_some(Refusal::Limited))
    }

    /// Returns why the guard refuses every request, whatever its target's version may be sent.
    pub(super) fn closed_in(&self, state: &State) -> Option<Refusal> {
        match &state.target {
            _ if self.draining.get() => Some(Refusal::Draining),
            None => Some(Refusal::NoTarget),
            Some(_) if self.is_out() => Some(Refusal::Out),
            Some(_) => state.target_refusal,
        }
    }

    /// Returns whether the target runs a service and the guard accepts requests for it.
    pub fn serves(&self, service: &str) -> bool {
        let runs_it = |target: &Target| *target.service == *service;
        self.refusal().is_none() && self.state.borrow().target.as_ref().is_some_and(runs_it)
    }

    /// Returns whether the operator has taken this node's data centre out of service.
    pub fn is_out(&self) -> bool {
        self.rules.current().is_some_and(|rules| rules.is_out(&self.data_centre))
    }

    /// Returns how many requests run or wait.
    pub fn pending(&self) -> usize {
        let state = self.state.borrow();
        state.admission.running() as usize + state.admission.waiting()
    }

    /// Reports the target as closed to other nodes. Requests that still arrive are accepted until
    /// [`Guard::drain`].
    pub fn announce_drain(&self) {
        self.drain_announced.set(true);
        self.notify_peers();
    }

    /// Refuses every waiting and new request from now on. Requests that run are finished.
    pub fn drain(&self) {
        self.draining.set(true);
        self.refuse_waiting(Refusal::Draining);
        self.notify_peers();
    }

    /// Replaces the limits of what a cold target is sent.
    pub fn set_warmup_limits(&self, limits: WarmupLimits) {
        self.warmup_limits.set(limits);
        self.update_cold_limit();
    }

    /// Updates the limit of a cold target after the ruleset, the settings or the target changed.
    pub(super) fn update_cold_limit(&self) {
        let Some(service) = self.service() else { return };
        let rules = self.rules.current();
        let rate = rules.and_then(|rules| Some(rules.routing.service(&service)?.cold_rate));
        let rate = rate.unwrap_or_default();
        let WarmupLimits { factor, slack } = self.warmup_limits.get();
        let excess = rate * (factor - 1.0) + slack;
        let limit = (rate + excess * WARMUP_EXCESS_SHARE) as u32;
        // Targets of a service without a rate do not become cold.
        self.state.borrow_mut().admission.warmth_mut().set_limit(limit, rate > 0.0);
    }

    /// Refuses the waiting requests if the guard refuses requests. Starts those that can run
    /// otherwise.
    pub fn update_queue(self: &Rc<Guard>) {
        match self.refusal() {
            Some(refusal) => self.refuse_waiting(refusal),
            None => self.start_waiting(),
        }
    }

    /// Handles a new ruleset, which may take the data centre out of service or put it back.
    pub fn ruleset_changed(self: &Rc<Guard>) {
        self.update_cold_limit();
        self.update_rollout();
        let out = self.is_out();
        let was_out = self.was_out.replace(out);
        if was_out == out {
            return;
        }
        tracing::info!(out, "guard: the data centre was taken out of service or put back");
        if was_out && !out {
            // The target may have become cold while it had no work.
            self.suspect("back in service");
        }
        self.update_queue();
        self.notify_peers();
    }

    /// Refuses every request until a probe or a heartbeat has confirmed the target, since it may
    /// have restarted or become cold. Has no effect if the target is suspected or leaves already.
    pub fn suspect(self: &Rc<Guard>, reason: &str) {
        {
            let mut state = self.state.borrow_mut();
            if state.target.is_none() || state.target_refusal.is_some() {
                return;
            }
            state.target_refusal = Some(Refusal::NoTarget);
        }
        tracing::info!(reason, "target: suspected, gets no requests until it is confirmed");
        probe::confirm_target(self);
    }

    /// Accepts requests again after a probe found the suspected target. Ignored if the target has
    /// changed or is not suspected any more.
    pub(super) fn confirm(self: &Rc<Guard>, life: &Life) {
        let mut state = self.state.borrow_mut();
        if state.incarnations.current() != Some(life)
            || state.target_refusal != Some(Refusal::NoTarget)
        {
            return;
        }
        state.target_refusal = None;
        let is_cold = state.admission.is_cold(self.clock.now());
        drop(state);
        tracing::info!(is_cold, "target: confirmed by a probe");
        self.update_queue();
        self.notify_peers();
    }

    /// Waits for a slot of the target. Dropping the slot gives it back, and dropping the future
    /// withdraws the request.
    pub(super) async fn acquire_slot(
        self: &Rc<Guard>,
        attempt: &Attempt,
        deadline: Time,
    ) -> Result<Slot, Refusal> {
        let mut slot = self.request_slot(attempt, deadline)?;
        if let Some(decision) = &mut slot.decision {
            self.queued.notify_one();
            let decided = decision.await.unwrap_or(Err(Refusal::Busy));
            slot.decision = None;
            slot.is_held = decided.is_ok();
            decided?;
        }
        Ok(slot)
    }

    /// Requests a slot, and returns one that is held or still to be decided on.
    fn request_slot(self: &Rc<Guard>, attempt: &Attempt, deadline: Time) -> Result<Slot, Refusal> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.last_id += 1;
        let id = state.last_id;
        let request = SlotRequest {
            id,
            priority: attempt.priority,
            aim: now.after(attempt.aim_us),
            deadline,
            work_us: attempt.work_us,
            elsewhere: attempt.elsewhere,
        };
        let mut slot =
            Slot { guard: self.clone(), id, is_held: false, decision: None, took_us: None };
        match state.admission.admit(now, request) {
            Decision::Run => slot.is_held = true,
            Decision::Wait => {
                let (waiter, decision) = oneshot::channel();
                state.waiters.push((id, waiter));
                slot.decision = Some(decision);
            }
            Decision::Refuse(refusal) => {
                self.check_if_due(now, &mut state);
                // Dropping the slot borrows the state again.
                drop(state);
                return Err(refusal);
            }
        }
        self.check_if_due(now, &mut state);
        drop(state);
        Ok(slot)
    }

    /// Sends a health check if the VM's slowness or the target's warmth must be known.
    fn check_if_due(self: &Rc<Guard>, now: Time, state: &mut State) {
        if self.refusal_in(state).is_none()
            && (state.admission.needs_probe(now) || state.admission.needs_warmth_check(now))
        {
            probe::check_target(self);
        }
    }

    /// Starts the waiting requests that can run, and refuses those whose time to wait is over.
    pub(super) fn start_waiting(self: &Rc<Guard>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let decided = state.admission.poll(now);
        state.send_decisions(decided);
        self.check_if_due(now, &mut state);
    }

    /// Updates the queue whenever a wait ends or a cold target may be sent more, for as long as the
    /// process runs.
    pub async fn run_timers(self: Rc<Guard>) {
        loop {
            let due = self.state.borrow_mut().admission.due(self.clock.now());
            match due {
                Time::NEVER => self.queued.notified().await,
                due => {
                    tokio::select! {
                        () = tokio::time::sleep_until(self.clock.instant(due)) => {}
                        () = self.queued.notified() => continue,
                    }
                }
            }
            self.start_waiting();
        }
    }

    /// Refuses every waiting request.
    fn refuse_waiting(&self, refusal: Refusal) {
        let mut state = self.state.borrow_mut();
        let decided = state.admission.refuse_waiting(refusal);
        state.send_decisions(decided);
    }

    /// Causes an update to be sent to peers at once.
    pub(super) fn send_crash_update(&self, update: CrashUpdate) {
        // Fails only if the links were never started, as in no running node.
        let _ = self.crash_updates.send(update);
    }

    /// Causes the status to be sent to every peer at once.
    pub(super) fn notify_peers(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}

/// Converts a VM's slowness, 1 being as usual, to the tenths of a report. There, 0 means unknown.
fn to_tenths(slowness: f64) -> u8 {
    (slowness * 10.0).clamp(1.0, 255.0) as u8
}

impl State {
    /// Sends each waiting request the decision on it.
    fn send_decisions(&mut self, decided: Vec<(u64, Decision)>) {
        for (id, admitted) in decided {
            let Ok(at) = self.waiters.binary_search_by_key(&id, |(id, _)| *id) else { continue };
            let (_, waiter) = self.waiters.remove(at);
            let decision = match admitted {
                Decision::Refuse(refusal) => Err(refusal),
                _ => Ok(()),
            };
            // Fails only if the receiver was dropped with its slot, which gives the slot back.
            let _ = waiter.send(decision);
        }
    }
}

/// A slot of the target, requested or held. Dropping it gives it back or withdraws the request.
#[derive(Debug)]
pub(super) struct Slot {
    guard: Rc<Guard>,
    id: u64,
    /// Whether the request has the slot.
    is_held: bool,
    /// Receives whether the request gets the slot. `None` once that is decided.
    decision: Option<oneshot::Receiver<Result<(), Refusal>>>,
    /// The time that the target took, in microseconds. `None` without an answer.
    pub(super) took_us: Option<u64>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let decided = self.decision.as_mut().map(oneshot::Receiver::try_recv);
        let started = matches!(decided, Some(Ok(Ok(()))));
        let mut state = self.guard.state.borrow_mut();
        if self.is_held || started {
            let now = self.guard.clock.now();
            state.admission.done(now, self.id, self.took_us);
            drop(state);
            self.guard.start_waiting();
        } else if self.decision.is_some() {
            state.admission.withdraw(self.id);
            if let Ok(at) = state.waiters.binary_search_by_key(&self.id, |(id, _)| *id) {
                state.waiters.remove(at);
            }
        }
    }
}
