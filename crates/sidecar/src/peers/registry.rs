//! How nodes find each other: each writes a row of its own at its start, then reads all rows. Of
//! any two nodes, the one that wrote later finds the other, and links to it.

use std::rc::Rc;
use std::time::Duration;

use platform::store::{Error, Store};
use rand::Rng;

use crate::peers::links::Peers;
use wire::link::Node;

/// The table of nodes.
const TABLE: &str = "nodes";
/// The pause after a first failure. It doubles with each further one.
const PAUSE: Duration = Duration::from_millis(200);
/// The longest pause, so that a node is found within 2 s of the store's return.
const PAUSE_LIMIT: Duration = Duration::from_millis(1_000);

impl Peers {
    /// Registers this node and learns of the others.
    pub async fn join(self: Rc<Peers>, store: Store) {
        let mut pause = PAUSE;
        let mut registered = false;
        loop {
            match self.step(&store, &mut registered).await {
                Ok(()) => return,
                Err(error) => {
                    tracing::info!(%error, registered, "registry: not joined yet");
                    let spread = rand::rng().random_range(0.75..1.25);
                    tokio::time::sleep(pause.mul_f64(spread)).await;
                    pause = (pause * 2).min(PAUSE_LIMIT);
                }
            }
        }
    }

    async fn step(self: &Rc<Peers>, store: &Store, registered: &mut bool) -> Result<(), Error> {
        if !*registered {
            let row = serde_json::to_vec(self.me())
                .map_err(|error| Error::Unavailable { detail: error.to_string() })?;
            store.put(TABLE, &self.me().name, &row).await?;
            *registered = true;
        }
        let rows = store.read(TABLE).await?;
        self.set_joined();
        tracing::info!(nodes = rows.rows.len(), revision = rows.version, "registry: joined");
        for row in &rows.rows {
            match serde_json::from_slice::<Node>(&row.value) {
                Ok(node) => self.learn(&node),
                Err(error) => tracing::warn!(key = row.key, %error, "registry: a row is left out"),
            }
        }
        Ok(())
    }
}
