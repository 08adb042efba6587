//! Keyed requests: callers that send again, guards that pause, die and start anew, a store with
//! faults. At any step: a key runs at most once, "not run" is true, and every stored answer is the
//! answer of the one run.

use std::collections::BTreeMap;

use policy::{
    IdempotencyRecord, IdempotencyState, IdempotencyStep, KeyedAttempt, StoredAnswer, TableReply,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use world::Name;

use super::store::{Mood, Store, Write};

/// Guards at once.
const GUARDS: usize = 4;
/// Requests under way at once.
const OPEN: usize = 24;
/// Keys in use at once.
const KEYS: u64 = 12;
/// Requests after which a key is no longer used.
const USES: u64 = 6;

/// What a run of the soak saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Steps taken.
    pub steps: u64,
    /// Keyed requests begun.
    pub requests: u64,
    /// Of these, run by a target.
    pub runs: u64,
    /// Stored answers given.
    pub stored: u64,
    /// Refusals that said "not run".
    pub not_run: u64,
    /// Faults, by name.
    pub faults: BTreeMap<&'static str, u64>,
    /// What must not be, by name.
    pub violations: Vec<String>,
}

/// One guard's life.
#[derive(Clone, Debug)]
struct Guard {
    name: Name,
    incarnation: u64,
    paused: bool,
}

#[derive(Clone, Debug)]
struct Attempt {
    key: u64,
    guard: usize,
    incarnation: u64,
    once: KeyedAttempt,
    next: IdempotencyStep,
    /// A reply on its way.
    reply: Option<TableReply>,
    /// The caller is gone; only the record is still voided.
    voiding: bool,
    /// It runs at the target.
    running: bool,
}

#[derive(Clone, Debug, Default)]
struct Key {
    runs: u32,
    /// Requests told "not run" while their own attempt ran; must stay zero.
    answer: Option<Vec<u8>>,
    sends: u64,
}

/// The world of the soak.
#[derive(Debug)]
pub struct Soak {
    rng: SmallRng,
    store: Store,
    guards: Vec<Guard>,
    attempts: Vec<Attempt>,
    keys: BTreeMap<u64, Key>,
    next_key: u64,
    next_attempt: u64,
    /// Whether a resend may take over what a dead guard left; off in the product, on to show that
    /// the checks can fail.
    broken: bool,
    report: Report,
}

impl Soak {
    /// Opens a world. A broken one lets a resend run what a dead guard left behind, to show that
    /// the checks see it.
    pub fn open(seed: u64, broken: bool) -> Soak {
        let guard =
            |at| Guard { name: format!("guard-{at}").into(), incarnation: 1, paused: false };
        Soak {
            rng: SmallRng::seed_from_u64(seed),
            store: Store::open(),
            guards: (0..GUARDS).map(guard).collect(),
            attempts: Vec::new(),
            keys: BTreeMap::new(),
            next_key: 0,
            next_attempt: 0,
            broken,
            report: Report::default(),
        }
    }

    /// Takes steps, and returns what was seen.
    pub fn run(mut self, steps: u64) -> Report {
        for _ in 0..steps {
            self.step();
        }
        self.report.steps = steps;
        self.report
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..25 if self.attempts.len() < OPEN => self.begin(),
            25..97 => self.advance(),
            97 => self.change_mood(),
            98 => self.change_guard(),
            99 => self.store.settle(&mut self.rng),
            _ => self.advance(),
        }
    }

    fn fault(&mut self, name: &'static str) {
        *self.report.faults.entry(name).or_default() += 1;
    }

    fn violation(&mut self, what: String) {
        self.report.violations.push(what);
    }

    fn begin(&mut self) {
        if self.keys.len() < KEYS as usize {
            self.keys.insert(self.next_key, Key::default());
            self.next_key += 1;
        }
        let at = self.rng.random_range(0..self.keys.len());
        let Some((&key, state)) = self.keys.iter_mut().nth(at) else { return };
        state.sends += 1;
        let guard = self.rng.random_range(0..GUARDS);
        self.next_attempt += 1;
        let Guard { name, incarnation, .. } = self.guards[guard].clone();
        let (once, next) = KeyedAttempt::new(self.next_attempt, name, incarnation, key);
        self.report.requests += 1;
        self.attempts.push(Attempt {
            key,
            guard,
            incarnation,
            once,
            next,
            reply: None,
            voiding: false,
            running: false,
        });
        self.retire();
    }

    /// Takes keys out of use that no request under way names.
    fn retire(&mut self) {
        let open: Vec<u64> = self.attempts.iter().map(|attempt| attempt.key).collect();
        self.keys.retain(|key, state| state.sends < USES || open.contains(key));
        let first = self.keys.keys().next().copied().unwrap_or(self.next_key);
        let oldest = open.iter().min().map_or(first, |open| first.min(*open));
        self.store.forget_below(oldest);
    }

    fn advance(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.attempts.len());
        let attempt = &self.attempts[at];
        let guard = &self.guards[attempt.guard];
        if guard.paused {
            return;
        }
        if attempt.running {
            return self.finish(at);
        }
        if attempt.reply.is_some() {
            return self.deliver(at);
        }
        // A deadline may pass before any call to the store.
        if !attempt.voiding && self.rng.random_ratio(1, 40) {
            return self.give_up(at);
        }
        self.call(at);
    }

    /// Sends the next call to the store. Its reply is on its way then.
    fn call(&mut self, at: usize) {
        let attempt = &self.attempts[at];
        let key = attempt.key;
        let write = |wanted, version, record: &IdempotencyRecord| Write {
            key,
            wanted,
            always: false,
            version,
            record: record.clone(),
        };
        let reply = match &attempt.next {
            IdempotencyStep::Insert(record) => {
                let write = write(None, 1, record);
                self.store.write(write, &mut self.rng)
            }
            IdempotencyStep::Replace(version, record) => {
                let write = write(Some(*version), version + 1, record);
                self.store.write(write, &mut self.rng)
            }
            IdempotencyStep::Read => self.store.read(key),
            _ => return self.end(at),
        };
        self.attempts[at].reply = Some(reply);
    }

    fn deliver(&mut self, at: usize) {
        let broken = self.broken;
        let guards: Vec<(Name, u64)> =
            self.guards.iter().map(|guard| (guard.name.clone(), guard.incarnation)).collect();
        let attempt = &mut self.attempts[at];
        let Some(mut reply) = attempt.reply.take() else { return };
        let is_alive = |record: &IdempotencyRecord| {
            guards.iter().any(|guard| *guard == (record.node.clone(), record.incarnation))
        };
        if broken
            && let TableReply::Found(Some((_, record))) = &mut reply
            && record.state == IdempotencyState::Running
            && !is_alive(record)
        {
            record.state = IdempotencyState::Void;
        }
        attempt.next = attempt.once.replied(reply, is_alive);
        match attempt.next.clone() {
            IdempotencyStep::Run => self.dispatch(at),
            IdempotencyStep::Answer(stored) => self.answer(at, &stored),
            IdempotencyStep::Refuse(_, not_run) => self.refuse(at, not_run),
            IdempotencyStep::Stop => self.end(at),
            IdempotencyStep::Insert(_) | IdempotencyStep::Replace(..) | IdempotencyStep::Read => {}
        }
    }

    fn dispatch(&mut self, at: usize) {
        let key = self.attempts[at].key;
        // The target may shed, which says for certain that it did not run the request.
        if self.rng.random_ratio(1, 10) {
            self.fault("target shed");
            return self.give_up(at);
        }
        self.attempts[at].running = true;
        self.report.runs += 1;
        let runs = {
            let state = self.keys.entry(key).or_default();
            state.runs += 1;
            state.answer = Some(self.next_attempt.to_le_bytes().to_vec());
            state.runs
        };
        if runs > 1 {
            self.violation(format!("key {key} ran {runs} times"));
        }
    }

    /// Ends a run: the answer is stored, or the target crashed and it is lost.
    fn finish(&mut self, at: usize) {
        let attempt = self.attempts.swap_remove(at);
        let body = self.keys.get(&attempt.key).and_then(|key| key.answer.clone());
        let crashed = self.rng.random_ratio(1, 10);
        let state = match body {
            Some(body) if !crashed => {
                IdempotencyState::Done(StoredAnswer { status: 200, headers: Vec::new(), body })
            }
            _ => IdempotencyState::Lost,
        };
        if crashed {
            self.fault("target crashed");
        }
        let record = attempt.once.final_record(state);
        let version = u64::MAX >> 1;
        let write = Write { key: attempt.key, wanted: None, always: true, version, record };
        // The guard repeats this write until it takes effect; a death in between leaves `Running`.
        if self.store.mood == Mood::Well || self.rng.random_bool(0.8) {
            let mood = std::mem::replace(&mut self.store.mood, Mood::Well);
            self.store.write(write, &mut self.rng);
            self.store.mood = mood;
        }
    }

    fn answer(&mut self, at: usize, stored: &StoredAnswer) {
        let key = self.attempts[at].key;
        self.report.stored += 1;
        let answer = self.keys.get(&key).and_then(|key| key.answer.clone());
        if answer.as_ref() != Some(&stored.body) {
            self.violation(format!("key {key} was given another answer"));
        }
        self.end(at);
    }

    fn refuse(&mut self, at: usize, not_run: bool) {
        if not_run {
            self.report.not_run += 1;
        }
        if not_run && self.attempts[at].running {
            let key = self.attempts[at].key;
            self.violation(format!("key {key} runs and was told not to"));
        }
        self.end(at);
    }

    /// The deadline passes, the guard has no room, or the target shed: "not run", and the record is
    /// voided behind that.
    fn give_up(&mut self, at: usize) {
        self.report.not_run += 1;
        let attempt = &mut self.attempts[at];
        attempt.voiding = true;
        attempt.next = attempt.once.give_up();
        if attempt.next == IdempotencyStep::Stop {
            self.end(at);
        }
    }

    fn end(&mut self, at: usize) {
        self.attempts.swap_remove(at);
    }

    fn change_mood(&mut self) {
        self.store.mood = match self.rng.random_range(0..4) {
            0 => {
                self.fault("store down");
                Mood::Down
            }
            1 | 2 => {
                self.fault("store loses answers");
                Mood::Lossy
            }
            _ => Mood::Well,
        };
    }

    fn change_guard(&mut self) {
        let at = self.rng.random_range(0..GUARDS);
        if self.rng.random_bool(0.5) {
            self.guards[at].paused = !self.guards[at].paused;
            self.fault("guard paused");
            return;
        }
        self.fault("guard killed");
        self.guards[at].incarnation += 1;
        self.guards[at].paused = false;
        let incarnation = self.guards[at].incarnation;
        // What it ran goes on at the target, and nobody stores its answer.
        self.attempts.retain(|attempt| attempt.guard != at || attempt.incarnation == incarnation);
    }
}
