//! Watches the operator's table in the platform's store: one read of the whole table, then long
//! polls for its changes. Only a few nodes of each data centre watch it; the others receive the
//! ruleset from their peers.

use std::rc::Rc;
use std::time::Duration;

use platform::operator::{self, OperatorRow};
use platform::store::{Error, Row, Rows, StoreClient};
use policy::reread_wait_us;
use rand::Rng;
use world::{Name, Revision, Rollout, Routing, Ruleset, set_out, set_rollout};

use crate::configuration::ActiveRuleset;

/// Length of a long poll. Longer polls make fewer calls, which are priced; but if its connection goes
/// silent, the node notices only after this time and [`MIN_PATIENCE`]. A node has to be in touch with
/// the store again 3 s after that, and its peers still have to receive what it reads.
const LONG_POLL: Duration = Duration::from_millis(1_500);
/// How much longer than the poll the first wait for an answer is; the store usually answers within
/// 4 ms. It doubles with each further failure, since the store may be slow.
const MIN_PATIENCE: Duration = Duration::from_millis(600);
/// The longest patience.
const MAX_PATIENCE: Duration = Duration::from_secs(2);
/// How often a node without a ruleset checks whether it has to read the table.
const READ_CHECK: Duration = Duration::from_millis(50);
/// How often another node checks whether it has to watch the table.
const WATCH_CHECK: Duration = Duration::from_millis(100);
/// The pause after a second failure in a row. It doubles with each further one. After a first one the
/// call is made again at once, on a new connection.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// The longest pause, so that a change is in force within 2 s of the store's return.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// The contents of the operator's table as read so far. There is no ruleset until the row with the
/// routes was read.
#[derive(Clone, Debug, Default)]
struct TableState {
    routing: Option<Routing>,
    out: Vec<Name>,
    rollouts: Vec<Rollout>,
    /// The store's version as of which it was read.
    version: u64,
    /// The store's era in which it was read.
    era: u64,
}

impl TableState {
    fn apply_row(&mut self, row: &Row) {
        match operator::decode(row) {
            Ok(OperatorRow::Routing(routing)) => self.routing = Some(routing),
            Ok(OperatorRow::DataCentre { name, out }) => set_out(&mut self.out, name, out),
            Ok(OperatorRow::Rollout { service, order }) => {
                set_rollout(&mut self.rollouts, &service, order);
            }
            Ok(OperatorRow::Other) => {}
            Err(error) => tracing::error!(key = row.key, %error, "config: a row was ignored"),
        }
    }

    fn apply(&mut self, rows: &Rows) {
        rows.rows.iter().for_each(|row| self.apply_row(row));
        self.version = self.version.max(rows.version);
        self.era = rows.era;
    }

    fn ruleset(&self) -> Option<Ruleset> {
        let routing = self.routing.clone()?;
        let (out, rollouts) = (self.out.clone(), self.rollouts.clone());
        let revision = Revision::new(self.era, self.version).into();
        Some(Ruleset { revision, routing, out, rollouts })
    }
}

/// Keeps `active` up to date from the operator's table while `should_watch` returns true. Never
/// returns.
pub async fn watch_table(
    store: StoreClient,
    active: Rc<ActiveRuleset>,
    should_watch: impl Fn() -> bool,
) {
    let mut retry = Retry::default();
    let mut table: Option<TableState> = None;
    let mut rejected = 0;
    loop {
        active.expire_held();
        if !should_watch() {
            active.stop_watching();
            table = None;
            let has_rules = active.revision() > 0;
            tokio::time::sleep(if has_rules { WATCH_CHECK } else { READ_CHECK }).await;
            continue;
        }
        match poll(&store, &active, &mut table, retry).await {
            Ok(is_whole) => {
                retry = Retry::default();
                rejected = if is_whole { rejected } else { 0 };
                active.set_watching(true, "");
            }
            Err(Error::Compacted { era }) => {
                tracing::info!(
                    era,
                    rejected,
                    "config: the store dropped its history, reading the whole table"
                );
                table = None;
                rejected += 1;
                let wait_us = reread_wait_us(rejected, rand::rng().random());
                tokio::time::sleep(Duration::from_micros(wait_us)).await;
            }
            Err(error) if retry.failures == 0 && active.is_watching() => {
                tracing::info!(%error, "config: a poll of the store failed");
                retry.failures = 1;
            }
            Err(error) => {
                active.set_watching(false, &error.to_string());
                let jitter = rand::rng().random_range(0.75..1.25);
                tokio::time::sleep(retry.backoff().mul_f64(jitter)).await;
                retry.failures += 1;
            }
        }
    }
}

/// How a call to the store is made after failures.
#[derive(Clone, Copy, Debug, Default)]
struct Retry {
    /// Failures in a row.
    failures: u32,
}

impl Retry {
    /// Returns the pause before the next call.
    fn backoff(self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(8);
        (MIN_BACKOFF * (1 << doublings)).min(MAX_BACKOFF)
    }

    /// Returns how much longer than the length of a poll its answer may take.
    fn patience(self) -> Duration {
        (MIN_PATIENCE * (1 << self.failures.min(8))).min(MAX_PATIENCE)
    }
}

/// Reads the whole table if nothing was read yet, else waits for its next changes. Returns whether it
/// read the whole table.
async fn poll(
    store: &StoreClient,
    active: &ActiveRuleset,
    table: &mut Option<TableState>,
    retry: Retry,
) -> Result<bool, Error> {
    // The first poll after a failure returns at once, so that the store's return is noticed.
    let is_first = retry.failures > 0 || !active.is_watching();
    let wait = if is_first { Duration::ZERO } else { LONG_POLL };
    let rows = match table {
        None => store.read(operator::TABLE).await?,
        Some(table) => {
            let (after, patience) = (table.version, retry.patience());
            let rows = store.changes(operator::TABLE, after, wait, patience).await?;
            if rows.era != table.era {
                // Changes of one era do not follow the rows of another.
                return Err(Error::Compacted { era: rows.era });
            }
            rows
        }
    };
    let is_whole = table.is_none();
    let table = table.get_or_insert_default();
    table.apply(&rows);
    if let Some(ruleset) = table.ruleset().filter(|_| !rows.rows.is_empty()) {
        active.update_from_store(ruleset);
    }
    Ok(is_whole)
}
