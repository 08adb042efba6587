//! Runs one attempt at the target.

use std::rc::Rc;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use platform::headers;
use policy::{Refusal, Time};
use wire::link::Attempt;

use crate::guard::pool::{self, Connection};
use crate::guard::state::{Guard, Target};

/// Connections that are tried before a request that none has taken is refused.
const CONNECTIONS: usize = 3;
/// The longest answer, in bytes: an eighth of the memory that the smallest VMs give a node.
const ANSWER_LIMIT: usize = 20_000_000;

/// A target's whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers as they came.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The time in the target, in microseconds.
    pub took_us: u64,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The target answered.
    Answer(Answer),
    /// The target did not run it and never will.
    NotRun {
        /// Why.
        refusal: Refusal,
        /// Whether it reached the target, which then refused it.
        reached: bool,
    },
    /// The target may have run it, and there is no answer.
    Lost {
        /// What was seen.
        detail: String,
    },
}

/// Why a request got no whole answer.
enum Failure {
    /// No connection took it.
    Unsent(String),
    /// It may have run.
    Broken(String),
}

impl Guard {
    /// Runs an attempt at the target. Dropping the future gives the attempt up: the target is told
    /// by the end of its connection.
    pub async fn run(self: &Rc<Guard>, attempt: &Attempt, body: Bytes) -> Outcome {
        let begun = self.clock.now();
        let outcome = self.decide(attempt, body).await;
        self.log(attempt, &outcome, self.clock.now().since(begun));
        outcome
    }

    /// Logs what ended late or without an answer, within a budget of lines.
    fn log(&self, attempt: &Attempt, outcome: &Outcome, took_us: u64) {
        let now = self.clock.now();
        let (refusal, detail) = match outcome {
            Outcome::Answer(_) if took_us <= attempt.aim_us => return,
            Outcome::Answer(_) => (None, ""),
            // Its entry asks elsewhere, and logs where that was in vain.
            Outcome::NotRun { .. } if attempt.elsewhere => return,
            Outcome::NotRun { refusal, .. } => (Some(*refusal), ""),
            Outcome::Lost { detail } => (None, detail.as_str()),
        };
        let answer = match outcome {
            Outcome::Answer(answer) => Some(answer),
            _ => None,
        };
        let mut state = self.state.borrow_mut();
        if !state.lines.take(now, 1.0) {
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

    async fn decide(self: &Rc<Guard>, attempt: &Attempt, body: Bytes) -> Outcome {
        let deadline = self.clock.now().after(attempt.left_us);
        let not_run = |refusal| Outcome::NotRun { refusal, reached: false };
        if let Some(refusal) = self.refuses() {
            return not_run(refusal);
        }
        let mut slot = match self.admit(attempt, deadline).await {
            Ok(slot) => slot,
            Err(refusal) => return not_run(refusal),
        };
        // The target may have changed while the attempt waited.
        if let Some(refusal) = self.refuses() {
            return not_run(refusal);
        }
        let target = self.state.borrow().target.clone();
        let Some(target) = target.filter(|target| target.service == attempt.service) else {
            return not_run(Refusal::NoTarget);
        };
        let until = self.clock.instant(deadline);
        let begun = self.clock.now();
        let exchange = self.exchange(attempt, body, &target, deadline);
        match tokio::time::timeout_at(until, exchange).await {
            Err(_) => Outcome::Lost { detail: "the deadline passed".to_owned() },
            Ok(Ok(mut answer)) => {
                answer.took_us = self.clock.now().since(begun);
                slot.took_us = Some(answer.took_us);
                self.judge(answer)
            }
            Ok(Err(Failure::Unsent(detail))) => {
                self.suspect(&detail);
                not_run(Refusal::NoTarget)
            }
            Ok(Err(Failure::Broken(detail))) => Outcome::Lost { detail },
        }
    }

    /// Tells an answer from the target's word that it did not run the request.
    fn judge(self: &Rc<Guard>, answer: Answer) -> Outcome {
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

    async fn exchange(
        &self,
        attempt: &Attempt,
        body: Bytes,
        target: &Target,
        deadline: Time,
    ) -> Result<Answer, Failure> {
        let mut request = self
            .request(attempt, body, target, deadline)
            .map_err(|error| Failure::Unsent(error.to_string()))?;
        let mut detail = String::new();
        for _ in 0..CONNECTIONS {
            let mut connection = self.connection(target).await?;
            match connection.try_send_request(request).await {
                Ok(response) => return self.receive(attempt, response, connection).await,
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

    async fn connection(&self, target: &Target) -> Result<Connection, Failure> {
        let idle = self.pool.take(self.clock.now());
        match idle.map_err(|closed| Failure::Unsent(closed.to_string()))? {
            Some(connection) => Ok(connection),
            None => {
                self.metrics.connections_opened.inc();
                let opened = pool::connect(target.address).await;
                opened.map_err(|error| Failure::Unsent(error.to_string()))
            }
        }
    }

    /// Reads the whole answer. The connection is used again only where nothing was amiss.
    async fn receive(
        &self,
        attempt: &Attempt,
        response: Response<Incoming>,
        mut connection: Connection,
    ) -> Result<Answer, Failure> {
        let now = self.clock.now();
        if let Some(load) = headers::target_load(response.headers()) {
            self.state.borrow_mut().admission.set_slowness(now, load.slowness);
        }
        let (head, body) = response.into_parts();
        let echoed = head.headers.get(headers::REQUEST_ID).map(HeaderValue::as_bytes);
        // A target that did not run the request need not repeat its id.
        let is_ours = match echoed {
            Some(id) => id == attempt.id.as_bytes(),
            None => is_not_run(head.status, &head.headers),
        };
        if !is_ours {
            return Err(Failure::Broken("an answer to another request".to_owned()));
        }
        let body = Limited::new(body, ANSWER_LIMIT).collect().await;
        let body = body.map_err(|error| Failure::Broken(format!("the answer is cut: {error}")))?;
        let until = pool::rests_until(now, &head.headers);
        if connection.is_ready() {
            self.pool.give(connection, until);
        } else if !connection.is_closed() {
            // The target may still have to read the rest of the request's body.
            let idle = self.pool.clone();
            tokio::task::spawn_local(async move {
                if connection.ready().await.is_ok() {
                    idle.give(connection, until);
                }
            });
        }
        let body = body.to_bytes();
        Ok(Answer { status: head.status, headers: head.headers, body, took_us: 0 })
    }

    fn request(
        &self,
        attempt: &Attempt,
        body: Bytes,
        target: &Target,
        deadline: Time,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let builder = Request::builder().method(attempt.method.as_str()).uri(&attempt.path);
        let mut request = builder.body(Full::new(body))?;
        let own = request.headers_mut();
        wire::add_fields(own, &attempt.fields);
        if !own.contains_key(header::HOST) {
            own.insert(header::HOST, HeaderValue::try_from(target.address.to_string())?);
        }
        let left_ms = deadline.since(self.clock.now()) / 1_000;
        own.insert(headers::TIMEOUT_MS, HeaderValue::from(left_ms));
        own.insert(headers::TARGET_INSTANCE, HeaderValue::try_from(&*target.life.id)?);
        own.insert(headers::CALLER_SERVICE, HeaderValue::try_from(&*attempt.caller)?);
        Ok(request)
    }
}

/// Whether an answer says that the target did not run the request.
fn is_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(headers::NOT_RUN)
}
