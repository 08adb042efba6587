//! A small HTTP server for the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Why an answer is cut.
pub type Cut = std::io::Error;
/// An answer's body.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// A running server. Dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct Server {
    /// Where it is bound.
    pub address: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds an address and answers every request with `handle`. A handler that returns nothing has
/// the connection closed without an answer.
pub async fn serve<F, Fut>(address: SocketAddr, handle: F) -> std::io::Result<Server>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, handle));
    Ok(Server { address, task })
}

async fn accept<F, Fut>(listener: TcpListener, handle: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        let service = service_fn(move |request| {
            let answer = handle(request);
            async move { answer.await.ok_or(Closed) }
        });
        connections.spawn(async move {
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
        while connections.try_join_next().is_some() {}
    }
}

/// The handler gave no answer.
#[derive(Debug)]
struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("closed without an answer")
    }
}

impl std::error::Error for Closed {}

/// Builds an answer with a whole body.
pub fn answer(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}
