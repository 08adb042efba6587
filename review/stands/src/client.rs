//! Clients: requests on plain connections.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::http::{Message, read};

/// A request of a client.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// The attempt's id.
    pub id: &'a str,
    /// How long the client waits, in milliseconds.
    pub timeout_ms: u64,
    /// Further header lines, each with its line break.
    pub headers: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum End {
    /// An answer came.
    Answer(Message),
    /// The connection could not be opened, or sending failed: the request was not sent whole.
    Unsent,
    /// The request was sent whole, and the connection ended without a complete answer.
    Closed,
    /// The request was sent whole, and the client gave up waiting.
    GaveUp,
}

impl End {
    /// Returns the answer's status, or a word.
    pub fn text(&self) -> String {
        match self {
            End::Answer(answer) => answer.status().to_string(),
            End::Unsent => "unsent".to_owned(),
            End::Closed => "closed".to_owned(),
            End::GaveUp => "gave-up".to_owned(),
        }
    }

    /// Returns how long an answer asks to wait before the next try; zero if it does not.
    pub fn retry_after(&self) -> Duration {
        let End::Answer(answer) = self else { return Duration::ZERO };
        let seconds = answer.header("retry-after").and_then(|text| text.parse().ok());
        seconds.map_or(Duration::ZERO, |seconds: f64| Duration::from_secs_f64(seconds.max(0.0)))
    }

    /// Returns the answer's status; 0 without an answer.
    pub fn status(&self) -> u16 {
        match self {
            End::Answer(answer) => answer.status(),
            _ => 0,
        }
    }
}

/// A request's end, with times.
#[derive(Clone, Debug)]
pub struct Done {
    /// How it ended.
    pub end: End,
    /// When sending began.
    pub begun: Instant,
    /// When the last byte was sent; the begin if it was not.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
}

/// A connection that is kept for many requests.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Connects, for at most a second.
    pub async fn open(address: SocketAddr) -> Option<Connection> {
        let opened = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(address));
        let stream = opened.await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection { stream, buffer: Vec::new() })
    }

    /// Sends a request and waits for its end.
    pub async fn send(&mut self, call: &Call<'_>) -> Done {
        let begun = Instant::now();
        let Call { method, path, id, timeout_ms, headers, body } = call;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
             X-Timeout-Ms: {timeout_ms}\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        // The client gives up a little after its own time.
        let until = begun + Duration::from_millis(timeout_ms + 200);
        let written = tokio::time::timeout_at(until.into(), self.stream.write_all(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            return Done { end: End::Unsent, begun, sent: begun, ended: Instant::now() };
        }
        let sent = Instant::now();
        let answer = read(&mut self.stream, &mut self.buffer);
        let end = match tokio::time::timeout_at(until.into(), answer).await {
            Ok(Some(answer)) => End::Answer(answer),
            Ok(None) => End::Closed,
            Err(_) => End::GaveUp,
        };
        Done { end, begun, sent, ended: Instant::now() }
    }
}

/// Sends a request on a connection of its own.
pub async fn send(address: SocketAddr, call: &Call<'_>) -> Done {
    let begun = Instant::now();
    match Connection::open(address).await {
        Some(mut connection) => connection.send(call).await,
        None => Done { end: End::Unsent, begun, sent: begun, ended: Instant::now() },
    }
}
