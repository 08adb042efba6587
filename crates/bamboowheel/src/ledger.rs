//! Group commit: writes that wait for the store at the same time go as one transaction, one
//! transaction in flight for each node.

use std::sync::Arc;

use table::{Dynamo, Error, Table, Write};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

use crate::metrics::Metrics;

/// Writes in one transaction. The published limit is 100 items and 4 MB.
const GROUP: usize = 25;
/// Writes that may wait.
const DEPTH: usize = 1_024;

type Waiting = (Write, oneshot::Sender<Result<(), Error>>);

/// Takes writes and groups them.
#[derive(Debug)]
pub struct Ledger {
    queue: mpsc::Sender<Waiting>,
}

impl Ledger {
    /// Starts the task that writes.
    pub fn spawn(table: Arc<Dynamo>, metrics: Arc<Metrics>, runtime: &Handle) -> Ledger {
        let (queue, waiting) = mpsc::channel(DEPTH);
        runtime.spawn(run(table, metrics, waiting));
        Ledger { queue }
    }

    /// Writes one row, beside others that wait.
    pub async fn write(&self, write: Write) -> Result<(), Error> {
        let (sender, result) = oneshot::channel();
        let gone = || Error::Unavailable { detail: "the node is stopping".to_owned() };
        self.queue.send((write, sender)).await.map_err(|_| gone())?;
        // A result that is lost after the write was handed over says nothing of its effect.
        let lost = || Error::Unknown { detail: "the node is stopping".to_owned() };
        result.await.unwrap_or_else(|_| Err(lost()))
    }
}

async fn run(table: Arc<Dynamo>, metrics: Arc<Metrics>, mut waiting: mpsc::Receiver<Waiting>) {
    let mut left: Vec<Waiting> = Vec::new();
    loop {
        if left.is_empty() {
            match waiting.recv().await {
                Some(first) => left.push(first),
                None => return,
            }
        }
        while left.len() < GROUP {
            match waiting.try_recv() {
                Ok(next) => left.push(next),
                Err(_) => break,
            }
        }
        let group = take_group(&mut left);
        metrics.store_calls.inc();
        left.extend(commit(&table, group).await);
    }
}

/// Takes writes of different rows; a transaction may name a row only once.
fn take_group(left: &mut Vec<Waiting>) -> Vec<Waiting> {
    let mut group: Vec<Waiting> = Vec::new();
    let mut rest = Vec::new();
    for item in left.drain(..) {
        let twice = group.iter().any(|(write, _)| write.row.key == item.0.row.key);
        if twice { rest.push(item) } else { group.push(item) }
    }
    *left = rest;
    group
}

/// Writes a group. Returns those that must be tried again, since another's condition failed.
async fn commit(table: &Dynamo, mut group: Vec<Waiting>) -> Vec<Waiting> {
    let writes = group.iter().map(|(write, _)| write.clone()).collect();
    let result = table.write(writes).await;
    if let Err(Error::Conflict { at }) = result
        && at < group.len()
    {
        let (_, sender) = group.remove(at);
        let _ = sender.send(Err(Error::Conflict { at: 0 }));
        return group;
    }
    for (_, sender) in group {
        let _ = sender.send(result.clone());
    }
    Vec::new()
}
