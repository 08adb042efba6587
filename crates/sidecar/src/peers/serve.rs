//! Links and exchanges that other nodes open.

use std::rc::Rc;
use std::time::Duration;

use policy::Refusal;
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream, VarInt};
use wire::EarlierRuleset;
use wire::link::{Attempt, Datagram, Frame, Reply};

use crate::guard::Outcome;
use crate::peers::directory::{Link, Peer};
use crate::peers::exchange::{CANCELLED, read_body};
use crate::peers::links::Peers;

/// The longest body of a request.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// The longest wait for the handshake and the hello of a new link.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// Accepts links from other nodes for as long as the endpoint is open.
pub async fn accept(peers: Rc<Peers>, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        let peers = peers.clone();
        tokio::task::spawn_local(async move {
            match tokio::time::timeout(HELLO_TIMEOUT, accept_link(&peers, incoming)).await {
                Ok(Ok((peer, link))) => spawn_receivers(&peers, peer, link),
                Ok(Err(detail)) => tracing::debug!(detail, "peers: a link was refused"),
                Err(_) => tracing::debug!("peers: a new link sent no hello in time"),
            }
        });
    }
}

/// Completes the handshake of a link and exchanges hellos. Returns the peer that opened it.
async fn accept_link(
    peers: &Rc<Peers>,
    incoming: Incoming,
) -> Result<(Rc<Peer>, Connection), String> {
    let link = incoming.await.map_err(|error| error.to_string())?;
    let (mut send, mut receive) = link.accept_bi().await.map_err(|error| error.to_string())?;
    let frame: Frame = wire::read(&mut receive).await.map_err(|error| error.to_string())?;
    let Frame::Hello(hello) = frame else { return Err("no hello".to_owned()) };
    let by_lower = hello.node.name < peers.local_node().name;
    let accepted = Link { connection: link.clone(), by_lower, opened: false };
    let peer = peers.handle_hello(&hello, accepted);
    let answer = peers.hello(Some(&peer));
    wire::write(&mut send, &answer).await.map_err(|error| error.to_string())?;
    let _ = send.finish();
    Ok((peer, link))
}

/// Handles the datagrams and exchanges that a peer sends on a link, in tasks that end with it.
pub fn spawn_receivers(peers: &Rc<Peers>, peer: Rc<Peer>, link: Connection) {
    tokio::task::spawn_local(receive_datagrams(peers.clone(), peer.clone(), link.clone()));
    let peers = peers.clone();
    tokio::task::spawn_local(async move {
        while let Ok((send, receive)) = link.accept_bi().await {
            peer.record_received(peers.now());
            tokio::task::spawn_local(handle_exchange(peers.clone(), peer.clone(), send, receive));
        }
    });
}

/// Handles the status reports that a peer sends as datagrams.
async fn receive_datagrams(peers: Rc<Peers>, peer: Rc<Peer>, link: Connection) {
    while let Ok(datagram) = link.read_datagram().await {
        match wire::decode(&datagram) {
            Ok(Datagram::Status(status)) => peers.handle_status(&peer, &status),
            Ok(Datagram::Member(message)) => {
                peer.record_received(peers.now());
                peers.handle_member_message(*message);
            }
            Ok(Datagram::Watchers(_)) => peer.record_received(peers.now()),
            Ok(Datagram::Beacons(watchers)) => peers.handle_watchers(&peer, &watchers),
            Err(error) => tracing::warn!(%error, "peers: cannot decode a datagram"),
        }
    }
}

/// Reads the frame that opens an exchange, and replies to it.
async fn handle_exchange(
    peers: Rc<Peers>,
    peer: Rc<Peer>,
    mut send: SendStream,
    mut receive: RecvStream,
) {
    let frame: Frame = match wire::read(&mut receive).await {
        Ok(frame) => frame,
        Err(error) => {
            tracing::debug!(%error, "peers: cannot read the first frame of an exchange");
            return;
        }
    };
    let reply = match frame {
        Frame::Attempt(attempt) => {
            peer.last_used.set(peers.now());
            return run_attempt(&peers, *attempt, send, receive).await;
        }
        Frame::Status(status) => {
            peers.handle_status(&peer, &status);
            Reply::Noted
        }
        Frame::Fetch => {
            let rules = peers.rules.for_peers();
            Reply::Ruleset(
                rules.and_then(|rules| EarlierRuleset::from_ruleset(&rules)).map(Box::new),
            )
        }
        Frame::FetchRules => Reply::Rules(peers.rules.for_peers().map(Box::new)),
        Frame::Tokens(ask) => {
            peer.last_used.set(peers.now());
            Reply::Tokens(Box::new(peers.answer_tokens(&peer.node().name, &ask)))
        }
        Frame::Evidence(report) => {
            let name = peer.node().name;
            Reply::Exposure(peers.handle_evidence(&name, *report))
        }
        Frame::FetchNodes => Reply::Nodes(peers.nodes()),
        Frame::Sync(summary) => peers.differing_members(&summary),
        Frame::Members(members) => {
            peers.merge_members(members);
            Reply::Noted
        }
        Frame::Release => peers.handle_release(&peer),
        Frame::Crashes(notices) => {
            peers.handle_crash_notices(&peer, notices);
            Reply::Noted
        }
        Frame::StartWithin { id, us } => {
            peers.guard.limit_start(&id, us);
            Reply::Noted
        }
        Frame::Hello(_) => return,
    };
    if let Err(error) = wire::write(&mut send, &reply).await {
        tracing::debug!(%error, "peers: sending a reply failed");
    }
    let _ = send.finish();
}

/// Runs an attempt for a peer until it ends or the peer cancels it.
async fn run_attempt(
    peers: &Rc<Peers>,
    mut attempt: Attempt,
    mut send: SendStream,
    mut receive: RecvStream,
) {
    let _serving = peers.track_serving();
    let stopped = {
        let stopped = send.stopped();
        async move {
            // An error means that the link was closed, which also cancels the attempt.
            if let Ok(None) = stopped.await {
                std::future::pending::<()>().await;
            }
        }
    };
    tokio::pin!(stopped);
    // The entry may limit the start while the body arrives.
    let start = peers.guard.track_start(&mut attempt);
    let id = attempt.id.clone();
    let length = usize::try_from(attempt.length).unwrap_or(usize::MAX);
    let body = match peers.guard.bodies.receive(length, MAX_BODY_BYTES) {
        Ok(buffer) => read_body(&mut receive, buffer, length).await,
        Err(fault) => {
            tracing::info!(request = id, ?fault, length, "guard: refused the body of an attempt");
            // Fails only if the stream is closed already.
            let _ = receive.stop(VarInt::from_u32(CANCELLED));
            let refused = Outcome::NotRun { refusal: Refusal::Full, reached: false };
            return finish_attempt(peers, refused, &mut send, &id).await;
        }
    };
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            // The peer cancelled the attempt or the link broke. Nothing has been sent to the target.
            tracing::debug!(request = id, error, "guard: the body of an attempt did not arrive");
            return drop(send.reset(VarInt::from_u32(CANCELLED)));
        }
    };
    let run = peers.guard.run(attempt, body, start);
    tokio::pin!(run);
    let outcome = tokio::select! {
        outcome = &mut run => outcome,
        () = &mut stopped => {
            tracing::debug!(request = id, "guard: attempt cancelled by its entry");
            return;
        }
    };
    finish_attempt(peers, outcome, &mut send, &id).await;
}

/// Sends the outcome of an attempt and waits until the peer has it.
async fn finish_attempt(peers: &Peers, outcome: Outcome, send: &mut SendStream, id: &str) {
    if let Err(error) = send_outcome(peers, outcome, send).await {
        tracing::info!(request = id, error, "guard: cannot send an outcome to its entry");
        return;
    }
    // The node may stop once the entry has acknowledged the outcome. An error means that the link was
    // closed.
    let _ = send.stopped().await;
}

/// Sends an outcome with the guard's current report, then the body of an answer.
async fn send_outcome(
    peers: &Peers,
    outcome: Outcome,
    send: &mut SendStream,
) -> Result<(), String> {
    let report = peers.guard.report();
    let (reply, body) = match outcome {
        Outcome::Answer(answer) => {
            let mut fields = wire::end_to_end(&answer.headers, &[]);
            if let Some(life) = peers.guard.leaving() {
                wire::add_leaving(&mut fields, &life);
            }
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
