//! Messages between nodes, their encoding, and the TLS setup of the links that carry them.
//!
//! Each QUIC stream carries one exchange. Its first frame is an [`Open`], or a [`link::Frame`] in
//! a deployment without an inventory; the frames that follow depend on it. A frame is a version
//! byte, a length of four bytes in little-endian order, and a message in postcard's encoding.
//! Bodies follow their frame as plain bytes until the stream ends. A stream that is reset before
//! its end carries an incomplete body.

mod codec;
mod earlier;
mod fields;
pub mod link;
mod message;
pub mod tls;

pub use codec::{Error, FRAME_LIMIT, VERSION, decode, encode, read, write};
pub use earlier::EarlierRuleset;
pub use fields::{
    add_fields, add_leaving, add_limit, add_start_within, end_to_end, take_leaving, take_limit,
    take_start_within,
};
pub use message::{Call, Field, Open, Reply, Suspect, Verdict};
