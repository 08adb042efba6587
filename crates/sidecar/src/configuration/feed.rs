//! Follows the operator's table: one read, then one call that waits for changes. A few nodes of each
//! data centre do; peers tell the others.

use std::rc::Rc;
use std::time::Duration;

use platform::operator::{self, OperatorRow};
use platform::store::{Error, Row, Rows, StoreClient};
use rand::Rng;
use world::{Name, Routing, Ruleset, set_out};

use crate::configuration::ActiveRuleset;

/// How long one call waits for changes. Calls are priced; and where the store turned the node away
/// without a word, it is known after this time.
const WAIT: Duration = Duration::from_secs(3);
/// The pause between two looks at whether this node is to watch the table.
const LOOK: Duration = Duration::from_millis(100);
/// The pause after a first failure. It doubles with each further one.
const PAUSE: Duration = Duration::from_millis(200);
/// The longest pause, so that a change is in force within 2 s of the store's return.
const PAUSE_LIMIT: Duration = Duration::from_millis(1_000);

/// What was read of the operator's table, before there is a ruleset of it.
#[derive(Clone, Debug, Default)]
struct Draft {
    routing: Option<Routing>,
    out: Vec<Name>,
    revision: u64,
}

impl Draft {
    fn apply(&mut self, row: &Row) {
        match operator::decode(row) {
            Ok(OperatorRow::Routing(routing)) => self.routing = Some(routing),
            Ok(OperatorRow::DataCentre { name, out }) => set_out(&mut self.out, name, out),
            Ok(OperatorRow::Other) => {}
            Err(error) => tracing::error!(key = row.key, %error, "config: a row is left out"),
        }
    }

    fn take_in(&mut self, rows: &Rows) {
        rows.rows.iter().for_each(|row| self.apply(row));
        self.revision = self.revision.max(rows.version);
    }

    fn ruleset(&self) -> Option<Ruleset> {
        let routing = self.routing.clone()?;
        Some(Ruleset { revision: self.revision, routing, out: self.out.clone() })
    }
}

/// Follows the operator's table for as long as the process runs, while `should_watch` holds.
pub async fn follow(store: StoreClient, rules: Rc<ActiveRuleset>, should_watch: impl Fn() -> bool) {
    let mut pause = PAUSE;
    let mut draft: Option<Draft> = None;
    loop {
        if !should_watch() {
            rules.set_unwatched();
            draft = None;
            tokio::time::sleep(LOOK).await;
            continue;
        }
        match step(&store, &rules, &mut draft).await {
            Ok(()) => {
                pause = PAUSE;
                rules.set_followed(true, "");
            }
            Err(Error::Compacted) => {
                tracing::info!("config: the history is gone, reading anew");
                draft = None;
            }
            Err(error) => {
                rules.set_followed(false, &error.to_string());
                let spread = rand::rng().random_range(0.75..1.25);
                tokio::time::sleep(pause.mul_f64(spread)).await;
                pause = (pause * 2).min(PAUSE_LIMIT);
            }
        }
    }
}

/// Reads the table, or waits for its next changes.
async fn step(
    store: &StoreClient,
    rules: &ActiveRuleset,
    draft: &mut Option<Draft>,
) -> Result<(), Error> {
    // After a failure the first call does not wait, so that the store's return is known at once.
    let wait = if rules.is_watching() { WAIT } else { Duration::ZERO };
    let rows = match draft {
        None => store.read(operator::TABLE).await?,
        Some(draft) => store.changes(operator::TABLE, draft.revision, wait).await?,
    };
    let draft = draft.get_or_insert_default();
    draft.take_in(&rows);
    if let Some(ruleset) = draft.ruleset().filter(|_| !rows.rows.is_empty()) {
        rules.update(ruleset, "store");
    }
    Ok(())
}
