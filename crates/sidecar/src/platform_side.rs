//! What the platform and the target ask of the node: readiness, heartbeats, metrics.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use platform::headers::READY_PATH;
use platform::heartbeat::{self, TargetCall};
use tokio::net::TcpListener;

use crate::entry::Entry;
use crate::guard::Guard;
use crate::metrics::Metrics;

/// The longest body of a heartbeat, in bytes: many times what one holds.
const BODY_BYTES: usize = 64 * 1024;

type Reply = Response<Full<Bytes>>;

/// Serves readiness checks.
pub async fn readiness(listener: TcpListener, entry: Rc<Entry>) {
    serve(listener, async move |request| {
        let is_ready = entry.is_ready();
        match request.uri().path() == READY_PATH {
            true if is_ready => reply(StatusCode::OK, ""),
            true => reply(StatusCode::SERVICE_UNAVAILABLE, ""),
            false => reply(StatusCode::NOT_FOUND, ""),
        }
    })
    .await;
}

/// Serves metrics at any path.
pub async fn metrics(listener: TcpListener, metrics: Rc<Metrics>) {
    serve(listener, async move |_| reply(StatusCode::OK, metrics.render())).await;
}

/// Serves the target's heartbeats.
pub async fn control(listener: TcpListener, guard: Rc<Guard>) {
    serve(listener, async move |request| {
        let path = request.uri().path_and_query().map_or("", |path| path.as_str()).to_owned();
        let Ok(body) = Limited::new(request.into_body(), BODY_BYTES).collect().await else {
            return reply(StatusCode::BAD_REQUEST, "");
        };
        match heartbeat::decode(&path, &body.to_bytes()) {
            Ok(TargetCall::Heartbeat(report)) => guard.heartbeat(report),
            Ok(TargetCall::Deregister { id, born }) => guard.deregister(id, born),
            Err(error) => {
                tracing::warn!(path, %error, "target: a call was left out");
                return reply(StatusCode::BAD_REQUEST, "");
            }
        }
        let mut acknowledged = reply(StatusCode::OK, "{}");
        let json = http::HeaderValue::from_static("application/json");
        acknowledged.headers_mut().insert(http::header::CONTENT_TYPE, json);
        acknowledged
    })
    .await;
}

async fn serve<F>(listener: TcpListener, answer: F)
where
    F: AsyncFn(Request<Incoming>) -> Reply + 'static,
{
    let answer = Rc::new(answer);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "platform: a connection was not accepted");
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                continue;
            }
        };
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service =
                service_fn(|request| async { Ok::<_, Infallible>((*answer)(request).await) });
            let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "platform: a connection broke");
            }
        });
    }
}

fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
}
