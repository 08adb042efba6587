//! Headers that travel between nodes.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

use crate::Field;

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

/// Returns the headers that go on to the other end, without those in `without`.
pub fn end_to_end(headers: &HeaderMap, without: &[HeaderName]) -> Vec<Field> {
    let dropped = named_by_connection(headers);
    let mut fields = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop = HOP_BY_HOP.contains(name) || name.as_str() == "keep-alive";
        let is_dropped = dropped.iter().any(|other| other == name.as_str());
        if !is_hop && !is_dropped && !without.contains(name) {
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

fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter();
    let values = values.filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(|name| name.trim().to_lowercase()).collect()
}
