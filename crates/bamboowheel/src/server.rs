//! Binds HTTP servers.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, OnceLock};

use tokio::net::TcpSocket;
use xitca_web::HttpServer;
use xitca_web::http::{WebRequest, WebResponse};
use xitca_web::service::fn_service;

use crate::node::Node;

/// The longest request head, in bytes; also what is read of a body at once.
const HEAD_LIMIT: usize = 64 * 1024;
/// What is written of an answer at once, in bytes.
const WRITE_LIMIT: usize = 64 * 1024;
/// The most headers of a request.
const HEADERS: usize = 96;
/// The longest wait for the next request on a connection.
const KEEP_ALIVE: std::time::Duration = std::time::Duration::from_secs(60);
/// The longest wait for a whole request head.
const HEAD_WAIT: std::time::Duration = std::time::Duration::from_secs(10);

/// A bound server.
#[derive(Debug)]
pub struct Bound {
    listener: TcpListener,
    /// Where it is bound.
    pub address: SocketAddr,
}

/// A running server. It goes on until it is stopped.
pub struct Running {
    handle: xitca_server::ServerHandle,
}

impl Running {
    /// Stops the server. Exchanges under way are to be over by then.
    pub fn stop(&self) {
        self.handle.stop(false);
    }
}

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Binds an address. Accepted connections inherit its option to send small writes at once; without
/// it an answer's body waits for the caller's delayed acknowledgement of the head.
pub fn bind(address: SocketAddr) -> std::io::Result<Bound> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?.into_std()?;
    let address = listener.local_addr()?;
    Ok(Bound { listener, address })
}

/// The node, once the first thread of callers has started it.
pub type Cell = Arc<OnceLock<Arc<Node>>>;

/// Serves requests with `handle` from now on. `start` is run on each thread before it serves.
pub fn spawn<H, Fut, S, Starting>(
    bound: Bound,
    threads: usize,
    cell: Cell,
    handle: H,
    start: S,
) -> std::io::Result<Running>
where
    H: Fn(Arc<Node>, WebRequest) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = WebResponse> + 'static,
    S: Fn() -> Starting + Send + Sync + 'static,
    Starting: Future<Output = ()> + Send + 'static,
{
    let service = fn_service(async move |request: WebRequest| match cell.get() {
        Some(node) => Ok(handle(node.clone(), request).await),
        None => Err(NotStarted),
    });
    let mut server = HttpServer::serve(service)
        .worker_threads(threads)
        .on_worker_start(start)
        .disable_signal()
        .max_read_buf_size::<HEAD_LIMIT>()
        .max_write_buf_size::<WRITE_LIMIT>()
        .max_request_headers::<HEADERS>()
        .keep_alive_timeout(KEEP_ALIVE)
        .request_head_timeout(HEAD_WAIT)
        .listen(bound.listener)?
        .run();
    let handle = server.handle()?;
    tokio::spawn(async move {
        if let Err(error) = server.await {
            tracing::error!("server: {error}");
        }
    });
    Ok(Running { handle })
}

/// A request came before the node had started.
#[derive(Debug)]
struct NotStarted;
