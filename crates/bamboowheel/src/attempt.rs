//! One attempt to have a request run by the guard of one target, here or over a link.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use quinn::{RecvStream, SendStream, VarInt};
use tokio::sync::mpsc;
use wire::{Call, Open, Verdict};
use world::{Code, Name};

use crate::gate;
use crate::node::Node;
use crate::peers::{CUT, answer_body};
use crate::pieces::{DEPTH, Piece};

/// What an attempt's owner is told, in this order. A channel that closes before a refusal, a failure
/// or the end was cut.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The guard's word.
    Said(Verdict),
    /// Bytes of the answer's body.
    Chunk(Bytes),
    /// The answer is whole.
    End,
}

impl Event {
    /// Returns the refusal of a request to which no link could be opened.
    pub fn no_link() -> Event {
        Event::Said(Verdict::Refused { code: Code::LinkFailed, not_run: true, load: None })
    }
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
            node.spawn(gate::serve(node.clone(), call, body, sender));
        }
        Some(address) => {
            node.spawn(remote(node.clone(), address, call, body, sender));
        }
        None => {
            let _ = sender.try_send(Event::no_link());
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
            let _ = events.send(Event::no_link()).await;
            return;
        }
    };
    let mut remote = Remote { send: Some(send), receive };
    tokio::select! {
        _ = remote.run(call, body, &events) => {}
        _ = events.closed() => {}
    }
    remote.give_up();
}

/// The two directions of an exchange with another node's guard.
struct Remote {
    /// None once the body was sent whole or went on its own way. A stream that is left here is to
    /// be reset, since one that is merely dropped seems to end there.
    send: Option<SendStream>,
    receive: RecvStream,
}

impl Remote {
    async fn run(
        &mut self,
        call: Call,
        body: mpsc::Receiver<Piece>,
        events: &mpsc::Sender<Event>,
    ) -> Option<()> {
        let (request, is_whole) = (call.request, call.whole);
        wire::write(self.send.as_mut()?, &Open::Call(Box::new(call))).await.ok()?;
        let mut body = Some(body);
        if is_whole {
            body = None;
            self.send.take()?.finish().ok()?;
        }
        loop {
            let said: Verdict = wire::read(&mut self.receive).await.ok()?;
            if let Verdict::Head { request: answered, .. } = &said
                && *answered != request
            {
                tracing::error!("entry: the answer to {answered:016x} came for {request:016x}");
                return None;
            }
            let is_run = matches!(said, Verdict::Run(_));
            let is_head = matches!(said, Verdict::Head { .. });
            let is_end = matches!(said, Verdict::Refused { .. } | Verdict::Failed { .. });
            events.send(Event::Said(said)).await.ok()?;
            if is_end {
                return Some(());
            }
            if is_head {
                answer_body(&mut self.receive, events).await;
                return Some(());
            }
            if let Some(body) = body.take_if(|_| is_run) {
                tokio::spawn(give_body(self.send.take()?, body));
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
