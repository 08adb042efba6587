//! Conversion of HTTP headers to and from the fields that nodes send each other.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

use crate::Field;
use crate::link::Life;

/// Headers that apply to a single connection, or that each connection computes for itself.
/// `keep-alive` is one too, but has no constant in the `http` crate.
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

/// A field that an entry adds to an attempt: the limit that the target last named to it, in requests a
/// second. The guard may have restarted since. Nodes of earlier versions take it for a header.
const KNOWN_LIMIT: &str = "bamboowheel-limit";

/// A field that a guard adds to an answer: the incarnation of its target, which has said that it
/// leaves. The guard may restart before it tells of that otherwise.
const LEAVING_TARGET: &str = "bamboowheel-leaving";

/// A field that an entry that stops adds to an attempt: the time within which the attempt may be sent
/// to the target, in microseconds from the frame's arrival. Nodes of earlier versions take it for a
/// header.
const START_WITHIN: &str = "bamboowheel-start-within";

/// Appends the time within which an attempt may be sent to the target, in microseconds.
pub fn add_start_within(fields: &mut Vec<Field>, us: u64) {
    fields.push(Field { name: START_WITHIN.to_owned(), value: us.to_string().into_bytes() });
}

/// Removes the time within which an attempt may be sent to the target, and returns it in
/// microseconds. `None` if there is none or it is no number.
pub fn take_start_within(fields: &mut Vec<Field>) -> Option<u64> {
    take(fields, START_WITHIN)?.parse().ok()
}

/// Appends the incarnation of the target that leaves.
pub fn add_leaving(fields: &mut Vec<Field>, life: &Life) {
    let value = format!("{} {}", life.born, life.id).into_bytes();
    fields.push(Field { name: LEAVING_TARGET.to_owned(), value });
}

/// Removes the incarnation of the target that leaves, and returns it. `None` if there is none or it
/// cannot be parsed.
pub fn take_leaving(fields: &mut Vec<Field>) -> Option<Life> {
    let value = take(fields, LEAVING_TARGET)?;
    let (born, id) = value.split_once(' ')?;
    Some(Life { id: id.into(), born: born.parse().ok()? })
}

/// Removes a field and returns its value as text.
fn take(fields: &mut Vec<Field>, name: &str) -> Option<String> {
    let at = fields.iter().position(|field| field.name == name)?;
    String::from_utf8(fields.remove(at).value).ok()
}

/// Appends the limit that the sender remembers of a target.
pub fn add_limit(fields: &mut Vec<Field>, per_s: f64) {
    let value = per_s.to_string().into_bytes();
    fields.push(Field { name: KNOWN_LIMIT.to_owned(), value });
}

/// Removes the limit that an entry remembers of the target, and returns it. `None` if there is none
/// or it is no number.
pub fn take_limit(fields: &mut Vec<Field>) -> Option<f64> {
    take(fields, KNOWN_LIMIT)?.parse().ok()
}

/// Returns the end-to-end headers, in lower case, except those in `without`. Headers that
/// `connection` lists are hop-by-hop and left out.
pub fn end_to_end(headers: &HeaderMap, without: &[HeaderName]) -> Vec<Field> {
    let listed = connection_options(headers);
    let mut fields = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop = HOP_BY_HOP.contains(name) || name.as_str() == "keep-alive";
        let is_listed = listed.iter().any(|other| other == name.as_str());
        let is_ours = [KNOWN_LIMIT, LEAVING_TARGET, START_WITHIN].contains(&name.as_str());
        if !is_hop && !is_listed && !is_ours && !without.contains(name) {
            let value = value.as_bytes().to_vec();
            fields.push(Field { name: name.as_str().to_owned(), value });
        }
    }
    fields
}

/// Appends fields to a header map, and skips those that are not valid headers.
pub fn add_fields(headers: &mut HeaderMap, fields: &[Field]) {
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}

/// Returns the header names that `connection` lists, in lower case.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter();
    let values = values.filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(|name| name.trim().to_lowercase()).collect()
}
