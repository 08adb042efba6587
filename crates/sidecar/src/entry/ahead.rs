//! Requests that callers send before earlier ones on their connection are answered.
//!
//! The HTTP server reads and serves one request of a connection after the other. A scanner looks at
//! the same bytes as they come in, and starts what may run twice at once; the server, when it comes
//! to that request, finds it under way. So answers keep their order and nothing waits for it.

use std::collections::VecDeque;

use bytes::BytesMut;
use http::request::Parts;
use http::{Method, Request};
use tokio::task::JoinHandle;

use crate::entry::answers::Reply;

/// Headers in one head, at most; a head with more is left to the server.
const HEADERS: usize = 100;
/// Requests of one connection that are started ahead, at most.
const STARTED: usize = 16;
/// The longest head that is scanned, in bytes; a longer one is left to the server.
const HEAD_BYTES: usize = 64 * 1024;

/// A request that was started ahead. Dropping it gives it up.
#[derive(Debug)]
pub struct Started {
    number: u64,
    task: JoinHandle<Reply>,
}

impl Started {
    /// Waits for the answer. None where the task failed.
    pub async fn answer(mut self) -> Option<Reply> {
        match (&mut self.task).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                tracing::error!(%error, "entry: a request that was started ahead failed");
                None
            }
        }
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The requests of one connection, numbered in their order.
#[derive(Debug, Default)]
pub struct Ahead {
    /// Bytes of a head that is not whole yet.
    partial: BytesMut,
    /// Bytes of a body that are still to come.
    body: u64,
    /// The rest of the connection cannot be followed and is left to the server.
    lost: bool,
    /// Requests whose heads were scanned.
    scanned: u64,
    /// Requests that the server began to serve.
    begun: u64,
    /// Requests that the server answered.
    answered: u64,
    /// Started ahead and not yet begun by the server, in order.
    started: VecDeque<Started>,
}

impl Ahead {
    /// Takes in bytes of the connection, and starts what was sent ahead and `start` lets run.
    pub fn scan(&mut self, bytes: &[u8], start: impl Fn(Parts) -> Option<JoinHandle<Reply>>) {
        if self.lost {
            return;
        }
        self.partial.extend_from_slice(bytes);
        while !self.lost && !self.partial.is_empty() {
            let skipped = self.body.min(self.partial.len() as u64);
            let _ = self.partial.split_to(skipped as usize);
            self.body -= skipped;
            if self.body > 0 || self.partial.is_empty() {
                return;
            }
            let Some(head) = self.head() else { return };
            let number = self.scanned;
            self.scanned += 1;
            let is_ahead = number > self.answered && self.started.len() < STARTED;
            if let Some(head) = head.filter(|_| is_ahead)
                && let Some(task) = start(head)
            {
                self.started.push_back(Started { number, task });
            }
        }
    }

    /// Notes that the server begins the next request. Returns it where it was started ahead.
    pub fn begin(&mut self) -> Option<Started> {
        let number = self.begun;
        self.begun += 1;
        while self.started.front().is_some_and(|started| started.number < number) {
            self.started.pop_front();
        }
        let is_next = self.started.front().is_some_and(|started| started.number == number);
        if is_next { self.started.pop_front() } else { None }
    }

    /// Notes that the server answered a request.
    pub fn answered(&mut self) {
        self.answered += 1;
    }

    /// Returns whether requests that were started ahead still wait for the server.
    pub fn is_waiting(&self) -> bool {
        !self.started.is_empty()
    }

    /// Takes the next whole head. The inner value is its request where that has no body.
    fn head(&mut self) -> Option<Option<Parts>> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(&self.partial) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if self.partial.len() < HEAD_BYTES => return None,
            _ => {
                self.lose();
                return None;
            }
        };
        let Some(body) = body_length(parsed.headers) else {
            self.lose();
            return None;
        };
        let request = if body == 0 { request(&parsed) } else { None };
        self.body = body;
        let _ = self.partial.split_to(length);
        Some(request)
    }

    fn lose(&mut self) {
        self.lost = true;
        self.partial = BytesMut::new();
    }
}

/// Returns the length of the body, or nothing where it is not told beforehand.
fn body_length(headers: &[httparse::Header<'_>]) -> Option<u64> {
    let mut length = 0;
    for header in headers {
        if header.name.eq_ignore_ascii_case("transfer-encoding")
            || header.name.eq_ignore_ascii_case("upgrade")
        {
            return None;
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            length = std::str::from_utf8(header.value).ok()?.trim().parse().ok()?;
        }
    }
    Some(length)
}

fn request(parsed: &httparse::Request<'_, '_>) -> Option<Parts> {
    let method = parsed.method?;
    if method != Method::GET.as_str() && method != Method::HEAD.as_str() {
        return None;
    }
    let mut builder = Request::builder().method(method).uri(parsed.path?);
    for header in parsed.headers.iter() {
        builder = builder.header(header.name, header.value);
    }
    Some(builder.body(()).ok()?.into_parts().0)
}
