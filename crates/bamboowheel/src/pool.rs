//! Connections to the target, kept alive and opened ahead of need.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::node::lock;
use crate::pieces::Pieces;

/// A connection that was idle for longer is not used again, since the target may close it just then.
const IDLE: Duration = Duration::from_secs(4);
/// The longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Bytes read ahead of one connection.
const BUFFER: usize = 64 * 1024;
/// Idle connections kept.
const KEPT: usize = 64;

/// A connection on which one request at a time is sent.
pub type Connection = SendRequest<Pieces>;

struct Idle {
    address: SocketAddr,
    connection: Connection,
    since: Instant,
}

/// Idle connections to the target, the one used last at the end.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<Vec<Idle>>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("Pool").field("idle", &lock(&self.idle).len()).finish()
    }
}

impl Pool {
    /// Returns an idle connection, or opens one.
    pub async fn take(&self, address: SocketAddr) -> std::io::Result<Connection> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => connect(address).await,
        }
    }

    /// Opens one connection more, without any idle one.
    pub async fn fresh(&self, address: SocketAddr) -> std::io::Result<Connection> {
        connect(address).await
    }

    /// Takes a connection back whose exchange ended cleanly.
    pub fn give(&self, address: SocketAddr, connection: Connection) {
        let mut idle = lock(&self.idle);
        let usable = |idle: &Idle| {
            idle.address == address && idle.since.elapsed() < IDLE && !idle.connection.is_closed()
        };
        idle.retain(usable);
        if idle.len() < KEPT && !connection.is_closed() {
            idle.push(Idle { address, connection, since: Instant::now() });
        }
    }

    /// Opens idle connections up to `count`, one after the other.
    pub async fn warm(&self, address: SocketAddr, count: usize) {
        while lock(&self.idle).len() < count.min(KEPT) {
            match connect(address).await {
                Ok(connection) => self.give(address, connection),
                Err(_) => return,
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        while let Some(last) = idle.pop() {
            let is_fresh = last.address == address && last.since.elapsed() < IDLE;
            if is_fresh && last.connection.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let handshake = Builder::new().max_buf_size(BUFFER).handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(std::io::Error::other)?;
    tokio::spawn(connection);
    sender.ready().await.map_err(std::io::Error::other)?;
    Ok(sender)
}
