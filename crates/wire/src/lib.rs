//! Messages between nodes and their codec.
//!
//! One QUIC stream carries one exchange. It opens with one frame of [`Open`]; what follows depends
//! on that. A frame is a version byte, a length of four bytes, least significant first, and a
//! message in postcard's encoding. Bodies follow as plain bytes until the stream ends; a stream
//! that is reset before its end was cut.

mod codec;
mod fields;
pub mod link;
mod message;
pub mod tls;

pub use codec::{Error, FRAME_LIMIT, VERSION, decode, encode, read, write};
pub use fields::{add_fields, end_to_end};
pub use message::{Call, Field, Open, Reply, Suspect, Verdict};
