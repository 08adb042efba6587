//! Reads pages from the admin address of a node.

use std::time::Duration;

use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::Error;
use crate::error::NodeUnreachableSnafu;

/// Limit for a whole request, from connecting to the end of the body.
const TIMEOUT: Duration = Duration::from_secs(3);
/// The longest page that is read.
const MAX_PAGE_BYTES: usize = 16 * 1024 * 1024;

/// Reads a JSON page from the admin address of a node. The HTTP status is not checked.
pub async fn get(address: &str, path: &str) -> Result<serde_json::Value, Error> {
    let failed = |detail: String| NodeUnreachableSnafu { address, detail }.build();
    let fetched = tokio::time::timeout(TIMEOUT, fetch(address, path)).await;
    let body = fetched.map_err(|_| failed("the node did not answer in time".to_owned()))?;
    let body = body.map_err(|error| failed(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))
}

async fn fetch(address: &str, path: &str) -> Result<Bytes, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = hyper::Request::get(path).header("host", address).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    let page = Limited::new(response.into_body(), MAX_PAGE_BYTES).collect().await;
    page.map(|page| page.to_bytes()).map_err(|error| error as Box<dyn std::error::Error>)
}
