//! Exchanges that this node opens.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use quinn::{RecvStream, SendStream, VarInt};
use snafu::Snafu;
use wire::link::{Attempt, Frame, Reply};

use crate::guard::{Answer, Outcome};
use crate::peers::directory::Peer;
use crate::peers::links::Peers;

/// The longest wait for the answer to an exchange other than an attempt.
const ASK: Duration = Duration::from_secs(1);
/// The code of a stream that was given up.
pub const GIVEN_UP: u32 = 1;

/// Why an exchange failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// There is no link.
    #[snafu(display("no link"))]
    NoLink,
    /// The link broke.
    #[snafu(display("the link broke: {detail}"))]
    Broken {
        /// What was seen.
        detail: String,
    },
    /// The peer took too long.
    #[snafu(display("the peer took too long"))]
    Slow,
}

/// An attempt under way at another node. Dropping it gives the attempt up.
#[derive(Debug)]
pub struct Sent {
    send: SendStream,
    receive: RecvStream,
    peer: Rc<Peer>,
    peers: Rc<Peers>,
    over: bool,
}

impl Peers {
    /// Asks a peer something other than to run an attempt.
    pub(super) async fn ask(&self, peer: &Peer, frame: &Frame) -> Result<Reply, Error> {
        let link = peer.link().ok_or(Error::NoLink)?;
        let exchange = async {
            let (mut send, mut receive) = link.open_bi().await.map_err(broken)?;
            wire::write(&mut send, frame).await.map_err(broken)?;
            // The peer may already have answered and stopped reading.
            let _ = send.finish();
            wire::read(&mut receive).await.map_err(broken)
        };
        let reply = tokio::time::timeout(ASK, exchange).await.map_err(|_| Error::Slow)??;
        peer.note_heard(self.clock.now());
        Ok(reply)
    }

    /// Sends an attempt to a peer. An error means that nothing was sent.
    pub async fn send(
        self: &Rc<Peers>,
        peer: &Rc<Peer>,
        attempt: Attempt,
        body: Bytes,
    ) -> Result<Sent, Error> {
        let link = peer.link().ok_or(Error::NoLink)?;
        let (send, receive) = link.open_bi().await.map_err(broken)?;
        let (peer, peers) = (peer.clone(), self.clone());
        let mut sent = Sent { send, receive, peer, peers, over: false };
        // What is written may arrive even where writing fails later, so failures show as a loss.
        let frame = Frame::Attempt(Box::new(attempt));
        let written = async {
            wire::write(&mut sent.send, &frame).await.map_err(broken)?;
            sent.send.write_chunk(body).await.map_err(broken)?;
            sent.send.finish().map_err(broken)
        };
        if let Err(error) = written.await {
            tracing::debug!(%error, "peers: an attempt was cut");
        }
        Ok(sent)
    }
}

impl Sent {
    /// Waits for the outcome.
    pub async fn outcome(&mut self) -> Outcome {
        loop {
            let reply: Result<Reply, wire::Error> = wire::read(&mut self.receive).await;
            let now = self.peers.now();
            let reply = match reply {
                Ok(reply) => reply,
                Err(error) => return self.lost(error.to_string()),
            };
            self.peer.note_heard(now);
            let (outcome, report) = match reply {
                Reply::Held => continue,
                Reply::Answer { status, fields, length, took_us, report } => {
                    let body = match self.body(length).await {
                        Ok(body) => body,
                        Err(detail) => return self.lost(detail),
                    };
                    let Ok(status) = StatusCode::from_u16(status) else {
                        return self.lost("no status".to_owned());
                    };
                    let mut headers = http::HeaderMap::new();
                    wire::add_fields(&mut headers, &fields);
                    (Outcome::Answer(Answer { status, headers, body, took_us }), report)
                }
                Reply::NotRun { refusal, reached, report } => {
                    (Outcome::NotRun { refusal, reached }, report)
                }
                Reply::Lost { detail, report } => (Outcome::Lost { detail }, report),
                Reply::Noted | Reply::Ruleset(_) | Reply::Nodes(_) => {
                    return self.lost("a reply of another kind".to_owned());
                }
            };
            self.over = true;
            self.peer.view.borrow_mut().reported(now, report);
            return outcome;
        }
    }

    async fn body(&mut self, length: u64) -> Result<Bytes, String> {
        let length = usize::try_from(length).map_err(|error| error.to_string())?;
        let body = self.receive.read_to_end(length).await.map_err(|error| error.to_string())?;
        match body.len() == length {
            true => Ok(body.into()),
            false => Err("the answer is cut".to_owned()),
        }
    }

    fn lost(&mut self, detail: String) -> Outcome {
        self.over = true;
        Outcome::Lost { detail }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        if !self.over {
            // Both fail only where the stream is closed already.
            let _ = self.send.reset(VarInt::from_u32(GIVEN_UP));
            let _ = self.receive.stop(VarInt::from_u32(GIVEN_UP));
        }
    }
}

fn broken(error: impl ToString) -> Error {
    BrokenSnafu { detail: error.to_string() }.build()
}
