//! One caller's request at the entry: attempts, until one answers or none can.

use std::future::poll_fn;
use std::sync::Arc;
use std::task::Poll;

use policy::{AttemptError, CallSpec, Load, Step};
use tokio::sync::{mpsc, oneshot};
use wire::{Call, Verdict};
use world::{Code, Name};

use crate::attempt::{self, Attempt, Event};
use crate::node::{Node, lock};
use crate::pieces::Piece;

/// The head of an answer, and the attempt from which its body comes.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub fields: Vec<wire::Field>,
    /// The body's length, where it is known.
    pub length: Option<u64>,
    /// Brings the body.
    pub attempt: Attempt,
}

/// A request that was not answered.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// Whether it certainly did not run.
    pub not_run: bool,
}

/// Takes the rest of a body, once its target is settled. The signal is given when it is sent whole.
pub type Feed = Box<dyn FnOnce(mpsc::Sender<Piece>, oneshot::Sender<()>)>;

/// A caller's request.
pub struct Exchange {
    node: Arc<Node>,
    call: Call,
    ask: CallSpec,
    state: policy::CallState,
    attempts: Vec<Attempt>,
    /// Sends the rest of the body; taken once.
    feed: Option<Feed>,
    /// Told when the rest of the body is sent.
    fed: Option<oneshot::Receiver<()>>,
    /// A failed answer that is given where no other comes.
    failed: Option<Answer>,
}

impl Exchange {
    /// Runs a request to the head of its answer.
    pub async fn run(
        node: Arc<Node>,
        call: Call,
        ask: CallSpec,
        feed: Option<Feed>,
    ) -> Result<Answer, Refusal> {
        let (state, step) = {
            let mut choosing = lock(&node.choosing);
            let choosing = &mut *choosing;
            choosing.entry.begin(node.now(), ask.clone(), &mut choosing.rng)
        };
        let attempts = Vec::new();
        let mut exchange =
            Exchange { node, call, ask, state, attempts, feed, fed: None, failed: None };
        exchange.finish(step).await
    }

    async fn finish(&mut self, mut step: Step) -> Result<Answer, Refusal> {
        loop {
            match step {
                Step::Send(target) => self.begin(target, false),
                Step::Hedge(target) => {
                    self.node.note(Code::Hedged, &self.call.service, Some(self.call.request));
                    self.begin(target, true);
                }
                Step::Wait(_) => {}
                Step::GiveUp(code, not_run) => {
                    return self.failed.take().ok_or(Refusal { code, not_run });
                }
            }
            step = match self.next().await {
                Next::Answer(answer) => return Ok(answer),
                Next::Step(step) => step,
            };
        }
    }

    fn begin(&mut self, target: Name, spare: bool) {
        if self.state.attempts() > 1 && !spare {
            self.node.note(Code::Retried, &self.call.service, Some(self.call.request));
        }
        let left_us = self.ask.deadline.since(self.node.now());
        let call = Call { spare, left_us, ..self.call.clone() };
        self.attempts.push(attempt::begin(&self.node, target, call));
    }

    async fn next(&mut self) -> Next {
        let due = self.node.clock.instant(self.state.due());
        let (at, event) = tokio::select! {
            event = next_event(&mut self.attempts) => event,
            _ = sent(&mut self.fed), if self.fed.is_some() => {
                self.fed = None;
                self.state.body_sent(self.node.now());
                return Next::Step(Step::Wait(self.state.due()));
            }
            _ = tokio::time::sleep_until(due) => return Next::Step(self.timer()),
        };
        self.handle(at, event)
    }

    fn timer(&mut self) -> Step {
        let mut choosing = lock(&self.node.choosing);
        let choosing = &mut *choosing;
        self.state.run_timers(self.node.now(), &mut choosing.entry, &mut choosing.rng)
    }

    fn slowed(&mut self) -> Step {
        let mut choosing = lock(&self.node.choosing);
        let choosing = &mut *choosing;
        self.state.slowed(self.node.now(), &mut choosing.entry, &mut choosing.rng)
    }

    fn handle(&mut self, at: usize, event: Option<Event>) -> Next {
        let target = self.attempts[at].target.clone();
        let Some(Event::Said(said)) = event else {
            return self.ended(at, AttemptError::Lost, None);
        };
        self.state.guard_responded(&target);
        match said {
            Verdict::Wait => Next::Step(Step::Wait(self.state.due())),
            Verdict::Slow => Next::Step(self.slowed()),
            Verdict::Run(load) => {
                self.running(at, load);
                Next::Step(Step::Wait(self.state.due()))
            }
            Verdict::Refused { code, not_run, load } | Verdict::Failed { code, not_run, load } => {
                self.ended(at, end(code, not_run), load)
            }
            Verdict::Head { status, fields, length, load, .. } => {
                let attempt = self.attempts.swap_remove(at);
                self.head(Answer { status, fields, length, attempt }, load)
            }
        }
    }

    /// The target is settled as far as the body goes: its rest may flow to this attempt alone.
    fn running(&mut self, at: usize, load: Option<Load>) {
        let attempt = &mut self.attempts[at];
        let now = self.node.now();
        if let Some(load) = load {
            let mut choosing = lock(&self.node.choosing);
            choosing.entry.reported(now, &self.call.service, &attempt.target, load);
        }
        let Some(body) = attempt.body.take() else { return };
        self.state.body_started(now);
        if let Some(feed) = self.feed.take() {
            let (sender, fed) = oneshot::channel();
            self.fed = Some(fed);
            feed(body, sender);
        }
    }

    fn head(&mut self, answer: Answer, load: Option<Load>) -> Next {
        let target = answer.attempt.target.clone();
        if is_failure(answer.status) && self.failed.is_none() {
            self.failed = Some(answer);
            return self.decided(&target, AttemptError::Failed(Code::AnswerCut), load);
        }
        let now = self.node.now();
        let mut choosing = lock(&self.node.choosing);
        let choosing = &mut *choosing;
        self.state.answered(now, &mut choosing.entry, &target, load);
        let probe = choosing.entry.probe(now, &self.call.service, &mut choosing.rng);
        if let Some(target) = probe {
            let service = self.call.service.clone();
            self.node.spawn(attempt::probe(self.node.clone(), service, target));
        }
        Next::Answer(answer)
    }

    fn ended(&mut self, at: usize, end: AttemptError, load: Option<Load>) -> Next {
        let attempt = self.attempts.swap_remove(at);
        self.decided(&attempt.target, end, load)
    }

    fn decided(&mut self, target: &Name, end: AttemptError, load: Option<Load>) -> Next {
        let mut choosing = lock(&self.node.choosing);
        let choosing = &mut *choosing;
        let now = self.node.now();
        let (entry, rng) = (&mut choosing.entry, &mut choosing.rng);
        Next::Step(self.state.ended(now, entry, rng, target, end, load))
    }
}

enum Next {
    Answer(Answer),
    Step(Step),
}

async fn next_event(attempts: &mut [Attempt]) -> (usize, Option<Event>) {
    poll_fn(|context| {
        for (at, attempt) in attempts.iter_mut().enumerate() {
            if let Poll::Ready(event) = attempt.events.poll_recv(context) {
                return Poll::Ready((at, event));
            }
        }
        Poll::Pending
    })
    .await
}

async fn sent(fed: &mut Option<oneshot::Receiver<()>>) {
    if let Some(fed) = fed {
        let _ = fed.await;
    }
}

fn end(code: Code, not_run: bool) -> AttemptError {
    match code {
        code if not_run => AttemptError::Refused(code),
        Code::KeyRunning | Code::KeyUnknown | Code::KeyReused | Code::AnswerLost => {
            AttemptError::KeyConflict(code)
        }
        code => AttemptError::Failed(code),
    }
}

/// Whether an answer says that its target failed.
fn is_failure(status: u16) -> bool {
    matches!(status, 500 | 502 | 503 | 504)
}
