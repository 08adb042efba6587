//! The guard of this node's target, and the requests that wait for its decisions.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use policy::{
    DispatchOutcome, DispatchRequest, Guard, GuardAction, Load, Permit, Time, WarmupSettings,
};
use tokio::sync::{Notify, mpsc, oneshot};
use wire::{Call, Verdict};
use world::{Announcement, Code, Inventory, Name};

use crate::attempt::Event;
use crate::dispatch;
use crate::node::{Node, lock};
use crate::once::{self, Held};
use crate::pieces::Piece;

/// What is taken of a cold target before the rules are known.
const UNKNOWN: WarmupSettings = WarmupSettings { cold_slots: 1, warm_answers: 8 };

/// Time after which an entry is told that its request waits.
const NOTICE: Duration = Duration::from_millis(40);

/// Where the owner of a request hears of it.
#[derive(Debug)]
struct Owner {
    id: u64,
    /// Told once whether it runs.
    decision: Option<oneshot::Sender<Result<(), Code>>>,
    /// Told when the target slows down.
    slow: Arc<Notify>,
}

#[derive(Debug)]
struct State {
    guard: Guard,
    /// Owners of requests that wait or run, sorted by id.
    owners: Vec<Owner>,
    next: u64,
}

/// The guard behind a lock.
#[derive(Debug)]
pub struct Gate {
    state: Mutex<State>,
}

impl Gate {
    /// Opens the gate of a node without a target.
    pub fn new(now: Time) -> Gate {
        let guard = Guard::new(now, UNKNOWN);
        Gate { state: Mutex::new(State { guard, owners: Vec::new(), next: 0 }) }
    }

    /// Takes over the rules for the target's service and data centre.
    pub fn configure(&self, node: &Node, inventory: &Inventory) {
        let out = inventory.is_out(&node.settings.data_centre);
        self.with(|guard| {
            let service = guard.target().and_then(|target| inventory.service(&target.service));
            if let Some(service) = service {
                let (cold_slots, warm_answers) = (service.cold_slots, service.warm_answers);
                guard.configure(WarmupSettings { cold_slots, warm_answers });
            }
            ((), guard.set_out(node.now(), out))
        });
    }

    /// Takes in an announcement. Returns whether the target is another one than before.
    pub fn announced(&self, node: &Node, announcement: Announcement) -> bool {
        let inventory = node.inventory();
        self.with(|guard| {
            if let Some(service) = inventory.service(&announcement.service) {
                let (cold_slots, warm_answers) = (service.cold_slots, service.warm_answers);
                guard.configure(WarmupSettings { cold_slots, warm_answers });
            }
            (guard.announced(node.now(), announcement), Vec::new())
        })
    }

    /// Marks the target as dead.
    pub fn died(&self) {
        self.with(|guard| ((), guard.target_down()));
    }

    /// Begins to drain.
    pub fn drain(&self) {
        self.with(|guard| ((), guard.drain()));
    }

    /// Does what is due by time alone. Returns whether the target is up.
    pub fn tick(&self, now: Time) -> bool {
        self.with(|guard| {
            let actions = guard.tick(now);
            (guard.target().is_some(), actions)
        })
    }

    /// Returns the load report for the next frame, where it is worth its bytes.
    pub fn report(&self, now: Time) -> Option<Load> {
        self.with(|guard| (guard.report(now), Vec::new()))
    }

    /// Returns the load report, whatever it costs.
    pub fn load(&self) -> Load {
        self.with(|guard| (guard.load(), Vec::new()))
    }

    /// Returns the target's announcement, where it is up.
    pub fn target(&self) -> Option<Announcement> {
        self.with(|guard| (guard.target().cloned(), Vec::new()))
    }

    /// Returns how many requests run or wait.
    pub fn pending(&self) -> usize {
        self.with(|guard| (guard.pending(), Vec::new()))
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.with(|guard| (guard.waiting(), Vec::new()))
    }

    /// Returns how often the limit was cut.
    pub fn cuts(&self) -> u64 {
        self.with(|guard| (guard.limit_cuts(), Vec::new()))
    }

    /// Notes that the target has the whole body of a request.
    pub fn received(&self, now: Time, id: u64) {
        self.with(|guard| {
            guard.body_received(now, id);
            ((), Vec::new())
        });
    }

    /// Notes that the target began to answer.
    pub fn headed(&self, now: Time, id: u64, success: bool) {
        self.with(|guard| {
            guard.answer_started(now, id, success);
            ((), Vec::new())
        });
    }

    fn with<R>(&self, decide: impl FnOnce(&mut Guard) -> (R, Vec<GuardAction>)) -> R {
        let mut state = lock(&self.state);
        let (result, actions) = decide(&mut state.guard);
        state.act(actions);
        result
    }

    /// Asks for a place at the target.
    fn offer(&self, node: &Arc<Node>, call: &Call, deadline: Time) -> Place {
        let mut state = lock(&self.state);
        state.next += 1;
        let id = state.next;
        let (sender, decision) = oneshot::channel();
        let slow = Arc::new(Notify::new());
        state.owners.push(Owner { id, decision: Some(sender), slow: slow.clone() });
        let offer = DispatchRequest { id, class: call.class, deadline, spare: call.spare };
        let actions = state.guard.submit(node.now(), offer);
        state.act(actions);
        Place { node: node.clone(), id, outcome: DispatchOutcome::Cancelled, decision, slow }
    }
}

impl State {
    fn act(&mut self, actions: Vec<GuardAction>) {
        for action in actions {
            let (GuardAction::Run(id) | GuardAction::Refuse(id, _) | GuardAction::Slow(id)) =
                action;
            let at = self.owners.binary_search_by_key(&id, |owner| owner.id);
            let Some(owner) = at.ok().map(|at| &mut self.owners[at]) else { continue };
            let decision = match action {
                GuardAction::Run(_) => Ok(()),
                GuardAction::Refuse(_, code) => Err(code),
                GuardAction::Slow(_) => {
                    owner.slow.notify_one();
                    continue;
                }
            };
            owner.decision.take().map(|sender| sender.send(decision));
        }
    }
}

/// A place at the target, asked for or held. Dropping it gives it back.
#[derive(Debug)]
pub struct Place {
    node: Arc<Node>,
    id: u64,
    /// How the request ends, should the place be dropped now.
    pub outcome: DispatchOutcome,
    decision: oneshot::Receiver<Result<(), Code>>,
    slow: Arc<Notify>,
}

impl Place {
    /// Notes that the target has the whole body.
    pub fn received(&self) {
        self.node.gate.received(self.node.now(), self.id);
    }

    /// Waits until the target slows down.
    pub async fn slowed(&self) {
        self.slow.notified().await;
    }

    /// Notes that the target began to answer.
    pub fn headed(&self, success: bool) {
        self.node.gate.headed(self.node.now(), self.id, success);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut state = lock(&self.node.gate.state);
        state.owners.retain(|owner| owner.id != self.id);
        if !state.guard.withdraw(self.id) {
            let actions = state.guard.done(now, self.id, self.outcome);
            state.act(actions);
        }
    }
}

/// A suspect's right to run, given back when dropped.
#[derive(Debug)]
struct Watched {
    node: Arc<Node>,
    print: policy::Fingerprint,
}

impl Drop for Watched {
    fn drop(&mut self) {
        lock(&self.node.suspects).released(self.print);
    }
}

/// Serves one request at this node's target, from its first decision to its whole answer.
pub async fn serve(
    node: Arc<Node>,
    call: Call,
    body: mpsc::Receiver<Piece>,
    events: mpsc::Sender<Event>,
) {
    let deadline = node.now().after(call.left_us);
    let notice = async {
        tokio::time::sleep(NOTICE).await;
        let _ = events.send(Event::Said(Verdict::Wait)).await;
        events.closed().await;
    };
    let admitted = tokio::select! {
        admitted = admit(&node, &call, deadline, &events) => admitted,
        () = notice => return,
    };
    match admitted {
        Ok(admitted) => dispatch::run(node, call, body, events, admitted).await,
        Err(refused) => {
            let _ = events.send(refused).await;
        }
    }
}

/// Builds a refusal with the load that stood against the request.
pub fn refused(node: &Node, code: Code, not_run: bool) -> Event {
    let load = node.gate.report(node.now());
    Event::Said(Verdict::Refused { code, not_run, load })
}

/// What a request needs to be dispatched.
#[derive(Debug)]
pub struct Admitted {
    /// Its place at the target.
    pub place: Place,
    /// Its idempotency key's record, where it has one.
    pub held: Option<Held>,
    /// When its answer must begin.
    pub deadline: Time,
    /// Where the target takes requests.
    pub target: Announcement,
    /// Its right to run although it is a suspect, given back when dropped.
    _watched: Option<Watched>,
}

/// Decides whether a request runs here. Everything refused here was not dispatched.
async fn admit(
    node: &Arc<Node>,
    call: &Call,
    deadline: Time,
    events: &mpsc::Sender<Event>,
) -> Result<Admitted, Event> {
    let refuse = |code| refused(node, code, true);
    let target = node.gate.target().filter(|target| target.service == call.service);
    let target = target.ok_or_else(|| refuse(Code::NoTarget))?;
    let watched = watch(node, call).map_err(refuse)?;
    let held = match &call.key {
        Some(key) => Some(once::win(node, call, key, deadline, events).await?),
        None => None,
    };
    match wait(node, call, deadline).await {
        Ok(place) => Ok(Admitted { place, held, deadline, target, _watched: watched }),
        Err(code) => {
            if let Some(held) = held {
                held.void().await;
            }
            Err(refuse(code))
        }
    }
}

async fn wait(node: &Arc<Node>, call: &Call, deadline: Time) -> Result<Place, Code> {
    let mut place = node.gate.offer(node, call, deadline);
    let decision = (&mut place.decision).await.unwrap_or(Err(Code::TargetBusy));
    decision.map(|()| place)
}

/// Refuses a request that crashes its targets, and lets suspects run one by one.
fn watch(node: &Arc<Node>, call: &Call) -> Result<Option<Watched>, Code> {
    let permit = lock(&node.suspects).admit(node.now(), call.print);
    match permit {
        Permit::Free => Ok(None),
        Permit::Alone => Ok(Some(Watched { node: node.clone(), print: call.print })),
        Permit::Busy => Err(Code::TargetBusy),
        Permit::Refused => {
            node.note(Code::Quarantined, &call.service, Some(call.request));
            Err(Code::Quarantined)
        }
    }
}

/// Ticks the guard, and tells the others when the target comes or goes.
pub async fn tick(node: Arc<Node>) {
    const WAITING: Duration = Duration::from_millis(2);
    const RUNNING: Duration = Duration::from_millis(10);
    const IDLE: Duration = Duration::from_millis(50);
    let mut was: Option<Name> = None;
    let mut cuts_before = 0;
    loop {
        let cuts = node.gate.cuts();
        if cuts > cuts_before {
            node.note(Code::LimitCut, was.as_deref().unwrap_or_default(), None);
            cuts_before = cuts;
        }
        let pause = match (node.gate.waiting(), node.gate.pending()) {
            (0, 0) => IDLE,
            (0, _) => RUNNING,
            _ => WAITING,
        };
        tokio::time::sleep(pause).await;
        node.gate.tick(node.now());
        let service = node.gate.target().map(|target| target.service);
        if service == was {
            continue;
        }
        match &service {
            Some(service) => node.note(Code::TargetUp, service, None),
            None => node.note(Code::TargetDown, was.as_deref().unwrap_or_default(), None),
        }
        let told = lock(&node.members).set_service(service.clone());
        was = service;
        node.act(told);
        node.reroute();
    }
}
