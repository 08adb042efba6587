//! Answers that the product itself gives: a code, a sentence, and whether the request ran.

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use http::{Response, StatusCode};
use serde_json::json;
use world::Code;
use xitca_web::body::ResponseBody;

use crate::headers;

/// Seconds after which a caller may try again.
const RETRY_AFTER_S: &str = "1";

/// Builds the answer to a request that was refused or failed. `not_run` must be true only where no
/// target can have run the request.
pub fn refusal(code: Code, not_run: bool, request: u64) -> Response<ResponseBody> {
    let id = format!("{request:016x}");
    let body = json!({
        "code": code.number(),
        "error": code.text(),
        "not_run": not_run,
        "request": id,
    });
    let mut response = Response::new(ResponseBody::bytes(Bytes::from(body.to_string())));
    *response.status_mut() =
        StatusCode::from_u16(code.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    insert(headers, header::CONTENT_TYPE.as_str(), "application/json");
    insert(headers, headers::CODE.as_str(), &code.number().to_string());
    insert(headers, headers::REQUEST_ID.as_str(), &id);
    if not_run {
        insert(headers, headers::NOT_RUN.as_str(), "true");
    }
    if code.status() == 503 {
        insert(headers, header::RETRY_AFTER.as_str(), RETRY_AFTER_S);
    }
    response
}

/// Inserts a header whose name and value are known to be valid.
pub fn insert(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = header::HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        headers.insert(name, value);
    }
}
