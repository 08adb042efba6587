//! Asks a node's admin address.

use std::time::Duration;

use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::Error;
use crate::error::NodeUnreachableSnafu;

/// The longest wait for a node.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Reads a JSON page of a node.
pub async fn get(address: &str, path: &str) -> Result<serde_json::Value, Error> {
    let failed = |detail: String| NodeUnreachableSnafu { address, detail }.build();
    let asked = tokio::time::timeout(TIMEOUT, ask(address, path)).await;
    let body = asked.map_err(|_| failed("it takes too long".to_owned()))?;
    let body = body.map_err(|error| failed(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))
}

async fn ask(address: &str, path: &str) -> Result<Bytes, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = hyper::Request::get(path).header("host", address).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    Ok(response.into_body().collect().await?.to_bytes())
}
