//! Exchanges with peers that this node opens: attempts and requests for information.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use quinn::{RecvStream, SendStream, VarInt};
use snafu::Snafu;
use wire::link::{Attempt, Frame, Reply};

use crate::guard::{Answer, BodyBuffer, Outcome, is_final};
use crate::peers::directory::Peer;
use crate::peers::links::Peers;

/// The longest wait for the reply in an exchange other than an attempt.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// The error code with which a stream is reset or stopped when an attempt is cancelled.
pub const CANCELLED: u32 = 1;

/// Why an exchange failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No link to the peer is open, so nothing was sent.
    #[snafu(display("no link to the peer"))]
    NoLink,
    /// The link closed during the exchange, or a frame could not be read or written.
    #[snafu(display("the link broke: {detail}"))]
    Broken {
        /// The error of the link or the codec.
        detail: String,
    },
    /// The peer did not reply within a second.
    #[snafu(display("the peer did not reply in time"))]
    Slow,
}

/// An attempt under way at another node. Dropping it cancels the attempt there.
#[derive(Debug)]
pub struct SentAttempt {
    send: SendStream,
    receive: RecvStream,
    peer: Rc<Peer>,
    peers: Rc<Peers>,
    /// Whether the outcome is known, so that nothing is left to cancel.
    finished: bool,
}

impl Peers {
    /// Sends a frame other than an attempt to a peer, and returns the reply.
    pub(super) async fn request(&self, peer: &Peer, frame: &Frame) -> Result<Reply, Error> {
        let link = peer.link().ok_or(Error::NoLink)?;
        let exchange = async {
            let (mut send, mut receive) = link.open_bi().await.map_err(broken)?;
            wire::write(&mut send, frame).await.map_err(broken)?;
            // The peer may already have answered and stopped reading.
            let _ = send.finish();
            wire::read(&mut receive).await.map_err(broken)
        };
        let reply =
            tokio::time::timeout(REPLY_TIMEOUT, exchange).await.map_err(|_| Error::Slow)??;
        peer.record_received(self.clock.now());
        Ok(reply)
    }

    /// Tells a peer that an attempt that was sent to it must be sent to its target within `us`
    /// microseconds or not at all. Waits for no reply.
    pub fn limit_start(self: &Rc<Peers>, peer: &Rc<Peer>, id: String, us: u64) {
        let (peers, peer) = (self.clone(), peer.clone());
        tokio::task::spawn_local(async move {
            let frame = Frame::StartWithin { id, us };
            if let Err(error) = peers.request(&peer, &frame).await {
                // Nodes of earlier versions do not know the frame.
                tracing::debug!(%error, "peers: cannot limit the start of an attempt");
            }
        });
    }

    /// Sends an attempt to a peer. An error means that nothing was sent.
    pub async fn send(
        self: &Rc<Peers>,
        peer: &Rc<Peer>,
        attempt: Attempt,
        body: Bytes,
    ) -> Result<SentAttempt, Error> {
        let link = peer.link().ok_or(Error::NoLink)?;
        peer.last_used.set(self.clock.now());
        let (send, receive) = link.open_bi().await.map_err(broken)?;
        let (peer, peers) = (peer.clone(), self.clone());
        let mut sent = SentAttempt { send, receive, peer, peers, finished: false };
        // What is written may arrive even if writing fails later. The outcome is then read as lost.
        let frame = Frame::Attempt(Box::new(attempt));
        let written = async {
            wire::write(&mut sent.send, &frame).await.map_err(broken)?;
            sent.send.write_chunk(body).await.map_err(broken)?;
            sent.send.finish().map_err(broken)
        };
        if let Err(error) = written.await {
            tracing::debug!(%error, "peers: sending an attempt failed");
        }
        Ok(sent)
    }
}

impl SentAttempt {
    /// Waits for the outcome. An attempt whose outcome cannot be read is lost.
    pub async fn outcome(&mut self) -> Outcome {
        let acknowledged = self.acknowledged();
        tokio::pin!(acknowledged);
        let mut is_acknowledged = false;
        loop {
            let reply: Result<Reply, wire::Error> = {
                let read = wire::read(&mut self.receive);
                tokio::pin!(read);
                tokio::select! {
                    reply = &mut read => reply,
                    () = &mut acknowledged, if !is_acknowledged => {
                        is_acknowledged = true;
                        read.await
                    }
                }
            };
            let now = self.peers.now();
            let reply = match reply {
                Ok(reply) => reply,
                Err(error) => return self.lost(error.to_string()),
            };
            self.peer.record_received(now);
            let (outcome, report) = match reply {
                Reply::Held => continue,
                Reply::Answer { status, mut fields, length, took_us, report } => {
                    if let Some(life) = wire::take_leaving(&mut fields) {
                        self.peer.set_leaving(life);
                    }
                    let body = match self.read_body(length).await {
                        Ok(body) => body,
                        Err(detail) => return self.lost(detail),
                    };
                    // Guards of earlier versions pass on any status.
                    let status = StatusCode::from_u16(status).ok().filter(|code| is_final(*code));
                    let Some(status) = status else {
                        return self.lost("the answer has an invalid status".to_owned());
                    };
                    let mut headers = http::HeaderMap::new();
                    wire::add_fields(&mut headers, &fields);
                    (Outcome::Answer(Answer { status, headers, body, took_us }), report)
                }
                Reply::NotRun { refusal, reached, report } => {
                    (Outcome::NotRun { refusal, reached }, report)
                }
                Reply::Lost { detail, report } => (Outcome::Lost { detail }, report),
                Reply::Noted
                | Reply::Ruleset(_)
                | Reply::Nodes(_)
                | Reply::Members { .. }
                | Reply::Kept
                | Reply::Rules(_)
                | Reply::Tokens(_)
                | Reply::Exposure(_) => {
                    return self.lost("the reply is of another kind".to_owned());
                }
            };
            self.finished = true;
            self.peer.view.borrow_mut().reported(now, report);
            return outcome;
        }
    }

    /// Returns once the peer's process has acknowledged the whole attempt, which shows that it runs.
    /// Does not return if the stream fails; the outcome tells.
    fn acknowledged(&self) -> impl Future<Output = ()> + use<> {
        let (stopped, peer, peers) = (self.send.stopped(), self.peer.clone(), self.peers.clone());
        async move {
            if let Ok(None) = stopped.await {
                peer.record_received(peers.now());
            } else {
                std::future::pending().await
            }
        }
    }

    /// Reads the body that follows an answer's frame.
    async fn read_body(&mut self, length: u64) -> Result<Bytes, String> {
        let length = usize::try_from(length).map_err(|error| error.to_string())?;
        let buffer = self.peers.guard.bodies.receive_answer(length).await;
        let buffer =
            buffer.map_err(|_| "the answer is longer than the node can hold".to_owned())?;
        let body = read_body(&mut self.receive, buffer, length).await;
        body.map_err(|error| format!("the answer is cut: {error}"))
    }

    /// Ends the attempt with an unknown outcome.
    fn lost(&mut self, detail: String) -> Outcome {
        self.finished = true;
        Outcome::Lost { detail }
    }
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        if !self.finished {
            // Both fail only if the stream is closed already.
            let _ = self.send.reset(VarInt::from_u32(CANCELLED));
            let _ = self.receive.stop(VarInt::from_u32(CANCELLED));
        }
    }
}

/// Reads a body of `length` bytes, which ends its stream, into a buffer with room for it.
pub(super) async fn read_body(
    receive: &mut RecvStream,
    mut buffer: BodyBuffer,
    length: usize,
) -> Result<Bytes, String> {
    let mut left = length;
    while let Some(chunk) =
        receive.read_chunk(usize::MAX, true).await.map_err(|error| error.to_string())?
    {
        left = left.checked_sub(chunk.bytes.len()).ok_or("it is too long")?;
        buffer.extend(&chunk.bytes).map_err(|_| "it is too long")?;
    }
    match left {
        0 => Ok(buffer.freeze()),
        left => Err(format!("{left} bytes are missing")),
    }
}

fn broken(error: impl ToString) -> Error {
    BrokenSnafu { detail: error.to_string() }.build()
}
