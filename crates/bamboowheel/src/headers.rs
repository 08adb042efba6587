//! Headers that are passed on, and the product's own.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
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

/// Headers that belong to one connection, or that are worked out anew for each.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns the headers that go on to the other end.
pub fn end_to_end(headers: &HeaderMap) -> Vec<Field> {
    let dropped = named_by_connection(headers);
    let mut fields = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let own = [DEADLINE, NOT_RUN, CODE, STORED].contains(name);
        let is_hop = HOP_BY_HOP.contains(name) || name.as_str() == "keep-alive";
        if !own && !is_hop && !dropped.iter().any(|other| other == name.as_str()) {
            let value = value.as_bytes().to_vec();
            fields.push(Field { name: name.as_str().to_owned(), value });
        }
    }
    fields
}

/// Adds fields to a header map; those that are not valid headers are left out.
pub fn add_fields(headers: &mut HeaderMap, fields: &[Field]) {
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}

/// Returns a header's value as text.
pub fn text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter();
    let values = values.filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(|name| name.trim().to_lowercase()).collect()
}
