//! HTTP pipelining: requests that a caller sends before earlier ones on its connection are
//! answered.
//!
//! The HTTP server reads and serves the requests of a connection one after the other. A scanner
//! parses the same bytes as they arrive and immediately starts the requests that may run twice.
//! When the server comes to such a request, it waits for the task that was started. So pipelined
//! requests run side by side, and answers keep their order.

use std::collections::VecDeque;

use bytes::BytesMut;
use http::request::Parts;
use http::{Method, Request};
use tokio::task::JoinHandle;

use crate::entry::responses::CallerResponse;

/// The most headers of one head. A connection with a longer head is left to the server.
const MAX_HEADERS: usize = 100;
/// The most requests of one connection that are started early and that the server has not reached.
const MAX_STARTED: usize = 16;
/// The longest head that is parsed. A connection with a longer one is left to the server.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// A request that was started before the server came to it. Dropping it aborts the request.
#[derive(Debug)]
pub struct EarlyRequest {
    number: u64,
    task: JoinHandle<CallerResponse>,
}

impl EarlyRequest {
    /// Waits for the response. None if the task failed.
    pub async fn response(mut self) -> Option<CallerResponse> {
        match (&mut self.task).await {
            Ok(response) => Some(response),
            Err(error) => {
                tracing::error!(%error, "entry: the task of a pipelined request failed");
                None
            }
        }
    }
}

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The requests of one connection, numbered from 0 in their order.
#[derive(Debug, Default)]
pub struct Pipeline {
    /// The start of a head that has not arrived completely.
    partial: BytesMut,
    /// Bytes of the current request's body that have not arrived.
    body: u64,
    /// The scanner could not parse a head or tell the length of a body. It ignores the rest of the
    /// connection, which only the server reads.
    gave_up: bool,
    /// Requests whose heads were parsed by the scanner.
    scanned: u64,
    /// Requests that the server began to serve.
    begun: u64,
    /// Requests that the server answered.
    answered: u64,
    /// Requests that were started early and that the server has not begun to serve, in order.
    started: VecDeque<EarlyRequest>,
}

impl Pipeline {
    /// Parses bytes of the connection, and calls `start` with each pipelined request that has no
    /// body. `start` returns None for a request that must not be started early.
    pub fn scan(
        &mut self,
        bytes: &[u8],
        start: impl Fn(Parts) -> Option<JoinHandle<CallerResponse>>,
    ) {
        if self.gave_up {
            return;
        }
        self.partial.extend_from_slice(bytes);
        while !self.gave_up && !self.partial.is_empty() {
            let skipped = self.body.min(self.partial.len() as u64);
            let _ = self.partial.split_to(skipped as usize);
            self.body -= skipped;
            if self.body > 0 || self.partial.is_empty() {
                return;
            }
            let Some(head) = self.take_head() else { return };
            let number = self.scanned;
            self.scanned += 1;
            let is_pipelined = number > self.answered && self.started.len() < MAX_STARTED;
            if let Some(head) = head.filter(|_| is_pipelined)
                && let Some(task) = start(head)
            {
                self.started.push_back(EarlyRequest { number, task });
            }
        }
    }

    /// Records that the server begins to serve the next request, and returns that request if it was
    /// started early.
    pub fn begin_next(&mut self) -> Option<EarlyRequest> {
        let number = self.begun;
        self.begun += 1;
        while self.started.front().is_some_and(|started| started.number < number) {
            self.started.pop_front();
        }
        let is_next = self.started.front().is_some_and(|started| started.number == number);
        if is_next { self.started.pop_front() } else { None }
    }

    /// Returns whether no request has arrived yet.
    pub fn is_unused(&self) -> bool {
        self.begun == 0
    }

    /// Records that the server answered a request.
    pub fn record_answer(&mut self) {
        self.answered += 1;
    }

    /// Returns whether the server has not yet come to a request that was started early.
    pub fn has_early_requests(&self) -> bool {
        !self.started.is_empty()
    }

    /// Removes the next complete head from `partial`. None if there is none; the inner value is
    /// None for a request that cannot be started early: one with a body or another method than GET
    /// or HEAD.
    fn take_head(&mut self) -> Option<Option<Parts>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(&self.partial) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if self.partial.len() < MAX_HEAD_BYTES => return None,
            _ => {
                self.give_up();
                return None;
            }
        };
        let Some(body) = body_length(parsed.headers) else {
            self.give_up();
            return None;
        };
        let request = if body == 0 { request_parts(&parsed) } else { None };
        self.body = body;
        let _ = self.partial.split_to(length);
        Some(request)
    }

    fn give_up(&mut self) {
        self.gave_up = true;
        self.partial = BytesMut::new();
    }
}

/// Returns the length of the body. None if the head does not say where the body ends.
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

/// Converts the head of a GET or HEAD request. None for other methods and malformed heads.
fn request_parts(parsed: &httparse::Request<'_, '_>) -> Option<Parts> {
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
