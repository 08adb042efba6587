//! Runs a request at the target and passes its answer back.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use policy::{DispatchOutcome, IdempotencyState, Load, StoredAnswer};
use tokio::sync::{mpsc, oneshot};
use wire::{Call, Field, Verdict};
use world::Code;

use crate::attempt::Event;
use crate::gate::Admitted;
use crate::headers;
use crate::node::Node;
use crate::once::STORED_LIMIT;
use crate::pieces::{Cut, PIECE_LIMIT, Piece, Pieces};
use crate::pool::Connection;
use crate::suspicion;

/// Connections that are tried before a request that none has taken is refused.
const CONNECTIONS: usize = 3;

/// The longest run of a request with a key. It goes on when its caller is gone, since its outcome
/// is kept. Also the longest transfer of a body, in microseconds.
const KEYED_LIMIT_US: u64 = 3_600_000_000;

/// Time after which an entry is told that its request runs, where the answer does not say so.
const NOTICE: std::time::Duration = std::time::Duration::from_millis(20);

/// How a dispatch failed.
#[derive(Debug)]
enum Failure {
    /// Nothing was sent to the target.
    NotSent,
    /// The target said that it did not run the request.
    Shed,
    /// The connection broke.
    Broken,
    /// The caller's body was cut.
    BodyCut,
    /// The deadline passed.
    Late,
    /// Nobody wants the answer any more.
    Unwanted,
}

/// Runs an admitted request. Its place at the target is given back when this returns.
pub async fn run(
    node: Arc<Node>,
    call: Call,
    body: mpsc::Receiver<Piece>,
    events: mpsc::Sender<Event>,
    mut admitted: Admitted,
) {
    if !call.whole {
        tell_running(&node, &events).await;
    }
    let address = admitted.target.address;
    match ask(&node, &call, body, &events, &admitted).await {
        Ok((response, connection)) => {
            admitted.place.headed(!response.status().is_server_error());
            if pass(&node, &call, response, events, &mut admitted).await {
                give_back(node, address, connection).await;
            }
        }
        Err(failure) => fail(&node, &call, &events, admitted, failure).await,
    }
}

async fn tell_running(node: &Node, events: &mpsc::Sender<Event>) {
    let load = node.gate.report(node.now());
    let _ = events.send(Event::Said(Verdict::Run(load))).await;
}

/// Sends the request and waits for the answer's head.
async fn ask(
    node: &Arc<Node>,
    call: &Call,
    body: mpsc::Receiver<Piece>,
    events: &mpsc::Sender<Event>,
    admitted: &Admitted,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let rest = (!call.whole).then_some(body);
    let pieces = Pieces::new(Bytes::from(call.prefix.clone()), rest, call.length);
    let (pieces, taken) = pieces.with_signal();
    let mut taken = Some(taken);
    let mut request = request(node, call, pieces, admitted).ok_or(Failure::NotSent)?;
    let address = admitted.target.address;
    for attempt in 0..CONNECTIONS {
        let connection = match attempt {
            0 => node.pool.take(address).await,
            _ => node.pool.fresh(address).await,
        };
        let mut connection = connection.map_err(|_| Failure::NotSent)?;
        let answer = tokio::select! {
            answer = connection.try_send_request(request) => answer,
            failure = watch(node, call, &mut taken, events, admitted) => return Err(failure),
        };
        let mut failed = match answer {
            Ok(response) if is_shed(&response) => return Err(Failure::Shed),
            Ok(response) => return Ok((response, connection)),
            Err(failed) => failed,
        };
        match failed.take_message() {
            Some(unsent) => request = unsent,
            None if is_body_cut(failed.error()) => return Err(Failure::BodyCut),
            None => return Err(Failure::Broken),
        }
    }
    Err(Failure::NotSent)
}

/// Returns why a request that is under way is to be given up, once it is.
async fn watch(
    node: &Node,
    call: &Call,
    taken: &mut Option<oneshot::Receiver<()>>,
    events: &mpsc::Sender<Event>,
    admitted: &Admitted,
) -> Failure {
    let is_keyed = call.key.is_some();
    let mut deadline = match call.whole && !is_keyed {
        true => admitted.deadline,
        false => node.now().after(KEYED_LIMIT_US),
    };
    let mut silent = call.whole;
    let notice = tokio::time::sleep(NOTICE);
    tokio::pin!(notice);
    let mut warned = false;
    loop {
        tokio::select! {
            _ = events.closed(), if !is_keyed => return Failure::Unwanted,
            _ = admitted.place.slowed(), if !warned => {
                warned = true;
                let _ = events.send(Event::Said(Verdict::Slow)).await;
            }
            _ = &mut notice, if silent => {
                silent = false;
                tell_running(node, events).await;
            }
            whole = received(taken), if taken.is_some() => {
                *taken = None;
                if whole {
                    admitted.place.received();
                }
                if whole && !call.whole && !is_keyed {
                    deadline = node.now().after(call.left_us);
                }
            }
            _ = tokio::time::sleep_until(node.clock.instant(deadline)) => return Failure::Late,
        }
    }
}

/// Waits until the target has the whole body. Returns false where the body was cut.
async fn received(taken: &mut Option<oneshot::Receiver<()>>) -> bool {
    match taken {
        Some(taken) => taken.await.is_ok(),
        None => false,
    }
}

fn request(
    node: &Node,
    call: &Call,
    pieces: Pieces,
    admitted: &Admitted,
) -> Option<Request<Pieces>> {
    let builder = Request::builder().method(call.method.as_str()).uri(call.path.as_str());
    let mut request = builder.body(pieces).ok()?;
    let own = request.headers_mut();
    wire::add_fields(own, &call.fields);
    if !own.contains_key(header::HOST) {
        let host = HeaderValue::from_str(&admitted.target.address.to_string()).ok()?;
        own.insert(header::HOST, host);
    }
    let left_ms = admitted.deadline.since(node.now()) / 1_000;
    own.insert(headers::DEADLINE, HeaderValue::from(left_ms));
    let id = HeaderValue::from_str(&format!("{:016x}", call.request)).ok()?;
    own.insert(headers::REQUEST_ID, id);
    Some(request)
}

/// Whether the target says that it did not run the request.
fn is_shed(response: &Response<Incoming>) -> bool {
    let status = response.status();
    let refused = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
    refused.contains(&status)
        && headers::text(response.headers(), headers::NOT_RUN.as_str()) == Some("true")
}

/// Whether sending failed because the caller's own body was cut.
fn is_body_cut(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    source.is_some_and(|source| source.is::<Cut>())
}

/// Passes the answer on. Returns whether it came whole.
async fn pass(
    node: &Arc<Node>,
    call: &Call,
    response: Response<Incoming>,
    events: mpsc::Sender<Event>,
    admitted: &mut Admitted,
) -> bool {
    let (head, mut body) = response.into_parts();
    let fields = headers::end_to_end(&head.headers);
    let length = body.size_hint().exact();
    let mut kept = Kept::new(call, head.status.as_u16(), &fields);
    let head = |load| {
        let status = head.status.as_u16();
        Event::Said(Verdict::Head { request: call.request, status, fields, length, load })
    };
    let passed = if length.is_some_and(|length| length <= PIECE_LIMIT as u64) {
        pass_small(node, &mut body, &mut kept, head, &events).await
    } else {
        let _ = events.send(head(node.gate.report(node.now()))).await;
        pass_large(call, &mut body, &mut kept, &events).await
    };
    let held = admitted.held.take();
    match passed {
        Passed::Whole => {
            admitted.place.outcome = DispatchOutcome::Answered;
            suspicion::answered(node, call);
            if let Some(held) = held {
                held.finish(kept.state())
            }
            let _ = events.send(Event::End).await;
        }
        Passed::Cut => {
            admitted.place.outcome = DispatchOutcome::Broken;
            if let Some(held) = held {
                held.finish(IdempotencyState::Lost)
            }
            suspicion::broke(node, call).await;
            let (code, load) = (Code::AnswerCut, node.gate.report(node.now()));
            let _ = events.send(Event::Said(Verdict::Failed { code, not_run: false, load })).await;
        }
        Passed::Unwanted => {}
    }
    passed == Passed::Whole
}

/// How the passing on of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Passed {
    /// The target's answer came whole.
    Whole,
    /// The target's answer was cut.
    Cut,
    /// Nobody wanted the rest of it.
    Unwanted,
}

/// Holds a small answer whole before its head is told, so that it goes in one packet, and a cut one
/// is told as a failure.
async fn pass_small(
    node: &Node,
    body: &mut Incoming,
    kept: &mut Kept,
    head: impl FnOnce(Option<Load>) -> Event,
    events: &mpsc::Sender<Event>,
) -> Passed {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Passed::Cut };
        if let Ok(bytes) = frame.into_data() {
            whole.extend_from_slice(&bytes);
        }
    }
    kept.add(&whole);
    let _ = events.send(head(node.gate.report(node.now()))).await;
    if !whole.is_empty() {
        let _ = events.send(Event::Chunk(whole.freeze())).await;
    }
    Passed::Whole
}

async fn pass_large(
    call: &Call,
    body: &mut Incoming,
    kept: &mut Kept,
    events: &mpsc::Sender<Event>,
) -> Passed {
    loop {
        if events.is_closed() && call.key.is_none() {
            return Passed::Unwanted;
        }
        match body.frame().await {
            None => return Passed::Whole,
            Some(Err(_)) => return Passed::Cut,
            Some(Ok(frame)) => {
                let Ok(bytes) = frame.into_data() else { continue };
                kept.add(&bytes);
                let _ = events.send(Event::Chunk(bytes)).await;
            }
        }
    }
}

/// Tells the owner that the request failed, and the table and the peers what they need to know.
async fn fail(
    node: &Arc<Node>,
    call: &Call,
    events: &mpsc::Sender<Event>,
    mut admitted: Admitted,
    failure: Failure,
) {
    let held = admitted.held.take();
    let address = admitted.target.address;
    admitted.place.outcome = match failure {
        Failure::Shed => DispatchOutcome::Shed,
        Failure::Broken => DispatchOutcome::Broken,
        _ => DispatchOutcome::Cancelled,
    };
    if matches!(failure, Failure::Broken) {
        // The suspect's permit must still be held here: it is what convicts.
        suspicion::broke(node, call).await;
    }
    drop(admitted);
    let (code, not_run) = match failure {
        Failure::NotSent => (Code::NoTarget, true),
        Failure::Shed => (Code::TargetRefused, true),
        Failure::Broken => (Code::TargetFailed, false),
        Failure::BodyCut => (Code::BadRequest, false),
        Failure::Late => (Code::DeadlinePassed, false),
        Failure::Unwanted => (Code::DeadlinePassed, false),
    };
    match held {
        Some(held) if not_run => held.void().await,
        Some(held) => held.finish(IdempotencyState::Lost),
        None => {}
    }
    if matches!(failure, Failure::NotSent | Failure::Broken) {
        check_alive(node, address).await;
    }
    let load = node.gate.report(node.now());
    let _ = events.send(Event::Said(Verdict::Failed { code, not_run, load })).await;
}

/// Takes the target for dead where it accepts no connection.
async fn check_alive(node: &Node, address: SocketAddr) {
    match node.pool.fresh(address).await {
        Ok(connection) => node.pool.give(address, connection),
        Err(error) => {
            tracing::warn!("guard: the target at {address} accepts no connection: {error}");
            node.gate.died();
        }
    }
}

/// Gives a connection back once it can take another request.
async fn give_back(node: Arc<Node>, address: SocketAddr, mut connection: Connection) {
    if connection.ready().await.is_ok() {
        node.pool.give(address, connection);
    }
}

/// What is kept of an answer for resends of its key.
struct Kept {
    /// None where the request has no key or the answer is too large.
    stored: Option<StoredAnswer>,
}

impl Kept {
    fn new(call: &Call, status: u16, fields: &[Field]) -> Kept {
        let keep = call.key.is_some();
        let pair = |field: &Field| (field.name.clone(), field.value.clone());
        let stored = || StoredAnswer {
            status,
            headers: fields.iter().map(pair).collect(),
            body: Vec::new(),
        };
        Kept { stored: keep.then(stored) }
    }

    fn add(&mut self, bytes: &[u8]) {
        if let Some(stored) = &mut self.stored {
            stored.body.extend_from_slice(bytes);
        }
        let is_large = |stored: &StoredAnswer| stored.body.len() > STORED_LIMIT;
        if self.stored.as_ref().is_some_and(is_large) {
            self.stored = None;
        }
    }

    fn state(self) -> IdempotencyState {
        self.stored.map_or(IdempotencyState::TooLarge, IdempotencyState::Done)
    }
}
