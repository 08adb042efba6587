//! Links that others open to this node.

use std::sync::Arc;
use std::time::Duration;

use policy::MemberMessage;
use quinn::{Connection, Incoming, RecvStream, SendStream, VarInt};
use tokio::sync::mpsc;
use wire::{Call, Open, Reply, Suspect, Verdict};
use world::{Config, Name};

use crate::attempt::Event;
use crate::gate;
use crate::node::{Node, lock};
use crate::pieces::{DEPTH, PIECE_LIMIT, Piece};

/// The code of a stream that was cut.
pub const CUT: u32 = 2;

/// The longest wait until a peer has the whole answer. Until then the exchange is under way.
const DELIVERY: Duration = Duration::from_secs(5);

/// Accepts links until the endpoint is closed.
pub async fn accept(node: Arc<Node>) {
    while let Some(incoming) = node.links.endpoint().accept().await {
        tokio::spawn(link(node.clone(), incoming));
    }
}

async fn link(node: Arc<Node>, incoming: Incoming) {
    let remote = incoming.remote_address();
    let link = match incoming.await {
        Ok(link) => link,
        Err(error) => {
            tracing::warn!("links: {remote} was refused: {error}");
            return;
        }
    };
    tokio::spawn(datagrams(node.clone(), link.clone()));
    while let Ok((send, receive)) = link.accept_bi().await {
        tokio::spawn(exchange(node.clone(), send, receive));
    }
}

async fn datagrams(node: Arc<Node>, link: Connection) {
    while let Ok(frame) = link.read_datagram().await {
        match wire::decode(&frame) {
            Ok(Open::Member(message)) => received(&node, *message),
            Ok(_) => tracing::warn!("links: a datagram holds no membership message"),
            Err(error) => tracing::warn!("links: a datagram makes no sense: {error}"),
        }
    }
}

fn received(node: &Arc<Node>, message: MemberMessage) {
    let (address, version) = (message.from.address, message.version);
    let actions = lock(&node.members).received(node.now(), message);
    node.act(actions);
    crate::spread::saw(node, version, address);
}

async fn exchange(node: Arc<Node>, mut send: SendStream, mut receive: RecvStream) {
    let open = match wire::read(&mut receive).await {
        Ok(open) => open,
        Err(error) => {
            tracing::debug!("links: an exchange made no sense: {error}");
            let _ = send.reset(VarInt::from_u32(CUT));
            return;
        }
    };
    let reply = match open {
        Open::Call(call) => return serve(node, *call, send, receive).await,
        Open::Member(_) => return,
        Open::Probe => Reply::Load(node.gate.load()),
        Open::Sync(summary) => members(&node, &summary),
        Open::Fetch { version, base } => {
            let config = newer(lock(&node.versions).config(), version, base);
            Reply::Config(config.map(Box::new))
        }
        Open::Suspect(news) => {
            learn(&node, news);
            Reply::Noted
        }
        Open::Suspects => Reply::Suspects(lock(&node.suspects).entries(node.now())),
    };
    let is_sync = matches!(reply, Reply::Members { .. });
    let Ok(frame) = wire::encode(&reply) else { return };
    node.metrics.control(frame.len());
    if send.write_all(&frame).await.is_err() {
        return;
    }
    let _ = send.finish();
    if is_sync {
        take_members(&node, &mut receive).await;
    }
}

fn members(node: &Node, summary: &[u64]) -> Reply {
    let members = lock(&node.members);
    Reply::Members { summary: members.summary(), members: members.differing(summary) }
}

async fn take_members(node: &Arc<Node>, receive: &mut RecvStream) {
    let Ok(Reply::Members { members, .. }) = wire::read(receive).await else { return };
    let actions = lock(&node.members).merge(node.now(), members);
    node.act(actions);
}

/// Returns the configuration where it is newer, without a document that the asker has.
pub fn newer(config: &Config, version: u64, base: u64) -> Option<Config> {
    if config.version <= version {
        return None;
    }
    let mut config = config.clone();
    if config.base == base {
        config.document = Name::default();
    }
    Some(config)
}

fn learn(node: &Node, news: Vec<Suspect>) {
    let mut suspects = lock(&node.suspects);
    for item in news {
        match item {
            Suspect::Broke(suspicion) => {
                suspects.merge(node.now(), suspicion);
            }
            Suspect::Cleared(print) => suspects.cleared(print),
        }
    }
}

/// Serves a call that came over a link.
async fn serve(node: Arc<Node>, call: Call, mut send: SendStream, receive: RecvStream) {
    let _busy = node.busy();
    let (events, mut from_gate) = mpsc::channel(DEPTH);
    let (pieces, body) = mpsc::channel(DEPTH);
    if !call.whole {
        tokio::spawn(take_body(receive, pieces));
    }
    let gate = tokio::spawn(gate::serve(node, call, body, events));
    let stopped = stopped(&send);
    let passed = tokio::select! {
        passed = pass_on(&mut from_gate, &mut send) => passed,
        _ = stopped => false,
    };
    match passed {
        true => drop(tokio::time::timeout(DELIVERY, send.stopped()).await),
        false => drop(send.reset(VarInt::from_u32(CUT))),
    }
    drop(from_gate);
    let _ = gate.await;
}

/// Waits until the peer no longer wants the answer.
fn stopped(send: &SendStream) -> impl Future<Output = ()> + use<> {
    let stopped = send.stopped();
    async move {
        if let Ok(None) = stopped.await {
            std::future::pending::<()>().await;
        }
    }
}

/// Reads a body from a stream. A stream that breaks leaves the body without its end.
pub async fn take_body(mut receive: RecvStream, pieces: mpsc::Sender<Piece>) {
    loop {
        match receive.read_chunk(PIECE_LIMIT, true).await {
            Ok(Some(chunk)) => {
                if pieces.send(Piece::Data(chunk.bytes)).await.is_err() {
                    let _ = receive.stop(VarInt::from_u32(CUT));
                    return;
                }
            }
            Ok(None) => {
                let _ = pieces.send(Piece::End).await;
                return;
            }
            Err(_) => return,
        }
    }
}

/// Passes the guard's events on to the peer. Returns whether they came to a proper end.
async fn pass_on(events: &mut mpsc::Receiver<Event>, send: &mut SendStream) -> bool {
    while let Some(event) = events.recv().await {
        let (written, is_last) = match event {
            Event::Said(said) => {
                let is_last = matches!(said, Verdict::Refused { .. } | Verdict::Failed { .. });
                (wire::write(send, &said).await.is_ok(), is_last)
            }
            Event::Chunk(bytes) => (send.write_chunk(bytes).await.is_ok(), false),
            Event::End => (true, true),
        };
        if !written {
            return false;
        }
        if is_last {
            return send.finish().is_ok();
        }
    }
    false
}

/// Reads an answer's body into events. A stream that breaks leaves them without an end.
pub async fn answer_body(receive: &mut RecvStream, events: &mpsc::Sender<Event>) {
    loop {
        let event = match receive.read_chunk(PIECE_LIMIT, true).await {
            Ok(Some(chunk)) => Event::Chunk(chunk.bytes),
            Ok(None) => Event::End,
            Err(_) => return,
        };
        let is_end = event == Event::End;
        if events.send(event).await.is_err() || is_end {
            return;
        }
    }
}
