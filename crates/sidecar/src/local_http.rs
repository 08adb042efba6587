//! HTTP servers beside the entry: the platform's readiness checks, the target's heartbeats, and
//! metrics.

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

/// The longest body of a target's call: many times the size of a heartbeat.
const MAX_BODY_BYTES: usize = 64 * 1024;

type LocalResponse = Response<Full<Bytes>>;

/// Answers readiness checks with 200 or 503.
pub async fn serve_readiness(listener: TcpListener, entry: Rc<Entry>) {
    serve(listener, async move |request| {
        let is_ready = entry.is_ready();
        match request.uri().path() == READY_PATH {
            true if is_ready => response(StatusCode::OK, ""),
            true => response(StatusCode::SERVICE_UNAVAILABLE, ""),
            false => response(StatusCode::NOT_FOUND, ""),
        }
    })
    .await;
}

/// Answers every request, whatever its path, with the metrics.
pub async fn serve_metrics(listener: TcpListener, metrics: Rc<Metrics>) {
    serve(listener, async move |_| response(StatusCode::OK, metrics.render())).await;
}

/// Takes the target's heartbeats and deregistrations, and passes them to the guard.
pub async fn serve_control(listener: TcpListener, guard: Rc<Guard>) {
    serve(listener, async move |request| {
        let path = request.uri().path_and_query().map_or("", |path| path.as_str()).to_owned();
        let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await else {
            return response(StatusCode::BAD_REQUEST, "");
        };
        match heartbeat::decode(&path, &body.to_bytes()) {
            Ok(TargetCall::Heartbeat(report)) => {
                if !guard.heartbeat(report) {
                    return response(StatusCode::BAD_REQUEST, "");
                }
            }
            Ok(TargetCall::Deregister { id, born }) => guard.deregister(id, born),
            Err(error) => {
                tracing::warn!(path, %error, "target: a call was rejected");
                return response(StatusCode::BAD_REQUEST, "");
            }
        }
        let mut acknowledged = response(StatusCode::OK, "{}");
        let json = http::HeaderValue::from_static("application/json");
        acknowledged.headers_mut().insert(http::header::CONTENT_TYPE, json);
        acknowledged
    })
    .await;
}

/// Serves each connection of a listener with `handler`. Never returns.
async fn serve<F>(listener: TcpListener, handler: F)
where
    F: AsyncFn(Request<Incoming>) -> LocalResponse + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "platform: cannot accept a connection");
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                continue;
            }
        };
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let service =
                service_fn(|request| async { Ok::<_, Infallible>((*handler)(request).await) });
            let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "platform: a connection failed");
            }
        });
    }
}

fn response(status: StatusCode, body: impl Into<Bytes>) -> LocalResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
