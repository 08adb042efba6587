//! Idle keep-alive connections to the target.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http::HeaderMap;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use policy::Time;
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

/// Idle connections found closed together from which a restart of the target is suspected. A single
/// one may be closed at any time.
const CLOSED_BY_RESTART: usize = 2;

/// An HTTP/1 connection to the target, which carries one request at a time.
pub type Connection = SendRequest<Full<Bytes>>;

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
    /// Returns an idle connection that can be used, if any. Fails if several were idle and the
    /// target closed all of them before they expired, since it may have restarted.
    pub fn take(&self, now: Time) -> Result<Option<Connection>, AllClosed> {
        let mut idle = self.idle.borrow_mut();
        let mut closed = 0;
        while let Some((connection, until)) = idle.pop_front() {
            if until <= now {
                continue;
            }
            if connection.is_ready() {
                return Ok(Some(connection));
            }
            closed += 1;
        }
        if closed >= CLOSED_BY_RESTART { Err(AllClosed) } else { Ok(None) }
    }

    /// Returns a connection to the pool, to be used again before the time `until`. Its last answer
    /// must have been read whole.
    pub fn put(&self, connection: Connection, until: Time) {
        self.idle.borrow_mut().push_back((connection, until));
    }

    /// Closes every idle connection.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// Opens a connection, and fails if that takes longer than a second.
pub async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let handshake = Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(std::io::Error::other)?;
    tokio::spawn(connection);
    sender.ready().await.map_err(std::io::Error::other)?;
    Ok(sender)
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
