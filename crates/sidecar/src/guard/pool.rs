//! Idle keep-alive connections to the target.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use policy::Time;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The longest wait for a connection. The target is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long an idle connection is kept if the target does not say how long it keeps one, in
/// microseconds.
const DEFAULT_IDLE_US: u64 = 4_000_000;
/// Share of the target's keep-alive timeout for which an idle connection is used, so that none is
/// used at the moment at which the target closes it.
const IDLE_SHARE: f64 = 0.7;
/// Limit of a connection's buffer, and so of what is read ahead.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Refusals after which a connection is not used again, so that their ids need not be kept.
const MAX_REFUSED: usize = 32;

/// Idle connections found closed together from which a restart of the target is suspected. A single
/// one may be closed at any time.
const CLOSED_BY_RESTART: usize = 2;

/// The most bytes that a target may send before the head of its answer is complete, informational
/// answers included. What was read with the end of the head counts too, up to a whole buffer.
const MAX_HEAD_BYTES: usize = 4 * MAX_BUFFER_BYTES;

/// An HTTP/1 connection to the target, which carries one request at a time.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Bytes that may still be read before the head of the answer is complete.
    head_bytes: Arc<AtomicUsize>,
    /// Requests that were sent on it, health checks included.
    sent: u32,
    /// Ids of requests that the target refused on it. A copy of such an answer may still arrive, and
    /// would be taken for the answer to the same request if that were sent on it once more.
    refused: Vec<String>,
}

impl Connection {
    /// Sends a request and returns its answer, whose body is still to be read. The error holds the
    /// request if it was certainly not sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.sent += 1;
        self.head_bytes.store(MAX_HEAD_BYTES, Ordering::Relaxed);
        let answer = self.sender.try_send_request(request).await;
        self.head_bytes.store(usize::MAX, Ordering::Relaxed);
        answer
    }

    /// Returns whether no more than one request was sent on it, to which every answer on it belongs.
    pub fn is_first_use(&self) -> bool {
        self.sent <= 1
    }

    /// Records that the target refused a request on it.
    pub fn record_refusal(&mut self, id: &str) {
        self.refused.push(id.to_owned());
    }

    /// Returns whether a request with this id can be sent on it.
    fn may_carry(&self, id: Option<&str>) -> bool {
        id.is_none_or(|id| self.refused.iter().all(|refused| refused != id))
    }

    /// Returns whether it can take a request at once.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether it is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until it can take a request. Fails if it is closed.
    pub async fn ready(&mut self) -> Result<(), hyper::Error> {
        self.sender.ready().await
    }
}

/// A stream that fails when more bytes arrive before the head of an answer than a head may have.
struct HeadLimited {
    stream: TcpStream,
    head_bytes: Arc<AtomicUsize>,
}

impl AsyncRead for HeadLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = out.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, out))?;
        let count = out.filled().len() - before;
        let left = self.head_bytes.load(Ordering::Relaxed);
        if left == usize::MAX {
            return Poll::Ready(Ok(()));
        }
        if count > left {
            return Poll::Ready(Err(io::Error::other("the head of the answer is too long")));
        }
        self.head_bytes.store(left - count, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HeadLimited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The target closed several idle connections before they expired, and none is left.
#[derive(Clone, Copy, Debug, Display, derive_more::Error)]
#[display("the target closed every idle connection")]
pub struct AllClosed;

/// Idle connections with the time until which each may be used, the longest idle one first.
///
/// The longest idle one is used first, so that all stay below the target's timeout, and so that a
/// surplus answer to an earlier request arrives while its connection is idle and closes it.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Rc<RefCell<VecDeque<(Connection, Time)>>>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("Pool").field("idle", &self.idle.borrow().len()).finish()
    }
}

impl Pool {
    /// Returns an idle connection that can be used for a request with this id, or for a health check
    /// without one. Fails if several were idle and the target closed all of them before they expired,
    /// since it may have restarted.
    pub fn take(&self, now: Time, id: Option<&str>) -> Result<Option<Connection>, AllClosed> {
        let mut idle = self.idle.borrow_mut();
        let mut closed = 0;
        let mut at = 0;
        while at < idle.len() {
            let (connection, until) = &idle[at];
            let is_usable = *until > now && connection.is_ready();
            if is_usable && !connection.may_carry(id) {
                at += 1;
                continue;
            }
            closed += usize::from(*until > now && !is_usable);
            let taken = idle.remove(at);
            if is_usable {
                return Ok(taken.map(|(connection, _)| connection));
            }
        }
        if closed >= CLOSED_BY_RESTART && idle.is_empty() { Err(AllClosed) } else { Ok(None) }
    }

    /// Returns a connection to the pool, to be used again before the time `until`. Its last answer
    /// must have been read whole.
    pub fn put(&self, connection: Connection, until: Time) {
        if connection.refused.len() >= MAX_REFUSED {
            return;
        }
        self.idle.borrow_mut().push_back((connection, until));
    }

    /// Closes every idle connection.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// Opens a connection, and fails if that takes longer than a second.
pub async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let head_bytes = Arc::new(AtomicUsize::new(usize::MAX));
    let stream = HeadLimited { stream, head_bytes: head_bytes.clone() };
    let handshake = Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(io::Error::other)?;
    tokio::spawn(connection);
    sender.ready().await.map_err(io::Error::other)?;
    Ok(Connection { sender, head_bytes, sent: 0, refused: Vec::new() })
}

/// Returns until when a connection may be idle after an answer with these headers, by the timeout
/// in its `keep-alive` header.
pub fn idle_until(now: Time, headers: &HeaderMap) -> Time {
    let text = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = text.and_then(|text| {
        let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<f64>().ok()
    });
    now.after(seconds.map_or(DEFAULT_IDLE_US, |seconds| (seconds * 1e6 * IDLE_SHARE) as u64))
}
