//! Serves callers' connections.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use platform::headers;
use policy::Time;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use world::{Code, Repeat};

use crate::entry::ahead::Ahead;
use crate::entry::answers::{Reply, refuse};
use crate::entry::socket::Socket;
use crate::entry::state::Entry;

/// Connections that wait to be accepted. Beyond these a caller's first packet is dropped and sent
/// again only after a second.
const BACKLOG: u32 = 1_024;
/// The longest head before any limit is known, in bytes.
const HEAD_BYTES: usize = 16 * 1024;
/// The least size of a connection's buffer that the server accepts, in bytes.
const LEAST_BUFFER: usize = 8 * 1024;
/// The time without a request after which a connection is closed before any limit is known.
const IDLE: Duration = Duration::from_secs(15);
/// A connection is kept this much longer than callers may leave it idle, so that none is closed
/// under a request.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// The longest body before any limit is known, in bytes.
const BODY_BYTES: u64 = 64 * 1024 * 1024;
/// The longest wait for the caller's end of a connection that was closed here.
const LINGER: Duration = Duration::from_secs(1);
/// The pause between two looks at a connection that is to be closed.
const CLOSE_LOOK: Duration = Duration::from_millis(10);
/// The longest wait for a body whose caller sets no time.
const BODY_WAIT_US: u64 = 30_000_000;

/// Binds a listener.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The server of callers. Closing it ends idle connections, and others after their answer.
#[derive(Debug)]
pub struct Callers {
    closing: watch::Sender<bool>,
    accepting: JoinHandle<()>,
}

impl Callers {
    /// Serves callers on a listener.
    pub fn spawn(listener: TcpListener, entry: Rc<Entry>) -> Callers {
        let (closing, closed) = watch::channel(false);
        let accepting = tokio::task::spawn_local(accept(listener, entry, closed));
        Callers { closing, accepting }
    }

    /// Accepts no connection any more, and ends those that are open.
    pub fn close(&self) {
        self.accepting.abort();
        self.closing.send_replace(true);
    }

    /// Waits until every connection has ended.
    pub async fn ended(&self) {
        self.closing.closed().await;
    }
}

async fn accept(listener: TcpListener, entry: Rc<Entry>, closing: watch::Receiver<bool>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serve = serve(stream, entry.clone(), closing.clone());
                tokio::task::spawn_local(serve);
            }
            Err(error) => {
                tracing::warn!(%error, "callers: a connection was not accepted");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, entry: Rc<Entry>, mut closing: watch::Receiver<bool>) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "callers: a connection ended at once");
        return;
    }
    let ahead = Rc::new(RefCell::new(Ahead::default()));
    let socket = {
        let (entry, ahead) = (entry.clone(), ahead.clone());
        let start = move |head: Parts| start_ahead(&entry, head);
        Socket::new(stream, move |bytes| ahead.borrow_mut().scan(bytes, &start))
    };
    let limits = entry.rules.current().map(|rules| rules.routing.limits);
    let head_bytes = limits.map_or(HEAD_BYTES, |limits| limits.head_bytes as usize);
    let idle = limits.map_or(IDLE, |limits| Duration::from_micros(limits.idle_us));
    let service = service_fn(|request| {
        let (entry, ahead) = (entry.clone(), ahead.clone());
        async move {
            let started = ahead.borrow_mut().begin();
            let early = match started {
                Some(started) => started.answer().await,
                None => None,
            };
            let reply = match early {
                Some(reply) => reply,
                None => answer(&entry, request).await,
            };
            let mut ahead = ahead.borrow_mut();
            ahead.answered();
            // What was started ahead is under way and must be answered on this connection.
            let closes = entry.is_draining() && !ahead.is_waiting();
            Ok::<_, Infallible>(if closes { closing_reply(reply) } else { reply })
        }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle + IDLE_SLACK)
        .max_buf_size(head_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(socket.clone()), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        // Dropping the connection gives up what its caller no longer waits for.
        () = socket.closed() => return,
        () = closed(&mut closing, &ahead) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    match ended {
        // Closing while bytes of the caller are unread would reset the connection, and with it the
        // last answer.
        Ok(()) => drop(tokio::time::timeout(LINGER, socket.discard()).await),
        Err(error) => tracing::debug!(%error, "callers: a connection broke"),
    }
}

/// Waits until the connection is to be closed and nothing that was started ahead waits for it.
async fn closed(closing: &mut watch::Receiver<bool>, ahead: &RefCell<Ahead>) {
    // An error means that the node ends.
    let _ = closing.wait_for(|closing| *closing).await;
    while ahead.borrow().is_waiting() {
        tokio::time::sleep(CLOSE_LOOK).await;
    }
}

/// Starts a request that was sent ahead, where it may run twice: the caller sends it again if an
/// earlier answer closes the connection.
fn start_ahead(entry: &Rc<Entry>, head: Parts) -> Option<JoinHandle<Reply>> {
    if entry.is_draining() {
        // The answer before it closes the connection, and the caller sends it again.
        return None;
    }
    let rules = entry.rules.current()?;
    let route = rules.routing.route(host(&head)?, head.uri.path())?;
    (route.repeat == Repeat::Safe).then(|| {
        let entry = entry.clone();
        tokio::task::spawn_local(async move {
            let _busy = entry.busy();
            let arrived = entry.clock.now();
            entry.serve(&head, Bytes::new(), arrived).await
        })
    })
}

/// Returns the host that a request is for.
pub fn host(head: &Parts) -> Option<&str> {
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    host.or(head.uri.authority().map(|authority| authority.as_str()))
}

fn closing_reply(mut reply: Reply) -> Reply {
    reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    reply
}

async fn answer(entry: &Rc<Entry>, request: Request<Incoming>) -> Reply {
    let _busy = entry.busy();
    let arrived = entry.clock.now();
    let (head, body) = request.into_parts();
    let id = head.headers.get(headers::REQUEST_ID).cloned();
    let limits = entry.rules.current().map(|rules| rules.routing.limits);
    let most = limits.map_or(BODY_BYTES, |limits| limits.body_bytes);
    let wait_us = timeout_us(&head.headers).unwrap_or(BODY_WAIT_US);
    let until = entry.clock.instant(arrived.after(wait_us));
    let collected = Limited::new(body, most as usize).collect();
    let body = match tokio::time::timeout_at(until, collected).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return refuse(Code::BadRequest, StatusCode::PAYLOAD_TOO_LARGE, id.as_ref());
        }
        Ok(Err(error)) => {
            tracing::debug!(%error, "callers: a body was cut");
            return refuse(Code::BadRequest, StatusCode::BAD_REQUEST, id.as_ref());
        }
        Err(_) => return refuse(Code::BadRequest, StatusCode::REQUEST_TIMEOUT, id.as_ref()),
    };
    entry.serve(&head, body, arrived).await
}

/// Reads how long the caller will wait, in microseconds.
pub fn timeout_us(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(headers::TIMEOUT_MS)?.to_str().ok()?;
    let ms: f64 = text.trim().parse().ok()?;
    (ms >= 0.0).then_some((ms * 1e3) as u64)
}

/// Returns when a request that arrived at `arrived` must be answered.
pub fn deadline(arrived: Time, headers: &HeaderMap, route_us: u64) -> Time {
    let caller_us = timeout_us(headers).unwrap_or(u64::MAX);
    arrived.after(caller_us.min(route_us))
}
