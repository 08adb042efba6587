//! Exchanges that other nodes open.

use std::rc::Rc;
use std::time::Duration;

use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream, VarInt};
use wire::link::{Attempt, Datagram, Frame, Reply};

use crate::guard::Outcome;
use crate::peers::directory::{Link, Peer};
use crate::peers::exchange::GIVEN_UP;
use crate::peers::links::Peers;

/// The time after which an entry is told that its attempt is held, where it has not ended.
const NOTICE: Duration = Duration::from_millis(40);
/// The longest body, in bytes.
const BODY_LIMIT: u64 = 64 * 1024 * 1024;
/// The longest wait for a peer's first frame.
const HELLO: Duration = Duration::from_secs(1);

/// Accepts links for as long as the endpoint is open.
pub async fn accept(peers: Rc<Peers>, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        let peers = peers.clone();
        tokio::task::spawn_local(async move {
            match tokio::time::timeout(HELLO, welcome(&peers, incoming)).await {
                Ok(Ok((peer, link))) => spawn(&peers, peer, link),
                Ok(Err(detail)) => tracing::debug!(detail, "peers: a link was refused"),
                Err(_) => tracing::debug!("peers: no hello in time"),
            }
        });
    }
}

async fn welcome(peers: &Rc<Peers>, incoming: Incoming) -> Result<(Rc<Peer>, Connection), String> {
    let link = incoming.await.map_err(|error| error.to_string())?;
    let (mut send, mut receive) = link.accept_bi().await.map_err(|error| error.to_string())?;
    let frame: Frame = wire::read(&mut receive).await.map_err(|error| error.to_string())?;
    let Frame::Hello(hello) = frame else { return Err("no hello".to_owned()) };
    let by_first = hello.node.name < peers.local_node().name;
    let peer = peers.greeted(&hello, Link { connection: link.clone(), by_first });
    let answer = peers.hello(Some(&peer));
    wire::write(&mut send, &answer).await.map_err(|error| error.to_string())?;
    let _ = send.finish();
    Ok((peer, link))
}

/// Serves what a peer opens on a link.
pub fn spawn(peers: &Rc<Peers>, peer: Rc<Peer>, link: Connection) {
    tokio::task::spawn_local(datagrams(peers.clone(), peer.clone(), link.clone()));
    let peers = peers.clone();
    tokio::task::spawn_local(async move {
        while let Ok((send, receive)) = link.accept_bi().await {
            peer.note_heard(peers.now());
            tokio::task::spawn_local(exchange(peers.clone(), peer.clone(), send, receive));
        }
    });
}

async fn datagrams(peers: Rc<Peers>, peer: Rc<Peer>, link: Connection) {
    while let Ok(datagram) = link.read_datagram().await {
        match wire::decode(&datagram) {
            Ok(Datagram::Status(status)) => peers.said(&peer, &status),
            Err(error) => tracing::warn!(%error, "peers: a datagram makes no sense"),
        }
    }
}

async fn exchange(peers: Rc<Peers>, peer: Rc<Peer>, mut send: SendStream, mut receive: RecvStream) {
    let frame: Frame = match wire::read(&mut receive).await {
        Ok(frame) => frame,
        Err(error) => {
            tracing::debug!(%error, "peers: an exchange makes no sense");
            return;
        }
    };
    let reply = match frame {
        Frame::Attempt(attempt) => return serve(&peers, *attempt, send, receive).await,
        Frame::Status(status) => {
            peers.said(&peer, &status);
            Reply::Noted
        }
        Frame::Fetch => {
            let rules = peers.rules.current();
            Reply::Ruleset(rules.map(|rules| Box::new((*rules).clone())))
        }
        Frame::FetchNodes => Reply::Nodes(peers.nodes()),
        Frame::Hello(_) => return,
    };
    if let Err(error) = wire::write(&mut send, &reply).await {
        tracing::debug!(%error, "peers: a reply was cut");
    }
    let _ = send.finish();
}

/// Runs an attempt for a peer, until that gives it up.
async fn serve(peers: &Rc<Peers>, attempt: Attempt, mut send: SendStream, mut receive: RecvStream) {
    let stopped = {
        let stopped = send.stopped();
        async move {
            // An error means that the link is gone.
            if let Ok(None) = stopped.await {
                std::future::pending::<()>().await;
            }
        }
    };
    tokio::pin!(stopped);
    let length = attempt.length.min(BODY_LIMIT);
    let body = match receive.read_to_end(length as usize).await {
        Ok(body) if body.len() as u64 == attempt.length => body,
        // It was given up, or cut with its link: nothing was dispatched.
        _ => return drop(send.reset(VarInt::from_u32(GIVEN_UP))),
    };
    let run = peers.guard.run(&attempt, body.into());
    tokio::pin!(run);
    let mut notice = Some(Box::pin(tokio::time::sleep(NOTICE)));
    let outcome = loop {
        tokio::select! {
            outcome = &mut run => break outcome,
            () = &mut stopped => {
                tracing::debug!(request = attempt.id, "guard: given up by its entry");
                return;
            }
            () = async { notice.as_mut().expect("checked").await }, if notice.is_some() => {
                notice = None;
                if wire::write(&mut send, &Reply::Held).await.is_err() {
                    return;
                }
            }
        }
    };
    if let Err(error) = answer(peers, outcome, &mut send).await {
        tracing::info!(request = attempt.id, error, "guard: an answer did not reach its entry");
    }
}

async fn answer(peers: &Peers, outcome: Outcome, send: &mut SendStream) -> Result<(), String> {
    let report = peers.guard.report();
    let (reply, body) = match outcome {
        Outcome::Answer(answer) => {
            let fields = wire::end_to_end(&answer.headers, &[]);
            let (status, length) = (answer.status.as_u16(), answer.body.len() as u64);
            let took_us = answer.took_us;
            (Reply::Answer { status, fields, length, took_us, report }, answer.body)
        }
        Outcome::NotRun { refusal, reached } => {
            (Reply::NotRun { refusal, reached, report }, bytes::Bytes::new())
        }
        Outcome::Lost { detail } => (Reply::Lost { detail, report }, bytes::Bytes::new()),
    };
    wire::write(send, &reply).await.map_err(|error| error.to_string())?;
    if !body.is_empty() {
        send.write_chunk(body).await.map_err(|error| error.to_string())?;
    }
    send.finish().map_err(|error| error.to_string())
}
