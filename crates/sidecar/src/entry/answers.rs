//! Answers to callers.

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::Full;
use platform::headers;
use rand::Rng;
use world::Code;

use crate::guard::Answer;

/// The least and greatest time after which a refused caller may come back, in seconds: a neighbour
/// keeps a VM busy for about a tenth of a second, and callers that return at different times do not
/// meet again.
const RETRY_AFTER_S: (f64, f64) = (0.05, 0.25);

/// The answer to a caller.
pub type Reply = Response<Full<Bytes>>;

/// Passes a target's answer on.
pub fn pass(answer: Answer) -> Reply {
    let mut reply = Response::new(Full::new(answer.body));
    *reply.status_mut() = answer.status;
    let fields = wire::end_to_end(&answer.headers, &[]);
    wire::add_fields(reply.headers_mut(), &fields);
    reply
}

/// Builds the answer to a request that was refused or failed. A code whose status is 503 promises
/// that no target ran the request and none will.
pub fn refuse(code: Code, status: StatusCode, id: Option<&HeaderValue>) -> Reply {
    let body = serde_json::json!({ "code": code.number(), "error": code.text() });
    let mut reply = Response::new(Full::new(Bytes::from(body.to_string())));
    *reply.status_mut() = status;
    let own = reply.headers_mut();
    own.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(id) = id {
        own.insert(headers::REQUEST_ID, id.clone());
    }
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let (least, most) = RETRY_AFTER_S;
        let seconds = rand::rng().random_range(least..most);
        // Digits and a point are valid in a header.
        if let Ok(value) = HeaderValue::try_from(format!("{seconds:.3}")) {
            own.insert(header::RETRY_AFTER, value);
        }
    }
    reply
}
