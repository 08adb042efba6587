//! At-most-once execution: how a guard uses the stored record of an idempotency key.
//!
//! The attempt whose write of `Running` takes effect runs the request. There is no lease that could
//! expire, so a holder that is paused for any time does no harm. Only the attempt that holds a
//! record may void it, and only if it has not dispatched the request and never will.

use serde::{Deserialize, Serialize};
use world::{Code, Name};

/// An answer that is kept, to be given to later requests with the same key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Names and values of the headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// What is known of the request of an idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum IdempotencyState {
    /// The request may be about to run, may be running, or may have run.
    Running,
    /// The request ran and was answered with this.
    Done(StoredAnswer),
    /// The request ran, and its answer was too large to be stored.
    TooLarge,
    /// The request may have run, and its answer is lost.
    Lost,
    /// The attempt did not dispatch the request and never will. Another attempt may replace the
    /// record.
    Void,
}

/// The record of one idempotency key: one row of the platform's table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdempotencyRecord {
    /// Identifies the attempt that wrote the record, among those of all guards.
    pub attempt: u64,
    /// The node of that attempt's guard.
    pub node: Name,
    /// Incarnation of that node, so that the node is not taken for the holder after a restart.
    pub incarnation: u64,
    /// Fingerprint of the request. A different request with the same key has another one.
    pub print: u64,
    /// What is known of the request.
    pub state: IdempotencyState,
}

/// The table's reply to a step.
#[derive(Clone, Debug, PartialEq)]
pub enum TableReply {
    /// The write took effect.
    Done,
    /// The write did not take effect: its condition did not hold.
    Conflict,
    /// The write did not take effect, or the read failed.
    Unavailable,
    /// The write may have taken effect or may still do so.
    Unknown,
    /// The row that a read found, as its version and record, or none.
    Found(Option<(u64, IdempotencyRecord)>),
}

/// What the guard must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum IdempotencyStep {
    /// Write the record if the key has none.
    Insert(IdempotencyRecord),
    /// Write the record if the row still has this version.
    Replace(u64, IdempotencyRecord),
    /// Read the row.
    Read,
    /// Dispatch the request.
    Run,
    /// Answer the caller with this stored answer.
    Answer(StoredAnswer),
    /// Refuse with this code. The flag says that the request of the key certainly never ran.
    Refuse(Code, bool),
    /// Nothing: the attempt has ended.
    Stop,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Trying to acquire the right to run.
    Acquire,
    /// Making sure that no late write of this attempt can acquire that right.
    Void,
    /// The right to run is acquired, and the request is dispatched.
    Held,
    /// The attempt has ended; no step follows.
    Ended,
}

/// One attempt to run the request of an idempotency key.
#[derive(Clone, Debug)]
pub struct KeyedAttempt {
    record: IdempotencyRecord,
    stage: Stage,
    /// Whether a write of this attempt may still take effect.
    in_doubt: bool,
}

impl KeyedAttempt {
    /// Creates an attempt and returns its first step, the insertion of its record.
    pub fn new(
        attempt: u64,
        node: Name,
        incarnation: u64,
        print: u64,
    ) -> (KeyedAttempt, IdempotencyStep) {
        let record = IdempotencyRecord {
            attempt,
            node,
            incarnation,
            print,
            state: IdempotencyState::Running,
        };
        let keyed = KeyedAttempt { record, stage: Stage::Acquire, in_doubt: false };
        let step = IdempotencyStep::Insert(keyed.record.clone());
        (keyed, step)
    }

    /// Returns whether this attempt has acquired the right to run the request.
    pub fn may_dispatch(&self) -> bool {
        self.stage == Stage::Held
    }

    /// Handles the table's reply to the last step. `is_alive` returns whether the node that wrote a
    /// record still runs in the incarnation that wrote it.
    pub fn replied<F>(&mut self, reply: TableReply, is_alive: F) -> IdempotencyStep
    where
        F: Fn(&IdempotencyRecord) -> bool,
    {
        match (self.stage, reply) {
            (Stage::Held | Stage::Ended, _) => IdempotencyStep::Stop,
            (Stage::Acquire, TableReply::Done) => self.acquired(),
            (Stage::Void, TableReply::Done) => self.stop(),
            (_, TableReply::Conflict) => IdempotencyStep::Read,
            (_, TableReply::Unknown) => {
                self.in_doubt = true;
                IdempotencyStep::Read
            }
            (Stage::Acquire, TableReply::Unavailable) if !self.in_doubt => {
                self.stage = Stage::Ended;
                IdempotencyStep::Refuse(Code::StoreDown, true)
            }
            (_, TableReply::Unavailable) => IdempotencyStep::Read,
            (Stage::Acquire, TableReply::Found(row)) => self.try_acquire(row, is_alive),
            (Stage::Void, TableReply::Found(row)) => self.void_writes(row),
        }
    }

    /// Ends the attempt before it dispatches the request. If one of its writes took effect or may
    /// still do so, the returned step starts to void the record. The refusal to the caller does not
    /// have to wait for that.
    pub fn give_up(&mut self) -> IdempotencyStep {
        match self.stage {
            Stage::Acquire if !self.in_doubt => self.stop(),
            Stage::Acquire | Stage::Held => {
                self.stage = Stage::Void;
                IdempotencyStep::Read
            }
            Stage::Void => IdempotencyStep::Read,
            Stage::Ended => IdempotencyStep::Stop,
        }
    }

    /// Returns the record to write when the attempt has ended in this state.
    pub fn final_record(&self, state: IdempotencyState) -> IdempotencyRecord {
        IdempotencyRecord { state, ..self.record.clone() }
    }

    fn try_acquire<F>(
        &mut self,
        row: Option<(u64, IdempotencyRecord)>,
        is_alive: F,
    ) -> IdempotencyStep
    where
        F: Fn(&IdempotencyRecord) -> bool,
    {
        let Some((version, found)) = row else {
            return IdempotencyStep::Insert(self.record.clone());
        };
        if found.attempt == self.record.attempt {
            return match found.state {
                IdempotencyState::Running => self.acquired(),
                _ => self.refuse(Code::KeyUnknown),
            };
        }
        if found.print != self.record.print {
            return self.refuse(Code::KeyReused);
        }
        match found.state {
            IdempotencyState::Void => IdempotencyStep::Replace(version, self.record.clone()),
            IdempotencyState::Done(stored) => {
                self.stage = Stage::Ended;
                IdempotencyStep::Answer(stored)
            }
            IdempotencyState::TooLarge => self.refuse(Code::AnswerLost),
            IdempotencyState::Running if is_alive(&found) => self.refuse(Code::KeyRunning),
            IdempotencyState::Running | IdempotencyState::Lost => self.refuse(Code::KeyUnknown),
        }
    }

    /// Returns the step after which every late write of this attempt fails.
    fn void_writes(&mut self, row: Option<(u64, IdempotencyRecord)>) -> IdempotencyStep {
        let void = self.final_record(IdempotencyState::Void);
        match row {
            None => IdempotencyStep::Insert(void),
            Some((_, found)) if found == void => self.stop(),
            Some((version, found)) if found.attempt == void.attempt => {
                IdempotencyStep::Replace(version, void)
            }
            Some((version, found)) if found.state == IdempotencyState::Void => {
                IdempotencyStep::Replace(version, void)
            }
            Some(_) => self.stop(),
        }
    }

    fn acquired(&mut self) -> IdempotencyStep {
        self.stage = Stage::Held;
        IdempotencyStep::Run
    }

    fn stop(&mut self) -> IdempotencyStep {
        self.stage = Stage::Ended;
        IdempotencyStep::Stop
    }

    fn refuse(&mut self, code: Code) -> IdempotencyStep {
        self.stage = Stage::Ended;
        IdempotencyStep::Refuse(code, false)
    }
}
