//! Tells peers about requests that may crash their targets, before their callers can send them
//! again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use policy::SuspectRequest;
use wire::{Call, Open, Reply, Suspect};
use world::Code;
use xxhash_rust::xxh3::xxh3_64;

use crate::node::{Node, lock};

/// The longest wait for peers to note a suspicion.
const SPREAD: Duration = Duration::from_millis(250);

/// Notes that the connection broke while a request ran, and tells the guards of its service.
pub async fn broke(node: &Arc<Node>, call: &Call) {
    let guard = xxh3_64(node.settings.name.as_bytes()) ^ node.started;
    let said = SuspectRequest { print: call.print, request: call.request, guard, convicted: false };
    let held = lock(&node.suspects).connection_broke(node.now(), said);
    let code = if held.convicted { Code::Quarantined } else { Code::Suspected };
    tracing::warn!("guard: request {:016x}: {}", call.request, code.text());
    node.note(code, &call.service, Some(call.request));
    let told = tell(node, call, Suspect::Broke(held));
    let _ = tokio::time::timeout(SPREAD, told).await;
}

/// Notes an answer, and tells the guards of its service where it cleared a suspect.
pub fn answered(node: &Arc<Node>, call: &Call) {
    if !lock(&node.suspects).answered(call.print) {
        return;
    }
    let (node, call) = (node.clone(), call.clone());
    node.clone().spawn(async move { tell(&node, &call, Suspect::Cleared(call.print)).await });
}

async fn tell(node: &Arc<Node>, call: &Call, news: Suspect) {
    let open = Open::Suspect(vec![news]);
    let peers: Vec<SocketAddr> = {
        let members = lock(&node.members);
        let of_service = members.up().filter(|member| member.service == Some(call.service.clone()));
        of_service.map(|member| member.address).collect()
    };
    join_all(peers.into_iter().map(|address| node.links.ask(node, address, &open))).await;
}

/// Asks a peer for everything that is held against requests, when this node joins.
pub async fn fetch(node: &Arc<Node>, address: SocketAddr) {
    let Ok(Reply::Suspects(all)) = node.links.ask(node, address, &Open::Suspects).await else {
        return;
    };
    let mut suspects = lock(&node.suspects);
    for suspicion in all {
        suspects.merge(node.now(), suspicion);
    }
}
