//! Headers that are passed on, and the product's own.

use http::header::{HeaderMap, HeaderName};
use wire::Field;

/// The request's id, in answers and towards targets.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The result code of an answer that the product itself gives.
pub const CODE: HeaderName = HeaderName::from_static("bamboowheel-code");
/// Says that the request did not run; from targets that shed, and in answers to callers.
pub const NOT_RUN: HeaderName = HeaderName::from_static("bamboowheel-not-run");
/// The milliseconds that are left, from callers and towards targets.
pub const DEADLINE: HeaderName = HeaderName::from_static("bamboowheel-deadline-ms");
/// Says that the answer is that of an earlier run of the same key.
pub const STORED: HeaderName = HeaderName::from_static("bamboowheel-stored");

/// Returns the headers that go on to the other end, without the product's own.
pub fn end_to_end(headers: &HeaderMap) -> Vec<Field> {
    wire::end_to_end(headers, &[DEADLINE, NOT_RUN, CODE, STORED])
}

/// Returns a header's value as text.
pub fn text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
