//! Frames: a version, a length, a message.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The version of every message. A frame of another version is refused.
pub const VERSION: u8 = 1;
/// The longest message, in bytes. A configuration of the two-year size fits.
pub const FRAME_LIMIT: usize = 4 * 1024 * 1024;
/// The length of a frame's version and length, in bytes.
const HEADER: usize = 5;

/// Why a frame could not be read or written.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The stream ended or broke.
    #[snafu(display("the stream broke: {source}"), context(false))]
    Stream {
        /// What the stream said.
        source: std::io::Error,
    },
    /// The frame is of another version.
    #[snafu(display("a frame has version {version}, not {VERSION}"))]
    OtherVersion {
        /// The frame's version.
        version: u8,
    },
    /// The frame says it is longer than any message.
    #[snafu(display("a frame of {length} bytes is longer than {FRAME_LIMIT}"))]
    TooLong {
        /// What it says.
        length: usize,
    },
    /// The message makes no sense.
    #[snafu(display("a message makes no sense: {source}"), context(false))]
    Malformed {
        /// What the codec said.
        source: postcard::Error,
    },
    /// Bytes follow the message in its frame.
    #[snafu(display("{count} bytes follow a message in its frame"))]
    Trailing {
        /// How many.
        count: usize,
    },
}

/// Encodes a message as one frame.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let frame = vec![VERSION, 0, 0, 0, 0];
    let mut frame = postcard::to_extend(message, frame)?;
    let length = frame.len() - HEADER;
    if length > FRAME_LIMIT {
        return TooLongSnafu { length }.fail();
    }
    frame[1..HEADER].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(frame)
}

/// Decodes one whole frame, as a datagram carries it.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, Error> {
    let Some((header, message)) = frame.split_at_checked(HEADER) else {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
    };
    let length = check(header)?;
    if length != message.len() {
        return TrailingSnafu { count: message.len().abs_diff(length) }.fail();
    }
    parse(message)
}

/// Reads one frame from a stream.
pub async fn read<T: DeserializeOwned>(stream: &mut (impl AsyncRead + Unpin)) -> Result<T, Error> {
    let mut header = [0; HEADER];
    stream.read_exact(&mut header).await?;
    let length = check(&header)?;
    let mut message = Vec::new();
    stream.take(length as u64).read_to_end(&mut message).await?;
    if message.len() < length {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
    }
    parse(&message)
}

/// Writes one frame to a stream.
pub async fn write<T: Serialize>(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> Result<(), Error> {
    let frame = encode(message)?;
    stream.write_all(&frame).await?;
    Ok(())
}

fn check(header: &[u8]) -> Result<usize, Error> {
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

fn parse<T: DeserializeOwned>(message: &[u8]) -> Result<T, Error> {
    let (parsed, rest) = postcard::take_from_bytes(message)?;
    match rest.len() {
        0 => Ok(parsed),
        count => TrailingSnafu { count }.fail(),
    }
}
