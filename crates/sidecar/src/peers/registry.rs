//! How nodes find each other through the store.
//!
//! Each node writes a row of its own, and then reads the rows whose names follow its own, or the
//! first ones of all if none does. Of the nodes with the same neighbours by name, the one that
//! wrote later finds the other, so that the rows that were read connect all nodes. The whole list
//! is then learned from peers. A node that restarts at the same address finds its row in the table
//! and does not write it again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::store::{Error, Row, StoreClient};
use policy::{Health, Member, Time, rewrite_wait_us, ruleset_wait_us};
use rand::Rng;
use runtime::{MAX_AHEAD_MS, wall_ms};
use serde::Deserialize;
use world::{Name, Revision};

use crate::peers::links::Peers;

/// The table of nodes, with one row for each, by its name.
const TABLE: &str = "nodes";
/// Rows that a node reads at its start: enough that some of them are of live nodes after most were
/// stopped.
const ROWS: u32 = 24;
/// The pause after a first failure of the store. It doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause, so that a node is found within 2 s after the store recovers.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// How long a node waits before it reads the rows of others when the whole deployment starts for the
/// first time: by then every node has written its own.
const FIRST_READ_DELAY: Duration = Duration::from_millis(300);
/// The time after which nodes are linked when the whole deployment starts for the first time, in
/// microseconds: nodes start within 0.3 s, and the higher of two nodes leaves the lower one 0.4 s to
/// open their link.
const FIRST_LINKS_US: u64 = 900_000;
/// How many times longer nodes of a large fleet wait for the ruleset when the whole deployment starts
/// for the first time, seconds before its callers do.
const FIRST_SPREAD: u64 = 5;
/// The time in which a node of a small fleet links to the others and learns their names, in
/// microseconds.
const LINK_US: u64 = 80_000;
/// How long a node waits for a first link before it reads further rows.
const LINK_WAIT: Duration = Duration::from_millis(1_500);
/// How often the node checks whether rows of nodes that are gone are to be removed.
const REMOVAL_CHECK: Duration = Duration::from_secs(30);

/// What is known of this node's own row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnRow {
    /// The node may have written it before it restarted.
    Unknown,
    /// It has to be written.
    Absent,
    /// It has to be written, and no other row followed it by name.
    AbsentLast,
    /// It was written since the node started.
    Written,
    /// The same, and no other row followed it by name before.
    WrittenLast,
}

/// The fields of a node's row. Rows of earlier versions have no service.
#[derive(Deserialize)]
struct NodeRow {
    name: Name,
    data_centre: Name,
    address: SocketAddr,
    started: u64,
    #[serde(default)]
    service: Option<Name>,
}

impl Peers {
    /// Registers this node in the store and adds other nodes, retrying until both succeeded. Then
    /// removes rows of nodes that are gone, for as long as the process runs.
    pub async fn join(self: Rc<Peers>, store: StoreClient) {
        let mut pause = RETRY_PAUSE;
        let mut state = if self.first_start { OwnRow::Absent } else { OwnRow::Unknown };
        loop {
            match self.step(&store, &mut state).await {
                Ok(true) => break,
                Ok(false) => {}
                Err(error) => {
                    tracing::info!(%error, ?state, "registry: not joined yet");
                    let spread = rand::rng().random_range(0.75..1.25);
                    tokio::time::sleep(pause.mul_f64(spread)).await;
                    pause = (pause * 2).min(MAX_RETRY_PAUSE);
                }
            }
        }
        tokio::task::spawn_local(self.clone().keep_row(store));
        if let Err(error) = self.find_linked(&store).await {
            tracing::info!(%error, "registry: cannot read further rows");
        }
        loop {
            tokio::time::sleep(REMOVAL_CHECK).await;
            let gone = self.membership.members.borrow().rows_to_remove(self.clock.now());
            for name in gone {
                let started = {
                    let members = self.membership.members.borrow();
                    members.member(&name).map_or(0, |member| member.started)
                };
                match remove_row(&store, &name, started).await {
                    Ok(()) => tracing::info!(name = &*name, "registry: removed a row"),
                    Err(error) => {
                        tracing::info!(name = &*name, %error, "registry: cannot remove a row");
                    }
                }
                self.membership.members.borrow_mut().row_removed(&name);
            }
        }
    }

    /// Writes the own row again whenever the store came back from a copy that may lack it, for as long
    /// as the process runs.
    async fn keep_row(self: Rc<Peers>, store: StoreClient) {
        let mut revisions = self.rules.subscribe();
        // The store's era; unknown until there is a ruleset.
        let mut known = None;
        loop {
            let revision = *revisions.borrow_and_update();
            if revision > 0 {
                let era = Revision::from(revision).era();
                if known.replace(era).is_some_and(|known| era > known) {
                    self.rewrite_row(&store, era).await;
                }
            }
            // An error means that the process is about to end.
            if revisions.changed().await.is_err() {
                return;
            }
        }
    }

    /// Writes the own row some time after the start of an era, retrying until that succeeded.
    async fn rewrite_row(&self, store: &StoreClient, era: u64) {
        let mut wait = Duration::from_micros(rewrite_wait_us(self.fleet(), rand::rng().random()));
        let mut pause = RETRY_PAUSE;
        loop {
            tokio::time::sleep(wait).await;
            let own = self.membership.members.borrow().local_member().clone();
            match write_row(store, &own).await {
                Ok(()) => return tracing::info!(era, "registry: wrote the own row again"),
                Err(error) => {
                    tracing::info!(era, %error, "registry: cannot write the own row again");
                    wait = pause.mul_f64(rand::rng().random_range(0.75..1.25));
                    pause = (pause * 2).min(MAX_RETRY_PAUSE);
                }
            }
        }
    }

    /// Writes the own row if it has to be written, and reads rows of other nodes. Returns whether
    /// the node has joined; otherwise its row was missing or outdated.
    async fn step(
        self: &Rc<Peers>,
        store: &StoreClient,
        state: &mut OwnRow,
    ) -> Result<bool, Error> {
        let own = self.membership.members.borrow().local_member().clone();
        if matches!(*state, OwnRow::Absent | OwnRow::AbsentLast) {
            write_row(store, &own).await?;
            *state = match *state {
                OwnRow::AbsentLast => OwnRow::WrittenLast,
                _ => OwnRow::Written,
            };
            if self.first_start {
                tokio::time::sleep(FIRST_READ_DELAY).await;
            }
        }
        let is_other = |row: &Row| row.key != *own.name && decode(row).is_some();
        let mut rows = Vec::new();
        if *state != OwnRow::WrittenLast {
            rows = store.read_from(TABLE, &own.name, ROWS).await?.rows;
        }
        let has_next = rows.iter().any(is_other);
        if *state == OwnRow::Unknown && !rows.first().is_some_and(|row| is_same_place(row, &own)) {
            *state = if has_next { OwnRow::Absent } else { OwnRow::AbsentLast };
            return Ok(false);
        }
        if !has_next {
            rows = store.read_from(TABLE, "", ROWS).await?.rows;
        }
        if *state == OwnRow::WrittenLast && rows.len() >= ROWS as usize {
            // Others may follow by name meanwhile.
            rows.extend(store.read_from(TABLE, &own.name, ROWS).await?.rows);
        }
        tracing::info!(nodes = rows.len(), "registry: joined");
        if !rows.iter().any(is_other) {
            self.membership.set_alone();
        }
        let others = rows.iter().filter(|row| is_other(row));
        self.merge_members(others.filter_map(decode).collect());
        let is_small = rows.len() < ROWS as usize;
        tokio::task::spawn_local(self.clone().set_ruleset_wait(is_small));
        Ok(true)
    }

    /// Sets when this node reads the ruleset from the store if its peers do not send it. `is_small`
    /// is whether the fleet may be so small that all nodes are known once they are linked.
    async fn set_ruleset_wait(self: Rc<Peers>, is_small: bool) {
        let linked = if self.first_start { Time(FIRST_LINKS_US) } else { Time::default() };
        let from = self.clock.now().after(if is_small { LINK_US } else { 0 }).max(linked);
        tokio::time::sleep_until(self.clock.instant(from)).await;
        let earlier = is_small.then(|| self.membership.members.borrow().rank());
        let mut wait_us = ruleset_wait_us(earlier, rand::rng().random());
        if self.first_start && !is_small {
            wait_us *= FIRST_SPREAD;
        }
        self.read_after.set(self.clock.now().after(wait_us));
    }

    /// Reads further rows until one of the nodes is linked or all rows were read: those that were
    /// read first may be of nodes that are down together.
    async fn find_linked(self: &Rc<Peers>, store: &StoreClient) -> Result<(), Error> {
        let mut from = String::new();
        loop {
            tokio::time::sleep(LINK_WAIT).await;
            if self.directory.count_linked() > 0 {
                return Ok(());
            }
            let rows = store.read_from(TABLE, &from, ROWS).await?.rows;
            self.merge_members(rows.iter().filter_map(decode).collect());
            match rows.last() {
                Some(last) if rows.len() > 1 => from.clone_from(&last.key),
                _ => return Ok(()),
            }
        }
    }
}

async fn write_row(store: &StoreClient, own: &Member) -> Result<(), Error> {
    let row = serde_json::to_vec(own)
        .map_err(|error| Error::Unavailable { detail: error.to_string() })?;
    store.put(TABLE, &own.name, &row).await.map(|_| ())
}

/// Returns whether a row is of an earlier process of this node, reached at the same address.
fn is_same_place(row: &Row, own: &Member) -> bool {
    let place = |member: &Member| (member.data_centre.clone(), member.address);
    row.key == *own.name && decode(row).is_some_and(|member| place(&member) == place(own))
}

/// Removes a row if it is still the one that was read, and not of a later process than the one that
/// started at `started`.
async fn remove_row(store: &StoreClient, name: &Name, started: u64) -> Result<(), Error> {
    let rows = store.read_from(TABLE, name, 1).await?.rows;
    let is_gone = |row: &&Row| {
        row.key == **name && decode(row).is_some_and(|member| member.started <= started)
    };
    match rows.first().filter(is_gone) {
        Some(row) => store.remove(TABLE, name, row.version).await.map(|_| ()),
        None => Ok(()),
    }
}

/// Decodes a row. One that is not a node's is logged and skipped.
fn decode(row: &Row) -> Option<Member> {
    let decoded: Result<NodeRow, _> = serde_json::from_slice(&row.value);
    let decoded = decoded.inspect_err(
        |error| tracing::warn!(key = row.key, %error, "registry: cannot decode a row"),
    );
    let node = decoded.ok()?;
    // A start far ahead would count as newer than any later process of that name.
    let is_valid = *node.name == *row.key
        && node.address.port() > 0
        && node.started <= wall_ms().saturating_add(MAX_AHEAD_MS);
    if !is_valid {
        tracing::warn!(key = row.key, "registry: a row names no node");
        return None;
    }
    Some(Member {
        name: node.name,
        data_centre: node.data_centre,
        address: node.address,
        service: node.service,
        started: node.started,
        incarnation: node.started,
        health: Health::Alive,
    })
}
