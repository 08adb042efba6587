//! Bodies of callers' requests: read whole, within the limits on one and on all together.

use std::rc::Rc;

use bytes::Bytes;
use derive_more::Display;
use http::StatusCode;
use http::header::HeaderValue;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use policy::ConnectionPhase;
use world::Code;

use crate::entry::connections::Connection;
use crate::entry::responses::{CallerResponse, error_response};
use crate::entry::state::Entry;
use crate::guard::{BodyBuffer, BodyFault};

/// Why a request's body was not read.
#[derive(Debug, Display)]
pub enum BodyError {
    /// It is longer than the configuration allows.
    #[display("it is too long")]
    TooLong,
    /// The node has no memory left for it.
    #[display("no memory is left for it")]
    NoRoom,
    /// The caller did not go on with it while others needed its memory.
    #[display("it did not move while others needed room")]
    Stalled,
    /// The caller broke off, or it is malformed.
    #[display("{_0}")]
    Broken(String),
}

impl Entry {
    /// Reads a body of at most `most` bytes from a connection. A body whose announced length is too
    /// long, or for which there is no room, is refused before any of it is read.
    pub(super) async fn read_body(
        &self,
        mut body: Incoming,
        most: usize,
        connection: &Rc<Connection>,
    ) -> Result<Bytes, BodyError> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let length = body.size_hint().exact().unwrap_or(0);
        let length = usize::try_from(length).map_err(|_| BodyError::TooLong)?;
        connection.set_phase(ConnectionPhase::Receiving);
        let mut buffer = self.open_body(length, most).await?;
        let read = async {
            while let Some(frame) = body.frame().await {
                let frame = frame.map_err(|error| BodyError::Broken(error.to_string()))?;
                let Ok(data) = frame.into_data() else { continue };
                buffer.extend(&data)?;
                connection.received(data.len());
            }
            Ok::<_, BodyError>(())
        };
        tokio::select! {
            read = read => read?,
            () = connection.body_ended() => return Err(BodyError::Stalled),
        }
        Ok(buffer.freeze())
    }

    /// Returns a buffer with room for `length` bytes, after stalled bodies have made room if needed.
    async fn open_body(&self, length: usize, most: usize) -> Result<BodyBuffer, BodyError> {
        let opened = self.guard.bodies.receive(length, most);
        let held = self.guard.bodies.held();
        if !matches!(opened, Err(BodyFault::NoRoom)) || self.connections.end_stalled(held) == 0 {
            return Ok(opened?);
        }
        // The tasks of the stalled bodies run before this one again, and drop them.
        tokio::task::yield_now().await;
        Ok(self.guard.bodies.receive(length, most)?)
    }

    /// Builds the response to a request whose body was not read. It has not run.
    pub(super) fn refuse_body(
        &self,
        error: &BodyError,
        id: Option<&HeaderValue>,
    ) -> CallerResponse {
        let request = id.and_then(|id| id.to_str().ok());
        if self.notable_lines.borrow_mut().take(self.clock.now(), 1.0) {
            tracing::info!(request, %error, "callers: cannot read the body of a request");
        } else {
            self.metrics.dropped_lines.inc();
        }
        let (code, status) = match error {
            BodyError::TooLong => (Code::BadRequest, StatusCode::PAYLOAD_TOO_LARGE),
            BodyError::NoRoom => (Code::NoRoom, StatusCode::SERVICE_UNAVAILABLE),
            BodyError::Stalled => (Code::BadRequest, StatusCode::REQUEST_TIMEOUT),
            BodyError::Broken(_) => (Code::BadRequest, StatusCode::BAD_REQUEST),
        };
        error_response(code, status, id)
    }

    /// Ends what callers hold without moving, each time there is too little room.
    pub async fn make_room(self: Rc<Entry>) {
        loop {
            self.guard.bodies.short().await;
            self.connections.end_stalled(self.guard.bodies.held());
        }
    }
}

impl From<BodyFault> for BodyError {
    fn from(fault: BodyFault) -> BodyError {
        match fault {
            BodyFault::TooLong => BodyError::TooLong,
            BodyFault::NoRoom => BodyError::NoRoom,
        }
    }
}
