//! Responses to callers.

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::Full;
use platform::headers;
use rand::Rng;
use world::Code;

use crate::guard::Answer;

/// The range of the random `retry-after` of a refused request, in seconds. Other VMs on the same
/// host keep a VM slow for about 0.1 s, and callers that retry at different times do not all arrive
/// at once again.
const RETRY_AFTER_S: (f64, f64) = (0.05, 0.25);

/// The HTTP response to a caller.
pub type CallerResponse = Response<Full<Bytes>>;

/// Builds the response that forwards a target's answer.
pub fn forward(answer: Answer) -> CallerResponse {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    let fields = wire::end_to_end(&answer.headers, &[]);
    wire::add_fields(response.headers_mut(), &fields);
    response
}

/// Builds the response to a request that was refused or failed. Status 503 promises that no target
/// ran the request and none will.
pub fn error_response(code: Code, status: StatusCode, id: Option<&HeaderValue>) -> CallerResponse {
    let body = serde_json::json!({ "code": code.number(), "error": code.text() });
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    let own = response.headers_mut();
    own.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(id) = id {
        own.insert(headers::REQUEST_ID, id.clone());
    }
    if status == StatusCode::UNAUTHORIZED {
        let scheme = HeaderValue::from_static(headers::KEY_SCHEME);
        own.insert(header::WWW_AUTHENTICATE, scheme);
    }
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let (least, most) = RETRY_AFTER_S;
        set_retry_after(&mut response, rand::rng().random_range(least..most));
    }
    response
}

/// Tells the caller after how many seconds to send the request again.
pub fn set_retry_after(response: &mut CallerResponse, seconds: f64) {
    // Digits and a point are valid in a header.
    if let Ok(value) = HeaderValue::try_from(format!("{seconds:.3}")) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}
