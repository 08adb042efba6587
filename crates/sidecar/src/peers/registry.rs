//! How nodes find each other through the store.
//!
//! Each node writes a row of its own before it reads all rows. Of any two nodes, the one that wrote
//! later therefore finds the other, and links to it. A node that restarts at the same address finds
//! its row in the table and does not write it again.

use std::rc::Rc;
use std::time::Duration;

use platform::store::{Error, StoreClient};
use rand::Rng;

use crate::peers::links::Peers;
use wire::link::Node;

/// The table of nodes, with one row for each, by its name.
const TABLE: &str = "nodes";
/// The pause after a first failure of the store. It doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause, so that a node is found within 2 s after the store recovers.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// What is known of this node's own row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnRow {
    /// The node may have written it before it restarted.
    Unknown,
    /// It has to be written.
    Absent,
    /// It was written since the node started.
    Written,
}

impl Peers {
    /// Registers this node in the store and adds the other nodes, retrying until both succeeded.
    pub async fn join(self: Rc<Peers>, store: StoreClient) {
        let mut pause = RETRY_PAUSE;
        let mut state = if self.first_start { OwnRow::Absent } else { OwnRow::Unknown };
        loop {
            match self.step(&store, &mut state).await {
                Ok(true) => return,
                Ok(false) => {}
                Err(error) => {
                    tracing::info!(%error, ?state, "registry: not joined yet");
                    let spread = rand::rng().random_range(0.75..1.25);
                    tokio::time::sleep(pause.mul_f64(spread)).await;
                    pause = (pause * 2).min(MAX_RETRY_PAUSE);
                }
            }
        }
    }

    /// Writes the own row if it has to be written, and reads all rows. Returns whether the node has
    /// joined; otherwise its row was missing or outdated.
    async fn step(
        self: &Rc<Peers>,
        store: &StoreClient,
        state: &mut OwnRow,
    ) -> Result<bool, Error> {
        if *state == OwnRow::Absent {
            let row = serde_json::to_vec(self.local_node())
                .map_err(|error| Error::Unavailable { detail: error.to_string() })?;
            store.put(TABLE, &self.local_node().name, &row).await?;
            *state = OwnRow::Written;
        }
        let rows = store.read(TABLE).await?;
        let nodes = rows.rows.iter().filter_map(decode).collect::<Vec<Node>>();
        let is_own = |node: &&Node| node.name == self.local_node().name;
        let own = nodes.iter().find(is_own).filter(|own| own.is_same_place(self.local_node()));
        if *state == OwnRow::Unknown && own.is_none() {
            *state = OwnRow::Absent;
            return Ok(false);
        }
        self.set_joined();
        tracing::info!(nodes = rows.rows.len(), revision = rows.version, "registry: joined");
        nodes.iter().for_each(|node| self.add_node(node));
        Ok(true)
    }
}

/// Decodes a row. One that cannot be decoded is logged and skipped.
fn decode(row: &platform::store::Row) -> Option<Node> {
    let node = serde_json::from_slice(&row.value);
    node.inspect_err(|error| tracing::warn!(key = row.key, %error, "registry: cannot decode a row"))
        .ok()
}
