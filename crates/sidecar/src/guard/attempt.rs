//! Runs one attempt of a request at the target.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use platform::headers;
use policy::{Refusal, Time};
use wire::link::Attempt;

use crate::guard::pool::{self, Connection};
use crate::guard::starts::StartLimit;
use crate::guard::state::{Guard, Target};

/// Connections that are tried before a request that none of them accepted is refused.
const MAX_CONNECTIONS: usize = 3;

/// How long a target that answered early may take to read the rest of the request.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A complete answer of a target, from this VM or received from a peer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status, which may be an error that the target answered with.
    pub status: StatusCode,
    /// The headers as received. From a peer, these are the end-to-end headers only.
    pub headers: HeaderMap,
    /// The body, empty if there is none.
    pub body: Bytes,
    /// Time between the dispatch to the target and the end of its answer, in microseconds.
    pub took_us: u64,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The target ran the request and answered.
    Answer(Answer),
    /// The target did not run the request and will not, so that it may be sent to another target.
    NotRun {
        /// Why it was refused.
        refusal: Refusal,
        /// Whether the target itself refused it, and not the guard.
        reached: bool,
    },
    /// The target may have run the request, but there is no usable answer.
    Lost {
        /// What went wrong, for the log.
        detail: String,
    },
}

/// A complete answer, and how it arrived.
struct Received {
    answer: Answer,
    /// Whether the target had read the whole request by then, as far as can be told.
    read_whole: bool,
}

/// Why an exchange with the target yielded no complete answer.
enum Failure {
    /// The request was not sent: it could not be built, or no connection accepted it.
    Unsent(String),
    /// The request was not sent, because its limit had passed.
    Late,
    /// The exchange failed after the request was sent, so the target may have run it.
    Broken(String),
}

impl Guard {
    /// Runs an attempt at the target, unless it could not be sent there before the limit `start`.
    /// Dropping the future cancels the attempt, and closes its connection so that the target notices.
    pub async fn run(
        self: &Rc<Guard>,
        mut attempt: Attempt,
        body: Bytes,
        start: StartLimit,
    ) -> Outcome {
        let begun = self.clock.now();
        if let Some(per_s) = wire::take_limit(&mut attempt.fields) {
            self.restore_limit(per_s);
        }
        let outcome = self.admit_and_send(&attempt, body, &start).await;
        self.log(&attempt, &outcome, self.clock.now().since(begun));
        outcome
    }

    /// Logs an attempt that was late or has no answer, within a limit of lines per second.
    fn log(&self, attempt: &Attempt, outcome: &Outcome, took_us: u64) {
        let now = self.clock.now();
        let (refusal, detail) = match outcome {
            Outcome::Answer(_) if took_us <= attempt.aim_us => return,
            Outcome::Answer(_) => (None, ""),
            // The entry tries another target, and logs the request itself if that fails too.
            Outcome::NotRun { .. } if attempt.elsewhere => return,
            Outcome::NotRun { refusal, .. } => (Some(*refusal), ""),
            Outcome::Lost { detail } => (None, detail.as_str()),
        };
        let answer = match outcome {
            Outcome::Answer(answer) => Some(answer),
            _ => None,
        };
        let mut state = self.state.borrow_mut();
        if !state.log_budget.take(now, 1.0) {
            self.metrics.dropped_lines.inc();
            return;
        }
        let admission = &state.admission;
        tracing::info!(
            request = attempt.id,
            target = state.target.as_ref().map(|target| &*target.life.id),
            refusal = refusal.map(tracing::field::display),
            detail,
            took_us,
            target_us = answer.map(|answer| answer.took_us),
            left_us = attempt.left_us,
            running = admission.running(),
            waiting = admission.waiting(),
            slots = admission.slots(),
            slowness = admission.slowness(now),
            work_us = admission.work_us(),
            "guard: {}",
            match (answer, refusal) {
                (Some(_), _) => "late",
                (None, Some(_)) => "refused",
                (None, None) => "lost",
            }
        );
    }

    /// Waits for a slot, sends the request to the target, and classifies what comes back.
    async fn admit_and_send(
        self: &Rc<Guard>,
        attempt: &Attempt,
        body: Bytes,
        start: &StartLimit,
    ) -> Outcome {
        let deadline = self.clock.now().after(attempt.left_us);
        let not_run = |refusal| Outcome::NotRun { refusal, reached: false };
        if let Some(refusal) = self.refusal() {
            return not_run(refusal);
        }
        let Some(print) = self.identify(attempt, &body) else {
            return not_run(Refusal::Quarantined);
        };
        let acquired = tokio::select! {
            biased;
            acquired = self.acquire_slot(attempt, deadline) => acquired,
            () = start.passed(self.clock) => Err(Refusal::Late),
        };
        let mut slot = match acquired {
            Ok(slot) => slot,
            Err(refusal) => return not_run(refusal),
        };
        // The target may have changed while the attempt waited.
        if let Some(refusal) = self.refusal() {
            return not_run(refusal);
        }
        let target = self.state.borrow().target.clone();
        let Some(target) = target.filter(|target| target.service == attempt.service) else {
            return not_run(Refusal::NoTarget);
        };
        let mut run = self.watch_run(print, &target);
        if run.is_none() {
            return not_run(Refusal::Quarantined);
        }
        let until = self.clock.instant(deadline);
        let begun = self.clock.now();
        let tracked = self.track_evidence(attempt);
        let exchange = self.exchange(attempt, body, &target, deadline, start);
        let mut read_whole = false;
        let outcome = match tokio::time::timeout_at(until, exchange).await {
            Err(_) => Outcome::Lost { detail: "the deadline passed".to_owned() },
            Ok(Ok(received)) => {
                let mut answer = received.answer;
                read_whole = received.read_whole;
                answer.took_us = self.clock.now().since(begun);
                slot.took_us = Some(answer.took_us);
                let outcome = self.classify(answer);
                if !is_misdirected(&outcome) {
                    self.clear_broken(&target.life, begun);
                }
                outcome
            }
            Ok(Err(Failure::Late)) => not_run(Refusal::Late),
            Ok(Err(Failure::Unsent(detail))) => {
                self.suspect(&detail);
                not_run(Refusal::NoTarget)
            }
            Ok(Err(Failure::Broken(detail))) => {
                run.take().into_iter().for_each(|run| run.broke(&target));
                Outcome::Lost { detail }
            }
        };
        if let Some(run) = run {
            run.ended(&outcome, read_whole);
        }
        if let Some(tracked) = tracked {
            tracked.ended(&outcome);
        }
        outcome
    }

    /// Distinguishes an answer from a response that says that the target did not run the request. A
    /// successful answer without the target's signature is not passed on.
    fn classify(self: &Rc<Guard>, answer: Answer) -> Outcome {
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            self.suspect("another instance answers");
            return Outcome::NotRun { refusal: Refusal::Misdirected, reached: false };
        }
        if is_not_run(answer.status, &answer.headers) {
            return Outcome::NotRun { refusal: Refusal::Shed, reached: true };
        }
        let signed = answer.headers.contains_key(headers::RESPONSE_SIGNATURE);
        if answer.status.is_success() && !signed {
            return Outcome::Lost { detail: "the answer has no signature".to_owned() };
        }
        Outcome::Answer(answer)
    }

    /// Sends the request and receives the answer. Tries another connection while the request was
    /// certainly not sent.
    async fn exchange(
        self: &Rc<Guard>,
        attempt: &Attempt,
        body: Bytes,
        target: &Target,
        deadline: Time,
        start: &StartLimit,
    ) -> Result<Received, Failure> {
        let mut request = self
            .build_request(attempt, body, target, deadline)
            .map_err(|error| Failure::Unsent(error.to_string()))?;
        let mut detail = String::new();
        for _ in 0..MAX_CONNECTIONS {
            let mut connection = self.acquire_connection(attempt, target).await?;
            let sent = self.clock.now();
            if start.has_passed(sent) {
                return Err(Failure::Late);
            }
            self.metrics.target_requests.inc();
            match connection.send(request).await {
                Ok(response) => {
                    let received = self.receive(attempt, response, connection).await?;
                    self.note_answer(target, sent, &received.answer.headers);
                    return Ok(received);
                }
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) => {
                        detail = failed.error().to_string();
                        request = unsent;
                    }
                    None => return Err(Failure::Broken(failed.error().to_string())),
                },
            }
        }
        Err(Failure::Unsent(detail))
    }

    /// Returns an idle connection, or opens one.
    async fn acquire_connection(
        &self,
        attempt: &Attempt,
        target: &Target,
    ) -> Result<Connection, Failure> {
        let idle = self.pool.take(self.clock.now(), Some(&attempt.id));
        match idle.map_err(|closed| Failure::Unsent(closed.to_string()))? {
            Some(connection) => Ok(connection),
            None => {
                self.metrics.connections_opened.inc();
                let opened = pool::connect(target.address).await;
                opened.map_err(|error| Failure::Unsent(error.to_string()))
            }
        }
    }

    /// Reads the whole answer. Returns the connection to the pool only if the answer belongs to the
    /// request and is complete.
    async fn receive(
        &self,
        attempt: &Attempt,
        response: Response<Incoming>,
        mut connection: Connection,
    ) -> Result<Received, Failure> {
        let now = self.clock.now();
        if let Some(load) = headers::target_load(response.headers()) {
            let admission = &mut self.state.borrow_mut().admission;
            admission.set_slowness(now, load.slowness);
            admission.reported_pending(load.running.saturating_add(load.waiting));
        }
        let (head, body) = response.into_parts();
        if let Some(fault) = head_fault(head.status, &head.headers) {
            return Err(Failure::Broken(format!("no answer: {fault}")));
        }
        let echoed = head.headers.get(headers::REQUEST_ID).map(HeaderValue::as_bytes);
        // A target that did not run the request need not echo its id. On a connection that was used
        // before, such an answer may be a copy of one to an earlier request.
        let is_refusal = is_not_run(head.status, &head.headers);
        let is_ours = match echoed {
            Some(id) => id == attempt.id.as_bytes(),
            None => is_refusal && connection.is_first_use(),
        };
        if !is_ours {
            return Err(Failure::Broken("an answer to another request".to_owned()));
        }
        if is_refusal {
            connection.record_refusal(&attempt.id);
        }
        let body = self.bodies.read(body).await.map_err(Failure::Broken)?;
        let until = pool::idle_until(now, &head.headers);
        let read_whole = attempt.length == 0 || connection.is_ready();
        if connection.is_ready() {
            self.pool.put(connection, until);
        } else if !connection.is_closed() {
            // The target may not have read the rest of the request's body yet.
            let pool = self.pool.clone();
            tokio::task::spawn_local(async move {
                let ready = tokio::time::timeout(BODY_READ_TIMEOUT, connection.ready()).await;
                if matches!(ready, Ok(Ok(()))) {
                    pool.put(connection, until);
                }
            });
        }
        let answer = Answer { status: head.status, headers: head.headers, body, took_us: 0 };
        Ok(Received { answer, read_whole })
    }

    /// Builds the request to the target from the caller's headers and those that the platform sets.
    fn build_request(
        &self,
        attempt: &Attempt,
        body: Bytes,
        target: &Target,
        deadline: Time,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let builder = Request::builder().method(attempt.method.as_str()).uri(&attempt.path);
        let mut request = builder.body(Full::new(body))?;
        let fields = request.headers_mut();
        wire::add_fields(fields, &attempt.fields);
        if !fields.contains_key(header::HOST) {
            fields.insert(header::HOST, HeaderValue::try_from(target.address.to_string())?);
        }
        let left_ms = deadline.since(self.clock.now()) / 1_000;
        fields.insert(headers::TIMEOUT_MS, HeaderValue::from(left_ms));
        fields.insert(headers::TARGET_INSTANCE, HeaderValue::try_from(&*target.life.id)?);
        fields.insert(headers::CALLER_SERVICE, HeaderValue::try_from(&*attempt.caller)?);
        Ok(request)
    }
}

/// Returns whether a target can answer with a status. Informational ones precede an answer, and those
/// above 599 do not exist.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns why a head begins no answer: its status is none, or nobody can tell where its body ends. A
/// length beside chunks does not count; the HTTP library has removed it.
fn head_fault(status: StatusCode, fields: &HeaderMap) -> Option<&'static str> {
    let mut codings = fields.get_all(header::TRANSFER_ENCODING).iter();
    let is_chunked = |coding: &HeaderValue| coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    match (codings.next(), codings.next()) {
        _ if !is_final(status) => Some("it has no final status"),
        (None, _) => None,
        (Some(_), Some(_)) => Some("it has several transfer codings"),
        (Some(coding), None) if !is_chunked(coding) => Some("its transfer coding is unknown"),
        (Some(_), None) => None,
    }
}

/// Returns whether another instance than the target answered.
fn is_misdirected(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::NotRun { refusal: Refusal::Misdirected, .. })
}

/// Returns whether a response says that the target did not run the request.
fn is_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(headers::NOT_RUN)
}
