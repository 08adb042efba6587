//! Idempotency keys: drives the record's state machine against the platform's table.

use std::sync::Arc;
use std::time::Duration;

use policy::{
    IdempotencyRecord, IdempotencyState, IdempotencyStep, KeyedAttempt, StoredAnswer, TableReply,
    Time,
};
use table::{Condition, Error, Row, Table, Write};
use tokio::sync::mpsc;
use wire::{Call, Field, Verdict};
use world::{Code, Key};

use crate::attempt::Event;
use crate::gate::refused;
use crate::node::{Node, lock};
use runtime::wall_ms;

/// How long a record is kept, in seconds.
const KEPT_S: u64 = 7 * 86_400;
/// The first wait before the store is asked again.
const FIRST_WAIT: Duration = Duration::from_millis(20);
/// The longest wait before the store is asked again.
const LONGEST_WAIT: Duration = Duration::from_millis(500);
/// The longest that a refusal waits for its record to be voided.
const VOID_WAIT: Duration = Duration::from_millis(300);
/// The longest body of a stored answer, in bytes.
pub const STORED_LIMIT: usize = 64 * 1024;
/// Version of the record's form, the first byte of its row.
const FORM: u8 = 1;

/// The right to run the request of a key.
#[derive(Debug)]
pub struct Held {
    node: Arc<Node>,
    key: Key,
    once: KeyedAttempt,
}

/// Wins the right to run the request of a key, or says why not.
pub async fn win(
    node: &Arc<Node>,
    call: &Call,
    key: &str,
    deadline: Time,
    events: &mpsc::Sender<Event>,
) -> Result<Held, Event> {
    let (once, step) =
        KeyedAttempt::new(node.unique(), node.settings.name.clone(), node.started, call.print.0);
    let key = Key::once(&call.service, key);
    let mut held = Held { node: node.clone(), key, once };
    // The refusal must reach the entry before the entry's own deadline.
    let left_us = deadline.since(node.now()) / 5 * 4;
    let limit = tokio::time::sleep_until(node.clock.instant(node.now().after(left_us)));
    let end = tokio::select! {
        end = held.drive(step) => Some(end),
        _ = limit => None,
        _ = events.closed() => None,
    };
    match end {
        Some(IdempotencyStep::Run) => Ok(held),
        Some(IdempotencyStep::Answer(stored)) => {
            answer(node, call, stored, events).await;
            Err(Event::End)
        }
        Some(IdempotencyStep::Refuse(code, not_run)) => Err(refused(node, code, not_run)),
        _ => {
            held.abandon();
            Err(refused(node, Code::StoreDown, true))
        }
    }
}

/// Gives the answer of an earlier run.
async fn answer(node: &Node, call: &Call, stored: StoredAnswer, events: &mpsc::Sender<Event>) {
    let to_field = |(name, value)| Field { name, value };
    let mut fields: Vec<Field> = stored.headers.into_iter().map(to_field).collect();
    let mark = crate::headers::STORED.as_str().to_owned();
    fields.push(Field { name: mark, value: b"true".to_vec() });
    let (status, length) = (stored.status, Some(stored.body.len() as u64));
    tracing::debug!("guard: request {:016x} has the answer of an earlier run", call.request);
    let (request, load) = (call.request, node.gate.report(node.now()));
    let head = Verdict::Head { request, status, fields, length, load };
    let _ = events.send(Event::Said(head)).await;
    if !stored.body.is_empty() {
        let _ = events.send(Event::Chunk(stored.body.into())).await;
    }
}

impl Held {
    /// Notes how the run ended. The write is repeated until the store takes it.
    pub fn finish(self, state: IdempotencyState) {
        self.node.clone().spawn(async move {
            let _busy = self.node.busy();
            let record = self.once.final_record(state);
            let mut wait = FIRST_WAIT;
            while self.put(Condition::Any, record.clone(), FINISHED).await.is_err() {
                tokio::time::sleep(wait).await;
                wait = (wait * 2).min(LONGEST_WAIT);
            }
        });
    }

    /// Gives the right back, so that another guard may run the request. Waits a little for that,
    /// since the caller's entry tries another guard next.
    pub async fn void(self) {
        let voided = self.abandon();
        let _ = tokio::time::timeout(VOID_WAIT, voided).await;
    }

    /// Gives up and voids the record in the background, for as long as it takes.
    fn abandon(mut self) -> tokio::task::JoinHandle<()> {
        self.node.clone().spawn(async move {
            let step = self.once.give_up();
            self.drive(step).await;
        })
    }

    /// Takes steps until the machine needs no table for the next.
    async fn drive(&mut self, mut step: IdempotencyStep) -> IdempotencyStep {
        let mut wait = FIRST_WAIT;
        loop {
            let reply = match step {
                IdempotencyStep::Insert(record) => self.insert(record).await,
                IdempotencyStep::Replace(version, record) => {
                    let put = self.put(Condition::Version(version), record, version + 1);
                    sort(put.await)
                }
                IdempotencyStep::Read => self.read().await,
                end => return end,
            };
            if reply == TableReply::Unavailable {
                tokio::time::sleep(wait).await;
                wait = (wait * 2).min(LONGEST_WAIT);
            }
            let members = lock(&self.node.members);
            let own = (&self.node.settings.name, self.node.started);
            let is_alive = |record: &IdempotencyRecord| match members.member(&record.node) {
                _ if (&record.node, record.incarnation) == own => true,
                Some(member) => {
                    member.started == record.incarnation && member.health < policy::Health::Dead
                }
                None => false,
            };
            step = self.once.replied(reply, is_alive);
        }
    }

    async fn insert(&self, record: IdempotencyRecord) -> TableReply {
        sort(self.put(Condition::Absent, record, FIRST).await)
    }

    async fn put(
        &self,
        condition: Condition,
        record: IdempotencyRecord,
        version: u64,
    ) -> Result<(), Error> {
        let body = wire_form(&record);
        let expires = Some(wall_ms() / 1_000 + KEPT_S);
        let row = Row { key: self.key.clone(), version, body };
        self.node.ledger.write(Write { row, condition, expires }).await
    }

    async fn read(&self) -> TableReply {
        self.node.metrics.store_calls.inc();
        match self.node.table.read(&self.key).await {
            Ok(None) => TableReply::Found(None),
            Ok(Some(row)) => match parse(&row.body) {
                Some(record) => TableReply::Found(Some((row.version, record))),
                None => TableReply::Unavailable,
            },
            Err(_) => TableReply::Unavailable,
        }
    }
}

/// The version of a record's first row.
const FIRST: u64 = 1;
/// The version of a record's last row.
const FINISHED: u64 = u64::MAX >> 1;

fn sort(written: Result<(), Error>) -> TableReply {
    match written {
        Ok(()) => TableReply::Done,
        Err(Error::Conflict { .. }) => TableReply::Conflict,
        Err(Error::Unavailable { .. }) => TableReply::Unavailable,
        Err(Error::Unknown { .. }) => TableReply::Unknown,
    }
}

fn wire_form(record: &IdempotencyRecord) -> Vec<u8> {
    postcard::to_extend(record, vec![FORM]).unwrap_or_default()
}

fn parse(body: &[u8]) -> Option<IdempotencyRecord> {
    let (form, record) = body.split_first()?;
    (*form == FORM).then(|| postcard::from_bytes(record).ok())?
}
