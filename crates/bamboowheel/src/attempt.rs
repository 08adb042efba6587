//! One attempt to have a request run by the guard of one target, here or over a link.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use policy::Load;
use quinn::{RecvStream, SendStream, VarInt};
use tokio::sync::mpsc;
use wire::{Answer, Call, Field, Open, Verdict};
use world::{Code, Name};

use crate::gate;
use crate::node::Node;
use crate::peers::{CUT, answer_body};
use crate::pieces::{DEPTH, Piece};

/// What an attempt's owner is told, in this order: waits, then a refusal or a run; after a run a
/// failure or a head; after a head chunks and an end. A channel that closes before the last event
/// was cut.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The request waits at the guard.
    Wait,
    /// It is dispatched, and the rest of its body may come.
    Run(Load),
    /// The answer of an earlier run follows.
    Stored(Load),
    /// It was not dispatched.
    Refused {
        /// Why.
        code: Code,
        /// Whether neither it nor any other request with its key ran.
        not_run: bool,
        /// The load that stood against it.
        load: Load,
    },
    /// It was dispatched and not answered.
    Failed {
        /// Why.
        code: Code,
        /// Whether it is certain that it did not run.
        not_run: bool,
        /// The load after that.
        load: Load,
    },
    /// The answer began.
    Head {
        /// The HTTP status.
        status: u16,
        /// End-to-end headers.
        fields: Vec<Field>,
        /// The body's length, where it is known.
        length: Option<u64>,
        /// The load after that.
        load: Load,
    },
    /// Bytes of the answer's body.
    Chunk(Bytes),
    /// The answer is whole.
    End,
}

/// An attempt under way. Dropping it gives it up.
#[derive(Debug)]
pub struct Attempt {
    /// The target's node.
    pub target: Name,
    /// What happens to it.
    pub events: mpsc::Receiver<Event>,
    /// Takes the rest of the body; None where the call holds it all.
    pub body: Option<mpsc::Sender<Piece>>,
}

/// Begins an attempt.
pub fn begin(node: &Arc<Node>, target: Name, call: Call) -> Attempt {
    let (sender, events) = mpsc::channel(DEPTH);
    let (feed, body) = mpsc::channel(DEPTH);
    let feed = (!call.whole).then_some(feed);
    let is_here = target == node.settings.name;
    match node.address_of(&target) {
        _ if is_here => {
            node.runtime.spawn(gate::serve(node.clone(), call, body, sender));
        }
        Some(address) => {
            node.runtime.spawn(remote(node.clone(), address, call, body, sender));
        }
        None => {
            let load = Load::default();
            let refused = Event::Refused { code: Code::LinkFailed, not_run: true, load };
            let _ = sender.try_send(refused);
        }
    }
    Attempt { target, events, body: feed }
}

async fn remote(
    node: Arc<Node>,
    address: SocketAddr,
    call: Call,
    body: mpsc::Receiver<Piece>,
    events: mpsc::Sender<Event>,
) {
    let (send, receive) = match node.links.open(address).await {
        Ok(streams) => streams,
        Err(error) => {
            tracing::debug!("entry: {error}");
            let load = Load::default();
            let refused = Event::Refused { code: Code::LinkFailed, not_run: true, load };
            let _ = events.send(refused).await;
            return;
        }
    };
    let mut exchange = Exchange { send: Some(send), receive };
    tokio::select! {
        _ = exchange.run(call, body, &events) => {}
        _ = events.closed() => exchange.give_up(),
    }
}

struct Exchange {
    /// None once the body went on its own way.
    send: Option<SendStream>,
    receive: RecvStream,
}

impl Exchange {
    async fn run(
        &mut self,
        call: Call,
        body: mpsc::Receiver<Piece>,
        events: &mpsc::Sender<Event>,
    ) -> Option<()> {
        let (request, whole) = (call.request, call.whole);
        let send = self.send.as_mut()?;
        wire::write(send, &Open::Call(Box::new(call))).await.ok()?;
        if whole {
            send.finish().ok()?;
        }
        loop {
            match wire::read(&mut self.receive).await.ok()? {
                Verdict::Wait => events.send(Event::Wait).await.ok()?,
                Verdict::Refuse { code, not_run, load } => {
                    return events.send(Event::Refused { code, not_run, load }).await.ok();
                }
                Verdict::Stored(load) => {
                    events.send(Event::Stored(load)).await.ok()?;
                    break;
                }
                Verdict::Run(load) => {
                    events.send(Event::Run(load)).await.ok()?;
                    break;
                }
            }
        }
        if !whole {
            tokio::spawn(give_body(self.send.take()?, body));
        }
        match wire::read(&mut self.receive).await.ok()? {
            Answer::Failed { code, not_run, load } => {
                events.send(Event::Failed { code, not_run, load }).await.ok()
            }
            Answer::Head { request: answered, .. } if answered != request => {
                tracing::error!("entry: the answer to {answered:016x} came for {request:016x}");
                None
            }
            Answer::Head { status, fields, length, load, .. } => {
                events.send(Event::Head { status, fields, length, load }).await.ok()?;
                answer_body(&mut self.receive, events).await;
                Some(())
            }
        }
    }

    fn give_up(&mut self) {
        let _ = self.receive.stop(VarInt::from_u32(CUT));
        if let Some(send) = &mut self.send {
            let _ = send.reset(VarInt::from_u32(CUT));
        }
    }
}

/// Writes a body to a stream. A body that was cut resets the stream.
async fn give_body(mut send: SendStream, mut body: mpsc::Receiver<Piece>) {
    loop {
        match body.recv().await {
            Some(Piece::Data(bytes)) => {
                if send.write_chunk(bytes).await.is_err() {
                    return;
                }
            }
            Some(Piece::End) => {
                let _ = send.finish();
                return;
            }
            None => {
                let _ = send.reset(VarInt::from_u32(CUT));
                return;
            }
        }
    }
}

/// Asks a target's guard for its load.
pub async fn probe(node: Arc<Node>, service: Name, target: Name) {
    let Some(address) = node.address_of(&target) else { return };
    let reply = node.links.ask(&node, address, &Open::Probe).await;
    if let Ok(wire::Reply::Load(load)) = reply {
        let now = node.now();
        crate::node::lock(&node.choosing).entry.reported(now, &service, &target, load);
    }
}
