//! Responses to callers.

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::Full;
use platform::headers;
use policy::{Refusal, room};
use rand::Rng;
use world::Code;

use crate::guard::Answer;

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
        set_return(&mut response, Refusal::Busy, u64::MAX);
    }
    response
}

/// Sets the time after which the caller of a request that was refused comes back, at random within a
/// range so that those who were refused together do not return together. `left_us` is the time until
/// the request's deadline, in microseconds.
pub fn set_return(response: &mut CallerResponse, refusal: Refusal, left_us: u64) {
    let after_us = room::retry_after_us(refusal, left_us, rand::rng().random());
    set_retry_after(response, after_us as f64 / 1e6);
}

/// Tells the caller after how many seconds to send the request again.
pub fn set_retry_after(response: &mut CallerResponse, seconds: f64) {
    // Digits and a point are valid in a header.
    if let Ok(value) = HeaderValue::try_from(format!("{seconds:.3}")) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}
