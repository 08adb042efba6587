//! One request: its route, its attempts, its answer.

use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use http::StatusCode;
use http::header::HeaderValue;
use http::request::Parts;
use platform::headers;
use policy::{Candidate, Refusal, Time, choose};
use rand::Rng;
use wire::Field;
use wire::link::Attempt;
use world::{Code, Name, Repeat, RouteRule};

use crate::entry::answers::{Reply, pass, refuse};
use crate::entry::attempt::{Place, execute, silent};
use crate::entry::callers::{deadline, host};
use crate::entry::state::Entry;
use crate::guard::{Answer, Outcome};
use crate::peers::Peer;

/// Guards that are asked to run a request at once or not at all, before one is asked to let it
/// wait. Such a refusal takes a round trip of 2 ms, and a busy slot a tenth of a second.
const EAGER: usize = 3;
/// Guards that are asked to let a request wait.
const PATIENT: usize = 2;
/// The time that an answer needs from the guard to the caller, in microseconds: the guard gives an
/// attempt up that much earlier, so that its word comes in time.
const RETURN_US: u64 = 6_000;
/// A request that may run twice is sent a second time when this many times the expected work has
/// passed without an answer, at the earliest.
const HEDGE_WORK: f64 = 1.3;
/// Guards that are asked for a second attempt, which each runs at once or not at all.
const SECONDS: usize = 3;
/// The second attempt is expected to need this many times the expected work.
const SECOND_WORK: f64 = 1.1;

/// An attempt under way.
type Running = Pin<Box<dyn Future<Output = Outcome>>>;

/// A request on its way.
struct Call<'a> {
    entry: &'a Rc<Entry>,
    id: String,
    route: RouteRule,
    service: Name,
    method: String,
    path: String,
    fields: Vec<Field>,
    body: Bytes,
    arrived: Time,
    deadline: Time,
    /// Nodes whose guards were asked, by name.
    tried: Vec<Name>,
    /// Attempts that reached a target, or may have.
    reached: u32,
    /// Attempts, refused ones among them.
    attempts: usize,
    /// Whether a second attempt was sent beside the first.
    hedged: bool,
    /// Whether a target may have run it without an answer.
    lost: bool,
    /// A target's failure, to be passed on where nothing better comes.
    failure: Option<Answer>,
    /// The last refusal.
    refusal: Refusal,
    /// The time of the answer in its target, in microseconds; 0 without one.
    target_us: u64,
    /// What was seen of the last attempt without an answer.
    detail: String,
}

/// What follows an attempt.
enum Next {
    /// This is the answer.
    Done(Answer),
    /// Another target is tried.
    Again,
    /// No other may be tried.
    Over,
}

impl Entry {
    /// Serves a request whose body is whole.
    pub(super) async fn serve(self: &Rc<Entry>, head: &Parts, body: Bytes, arrived: Time) -> Reply {
        let id = head.headers.get(headers::REQUEST_ID);
        let Some(rules) = self.rules.current() else {
            return self.unroutable(Code::StoreDown, StatusCode::SERVICE_UNAVAILABLE, head);
        };
        let found = host(head).and_then(|host| rules.routing.route(host, head.uri.path()));
        let Some(route) = found else {
            // A newer ruleset that is not known here may have the route.
            let status = match self.peers.is_ruleset_current() {
                true => StatusCode::NOT_FOUND,
                false => StatusCode::SERVICE_UNAVAILABLE,
            };
            return self.unroutable(Code::NoService, status, head);
        };
        let draw = self.rng.borrow_mut().random();
        let without = [headers::TIMEOUT_MS, headers::TARGET_INSTANCE, headers::CALLER_SERVICE];
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut call = Call {
            entry: self,
            id: id.and_then(|id| id.to_str().ok()).unwrap_or_default().to_owned(),
            service: route.part(draw).service.clone(),
            route: route.clone(),
            method: head.method.as_str().to_owned(),
            path: path.to_owned(),
            fields: wire::end_to_end(&head.headers, &without),
            body,
            arrived,
            deadline: deadline(arrived, &head.headers, route.timeout_us),
            tried: Vec::new(),
            reached: 0,
            attempts: 0,
            hedged: false,
            lost: false,
            failure: None,
            refusal: Refusal::NoTarget,
            target_us: 0,
            detail: String::new(),
        };
        self.budgets.borrow_mut().of(&call.service).record_request(arrived, &self.bound.get());
        let answer = call.run().await;
        call.finish(answer, id)
    }

    fn unroutable(&self, code: Code, status: StatusCode, head: &Parts) -> Reply {
        let id = head.headers.get(headers::REQUEST_ID);
        if self.notable.borrow_mut().take(self.clock.now(), 1.0) {
            let request = id.and_then(|id| id.to_str().ok());
            let (path, revision) = (head.uri.path(), self.rules.revision());
            let status = status.as_u16();
            tracing::info!(request, path, status, revision, "entry: {}", code.text());
        } else {
            self.metrics.dropped_lines.inc();
        }
        refuse(code, status, id)
    }
}

impl Call<'_> {
    /// Tries targets until one answers or no other may be tried.
    async fn run(&mut self) -> Option<Answer> {
        let mut patient = 0;
        while self.entry.clock.now().after(RETURN_US) < self.deadline {
            let eager = self.attempts < EAGER;
            let place = match self.choose() {
                Some(place) => place,
                None if patient == 0 && !self.tried.is_empty() && self.may_wait() => {
                    // Every guard was asked to run it at once; now one may let it wait.
                    self.tried.clear();
                    self.attempts = EAGER;
                    continue;
                }
                None => return None,
            };
            let is_last = !eager || self.places().len() < 2 || self.is_settled(&place);
            patient += usize::from(is_last);
            if patient > PATIENT || !self.may_reach() {
                return None;
            }
            match self.attempt(place, !is_last).await {
                Next::Done(answer) => return Some(answer),
                Next::Again => {}
                Next::Over => return None,
            }
        }
        None
    }

    /// Whether it is better to wait at a place than to send the body to another data centre.
    fn is_settled(&self, place: &Place) -> bool {
        let weight = self.entry.routes.borrow_mut().of(&self.route.name).weight(self.body.len());
        let is_other = |other: &Place| other.name(self.entry) != place.name(self.entry);
        let others = self.places();
        let mut near = others.iter().filter(|other| other.is_near(self.entry));
        weight.is_cheaper_near() && place.is_near(self.entry) && !near.any(is_other)
    }

    /// Whether the last refusal may be otherwise in a moment.
    fn may_wait(&self) -> bool {
        matches!(self.refusal, Refusal::Busy | Refusal::Slow | Refusal::Cold)
    }

    /// Takes one repeat from the budget where the request may have reached a target before.
    fn may_reach(&self) -> bool {
        self.reached == 0 || self.may_repeat(self.reached)
    }

    /// Takes one repeat from the budget for a request that may have reached `reached` targets.
    fn may_repeat(&self, reached: u32) -> bool {
        if reached >= self.route.attempts {
            return false;
        }
        let (now, bound) = (self.entry.clock.now(), self.entry.bound.get());
        let mut budgets = self.entry.budgets.borrow_mut();
        let taken = budgets.of(&self.service).take(now, &bound, self.entry.peers.peak_nodes());
        if taken {
            self.entry.metrics.repeats.inc();
        }
        taken
    }

    /// Chooses a target that was not tried.
    fn choose(&self) -> Option<Place> {
        let entry = self.entry;
        let now = entry.clock.now();
        let weight = entry.routes.borrow_mut().of(&self.route.name).weight(self.body.len());
        let mut places = self.places();
        let own = entry.peers.own_view.borrow();
        let views: Vec<_> = places
            .iter()
            .map(|place| match place {
                Place::Here => None,
                Place::There(peer) => {
                    let near = entry.peers.is_same_data_centre(&peer.data_centre());
                    Some((peer.view.borrow(), near))
                }
            })
            .collect();
        let candidates = views.iter().map(|view| match view {
            None => Candidate { view: &own, near: true },
            Some((view, near)) => Candidate { view, near: *near },
        });
        let at = choose(now, &mut *entry.rng.borrow_mut(), &weight, candidates)?;
        drop(views);
        Some(places.swap_remove(at))
    }

    /// Returns where the request may go.
    fn places(&self) -> Vec<Place> {
        let entry = self.entry;
        let mut places = Vec::new();
        let me = &entry.peers.local_node().name;
        if !self.tried.contains(me) && entry.guard.serves(&self.service) {
            places.push(Place::Here);
        }
        let rules = entry.rules.current();
        let is_out =
            |peer: &Peer| rules.as_ref().is_some_and(|rules| rules.is_out(&peer.data_centre()));
        entry.peers.for_each(|peer| {
            let is_tried = || self.tried.iter().any(|name| peer.has_name(name));
            if peer.serves(&self.service) && !is_tried() && !is_out(peer) {
                places.push(Place::There(peer.clone()));
            }
        });
        places
    }

    /// Sends the request to a place.
    fn begin(&mut self, place: &Place, elsewhere: bool) -> Running {
        self.attempts += 1;
        self.tried.push(place.name(self.entry));
        let entry = self.entry;
        let begun = entry.clock.now();
        let weight = entry.routes.borrow_mut().of(&self.route.name).weight(self.body.len());
        let aim = self.arrived.after(self.route.aim_us);
        let attempt = Attempt {
            id: self.id.clone(),
            service: self.service.clone(),
            caller: entry.caller.clone(),
            method: self.method.clone(),
            path: self.path.clone(),
            fields: self.fields.clone(),
            length: self.body.len() as u64,
            left_us: self.deadline.since(begun).saturating_sub(RETURN_US),
            aim_us: aim.since(begun).saturating_sub(RETURN_US),
            work_us: weight.work_us as u64,
            priority: self.route.priority,
            elsewhere,
        };
        let deadline = self.deadline;
        let (entry, place, body) = (entry.clone(), place.clone(), self.body.clone());
        Box::pin(execute(entry, place, attempt, body, deadline))
    }

    /// Runs one attempt, and a second one beside it where the first takes long or its guard is
    /// silent, and the request may run twice. The first good answer counts; what is left over is
    /// given up, and nothing is before.
    async fn attempt(&mut self, place: Place, elsewhere: bool) -> Next {
        let mut first = self.begin(&place, elsewhere);
        let mut silence = std::pin::pin!(silent(self.entry.clone(), place.clone()));
        let Some(hedge_at) = self.hedge_at() else {
            let outcome = tokio::select! {
                outcome = &mut first => outcome,
                // Others are warned of the guard; the attempt may run all the same.
                () = silence => first.await,
            };
            return self.judge(&place, outcome);
        };
        let hedge = tokio::time::sleep_until(self.entry.clock.instant(hedge_at));
        tokio::select! {
            biased;
            outcome = &mut first => return self.judge(&place, outcome),
            () = &mut silence => {}
            () = hedge => {}
        }
        self.hedged = true;
        for _ in 0..SECONDS {
            let Some((other, second)) = self.second() else { break };
            if let Some(next) = self.race((&place, &mut first), (&other, second)).await {
                return next;
            }
        }
        let outcome = first.await;
        self.judge(&place, outcome)
    }

    /// Returns when a second attempt is worth while: as late as it can still meet the aim.
    fn hedge_at(&self) -> Option<Time> {
        if self.route.repeat != Repeat::Safe || self.hedged || self.reached > 0 {
            return None;
        }
        let now = self.entry.clock.now();
        let work_us = self.entry.routes.borrow_mut().of(&self.route.name).weight(0).work_us;
        let aim = self.arrived.after(self.route.aim_us.saturating_sub(RETURN_US));
        let latest_us = aim.since(now) as f64 - work_us * SECOND_WORK;
        Some(now.after(latest_us.max(work_us * HEDGE_WORK) as u64))
    }

    /// Begins a second attempt, to run at once or not at all.
    fn second(&mut self) -> Option<(Place, Running)> {
        let place = self.choose()?;
        if !self.may_repeat(self.reached + 1) {
            return None;
        }
        let running = self.begin(&place, true);
        Some((place, running))
    }

    /// Waits for the first good answer of two attempts. None where the second was not run while the
    /// first goes on.
    async fn race(
        &mut self,
        first: (&Place, &mut Running),
        second: (&Place, Running),
    ) -> Option<Next> {
        let mut other = second.1;
        tokio::select! {
            outcome = &mut *first.1 => match self.judge(first.0, outcome) {
                Next::Done(answer) => Some(Next::Done(answer)),
                Next::Again | Next::Over => {
                    let outcome = other.await;
                    Some(self.judge(second.0, outcome))
                }
            },
            outcome = &mut other => {
                let runs = !matches!(outcome, Outcome::NotRun { .. });
                match self.judge(second.0, outcome) {
                    Next::Done(answer) => Some(Next::Done(answer)),
                    Next::Again | Next::Over if runs => {
                        let outcome = (&mut *first.1).await;
                        Some(self.judge(first.0, outcome))
                    }
                    Next::Again | Next::Over => {
                        let (now, bound) = (self.entry.clock.now(), self.entry.bound.get());
                        let mut budgets = self.entry.budgets.borrow_mut();
                        budgets.of(&self.service).refund(now, &bound);
                        None
                    }
                }
            }
        }
    }

    /// Decides what follows an outcome.
    fn judge(&mut self, place: &Place, outcome: Outcome) -> Next {
        let success = match &outcome {
            Outcome::Answer(answer) => Some(!answer.status.is_server_error()),
            Outcome::Lost { .. } | Outcome::NotRun { reached: true, .. } => Some(false),
            Outcome::NotRun { .. } => None,
        };
        if let Some(success) = success {
            place.ended(self.entry, success);
        }
        match outcome {
            Outcome::Answer(answer) => {
                self.reached += 1;
                self.target_us = answer.took_us;
                let mut routes = self.entry.routes.borrow_mut();
                routes.of(&self.route.name).answered(answer.took_us, answer.body.len());
                if !answer.status.is_server_error() || self.route.repeat == Repeat::Never {
                    return Next::Done(answer);
                }
                self.failure = Some(answer);
                Next::Again
            }
            Outcome::NotRun { refusal, reached } => {
                self.reached += u32::from(reached);
                self.refusal = refusal;
                Next::Again
            }
            Outcome::Lost { detail } => {
                self.detail = detail;
                self.reached += 1;
                self.lost = true;
                match self.route.repeat {
                    Repeat::Safe => Next::Again,
                    Repeat::Never => Next::Over,
                }
            }
        }
    }

    /// Builds the caller's answer, and logs what is worth it.
    fn finish(&mut self, answer: Option<Answer>, id: Option<&HeaderValue>) -> Reply {
        let answer = answer.or(self.failure.take());
        let now = self.entry.clock.now();
        let passed = answer.is_some();
        let reply = match answer {
            Some(answer) => pass(answer),
            None => {
                let (code, status) = self.failed(now);
                refuse(code, status, id)
            }
        };
        self.log(now, reply.status(), passed);
        reply
    }

    /// Returns what a caller is told whose request got no answer.
    fn failed(&self, now: Time) -> (Code, StatusCode) {
        let is_late = now.after(RETURN_US) >= self.deadline;
        match (self.lost, is_late) {
            (true, true) => (Code::DeadlinePassed, StatusCode::GATEWAY_TIMEOUT),
            (true, false) => (Code::TargetFailed, StatusCode::BAD_GATEWAY),
            (false, _) => {
                let code = match self.refusal {
                    Refusal::NoTarget | Refusal::Misdirected => Code::NoTarget,
                    Refusal::Leaving | Refusal::Out => Code::OutOfService,
                    Refusal::Draining => Code::ShuttingDown,
                    Refusal::Late => Code::DeadlinePassed,
                    Refusal::Shed => Code::TargetRefused,
                    Refusal::Quarantined => Code::Quarantined,
                    Refusal::Cold | Refusal::Busy | Refusal::Slow => Code::TargetBusy,
                    Refusal::Full => Code::Overload,
                };
                (code, StatusCode::SERVICE_UNAVAILABLE)
            }
        }
    }

    fn log(&self, now: Time, status: StatusCode, passed: bool) {
        let entry = self.entry;
        let took_us = now.since(self.arrived);
        let outcome = match (passed, status.is_server_error()) {
            (true, false) => "answered",
            (true, true) => "failed",
            (false, _) if status == StatusCode::SERVICE_UNAVAILABLE => "refused",
            (false, _) => "lost",
        };
        entry.metrics.record_call(&self.service, outcome, took_us as f64 / 1e6);
        let notable = outcome != "answered" || took_us > self.route.aim_us;
        let bucket = if notable { &entry.notable } else { &entry.ordinary };
        if !bucket.borrow_mut().take(now, 1.0) {
            entry.metrics.dropped_lines.inc();
            return;
        }
        tracing::info!(
            request = self.id,
            route = &*self.route.name,
            service = &*self.service,
            status = status.as_u16(),
            took_us,
            target_us = self.target_us,
            attempts = self.attempts,
            reached = self.reached,
            hedged = self.hedged,
            tried = ?self.tried,
            refusal = %self.refusal,
            detail = self.detail,
            revision = entry.rules.revision(),
            "entry: {outcome}"
        );
    }
}
