//! The HTTP server for callers on this VM.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, Request, StatusCode};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use platform::headers;
use policy::{BodyKind, ConnectionPhase, Time};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use world::{Code, Repeat};

use crate::entry::connections::Connection;
use crate::entry::pipeline::Pipeline;
use crate::entry::read_ahead::ReadAheadStream;
use crate::entry::responses::{CallerResponse, error_response};
use crate::entry::state::Entry;

/// Length of the kernel's queue of connections to accept. Beyond it a caller's first packet is
/// dropped, and TCP sends it again only after a second.
const LISTEN_BACKLOG: u32 = 1_024;
/// The longest head while there is no ruleset.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// The smallest buffer that the HTTP server accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// The time without a request after which a connection is closed while there is no ruleset.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// A connection is kept this much longer than callers may leave it idle, so that it is not closed
/// just when a caller sends a request.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// The longest body while there is no ruleset.
const DEFAULT_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// How long the node waits for the caller to close a connection that the node has shut down.
const LINGER: Duration = Duration::from_secs(1);
/// How long a caller whose connection was accepted just before the node stops to accept has to send
/// its first request.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(300);
/// How often a connection that is to be closed is checked for pipelined requests that are left.
const CLOSE_CHECK: Duration = Duration::from_millis(10);
/// The longest wait for a body if the caller sets no timeout.
const DEFAULT_BODY_WAIT_US: u64 = 30_000_000;

/// Binds a listener to an address, even if connections of an earlier process still use it.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// The running server. Closing it ends idle connections, and others after their response.
#[derive(Debug)]
pub struct CallerServer {
    closing: watch::Sender<bool>,
}

impl CallerServer {
    /// Starts to serve the connections of a listener.
    pub fn spawn(listener: TcpListener, entry: Rc<Entry>) -> CallerServer {
        let (closing, closed) = watch::channel(false);
        tokio::task::spawn_local(accept(listener, entry, closed));
        CallerServer { closing }
    }

    /// Accepts no more connections, and begins to close those that are open.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until every connection is closed.
    pub async fn wait_closed(&self) {
        self.closing.closed().await;
    }
}

async fn accept(listener: TcpListener, entry: Rc<Entry>, closing: watch::Receiver<bool>) {
    let start = |stream| {
        tokio::task::spawn_local(serve(stream, entry.clone(), closing.clone()));
    };
    let mut closed = closing.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // An error means that the server was dropped, so the process is about to end.
            _ = closed.wait_for(|closing| *closing) => break,
        };
        match accepted {
            Ok((stream, _)) => start(stream),
            Err(error) => {
                tracing::warn!(%error, "callers: cannot accept a connection");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
    // Closing the listener resets the connections that wait to be accepted. The runtime does not
    // know yet of those that arrived since it last polled.
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, _)) = listener.accept() {
        if stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            start(stream);
        }
    }
}

async fn serve(stream: TcpStream, entry: Rc<Entry>, mut closing: watch::Receiver<bool>) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "callers: a connection failed before its first request");
        return;
    }
    // Callers whose request was not read send it again.
    let Some(open) = entry.connections.open() else { return };
    let state = open.get();
    let accepted = Instant::now();
    let pipeline = Rc::new(RefCell::new(Pipeline::default()));
    let stream = {
        let memory = entry.guard.bodies.open(BodyKind::Request);
        let (entry, pipeline) = (entry.clone(), pipeline.clone());
        let start = move |head: Parts| start_early(&entry, head);
        let observer = move |bytes: &[u8]| pipeline.borrow_mut().scan(bytes, &start);
        ReadAheadStream::new(stream, state.clone(), memory, observer)
    };
    let limits = entry.ruleset.current().map(|ruleset| ruleset.routing.limits);
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.head_bytes as usize);
    let idle = limits.map_or(DEFAULT_IDLE, |limits| Duration::from_micros(limits.idle_us));
    let service = service_fn(|request| {
        let (entry, pipeline, state) = (entry.clone(), pipeline.clone(), state.clone());
        async move {
            let started = pipeline.borrow_mut().begin_next();
            state.set_phase(ConnectionPhase::Serving);
            let early = match started {
                Some(started) => started.response().await,
                None => None,
            };
            let response = match early {
                Some(response) => response,
                None => serve_request(&entry, request, &state).await,
            };
            state.set_phase(ConnectionPhase::Waiting);
            let mut pipeline = pipeline.borrow_mut();
            pipeline.record_answer();
            // Requests that were started early are running and must be answered on this connection.
            let closes = entry.is_draining() && !pipeline.has_early_requests();
            Ok::<_, Infallible>(if closes { with_close(response) } else { response })
        }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle + IDLE_SLACK)
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream.clone()), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        biased;
        // Before a request that may just have arrived is begun.
        () = state.closed() => {
            tracing::debug!("callers: closed a connection to make room");
            return;
        }
        ended = connection.as_mut() => ended,
        // The caller has closed the connection. Dropping it cancels the requests on it.
        () = stream.read_until_closed() => return,
        () = wait_for_close(&mut closing, &pipeline, accepted) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    match ended {
        // Closing the socket while bytes of the caller are unread would reset the connection, and
        // the caller could lose the last response.
        Ok(()) => tokio::select! {
            _ = tokio::time::timeout(LINGER, stream.discard_until_closed()) => {}
            () = state.closed() => {}
        },
        Err(error) => tracing::debug!(%error, "callers: a connection failed"),
    }
}

/// Waits until the server is closing and no request that was started early is left on the
/// connection, nor a first request that the caller may still send.
async fn wait_for_close(
    closing: &mut watch::Receiver<bool>,
    pipeline: &RefCell<Pipeline>,
    accepted: Instant,
) {
    // An error means that the server was dropped, so the process is about to end.
    let _ = closing.wait_for(|closing| *closing).await;
    let is_due = || {
        let pipeline = pipeline.borrow();
        let is_new = pipeline.is_unused() && accepted.elapsed() < FIRST_REQUEST_WAIT;
        !is_new && !pipeline.has_early_requests()
    };
    while !is_due() {
        tokio::time::sleep(CLOSE_CHECK).await;
    }
}

/// Starts a pipelined request if it may run twice. Others wait for the server, because the caller
/// sends a request again if an earlier response closes the connection.
fn start_early(entry: &Rc<Entry>, head: Parts) -> Option<JoinHandle<CallerResponse>> {
    if entry.is_draining() {
        // The next response closes the connection, and the caller sends this request again.
        return None;
    }
    let ruleset = entry.ruleset.current()?;
    let route = ruleset.routing.route(host(&head)?, head.uri.path())?;
    (route.repeat == Repeat::Safe).then(|| {
        let entry = entry.clone();
        tokio::task::spawn_local(async move {
            let _pending = entry.track_request();
            let arrived = entry.clock.now();
            entry.serve(&head, Bytes::new(), arrived).await
        })
    })
}

/// Returns the host that a request is for, from the `host` header or the request's URI.
pub fn host(head: &Parts) -> Option<&str> {
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    host.or(head.uri.authority().map(|authority| authority.as_str()))
}

/// Adds `connection: close` to a response, after which the server closes the connection.
fn with_close(mut response: CallerResponse) -> CallerResponse {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Reads a request's body and serves it.
async fn serve_request(
    entry: &Rc<Entry>,
    request: Request<Incoming>,
    connection: &Rc<Connection>,
) -> CallerResponse {
    let _pending = entry.track_request();
    let arrived = entry.clock.now();
    let (head, body) = request.into_parts();
    if let Some(response) = refuse_early(entry, &head) {
        // The rest of the body is not read.
        return if body.is_end_stream() { response } else { with_close(response) };
    }
    let id = head.headers.get(headers::REQUEST_ID).cloned();
    let limits = entry.ruleset.current().map(|ruleset| ruleset.routing.limits);
    let max_bytes = limits.map_or(DEFAULT_BODY_BYTES, |limits| limits.body_bytes);
    let wait_us = caller_timeout_us(&head.headers).unwrap_or(DEFAULT_BODY_WAIT_US);
    let until = entry.clock.instant(arrived.after(wait_us));
    let read = entry.read_body(body, max_bytes as usize, connection);
    let read = tokio::select! {
        read = tokio::time::timeout_at(until, read) => read,
        () = entry.start_passed(entry.slow_work_us(&head)) => {
            return entry.refuse_stopping(&head, arrived);
        }
    };
    connection.set_phase(ConnectionPhase::Serving);
    match read {
        Ok(Ok(body)) => entry.serve(&head, body, arrived).await,
        Ok(Err(error)) => with_close(entry.refuse_body(&error, id.as_ref())),
        Err(_) => error_response(Code::BadRequest, StatusCode::REQUEST_TIMEOUT, id.as_ref()),
    }
}

/// Returns the response to a request that is refused by its head alone: without a valid key, or over
/// the quota of its workspace.
fn refuse_early(entry: &Rc<Entry>, head: &Parts) -> Option<CallerResponse> {
    match entry.check_key(head) {
        Ok(holder) => entry.refuse_known(holder.as_ref(), head),
        Err(refused) => Some(entry.refuse_key(refused, head)),
    }
}

/// Returns how long the caller will wait, from its `x-timeout-ms` header. None if it does not say
/// or the value is not a number of at least 0.
pub fn caller_timeout_us(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(headers::TIMEOUT_MS)?.to_str().ok()?;
    let ms: f64 = text.trim().parse().ok()?;
    (ms >= 0.0).then_some((ms * 1e3) as u64)
}

/// Returns the deadline of a request: the caller's timeout or the route's, whichever is shorter.
pub fn deadline(arrived: Time, headers: &HeaderMap, route_us: u64) -> Time {
    let caller_us = caller_timeout_us(headers).unwrap_or(u64::MAX);
    arrived.after(caller_us.min(route_us))
}
