//! Connections to the target, kept alive.

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
const CONNECT: Duration = Duration::from_millis(1_000);
/// A connection that was idle for longer is not used again where the target does not say how long
/// it keeps one, in microseconds.
const IDLE_US: u64 = 4_000_000;
/// Part of the time that the target keeps an idle connection after which it is not used any more.
const IDLE_SHARE: f64 = 0.7;
/// Bytes read ahead of one connection.
const BUFFER: usize = 64 * 1024;

/// Idle connections closed together from which a new start is suspected; one alone may be closed
/// at any time.
const CLOSED: usize = 2;

/// A connection on which one request at a time is sent.
pub type Connection = SendRequest<Full<Bytes>>;

/// The target closed every idle connection.
#[derive(Clone, Copy, Debug, Display, derive_more::Error)]
#[display("the target closed every idle connection")]
pub struct AllClosed;

/// Idle connections, the one that rested longest first: an answer too many shows itself while a
/// connection rests, and all are kept from idling out.
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
    /// Returns an idle connection that can be used, if any. Fails where several were idle and the
    /// target closed all of them before their time: it may have started anew.
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
        if closed >= CLOSED { Err(AllClosed) } else { Ok(None) }
    }

    /// Takes a connection back whose exchange ended cleanly.
    pub fn give(&self, connection: Connection, until: Time) {
        self.idle.borrow_mut().push_back((connection, until));
    }

    /// Closes every idle connection.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// Opens a connection.
pub async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let handshake = Builder::new().max_buf_size(BUFFER).handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(std::io::Error::other)?;
    tokio::spawn(connection);
    sender.ready().await.map_err(std::io::Error::other)?;
    Ok(sender)
}

/// Returns until when a connection may rest after an answer with these headers.
pub fn rests_until(now: Time, headers: &HeaderMap) -> Time {
    let text = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = text.and_then(|text| {
        let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<f64>().ok()
    });
    now.after(seconds.map_or(IDLE_US, |seconds| (seconds * 1e6 * IDLE_SHARE) as u64))
}
