//! The admin address: the target announces itself here, and operators look.

use std::pin::Pin;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::future::poll_fn;
use http::header::{self, HeaderValue};
use http::{Method, Response, StatusCode};
use serde_json::json;
use world::{Announcement, Code};
use xitca_web::body::{Body, Frame, RequestBody, ResponseBody};
use xitca_web::http::{WebRequest, WebResponse};

use crate::node::{Node, lock};

/// The longest announcement, in bytes.
const BODY_LIMIT: usize = 16 * 1024;

/// Serves one request.
pub async fn serve(node: Arc<Node>, request: WebRequest) -> WebResponse {
    let (head, body) = request.into_parts();
    let (_, body) = body.replace_body(());
    match (&head.method, head.uri.path()) {
        (&Method::POST, "/target") => announce(&node, body).await,
        (&Method::GET, "/health") => text(StatusCode::OK, "alive\n"),
        (&Method::GET, "/ready") => match node.is_ready() {
            true => text(StatusCode::OK, "ready\n"),
            false => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        (&Method::GET, "/metrics") => metrics(&node),
        (&Method::GET, "/status") => status(&node),
        (&Method::GET, "/events") => answer(StatusCode::OK, &json!(node.events.list())),
        _ => answer(StatusCode::NOT_FOUND, &json!({ "error": "no such page" })),
    }
}

async fn announce(node: &Arc<Node>, body: RequestBody) -> WebResponse {
    let announcement = match read(body).await.as_deref().map(serde_json::from_slice) {
        Some(Ok(announcement)) => announcement,
        Some(Err(error)) => return bad(&error.to_string()),
        None => return bad("the announcement is too long or was cut"),
    };
    let announcement: Announcement = announcement;
    if announcement.slots == 0 {
        return bad("slots is 0");
    }
    let (address, slots) = (announcement.address, announcement.slots);
    if node.gate.announced(node, announcement) {
        tracing::info!("guard: a target announced itself at {address}");
        let node = node.clone();
        node.clone().spawn(async move { node.pool.warm(address, slots as usize).await });
    }
    answer(StatusCode::OK, &json!({ "node": node.settings.name }))
}

async fn read(mut body: RequestBody) -> Option<Bytes> {
    let mut whole = BytesMut::new();
    loop {
        match poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await {
            Some(Ok(Frame::Data(bytes))) => whole.extend_from_slice(&bytes),
            Some(Ok(Frame::Trailers(_))) | None => return Some(whole.freeze()),
            Some(Err(_)) => return None,
        }
        if whole.len() > BODY_LIMIT {
            return None;
        }
    }
}

fn metrics(node: &Node) -> WebResponse {
    let load = node.gate.load();
    node.metrics.pending.set(load.pending.into());
    node.metrics.limit.set(load.limit.into());
    text(StatusCode::OK, &node.metrics.text())
}

fn status(node: &Node) -> WebResponse {
    let load = node.gate.load();
    let (version, seen) = {
        let versions = lock(&node.versions);
        (versions.config().version, versions.highest_seen())
    };
    let members: Vec<_> = lock(&node.members).others().cloned().collect();
    let cuts = node.gate.cuts();
    let status = json!({
        "name": node.settings.name,
        "data_centre": node.settings.data_centre,
        "ready": node.is_ready(),
        "draining": node.is_draining(),
        "version": version,
        "seen": seen,
        "target": node.gate.target(),
        "load": {
            "phase": load.phase,
            "limit": load.limit,
            "pending": load.pending,
            "service_us": load.service_us().round(),
        },
        "limit_cuts": cuts,
        "exchanges": node.exchanges(),
        "link_bytes_sent": node.links.bytes_sent(),
        "control_bytes_sent": node.metrics.control_bytes.get(),
        "store_calls": node.metrics.store_calls.get(),
        "members": members,
    });
    answer(StatusCode::OK, &status)
}

fn bad(detail: &str) -> WebResponse {
    let code = Code::BadRequest;
    let body = json!({ "code": code.number(), "error": code.text(), "detail": detail });
    answer(StatusCode::BAD_REQUEST, &body)
}

fn answer(status: StatusCode, body: &serde_json::Value) -> WebResponse {
    let mut response = text(status, &body.to_string());
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn text(status: StatusCode, body: &str) -> WebResponse {
    let mut response = Response::new(ResponseBody::bytes(Bytes::from(body.to_owned())));
    *response.status_mut() = status;
    response
}
