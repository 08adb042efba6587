//! At most once: the guard's dealings with the record of an idempotency key.
//!
//! The attempt whose write of `Running` took effect runs the request, and no lease is involved, so
//! a paused holder can do no harm. Only the holder of an attempt ever voids it, and only when the
//! attempt was not and will not be dispatched.

use serde::{Deserialize, Serialize};
use world::{Code, Name};

/// A stored answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// How far the request of a key has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum IdempotencyState {
    /// The attempt may be dispatched, may run, or may have run.
    Running,
    /// It ran, and this is its answer.
    Done(StoredAnswer),
    /// It ran, and its answer was too large to be kept.
    TooLarge,
    /// It may have run, and its answer is lost.
    Lost,
    /// The attempt was not dispatched and never will be. Another may take over.
    Void,
}

/// The record of one idempotency key, one row of the platform's table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdempotencyRecord {
    /// Unique to one attempt of one guard.
    pub attempt: u64,
    /// The guard's node.
    pub node: Name,
    /// The node's incarnation, so that a restarted node is not taken for the holder.
    pub incarnation: u64,
    /// Tells whether a resend is the same request.
    pub print: u64,
    /// How far it has come.
    pub state: IdempotencyState,
}

/// What the table said, with the row's version beside a record.
#[derive(Clone, Debug, PartialEq)]
pub enum TableReply {
    /// The write took effect.
    Done,
    /// The write did not take effect: its condition did not hold.
    Conflict,
    /// The write did not take effect, or nothing could be read.
    Unavailable,
    /// The write may take effect, now or later.
    Unknown,
    /// What a read found.
    Found(Option<(u64, IdempotencyRecord)>),
}

/// What the guard must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum IdempotencyStep {
    /// Write the record if there is none.
    Insert(IdempotencyRecord),
    /// Write the record if the row still has this version.
    Replace(u64, IdempotencyRecord),
    /// Read the row.
    Read,
    /// Dispatch the request.
    Run,
    /// Give the caller this answer of an earlier run.
    Answer(StoredAnswer),
    /// Refuse with this code. The flag says that the key's request certainly never ran.
    Refuse(Code, bool),
    /// Nothing is left to do.
    Stop,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Goal {
    /// To win the right to run.
    Win,
    /// To make sure that no late write of this attempt can win.
    Void,
    /// To run, or to have run; no step follows.
    Held,
    /// Nothing.
    Over,
}

/// One attempt to run the request of an idempotency key.
#[derive(Clone, Debug)]
pub struct KeyedAttempt {
    record: IdempotencyRecord,
    goal: Goal,
    /// Whether a write of this attempt may still take effect.
    in_doubt: bool,
}

impl KeyedAttempt {
    /// Opens an attempt. Its first step is to insert the record.
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
        let once = KeyedAttempt { record, goal: Goal::Win, in_doubt: false };
        let step = IdempotencyStep::Insert(once.record.clone());
        (once, step)
    }

    /// Returns whether this attempt may dispatch the request.
    pub fn may_dispatch(&self) -> bool {
        self.goal == Goal::Held
    }

    /// Takes in what the table said to the last step. `is_alive` tells whether the node of a
    /// record's attempt still lives in the incarnation that wrote it.
    pub fn replied<F>(&mut self, reply: TableReply, is_alive: F) -> IdempotencyStep
    where
        F: Fn(&IdempotencyRecord) -> bool,
    {
        match (self.goal, reply) {
            (Goal::Held | Goal::Over, _) => IdempotencyStep::Stop,
            (Goal::Win, TableReply::Done) => self.hold(),
            (Goal::Void, TableReply::Done) => self.stop(),
            (_, TableReply::Conflict) => IdempotencyStep::Read,
            (_, TableReply::Unknown) => {
                self.in_doubt = true;
                IdempotencyStep::Read
            }
            (Goal::Win, TableReply::Unavailable) if !self.in_doubt => {
                self.goal = Goal::Over;
                IdempotencyStep::Refuse(Code::StoreDown, true)
            }
            (_, TableReply::Unavailable) => IdempotencyStep::Read,
            (Goal::Win, TableReply::Found(row)) => self.decide(row, is_alive),
            (Goal::Void, TableReply::Found(row)) => self.void(row),
        }
    }

    /// Ends the attempt before its dispatch. Where a write is in doubt or took effect, the record
    /// is voided first; the refusal needs not wait for that.
    pub fn give_up(&mut self) -> IdempotencyStep {
        match self.goal {
            Goal::Win if !self.in_doubt => self.stop(),
            Goal::Win | Goal::Held => {
                self.goal = Goal::Void;
                IdempotencyStep::Read
            }
            Goal::Void => IdempotencyStep::Read,
            Goal::Over => IdempotencyStep::Stop,
        }
    }

    /// Returns the record that says how the run ended.
    pub fn final_record(&self, state: IdempotencyState) -> IdempotencyRecord {
        IdempotencyRecord { state, ..self.record.clone() }
    }

    fn decide<F>(&mut self, row: Option<(u64, IdempotencyRecord)>, is_alive: F) -> IdempotencyStep
    where
        F: Fn(&IdempotencyRecord) -> bool,
    {
        let Some((version, found)) = row else {
            return IdempotencyStep::Insert(self.record.clone());
        };
        if found.attempt == self.record.attempt {
            return match found.state {
                IdempotencyState::Running => self.hold(),
                _ => self.refuse(Code::KeyUnknown),
            };
        }
        if found.print != self.record.print {
            return self.refuse(Code::KeyReused);
        }
        match found.state {
            IdempotencyState::Void => IdempotencyStep::Replace(version, self.record.clone()),
            IdempotencyState::Done(stored) => {
                self.goal = Goal::Over;
                IdempotencyStep::Answer(stored)
            }
            IdempotencyState::TooLarge => self.refuse(Code::AnswerLost),
            IdempotencyState::Running if is_alive(&found) => self.refuse(Code::KeyRunning),
            IdempotencyState::Running | IdempotencyState::Lost => self.refuse(Code::KeyUnknown),
        }
    }

    /// Makes every write of this attempt that may come late fail.
    fn void(&mut self, row: Option<(u64, IdempotencyRecord)>) -> IdempotencyStep {
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

    fn hold(&mut self) -> IdempotencyStep {
        self.goal = Goal::Held;
        IdempotencyStep::Run
    }

    fn stop(&mut self) -> IdempotencyStep {
        self.goal = Goal::Over;
        IdempotencyStep::Stop
    }

    fn refuse(&mut self, code: Code) -> IdempotencyStep {
        self.goal = Goal::Over;
        IdempotencyStep::Refuse(code, false)
    }
}
