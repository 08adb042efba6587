//! Drives the membership: joins, probes, compares lists.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::Member;
use table::{Condition, Row, Table, Write};
use wire::{Open, Reply};
use world::Key;

use crate::node::{Node, lock};
use crate::suspicion;
use runtime::wall_ms;

/// Time between two ticks of the membership.
const TICK: Duration = Duration::from_millis(100);
/// Time between two writes of this node's row.
const REGISTER: Duration = Duration::from_secs(900);
/// How long the row is kept without a write, in seconds.
const KEPT_S: u64 = 3_600;
/// Time until a failed write or read of the table is tried again.
const AGAIN: Duration = Duration::from_secs(1);
/// Members that a joining node asks for their lists.
const ASKED: usize = 3;

/// Ticks the membership.
pub async fn tick(node: Arc<Node>) {
    loop {
        tokio::time::sleep(TICK).await;
        let actions = {
            let mut choosing = lock(&node.choosing);
            lock(&node.members).tick(node.now(), &mut choosing.rng)
        };
        node.act(actions);
    }
}

/// Joins by the table's list, or by the settings' addresses while the store is down. Returns once
/// the list was read or a peer was found.
pub async fn join(node: &Arc<Node>) {
    for address in node.settings.join.clone() {
        sync(node.clone(), address).await;
        suspicion::fetch(node, address).await;
    }
    while let Err(error) = read_list(node).await {
        tracing::warn!("members: the list cannot be read: {error}");
        if lock(&node.members).up().next().is_some() {
            return;
        }
        tokio::time::sleep(AGAIN).await;
    }
    let addresses: Vec<SocketAddr> =
        lock(&node.members).up().take(ASKED).map(|member| member.address).collect();
    for address in addresses {
        sync(node.clone(), address).await;
        suspicion::fetch(node, address).await;
    }
}

/// Keeps this node's row in the table, and reads the others' after each write: of two nodes that
/// start at once, the one that writes later finds the other.
pub async fn register(node: Arc<Node>) {
    loop {
        node.metrics.store_calls.inc();
        let kept = match write_row(&node).await {
            Ok(()) => read_list(&node).await,
            Err(error) => Err(error),
        };
        let pause = match kept {
            Ok(()) => REGISTER,
            Err(error) => {
                tracing::warn!("members: this node's row was not kept: {error}");
                AGAIN
            }
        };
        tokio::time::sleep(pause).await;
    }
}

async fn write_row(node: &Node) -> Result<(), table::Error> {
    let me = lock(&node.members).local_member().clone();
    let body = serde_json::to_vec(&me).unwrap_or_default();
    let row = Row { key: Key::node(&me.name), version: wall_ms().max(1), body };
    let expires = Some(wall_ms() / 1_000 + KEPT_S);
    node.table.write(vec![Write { row, condition: Condition::Any, expires }]).await
}

async fn read_list(node: &Arc<Node>) -> Result<(), table::Error> {
    node.metrics.store_calls.inc();
    let rows = node.table.list(Key::NODES).await?;
    let members: Vec<Member> =
        rows.iter().filter_map(|row| serde_json::from_slice(&row.body).ok()).collect();
    let actions = lock(&node.members).merge(node.now(), members);
    node.act(actions);
    Ok(())
}

/// Compares member lists with a peer.
pub async fn sync(node: Arc<Node>, address: SocketAddr) {
    let summary = lock(&node.members).summary();
    let Ok((mut send, mut receive)) = node.links.open(address).await else { return };
    let Ok(frame) = wire::encode(&Open::Sync(summary)) else { return };
    node.metrics.control(frame.len());
    if send.write_all(&frame).await.is_err() {
        return;
    }
    let Ok(Reply::Members { summary, members }) = wire::read(&mut receive).await else { return };
    let (own, actions) = {
        let mut list = lock(&node.members);
        let own = list.differing(&summary);
        (own, list.merge(node.now(), members))
    };
    node.act(actions);
    let Ok(frame) = wire::encode(&Reply::Members { summary: Vec::new(), members: own }) else {
        return;
    };
    node.metrics.control(frame.len());
    let _ = send.write_all(&frame).await;
    let _ = send.finish();
}
