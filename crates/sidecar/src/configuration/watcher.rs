//! Watches the operator's table in the platform's store: one read of the whole table, then long
//! polls for its changes. Only a few nodes of each data centre watch it; the others receive the
//! ruleset from their peers.

use std::rc::Rc;
use std::time::Duration;

use platform::operator::{self, OperatorRow};
use platform::store::{Error, Row, Rows, StoreClient};
use rand::Rng;
use world::{Name, Routing, Ruleset, set_out};

use crate::configuration::ActiveRuleset;

/// Length of a long poll. Longer polls make fewer calls, which are priced; but if the store accepts
/// a call and never answers it, the node notices only after this time.
const LONG_POLL: Duration = Duration::from_secs(3);
/// How often a node without a ruleset checks whether it has to read the table.
const READ_CHECK: Duration = Duration::from_millis(50);
/// How often another node checks whether it has to watch the table.
const WATCH_CHECK: Duration = Duration::from_millis(100);
/// The pause after a first failure. It doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// The longest pause, so that a change is in force within 2 s of the store's return.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// The contents of the operator's table as read so far. There is no ruleset until the row with the
/// routes was read.
#[derive(Clone, Debug, Default)]
struct TableState {
    routing: Option<Routing>,
    out: Vec<Name>,
    revision: u64,
}

impl TableState {
    fn apply_row(&mut self, row: &Row) {
        match operator::decode(row) {
            Ok(OperatorRow::Routing(routing)) => self.routing = Some(routing),
            Ok(OperatorRow::DataCentre { name, out }) => set_out(&mut self.out, name, out),
            Ok(OperatorRow::Other) => {}
            Err(error) => tracing::error!(key = row.key, %error, "config: a row was ignored"),
        }
    }

    fn apply(&mut self, rows: &Rows) {
        rows.rows.iter().for_each(|row| self.apply_row(row));
        self.revision = self.revision.max(rows.version);
    }

    fn ruleset(&self) -> Option<Ruleset> {
        let routing = self.routing.clone()?;
        Some(Ruleset { revision: self.revision, routing, out: self.out.clone() })
    }
}

/// Keeps `active` up to date from the operator's table while `should_watch` returns true. Never
/// returns.
pub async fn watch_table(
    store: StoreClient,
    active: Rc<ActiveRuleset>,
    should_watch: impl Fn() -> bool,
) {
    let mut backoff = MIN_BACKOFF;
    let mut table: Option<TableState> = None;
    loop {
        if !should_watch() {
            active.stop_watching();
            table = None;
            let has_rules = active.revision() > 0;
            tokio::time::sleep(if has_rules { WATCH_CHECK } else { READ_CHECK }).await;
            continue;
        }
        match poll(&store, &active, &mut table).await {
            Ok(()) => {
                backoff = MIN_BACKOFF;
                active.set_watching(true, "");
            }
            Err(Error::Compacted) => {
                tracing::info!("config: the store dropped its history, reading the whole table");
                table = None;
            }
            Err(error) => {
                active.set_watching(false, &error.to_string());
                let jitter = rand::rng().random_range(0.75..1.25);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Reads the whole table if nothing was read yet, else waits for its next changes.
async fn poll(
    store: &StoreClient,
    active: &ActiveRuleset,
    table: &mut Option<TableState>,
) -> Result<(), Error> {
    // The first poll after a failure returns at once, so that the store's return is noticed.
    let wait = if active.is_watching() { LONG_POLL } else { Duration::ZERO };
    let rows = match table {
        None => store.read(operator::TABLE).await?,
        Some(table) => store.changes(operator::TABLE, table.revision, wait).await?,
    };
    let table = table.get_or_insert_default();
    table.apply(&rows);
    if let Some(ruleset) = table.ruleset().filter(|_| !rows.rows.is_empty()) {
        active.update(ruleset, "store");
    }
    Ok(())
}
