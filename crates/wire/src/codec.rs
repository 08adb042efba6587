//! Encodes and decodes frames. A frame is a version byte, the message's length and the message.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The protocol version of every frame. A frame of another version is an error.
pub const VERSION: u8 = 1;
/// The longest message, in bytes. It must hold the largest configuration expected within two years.
pub const FRAME_LIMIT: usize = 4 * 1024 * 1024;
/// The size of a frame's header, which is its version and its length.
const HEADER_BYTES: usize = 5;

/// Why a frame could not be read or written.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The stream failed, or the stream or datagram ended before the frame did.
    #[snafu(display("cannot read or write a frame: {source}"), context(false))]
    Stream {
        /// The error of the stream.
        source: std::io::Error,
    },
    /// The frame's version is not [`VERSION`].
    #[snafu(display("a frame has version {version}, not {VERSION}"))]
    OtherVersion {
        /// The version in the frame's header.
        version: u8,
    },
    /// The message is longer than [`FRAME_LIMIT`].
    #[snafu(display("a message of {length} bytes is longer than the limit of {FRAME_LIMIT}"))]
    TooLong {
        /// The length in the frame's header, or that of the encoded message, in bytes.
        length: usize,
    },
    /// The message cannot be encoded, or is not a valid encoding of the expected type.
    #[snafu(display("cannot encode or decode a message: {source}"), context(false))]
    Malformed {
        /// The error of postcard.
        source: postcard::Error,
    },
    /// The message is shorter than its frame, or a datagram's size does not match its header.
    #[snafu(display("the frame's length is wrong by {count} bytes"))]
    Trailing {
        /// The difference, in bytes.
        count: usize,
    },
}

/// Encodes a message as one frame. Fails if it is longer than [`FRAME_LIMIT`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let frame = vec![VERSION, 0, 0, 0, 0];
    let mut frame = postcard::to_extend(message, frame)?;
    let length = frame.len() - HEADER_BYTES;
    if length > FRAME_LIMIT {
        return TooLongSnafu { length }.fail();
    }
    frame[1..HEADER_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(frame)
}

/// Decodes a datagram, which must hold exactly one frame.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, Error> {
    let Some((header, message)) = frame.split_at_checked(HEADER_BYTES) else {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
    };
    let length = check_header(header)?;
    if length != message.len() {
        return TrailingSnafu { count: message.len().abs_diff(length) }.fail();
    }
    decode_message(message)
}

/// Reads one frame from a stream, and none of the bytes after it.
pub async fn read<T: DeserializeOwned>(stream: &mut (impl AsyncRead + Unpin)) -> Result<T, Error> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    let length = check_header(&header)?;
    let mut message = Vec::new();
    stream.take(length as u64).read_to_end(&mut message).await?;
    if message.len() < length {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
    }
    decode_message(&message)
}

/// Writes one frame to a stream, without flushing it.
pub async fn write<T: Serialize>(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> Result<(), Error> {
    let frame = encode(message)?;
    stream.write_all(&frame).await?;
    Ok(())
}

/// Checks a frame's header and returns the length of its message.
fn check_header(header: &[u8]) -> Result<usize, Error> {
    let [version, length @ ..] = header else {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
    };
    if *version != VERSION {
        return OtherVersionSnafu { version: *version }.fail();
    }
    let length = length.iter().rev().fold(0, |sum, byte| sum << 8 | usize::from(*byte));
    match length > FRAME_LIMIT {
        true => TooLongSnafu { length }.fail(),
        false => Ok(length),
    }
}

/// Decodes a message that must take up all of the given bytes.
fn decode_message<T: DeserializeOwned>(message: &[u8]) -> Result<T, Error> {
    let (parsed, rest) = postcard::take_from_bytes(message)?;
    match rest.len() {
        0 => Ok(parsed),
        count => TrailingSnafu { count }.fail(),
    }
}
