//! The guard's state: the target, what runs and what waits.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use platform::heartbeat::Heartbeat;
use platform::settings::WarmupLimits;
use policy::{Admission, Decision, Refusal, Report, SlotRequest, Time, TokenBucket};
use runtime::{Clock, wall_ms};
use tokio::sync::{Notify, oneshot, watch};
use wire::link::{Attempt, Life, Status};
use world::Name;

use crate::configuration::ActiveRuleset;
use crate::guard::lives::{Beat, Lives};
use crate::guard::pool::Pool;
use crate::guard::probe;
use crate::metrics::Metrics;

/// Share of the bound beyond a cold target's rate that is used; the rest is left for what is
/// counted otherwise at the target.
const COLD_SHARE: f64 = 0.75;

/// Log lines a second about requests that got no answer.
const LINES: f64 = 40.0;

/// The target that is known.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its life.
    pub life: Life,
    /// Its service.
    pub service: Name,
    /// Where it takes requests.
    pub address: SocketAddr,
}

/// Told whether a request runs.
type Owner = oneshot::Sender<Result<(), Refusal>>;

#[derive(Debug)]
pub(super) struct State {
    pub(super) admission: Admission,
    pub(super) target: Option<Target>,
    lives: Lives,
    /// Why nothing is sent to the target, as far as the target goes.
    closed: Option<Refusal>,
    /// Owners of requests that wait, sorted by id.
    owners: Vec<(u64, Owner)>,
    next: u64,
    /// The budget of log lines about requests.
    pub(super) lines: TokenBucket,
}

impl Default for State {
    fn default() -> State {
        State {
            admission: Admission::default(),
            target: None,
            lives: Lives::default(),
            closed: None,
            owners: Vec::new(),
            next: 0,
            lines: TokenBucket::new(LINES, LINES),
        }
    }
}

/// The guard of the target on this VM.
#[derive(Debug)]
pub struct Guard {
    pub(super) state: RefCell<State>,
    pub(super) clock: Clock,
    pub(super) rules: Rc<ActiveRuleset>,
    pub(super) pool: Pool,
    pub(super) metrics: Rc<Metrics>,
    data_centre: Name,
    cold: Cell<WarmupLimits>,
    /// The node will soon drain.
    leaving: Cell<bool>,
    /// The data centre was out when that was last looked at.
    out: Cell<bool>,
    draining: Cell<bool>,
    /// A probe is under way.
    pub(super) probing: Cell<bool>,
    /// A look at how slow the VM is is under way.
    pub(super) looking: Cell<bool>,
    /// Told when a request begins to wait.
    waiting: Notify,
    /// Whether the target takes requests, for those who tell other nodes.
    changed: watch::Sender<u64>,
}

impl Guard {
    /// Opens the guard of a VM whose target is not known yet.
    pub fn open(
        clock: Clock,
        rules: Rc<ActiveRuleset>,
        metrics: Rc<Metrics>,
        data_centre: Name,
        cold: WarmupLimits,
    ) -> Rc<Guard> {
        let (changed, _) = watch::channel(0);
        Rc::new(Guard {
            state: RefCell::default(),
            clock,
            rules,
            pool: Pool::default(),
            metrics,
            data_centre,
            cold: Cell::new(cold),
            leaving: Cell::new(false),
            out: Cell::new(false),
            draining: Cell::new(false),
            probing: Cell::new(false),
            looking: Cell::new(false),
            waiting: Notify::new(),
            changed,
        })
    }

    /// Returns a receiver that is told whenever others must know of a change at once.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns what other nodes are told.
    pub fn status(&self) -> Status {
        let report = self.report();
        let state = self.state.borrow();
        let current = state.lives.current().filter(|life| state.lives.is_over(life));
        Status {
            service: state.target.as_ref().map(|target| target.service.clone()),
            report,
            leaving: current.cloned(),
            revision: self.rules.revision(),
            followed: self.rules.is_watching(),
        }
    }

    /// Returns the target's load.
    pub fn report(&self) -> Report {
        let now = self.clock.now();
        let open = self.refuses().is_none() && !self.leaving.get();
        let admission = &mut self.state.borrow_mut().admission;
        Report {
            open,
            free: admission.free_slots(now).clamp(i32::from(i16::MIN), i32::from(i16::MAX)) as i16,
            slots: admission.slots().min(u32::from(u16::MAX)) as u16,
            slowness: admission.known_slowness(now).map_or(0, tenths),
            strain: admission.strain().map_or(0, |strain| (strain * 100.0) as u16),
        }
    }

    /// Takes in what the guards of a service's other targets found of their strain, and averages it
    /// with what this one found.
    pub fn compare_strain(&self, others: impl Iterator<Item = f64>) {
        let admission = &mut self.state.borrow_mut().admission;
        let known = others.chain(admission.strain());
        let (sum, count) = known.fold((0.0, 0), |(sum, count), strain| (sum + strain, count + 1));
        admission.set_service_strain((count > 0).then(|| sum / f64::from(count)));
    }

    /// Returns the service of the target, while one is known.
    pub fn service(&self) -> Option<Name> {
        self.state.borrow().target.as_ref().map(|target| target.service.clone())
    }

    /// Returns why the guard takes nothing, where it does not.
    pub fn refuses(&self) -> Option<Refusal> {
        let state = self.state.borrow();
        match &state.target {
            _ if self.draining.get() => Some(Refusal::Draining),
            None => Some(Refusal::NoTarget),
            Some(_) if self.is_out() => Some(Refusal::Out),
            Some(_) => state.closed,
        }
    }

    /// Returns whether the target is one of a service and takes requests.
    pub fn serves(&self, service: &str) -> bool {
        let is_its = |target: &Target| *target.service == *service;
        self.refuses().is_none() && self.state.borrow().target.as_ref().is_some_and(is_its)
    }

    /// Returns whether this node's data centre is out of service.
    pub fn is_out(&self) -> bool {
        self.rules.current().is_some_and(|rules| rules.is_out(&self.data_centre))
    }

    /// Returns how many requests run or wait.
    pub fn pending(&self) -> usize {
        let state = self.state.borrow();
        state.admission.running() as usize + state.admission.waiting()
    }

    /// Tells other nodes that the guard will soon take nothing.
    pub fn announce_drain(&self) {
        self.leaving.set(true);
        self.tell();
    }

    /// Takes nothing any more.
    pub fn drain(&self) {
        self.draining.set(true);
        self.refuse_waiting(Refusal::Draining);
        self.tell();
    }

    /// Takes over a changed bound on what a cold target is sent.
    pub fn set_warmup_limits(&self, cold: WarmupLimits) {
        self.cold.set(cold);
    }

    /// Takes in a heartbeat of the target.
    pub fn heartbeat(self: &Rc<Guard>, beat: Heartbeat) {
        let now = self.clock.now();
        let life = Life { id: beat.id.clone(), born: beat.born };
        let mut state = self.state.borrow_mut();
        let meaning = state.lives.heard(&beat);
        if meaning == Beat::Old {
            tracing::debug!(id = &*beat.id, sequence = beat.sequence, "target: a late heartbeat");
            return;
        }
        let was = (state.target.as_ref().map(|target| target.address), state.closed);
        if meaning == Beat::New {
            tracing::info!(
                id = &*beat.id,
                born = beat.born,
                service = &*beat.service,
                slots = beat.slots,
                cold_us = beat.cold_us,
                "target: a new life"
            );
            state.admission.set_warmup(now, 0);
            state.closed = None;
            self.pool.clear();
        }
        state.target = Some(Target {
            life: life.clone(),
            service: beat.service.clone(),
            address: beat.address,
        });
        state.admission.set_slots(beat.slots);
        if beat.cold_us > 0 {
            let most = self.cold_most(&beat.service);
            state.admission.set_warmup(now.after(beat.cold_us), most);
        }
        if beat.leaving && !state.lives.is_over(&life) {
            tracing::info!(id = &*life.id, sequence = beat.sequence, "target: leaving");
            state.lives.left(life.clone());
        }
        if state.lives.is_over(&life) {
            state.closed = Some(Refusal::Leaving);
        } else if state.closed == Some(Refusal::NoTarget) && meaning == Beat::Current {
            // It lives after all; the probe under way says whether it is cold.
            state.closed = None;
        }
        let changed = was != (Some(beat.address), state.closed) || meaning == Beat::New;
        drop(state);
        if changed {
            self.settle();
            self.tell();
        }
    }

    /// Takes over a target that answered a health check before any heartbeat.
    pub(super) fn adopt(
        self: &Rc<Guard>,
        id: &Name,
        service: Name,
        address: SocketAddr,
        slots: u32,
        cold_us: u64,
    ) {
        let mut state = self.state.borrow_mut();
        if state.target.is_some() {
            return;
        }
        let Some(life) = state.lives.found(id) else { return };
        tracing::info!(id = &**id, service = &*service, slots, cold_us, "target: adopted");
        state.admission.set_slots(slots);
        let most = self.cold_most(&service);
        state.admission.set_warmup(self.clock.now().after(cold_us), most);
        state.target = Some(Target { life, service, address });
        drop(state);
        self.settle();
        self.tell();
    }

    /// Takes in that a target is gone or about to go.
    pub fn deregister(self: &Rc<Guard>, id: Name, born: Option<u64>) {
        let mut state = self.state.borrow_mut();
        let current = state.lives.current().filter(|life| life.id == id).cloned();
        let life = match born {
            Some(born) => Life { id: id.clone(), born },
            None => current.clone().unwrap_or(Life { id: id.clone(), born: 0 }),
        };
        if life.born == 0 {
            state.lives.left_unknown(id.clone(), wall_ms());
        }
        state.lives.left(life);
        // One that was found by a health check is known by its id only until it tells its start.
        let is_current = state.lives.current().is_some_and(|life| state.lives.is_over(life));
        if current.is_none() || !is_current {
            tracing::info!(id = &*id, born, "target: a life that is not known deregistered");
            return;
        }
        tracing::info!(id = &*id, "target: deregistered");
        state.closed = Some(Refusal::Leaving);
        drop(state);
        self.settle();
        self.tell();
    }

    /// Takes in what an earlier life of this node acknowledged about a leaving target.
    pub fn remember(&self, life: Life) {
        let mut state = self.state.borrow_mut();
        state.lives.left(life.clone());
        if state.lives.current() == Some(&life) {
            state.closed = Some(Refusal::Leaving);
        }
    }

    /// Refuses what waits where the target takes nothing, and starts what can run otherwise.
    pub fn settle(self: &Rc<Guard>) {
        match self.refuses() {
            Some(refusal) => self.refuse_waiting(refusal),
            None => self.start(),
        }
    }

    /// Takes in a changed ruleset: the data centre may be out, or back in.
    pub fn configured(self: &Rc<Guard>) {
        let out = self.is_out();
        let was = self.out.replace(out);
        if was == out {
            return;
        }
        tracing::info!(out, "guard: the data centre's service changed");
        if was && !out {
            // It may have turned cold while it had no work.
            self.suspect("back in service");
        }
        self.settle();
        self.tell();
    }

    /// Sends nothing until a probe has found the target, since it may have started anew.
    pub fn suspect(self: &Rc<Guard>, reason: &str) {
        {
            let mut state = self.state.borrow_mut();
            if state.target.is_none() || state.closed.is_some() {
                return;
            }
            state.closed = Some(Refusal::NoTarget);
        }
        tracing::info!(reason, "target: to be probed");
        probe::spawn(self);
    }

    /// Takes in that a probe found the target, cold for `cold_us` microseconds.
    pub(super) fn found(self: &Rc<Guard>, life: &Life, cold_us: u64) {
        let mut state = self.state.borrow_mut();
        if state.lives.current() != Some(life) || state.closed != Some(Refusal::NoTarget) {
            return;
        }
        state.closed = None;
        if cold_us > 0
            && let Some(service) = state.target.as_ref().map(|target| target.service.clone())
        {
            let until = self.clock.now().after(cold_us);
            state.admission.set_warmup(until, self.cold_most(&service));
        }
        drop(state);
        tracing::info!(cold_us, "target: found");
        self.settle();
        self.tell();
    }

    /// Asks for a slot. Dropping it gives it back.
    pub(super) async fn admit(
        self: &Rc<Guard>,
        attempt: &Attempt,
        deadline: Time,
    ) -> Result<Slot, Refusal> {
        let mut slot = self.offer(attempt, deadline)?;
        if let Some(decision) = &mut slot.decision {
            self.waiting.notify_one();
            let decided = decision.await.unwrap_or(Err(Refusal::Busy));
            slot.decision = None;
            slot.runs = decided.is_ok();
            decided?;
        }
        Ok(slot)
    }

    fn offer(self: &Rc<Guard>, attempt: &Attempt, deadline: Time) -> Result<Slot, Refusal> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.next += 1;
        let id = state.next;
        let offering = SlotRequest {
            id,
            priority: attempt.priority,
            aim: now.after(attempt.aim_us),
            deadline,
            work_us: attempt.work_us,
            elsewhere: attempt.elsewhere,
        };
        let mut slot = Slot { guard: self.clone(), id, runs: false, decision: None, took_us: None };
        match state.admission.admit(now, offering) {
            Decision::Run => slot.runs = true,
            Decision::Wait => {
                let (owner, decision) = oneshot::channel();
                state.owners.push((id, owner));
                slot.decision = Some(decision);
                if state.admission.needs_probe(now) {
                    probe::look(self);
                }
            }
            Decision::Refuse(refusal) => {
                // The slot's drop looks at the state.
                drop(state);
                return Err(refusal);
            }
        }
        Ok(slot)
    }

    /// Starts what can run, and refuses what can no longer.
    pub(super) fn start(self: &Rc<Guard>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let decided = state.admission.poll(now);
        state.decide(decided);
        if state.admission.needs_probe(now) {
            probe::look(self);
        }
    }

    /// Does what is due by time alone, for as long as the process runs.
    pub async fn run_timers(self: Rc<Guard>) {
        loop {
            let due = self.state.borrow_mut().admission.due(self.clock.now());
            match due {
                Time::NEVER => self.waiting.notified().await,
                due => {
                    tokio::select! {
                        () = tokio::time::sleep_until(self.clock.instant(due)) => {}
                        () = self.waiting.notified() => continue,
                    }
                }
            }
            self.start();
        }
    }

    /// Returns what a cold target of a service is sent in any second.
    fn cold_most(&self, service: &str) -> u32 {
        let rules = self.rules.current();
        let rate = rules.and_then(|rules| Some(rules.routing.service(service)?.cold_rate));
        let rate = rate.unwrap_or_default();
        let WarmupLimits { factor, slack } = self.cold.get();
        let beyond = rate * (factor - 1.0) + slack;
        (rate + beyond * COLD_SHARE) as u32
    }

    fn refuse_waiting(&self, refusal: Refusal) {
        let mut state = self.state.borrow_mut();
        let decided = state.admission.refuse_waiting(refusal);
        state.decide(decided);
    }

    fn tell(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

/// Returns how slow a VM is in tenths, as reports tell it.
fn tenths(slowness: f64) -> u8 {
    (slowness * 10.0).clamp(1.0, 255.0) as u8
}

impl State {
    fn decide(&mut self, decided: Vec<(u64, Decision)>) {
        for (id, admitted) in decided {
            let Ok(at) = self.owners.binary_search_by_key(&id, |(id, _)| *id) else { continue };
            let (_, owner) = self.owners.remove(at);
            let decision = match admitted {
                Decision::Refuse(refusal) => Err(refusal),
                _ => Ok(()),
            };
            // An owner that is gone gives its slot back itself.
            let _ = owner.send(decision);
        }
    }
}

/// A slot of the target, asked for or held. Dropping it gives it back.
#[derive(Debug)]
pub(super) struct Slot {
    guard: Rc<Guard>,
    id: u64,
    /// Whether it holds a slot.
    runs: bool,
    /// Told whether it will hold one, while that is not known here.
    decision: Option<oneshot::Receiver<Result<(), Refusal>>>,
    /// How long the target took, where it answered, in microseconds.
    pub(super) took_us: Option<u64>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let decided = self.decision.as_mut().map(oneshot::Receiver::try_recv);
        let started = matches!(decided, Some(Ok(Ok(()))));
        let mut state = self.guard.state.borrow_mut();
        if self.runs || started {
            let now = self.guard.clock.now();
            state.admission.done(now, self.id, self.took_us);
            drop(state);
            self.guard.start();
        } else if self.decision.is_some() {
            state.admission.withdraw(self.id);
            if let Ok(at) = state.owners.binary_search_by_key(&self.id, |(id, _)| *id) {
                state.owners.remove(at);
            }
        }
    }
}
