//! How nodes find each other: each has a row of its own, written before it reads all rows. Of any two
//! nodes, the one that wrote later finds the other, and links to it. A node that starts again finds
//! its row there, and need not write it.

use std::rc::Rc;
use std::time::Duration;

use platform::store::{Error, StoreClient};
use rand::Rng;

use crate::peers::links::Peers;
use wire::link::Node;

/// The table of nodes.
const TABLE: &str = "nodes";
/// The pause after a first failure. It doubles with each further one.
const PAUSE: Duration = Duration::from_millis(200);
/// The longest pause, so that a node is found within 2 s of the store's return.
const PAUSE_LIMIT: Duration = Duration::from_millis(1_000);

/// What is known of the node's own row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Row {
    /// An earlier life may have written it.
    Unknown,
    /// It is to be written.
    Absent,
    /// This life wrote it.
    Written,
}

impl Peers {
    /// Registers this node and learns of the others.
    pub async fn join(self: Rc<Peers>, store: StoreClient) {
        let mut pause = PAUSE;
        let mut state = if self.first_start { Row::Absent } else { Row::Unknown };
        loop {
            match self.step(&store, &mut state).await {
                Ok(true) => return,
                Ok(false) => {}
                Err(error) => {
                    tracing::info!(%error, ?state, "registry: not joined yet");
                    let spread = rand::rng().random_range(0.75..1.25);
                    tokio::time::sleep(pause.mul_f64(spread)).await;
                    pause = (pause * 2).min(PAUSE_LIMIT);
                }
            }
        }
    }

    /// Takes one step, and returns whether it was the last.
    async fn step(self: &Rc<Peers>, store: &StoreClient, state: &mut Row) -> Result<bool, Error> {
        if *state == Row::Absent {
            let row = serde_json::to_vec(self.local_node())
                .map_err(|error| Error::Unavailable { detail: error.to_string() })?;
            store.put(TABLE, &self.local_node().name, &row).await?;
            *state = Row::Written;
        }
        let rows = store.read(TABLE).await?;
        let nodes = rows.rows.iter().filter_map(decode).collect::<Vec<Node>>();
        let is_own = |node: &&Node| node.name == self.local_node().name;
        let own = nodes.iter().find(is_own).filter(|own| own.is_same_place(self.local_node()));
        if *state == Row::Unknown && own.is_none() {
            *state = Row::Absent;
            return Ok(false);
        }
        self.set_joined();
        tracing::info!(nodes = rows.rows.len(), revision = rows.version, "registry: joined");
        nodes.iter().for_each(|node| self.learn(node));
        Ok(true)
    }
}

fn decode(row: &platform::store::Row) -> Option<Node> {
    let node = serde_json::from_slice(&row.value);
    node.inspect_err(|error| tracing::warn!(key = row.key, %error, "registry: a row is left out"))
        .ok()
}
