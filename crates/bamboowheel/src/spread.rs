//! Spreads configurations: a few nodes of each data centre read the table, the rest learn from
//! peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use table::Table;
use wire::{Open, Reply};
use world::{Config, Key};

use crate::node::{Node, lock};

/// Time between two looks whether the table is to be read.
const TICK: Duration = Duration::from_millis(200);

/// Reads the table's version whenever it is due.
pub async fn poll(node: Arc<Node>) {
    loop {
        let rank = lock(&node.members).rank();
        if lock(&node.versions).is_poll_due(node.now(), rank) {
            read_table(&node).await;
        }
        tokio::time::sleep(TICK).await;
    }
}

/// Takes the newest configuration that the table and some peers have, as a node does that starts.
pub async fn ask_all(node: &Arc<Node>) {
    read_table(node).await;
    let addresses: Vec<SocketAddr> =
        lock(&node.members).up().map(|member| member.address).take(PEERS).collect();
    for address in addresses {
        fetch(node.clone(), address).await;
    }
}

/// Peers that a starting node asks.
const PEERS: usize = 3;

/// Notes the version that a peer showed, and fetches it where it is newer.
pub fn saw(node: &Arc<Node>, version: u64, address: SocketAddr) {
    if lock(&node.versions).observe(version) {
        node.spawn(fetch(node.clone(), address));
    }
}

async fn read_table(node: &Arc<Node>) {
    node.metrics.store_calls.inc();
    match node.table.read(&Key::config()).await {
        Ok(Some(row)) => match serde_json::from_slice::<Config>(&row.body) {
            Ok(config) => node.apply(config),
            Err(error) => tracing::error!("config: the table's row makes no sense: {error}"),
        },
        Ok(None) => {}
        Err(error) => tracing::warn!("config: the table cannot be read: {error}"),
    }
}

async fn fetch(node: Arc<Node>, address: SocketAddr) {
    let (version, base) = {
        let versions = lock(&node.versions);
        (versions.config().version, versions.config().base)
    };
    let reply = node.links.ask(&node, address, &Open::Fetch { version, base }).await;
    let Ok(Reply::Config(Some(config))) = reply else { return };
    let mut config = *config;
    if config.document.is_empty() {
        let versions = lock(&node.versions);
        if versions.config().base != config.base {
            return;
        }
        config.document = versions.config().document.clone();
    }
    node.apply(config);
}
