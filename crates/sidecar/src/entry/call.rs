//! One request of a caller: finds its route, runs its attempts and builds its response.

mod hedge;
mod response;

use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use http::StatusCode;
use http::request::Parts;
use platform::headers;
use policy::{Candidate, QuotaToken, Refusal, Time, Urgency, choose, room};
use rand::Rng;
use wire::Field;
use wire::link::Attempt;
use world::{Code, Name, Repeat, RouteRule};

use crate::entry::attempt::{Destination, execute};
use crate::entry::callers::{deadline, host};
use crate::entry::keys::{self, KeyHolder};
use crate::entry::responses::{CallerResponse, error_response};
use crate::entry::state::Entry;
use crate::guard::{Answer, Outcome, fingerprint};
use crate::peers::Peer;

/// How many guards are asked to run a request at once or refuse it, before one is asked to queue
/// it. A refusal costs a round trip of 2 ms, while a busy slot is taken for about 0.1 s.
const IMMEDIATE_TRIES: usize = 3;
/// How many guards are asked to queue a request.
const QUEUE_TRIES: usize = 2;
/// Time that an answer needs from the guard to the caller. The deadline that a guard gets is that
/// much earlier, so that its reply arrives before the caller's deadline.
const RETURN_US: u64 = 6_000;
/// An attempt that has been sent. Dropping it cancels the attempt.
type RunningAttempt = Pin<Box<dyn Future<Output = Outcome>>>;

/// A request that is being served.
struct ActiveRequest<'a> {
    entry: &'a Rc<Entry>,
    id: String,
    route: RouteRule,
    /// The workspace of its key. `None` where it needs none.
    workspace: Option<KeyHolder>,
    /// The permission of its workspace's quota. `None` where none is needed.
    token: Option<QuotaToken>,
    service: Name,
    method: String,
    path: String,
    fields: Vec<Field>,
    body: Bytes,
    arrived: Time,
    deadline: Time,
    /// How urgent it is if it is a call of this VM's target.
    inherited: Option<Urgency>,
    /// Names of the nodes whose guards were asked.
    tried: Vec<Name>,
    /// Attempts that reached a target, or may have.
    reached: u32,
    /// Attempts, including refused ones and immediate tries that were skipped.
    attempts: usize,
    /// Whether a hedged attempt was due; none was sent if no target or budget was left for it.
    hedged: bool,
    /// Whether a target may have run it without an answer.
    outcome_unknown: bool,
    /// A target's 5xx answer, forwarded if no later attempt has a better one.
    failure: Option<Answer>,
    /// Why the last attempt was refused; `NoTarget` if none was sent.
    refusal: Refusal,
    /// How long the target of the last answer took, in microseconds; 0 without an answer.
    target_us: u64,
    /// Why the last attempt that may have run has no answer; empty if there was none.
    detail: String,
}

/// What to do after an attempt has ended.
enum Next {
    /// Send this answer to the caller.
    Respond(Answer),
    /// Try another target.
    TryAnother,
    /// Stop: the request may have run and must not run again.
    Stop,
}

impl Entry {
    /// Serves a request whose body has arrived completely.
    pub(super) async fn serve(
        self: &Rc<Entry>,
        head: &Parts,
        body: Bytes,
        arrived: Time,
    ) -> CallerResponse {
        let id = head.headers.get(headers::REQUEST_ID);
        let Some(ruleset) = self.ruleset.current() else {
            return self.refuse_unroutable(Code::StoreDown, StatusCode::SERVICE_UNAVAILABLE, head);
        };
        let found = host(head).and_then(|host| ruleset.routing.route(host, head.uri.path()));
        let Some(route) = found else {
            // A newer ruleset that this node does not have yet may contain the route.
            let status = match self.peers.is_ruleset_current() {
                true => StatusCode::NOT_FOUND,
                false => StatusCode::SERVICE_UNAVAILABLE,
            };
            return self.refuse_unroutable(Code::NoService, status, head);
        };
        let workspace = match self.admit_key(head, route, &ruleset) {
            Ok(workspace) => workspace,
            Err(refused) => return self.refuse_key(refused, head),
        };
        let draw = self.rng.borrow_mut().random();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = ActiveRequest {
            entry: self,
            id: id.and_then(|id| id.to_str().ok()).unwrap_or_default().to_owned(),
            service: route.part(draw).service.clone(),
            route: route.clone(),
            fields: keys::fields(head, workspace.as_ref(), &ruleset),
            workspace,
            token: None,
            method: head.method.as_str().to_owned(),
            path: path.to_owned(),
            body,
            arrived,
            deadline: deadline(arrived, &head.headers, route.timeout_us),
            inherited: self.inherited(&ruleset.routing, route, &head.headers, arrived),
            tried: Vec::new(),
            reached: 0,
            attempts: 0,
            hedged: false,
            outcome_unknown: false,
            failure: None,
            refusal: Refusal::NoTarget,
            target_us: 0,
            detail: String::new(),
        };
        tokio::select! {
            () = self.peers.use_service(&request.service) => {}
            () = self.start_passed(request.slow_work_us()) => {}
        }
        request.token = match self.take_token(request.workspace.as_ref()).await {
            Ok(token) => token,
            Err(wait) => return self.refuse_quota(wait, request.workspace.as_ref(), head),
        };
        // The key may have been withdrawn meanwhile.
        if let Err(refused) = self.confirm_key(request.workspace.as_ref()) {
            self.give_back(request.token.as_ref());
            return self.refuse_key(refused, head);
        }
        self.budgets
            .borrow_mut()
            .value_mut(&request.service)
            .record_request(arrived, &self.retry_bound.get());
        let answer = request.run().await;
        if answer.is_none() && request.failure.is_none() && !request.outcome_unknown {
            self.give_back(request.token.as_ref());
        }
        request.finish(answer, id)
    }

    /// Returns how long targets take at most for the requests of a head's route in all but a few
    /// cases, in microseconds; 0 without a route.
    pub(super) fn slow_work_us(&self, head: &Parts) -> u64 {
        let Some(ruleset) = self.ruleset.current() else { return 0 };
        let found = host(head).and_then(|host| ruleset.routing.route(host, head.uri.path()));
        found.map_or(0, |route| self.estimates.borrow_mut().value_mut(&route.name).slow_work_us())
    }

    /// Builds the response to a request whose body did not arrive before the node had to stop.
    pub(super) fn refuse_stopping(&self, head: &Parts, arrived: Time) -> CallerResponse {
        let id = head.headers.get(headers::REQUEST_ID);
        let request = id.and_then(|id| id.to_str().ok());
        let took_us = self.clock.now().since(arrived);
        tracing::info!(request, took_us, "entry: refused, its body came too late for the stop");
        error_response(Code::ShuttingDown, StatusCode::SERVICE_UNAVAILABLE, id)
    }

    /// Builds the response to a request without a route or a key.
    pub(super) fn refuse_unroutable(
        &self,
        code: Code,
        status: StatusCode,
        head: &Parts,
    ) -> CallerResponse {
        let id = head.headers.get(headers::REQUEST_ID);
        if self.notable_lines.borrow_mut().take(self.clock.now(), 1.0) {
            let request = id.and_then(|id| id.to_str().ok());
            let (path, revision) = (head.uri.path(), self.ruleset.revision());
            let status = status.as_u16();
            tracing::info!(request, path, status, revision, "entry: {}", code.text());
        } else {
            self.metrics.dropped_lines.inc();
        }
        error_response(code, status, id)
    }
}

impl ActiveRequest<'_> {
    /// Sends attempts until one has an answer or no other may be sent. None without an answer.
    async fn run(&mut self) -> Option<Answer> {
        let mut queue_tries = 0;
        while self.entry.clock.now().after(RETURN_US) < self.deadline {
            if !self.may_start() {
                self.refusal = Refusal::Draining;
                return None;
            }
            let is_immediate = self.attempts < IMMEDIATE_TRIES;
            let destination = match self.choose_destination() {
                Some(destination) => destination,
                None if queue_tries == 0
                    && !self.tried.is_empty()
                    && self.is_refusal_temporary() =>
                {
                    // Every guard refused to run it at once. Start over and have one queue it.
                    self.tried.clear();
                    self.attempts = IMMEDIATE_TRIES;
                    continue;
                }
                None => return None,
            };
            let destination = match is_immediate {
                true => destination,
                false => self.choose_queue(destination),
            };
            let may_queue = !is_immediate
                || self.destinations().len() < 2
                || self.should_queue_at(&destination);
            queue_tries += usize::from(may_queue);
            if queue_tries > QUEUE_TRIES
                || queue_tries > 1 && !self.may_queue_again()
                || !self.take_retry_if_reached()
            {
                return None;
            }
            match self.run_attempt(destination, !may_queue).await {
                Next::Respond(answer) => return Some(answer),
                Next::TryAnother => {}
                Next::Stop => return None,
            }
        }
        None
    }

    /// Returns whether a request that was queued once is queued again.
    fn may_queue_again(&self) -> bool {
        let now = self.entry.clock.now();
        room::may_queue_again(now.since(self.arrived), self.deadline.since(now))
    }

    /// Returns how long a target takes for the request at most in all but a few cases, in
    /// microseconds.
    fn slow_work_us(&self) -> u64 {
        self.entry.estimates.borrow_mut().value_mut(&self.route.name).slow_work_us()
    }

    /// Returns the priority: that of the request that a call belongs to, or the route's.
    fn priority(&self) -> u32 {
        let own = keys::rank(self.workspace.as_ref(), self.route.priority);
        self.inherited.map_or(own, |parent| parent.priority)
    }

    /// Returns whether an attempt that starts now ends before this node stops.
    fn may_start(&self) -> bool {
        self.entry.shutdown().is_none_or(|shutdown| {
            self.entry.clock.now() < shutdown.starts_until(self.slow_work_us())
        })
    }

    /// Returns when an answer cannot be delivered any more.
    fn end(&self) -> Time {
        let cut_at = self.entry.shutdown().map_or(Time::NEVER, |shutdown| shutdown.cut_at());
        self.deadline.min(cut_at)
    }

    /// Returns where the request should be queued rather than at `destination`, if that one names a
    /// limit: others that refused to run it at once may have a slot sooner.
    fn choose_queue(&mut self, destination: Destination) -> Destination {
        if !destination.is_limited(self.entry) || !self.is_refusal_temporary() {
            return destination;
        }
        self.tried.clear();
        self.choose_destination().unwrap_or(destination)
    }

    /// Returns whether the request should be queued at a destination at once: it is the only one
    /// left in this data centre, and sending the request to another data centre costs more than the
    /// wait.
    fn should_queue_at(&self, destination: &Destination) -> bool {
        let estimate =
            self.entry.estimates.borrow_mut().value_mut(&self.route.name).request(self.body.len());
        let is_other = |other: &Destination| other.name(self.entry) != destination.name(self.entry);
        let others = self.destinations();
        let mut near = others.iter().filter(|other| other.is_near(self.entry));
        estimate.is_cheaper_near() && destination.is_near(self.entry) && !near.any(is_other)
    }

    /// Returns whether the reason of the last refusal may be gone in a moment.
    fn is_refusal_temporary(&self) -> bool {
        matches!(self.refusal, Refusal::Busy | Refusal::Slow | Refusal::Cold | Refusal::Limited)
    }

    /// Takes one retry from the budget if the request may have reached a target before. Returns
    /// false if the budget does not allow it.
    fn take_retry_if_reached(&self) -> bool {
        self.reached == 0 || self.take_retry(self.reached)
    }

    /// Takes one retry from the budget for a request that may have reached `reached` targets.
    /// Returns false if the route or the budget does not allow it.
    fn take_retry(&self, reached: u32) -> bool {
        if reached >= self.route.attempts {
            return false;
        }
        let (now, bound) = (self.entry.clock.now(), self.entry.retry_bound.get());
        let mut budgets = self.entry.budgets.borrow_mut();
        let taken = budgets.value_mut(&self.service).take(now, &bound, self.entry.peers.fleet());
        if taken {
            self.entry.metrics.repeats.inc();
            self.entry.charge_repeat(self.token.as_ref());
        }
        taken
    }

    /// Chooses the best destination that was not tried. None if there is none.
    fn choose_destination(&self) -> Option<Destination> {
        let entry = self.entry;
        let now = entry.clock.now();
        let estimate =
            entry.estimates.borrow_mut().value_mut(&self.route.name).request(self.body.len());
        let mut destinations = self.destinations();
        if let Some(place) = self.trial_place()
            && let Some(at) = destinations.iter().position(|other| other.name(entry) == place)
        {
            return Some(destinations.swap_remove(at));
        }
        let own = entry.peers.own_view.borrow();
        let views: Vec<_> = destinations
            .iter()
            .map(|destination| match destination {
                Destination::Local => None,
                Destination::Remote(peer) => {
                    let near = entry.peers.is_same_data_centre(&peer.data_centre());
                    Some((peer.view.borrow(), near))
                }
            })
            .collect();
        let candidates = views.iter().map(|view| match view {
            None => Candidate { view: &own, near: true },
            Some((view, near)) => Candidate { view, near: *near },
        });
        let at = choose(now, &mut *entry.rng.borrow_mut(), &estimate, candidates)?;
        drop(views);
        Some(destinations.swap_remove(at))
    }

    /// Returns the only node whose guard may run the request, if it may have crashed targets and is to
    /// be tried now.
    fn trial_place(&self) -> Option<Name> {
        let guard = &self.entry.guard;
        if !guard.has_conclusions() {
            return None;
        }
        let print = fingerprint(&self.service, &self.method, &self.path, &self.fields, &self.body);
        guard.trial_place(print, || self.entry.peers.replicas(&self.service))
    }

    /// Returns the destinations that take requests of the service, are not out of service and were
    /// not tried.
    fn destinations(&self) -> Vec<Destination> {
        let entry = self.entry;
        let mut destinations = Vec::new();
        let own_name = &entry.peers.local_node().name;
        if !self.tried.contains(own_name) && entry.guard.serves(&self.service) {
            destinations.push(Destination::Local);
        }
        let ruleset = entry.ruleset.current();
        let is_out =
            |peer: &Peer| ruleset.as_ref().is_some_and(|set| set.is_out(&peer.data_centre()));
        entry.peers.for_each(|peer| {
            let is_tried = || self.tried.iter().any(|name| peer.has_name(name));
            if peer.serves(&self.service) && !is_tried() && !is_out(peer) {
                destinations.push(Destination::Remote(peer.clone()));
            }
        });
        destinations
    }

    /// Starts an attempt. `elsewhere` tells the guard that other targets are left, so that it runs
    /// the attempt at once or refuses it.
    fn start_attempt(&mut self, destination: &Destination, elsewhere: bool) -> RunningAttempt {
        self.attempts += 1;
        self.tried.push(destination.name(self.entry));
        let entry = self.entry;
        let begun = entry.clock.now();
        let estimate =
            entry.estimates.borrow_mut().value_mut(&self.route.name).request(self.body.len());
        let aim = self.arrived.after(self.route.aim_us);
        let aim = self.inherited.map_or(aim, |parent| parent.aim);
        let attempt = Attempt {
            id: self.id.clone(),
            service: self.service.clone(),
            caller: entry.caller.clone(),
            method: self.method.clone(),
            path: self.path.clone(),
            fields: self.fields.clone(),
            length: self.body.len() as u64,
            left_us: self.end().since(begun).saturating_sub(RETURN_US),
            aim_us: aim.since(begun).saturating_sub(RETURN_US),
            work_us: estimate.work_us as u64,
            priority: self.priority(),
            elsewhere,
        };
        let (deadline, slow_us) = (self.end(), self.slow_work_us());
        let (entry, destination, body) = (entry.clone(), destination.clone(), self.body.clone());
        Box::pin(execute(entry, destination, attempt, body, deadline, slow_us))
    }

    /// Records the outcome of an attempt and decides what to do next.
    fn handle_outcome(&mut self, destination: &Destination, outcome: Outcome) -> Next {
        let success = match &outcome {
            Outcome::Answer(answer) => Some(!answer.status.is_server_error()),
            Outcome::Lost { .. } | Outcome::NotRun { reached: true, .. } => Some(false),
            Outcome::NotRun { .. } => None,
        };
        if let Some(success) = success {
            destination.record_result(self.entry, success);
        }
        match outcome {
            Outcome::Answer(answer) => {
                self.reached += 1;
                self.target_us = answer.took_us;
                let mut estimates = self.entry.estimates.borrow_mut();
                estimates
                    .value_mut(&self.route.name)
                    .record_answer(answer.took_us, answer.body.len());
                if !answer.status.is_server_error() || self.route.repeat == Repeat::Never {
                    return Next::Respond(answer);
                }
                self.failure = Some(answer);
                Next::TryAnother
            }
            Outcome::NotRun { refusal, reached } => {
                self.reached += u32::from(reached);
                self.refusal = refusal;
                // No target runs a request that crashes them.
                match refusal {
                    Refusal::Quarantined => Next::Stop,
                    _ => Next::TryAnother,
                }
            }
            Outcome::Lost { detail } => {
                self.detail = detail;
                self.reached += 1;
                self.outcome_unknown = true;
                match self.route.repeat {
                    Repeat::Safe => Next::TryAnother,
                    Repeat::Never => Next::Stop,
                }
            }
        }
    }
}
