//! Reading HTTP/1.1 messages from a plain connection.

use tokio::io::{AsyncRead, AsyncReadExt};

/// The head and the body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line and the header lines.
    pub head: String,
    /// The body, as far as `content-length` says.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let found = lines.find(|(key, _)| key.trim().eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    /// Returns a header as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// Returns the method, or the protocol version of an answer.
    pub fn method(&self) -> &str {
        self.head.split(' ').next().unwrap_or_default()
    }

    /// Returns the path with its query, or the status of an answer.
    pub fn path(&self) -> &str {
        self.head.split([' ', '\r', '\n']).nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or_default()
    }
}

/// Reads the next message. Bytes that follow it stay in `buffer`. `None` if the connection ends or
/// fails before the message is complete.
pub async fn read(stream: &mut (impl AsyncRead + Unpin), buffer: &mut Vec<u8>) -> Option<Message> {
    let mut seen = 0;
    let end = loop {
        let from = usize::saturating_sub(seen, 3);
        if let Some(at) = buffer[from..].windows(4).position(|window| window == b"\r\n\r\n") {
            break from + at;
        }
        seen = buffer.len();
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut message = Message { head, body: Vec::new() };
    let length = message.number("content-length").unwrap_or_default() as usize;
    buffer.drain(..end + 4);
    while buffer.len() < length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    message.body = buffer.drain(..length).collect();
    Some(message)
}
