//! A caller: sends requests over kept-alive connections and checks the answers.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// What a caller sends as a body.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;
/// Why a request had no whole answer.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// An answer that came whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// Returns a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the result code that the product put on it.
    pub fn code(&self) -> Option<u16> {
        self.header("bamboowheel-code")?.parse().ok()
    }

    /// Whether it says that the request did not run.
    pub fn not_run(&self) -> bool {
        self.header("bamboowheel-not-run") == Some("true")
    }
}

type Idle = Vec<(SocketAddr, SendRequest<Body>)>;

/// A caller with idle connections.
#[derive(Default)]
pub struct Client {
    idle: Mutex<Idle>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("Client")
    }
}

impl Client {
    /// Sends a request and reads the whole answer.
    pub async fn send(&self, to: SocketAddr, request: Request<Body>) -> Result<Answer, Error> {
        let mut sender = match self.take(to) {
            Some(sender) => sender,
            None => connect(to).await?,
        };
        let response = sender.send_request(request).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        if sender.ready().await.is_ok() {
            self.lock().push((to, sender));
        }
        Ok(Answer { status: head.status.as_u16(), headers: head.headers, body })
    }

    fn take(&self, to: SocketAddr) -> Option<SendRequest<Body>> {
        let mut idle = self.lock();
        loop {
            let at = idle.iter().rposition(|(address, _)| *address == to)?;
            let (_, sender) = idle.swap_remove(at);
            if sender.is_ready() {
                return Some(sender);
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

async fn connect(to: SocketAddr) -> Result<SendRequest<Body>, Error> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Builds a request with a whole body.
pub fn request(method: Method, path: &str, headers: &[(&str, &str)], body: Bytes) -> Request<Body> {
    let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
    build(method, path, headers, body)
}

/// Builds an upload of `pieces`, one each `pause`.
pub fn upload(
    path: &str,
    headers: &[(&str, &str)],
    pieces: Vec<Bytes>,
    pause: Duration,
) -> Request<Body> {
    let pieces = stream::unfold(pieces.into_iter(), move |mut left| async move {
        let piece = left.next()?;
        tokio::time::sleep(pause).await;
        Some((Ok(Frame::data(piece)), left))
    });
    build(Method::POST, path, headers, StreamBody::new(pieces).boxed_unsync())
}

fn build(method: Method, path: &str, headers: &[(&str, &str)], body: Body) -> Request<Body> {
    let mut request = Request::builder().method(method).uri(path).header("host", "bamboowheel");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(body).unwrap_or_default()
}

/// Posts a body over a connection of its own and reads the answer.
pub async fn post(to: SocketAddr, path: &str, body: Vec<u8>) -> Result<Answer, Error> {
    Client::default().send(to, request(Method::POST, path, &[], body.into())).await
}

/// Gets a page over a connection of its own.
pub async fn get(to: SocketAddr, path: &str) -> Result<Answer, Error> {
    Client::default().send(to, request(Method::GET, path, &[], Bytes::new())).await
}
