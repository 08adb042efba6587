//! Requests that crash the target: runs whose target crashed are reported, and a request that may be
//! the cause runs only as a trial.
//!
//! A crash is recognised in two ways after a connection broke while a request ran: the target's port
//! refuses connections right then, or another incarnation sends its first heartbeat before the broken
//! one has answered a later request.

use std::io::ErrorKind;
use std::rc::Rc;

use bytes::Bytes;
use derive_more::Debug;
use http::StatusCode;
use platform::headers;
use policy::{CrashNotice, CrashReport, Fingerprint, RunPermit, Time};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use wire::Field;
use wire::link::{Attempt, Life};
use world::Name;

use crate::guard::attempt::{Answer, Outcome};
use crate::guard::state::{Guard, Target};

/// A target that crashed is back within this time, in microseconds. Its first heartbeat may be late.
const RETURN_US: u64 = 10_000_000;
/// The most broken runs that are kept.
const MAX_BROKEN: usize = 64;
/// The least time between two repetitions of reports, in microseconds.
const REPEAT_US: u64 = 1_000_000;

/// Returns the nodes whose targets run a service.
type Replicas = Box<dyn Fn(&Name) -> Vec<Name>>;

/// What the guard knows of the crashes of requests.
#[derive(Debug, Default)]
pub(super) struct CrashState {
    /// Runs that may turn out to have crashed the target, oldest first.
    broken: Vec<BrokenRun>,
    /// The last crash of the target that was reported.
    last: Option<TargetCrash>,
    /// Returns none while they are not all known.
    #[debug(skip)]
    replicas: Option<Replicas>,
    /// When reports may be repeated.
    repeat_at: Time,
}

/// What the peers are to be told of requests that may crash targets.
#[derive(Debug)]
pub enum CrashUpdate {
    /// This guard found it, and every peer needs it.
    Found(CrashNotice),
    /// The reports for which a request is refused. Some peer may have missed them, or may know that
    /// they were cleared.
    Repeated(Vec<CrashNotice>),
}

/// A run at the target, whose end decides on its request. Dropping it means that the end is not known.
#[derive(Debug)]
pub(super) struct RunWatch {
    guard: Rc<Guard>,
    /// `None` once the end was handled.
    run: Option<WatchedRun>,
}

#[derive(Clone, Debug)]
struct WatchedRun {
    print: Fingerprint,
    /// The incarnation that runs it.
    life: Life,
    begun: Time,
    /// See [`CrashReport::new`].
    round: u64,
    /// The report that was made before a trial began.
    trial: Option<CrashReport>,
}

/// A run whose connection to the target broke, or a trial without an answer.
///
/// Invariant: since then the incarnation has answered no request that was sent later, and the run was
/// not reported as a crash.
#[derive(Debug)]
struct BrokenRun {
    run: WatchedRun,
    at: Time,
}

/// A crash of the target. What ran there then began before it.
#[derive(Debug)]
struct TargetCrash {
    life: Life,
    at: Time,
    /// The requests that were reported, each once however often it ran.
    prints: Vec<Fingerprint>,
}

/// Returns the fingerprint of a request.
pub fn fingerprint(
    service: &str,
    method: &str,
    path: &str,
    fields: &[Field],
    body: &[u8],
) -> Fingerprint {
    let print = Fingerprint::of(service, method, path, body);
    let mut fields = fields.iter();
    match fields.find(|field| field.name == headers::WORKSPACE.as_str()) {
        Some(workspace) => print.in_workspace(&workspace.value),
        None => print,
    }
}

/// Returns whether an answer shows that the target ran the request and survived that. A target that
/// dies may fail what it runs, and a status that says that a request did not run shows nothing.
fn is_proof(answer: &Answer) -> bool {
    let is_run = match answer.status {
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => false,
        status => !status.is_server_error(),
    };
    is_run && answer.headers.contains_key(headers::RESPONSE_SIGNATURE)
}

impl RunWatch {
    /// Handles the end of a run whose connection did not break. `read_whole` tells whether the target
    /// had read the whole request when it answered.
    pub(super) fn ended(mut self, outcome: &Outcome, read_whole: bool) {
        let Some(run) = self.run.take() else { return };
        match outcome {
            Outcome::Answer(answer) if read_whole && is_proof(answer) => {
                self.guard.clear(run.print)
            }
            Outcome::NotRun { .. } => self.guard.withdraw(run),
            Outcome::Answer(_) | Outcome::Lost { .. } => self.guard.keep_trial(run),
        }
    }

    /// Records that the connection broke while the request ran, and checks whether the target is gone.
    /// Then the request may be the cause, like all others that ran there.
    pub(super) fn broke(mut self, target: &Target) {
        let Some(run) = self.run.take() else { return };
        self.guard.keep_broken(run);
        let (guard, target) = (self.guard.clone(), target.clone());
        tokio::task::spawn_local(async move {
            let Err(error) = TcpStream::connect(target.address).await else { return };
            if error.kind() == ErrorKind::ConnectionRefused {
                guard.report_crash(|run| run.life == target.life);
            }
        });
    }
}

impl Drop for RunWatch {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            self.guard.keep_trial(run);
        }
    }
}

impl Guard {
    /// Sets what returns the nodes whose targets run a service, this one included. It returns none
    /// while they are not all known.
    pub fn set_replicas(&self, replicas: impl Fn(&Name) -> Vec<Name> + 'static) {
        self.crash_state.borrow_mut().replicas = Some(Box::new(replicas));
    }

    /// Decides whether a request may run now.
    pub(super) fn run_permit(&self, print: Fingerprint) -> RunPermit {
        let replicas = || {
            let state = self.crash_state.borrow();
            let known = state.replicas.as_ref().zip(self.service());
            known.map(|(replicas, service)| replicas(&service)).unwrap_or_default()
        };
        let crashes = self.crashes.borrow();
        crashes.permit(self.clock.now(), print, &self.node_name, replicas)
    }

    /// Returns whether any request may have to run as a trial.
    pub fn has_conclusions(&self) -> bool {
        self.crashes.borrow().has_conclusions()
    }

    /// Returns the node whose guard may run a request now, if none but that one may.
    pub fn trial_place(
        &self,
        print: Fingerprint,
        replicas: impl FnOnce() -> Vec<Name>,
    ) -> Option<Name> {
        self.crashes.borrow().trial_place(self.clock.now(), print, replicas)
    }

    /// Returns the fingerprint of a request, or `None` if it must not be run now.
    pub(super) fn identify(&self, attempt: &Attempt, body: &Bytes) -> Option<Fingerprint> {
        let Attempt { service, method, path, fields, .. } = attempt;
        let print = fingerprint(service, method, path, fields, body);
        if self.run_permit(print) == RunPermit::Refused {
            self.repeat(print);
            return None;
        }
        Some(print)
    }

    /// Sends the reports of a request again, at most once in [`REPEAT_US`].
    fn repeat(&self, print: Fingerprint) {
        let now = self.clock.now();
        let mut state = self.crash_state.borrow_mut();
        if now < state.repeat_at {
            return;
        }
        state.repeat_at = now.after(REPEAT_US);
        let reports = self.crashes.borrow().reports_of(print);
        let notices = reports.into_iter().map(CrashNotice::Crashed).collect();
        self.send_crash_update(CrashUpdate::Repeated(notices));
    }

    /// Begins a run at the target, and reports it if it is a trial. `None` if the request must not be
    /// run any more.
    pub(super) fn watch_run(
        self: &Rc<Guard>,
        print: Fingerprint,
        target: &Target,
    ) -> Option<RunWatch> {
        let permit = self.run_permit(print);
        if permit == RunPermit::Refused {
            self.repeat(print);
            return None;
        }
        let round = self.crashes.borrow().next_round(print);
        let (begun, life) = (self.clock.now(), target.life.clone());
        let mut run = WatchedRun { print, life, begun, round, trial: None };
        if permit == RunPermit::Trial {
            tracing::info!(%print, round, "guard: tries a request that may crash targets");
            self.metrics.crash_trials.inc();
            let report = self.report_of(&run, true);
            run.trial = Some(report.clone());
            self.found(CrashNotice::Crashed(report));
        }
        Some(RunWatch { guard: self.clone(), run: Some(run) })
    }

    /// Keeps a trial without a proof until the target shows that it goes on.
    fn keep_trial(&self, run: WatchedRun) {
        if run.trial.is_some() {
            self.keep_broken(run);
        }
    }

    /// Records that a request was answered, which clears all its crashes that are known here.
    fn clear(&self, print: Fingerprint) {
        let known = self.crashes.borrow().reports_of(print);
        if !known.is_empty() {
            self.metrics.crash_clears.inc();
            self.found(CrashNotice::Answered(known));
        }
    }

    /// Takes back the report of a trial that did the target no harm.
    fn withdraw(&self, run: WatchedRun) {
        if let Some(report) = run.trial {
            self.found(CrashNotice::Answered(vec![report]));
        }
    }

    fn keep_broken(&self, run: WatchedRun) {
        let mut state = self.crash_state.borrow_mut();
        if state.broken.len() >= MAX_BROKEN {
            state.broken.remove(0);
        }
        state.broken.push(BrokenRun { run, at: self.clock.now() });
    }

    /// Handles an answer of an incarnation to a request that was sent at `sent`: it had not crashed.
    pub(super) fn clear_broken(&self, life: &Life, sent: Time) {
        self.drop_broken(|broken| broken.run.life == *life && broken.at < sent);
    }

    /// Handles the first heartbeat of an incarnation. One that ran before and did not leave crashed.
    pub(super) fn report_replaced(&self, life: &Life) {
        let now = self.clock.now();
        self.drop_broken(|broken| self.state.borrow().incarnations.is_gone(&broken.run.life));
        let mut state = self.crash_state.borrow_mut();
        state.broken.retain(|broken| now.since(broken.at) < RETURN_US);
        drop(state);
        self.report_crash(|run| run.life != *life);
    }

    /// Forgets broken runs at whose end the target did not crash, and takes back their trials.
    fn drop_broken(&self, is_harmless: impl Fn(&BrokenRun) -> bool) {
        let mut state = self.crash_state.borrow_mut();
        let harmless: Vec<BrokenRun> =
            state.broken.extract_if(.., |broken| is_harmless(broken)).collect();
        drop(state);
        harmless.into_iter().for_each(|broken| self.withdraw(broken.run));
    }

    /// Reports broken runs as crashes, and forgets them.
    fn report_crash(&self, is_crash: impl Fn(&WatchedRun) -> bool) {
        let mut state = self.crash_state.borrow_mut();
        let crashed: Vec<BrokenRun> =
            state.broken.extract_if(.., |broken| is_crash(&broken.run)).collect();
        drop(state);
        for BrokenRun { run, .. } in crashed {
            let WatchedRun { print, life, round, trial, .. } = &run;
            let is_trial = trial.is_some();
            tracing::info!(id = &*life.id, %print, round, is_trial, "target: crashed while a request ran");
            if self.is_first_report(&run) && !is_trial {
                self.found(CrashNotice::Crashed(self.report_of(&run, false)));
            }
        }
    }

    /// Returns whether no run of the same request was reported for the crash that ended a run.
    fn is_first_report(&self, run: &WatchedRun) -> bool {
        let now = self.clock.now();
        let mut state = self.crash_state.borrow_mut();
        let is_same = |last: &TargetCrash| last.life == run.life && run.begun < last.at;
        if !state.last.as_ref().is_some_and(is_same) {
            state.last = Some(TargetCrash { life: run.life.clone(), at: now, prints: Vec::new() });
        }
        let Some(last) = &mut state.last else { return true };
        match last.prints.binary_search(&run.print) {
            Ok(_) => false,
            Err(at) => {
                last.prints.insert(at, run.print);
                true
            }
        }
    }

    fn report_of(&self, run: &WatchedRun, is_trial: bool) -> CrashReport {
        let node = self.node_name.clone();
        CrashReport::new(run.print, node, rand::random(), run.round, is_trial)
    }

    /// Records what this guard found, and passes it on.
    fn found(&self, notice: CrashNotice) {
        if self.note_crash(&notice) {
            self.send_crash_update(CrashUpdate::Found(notice));
        }
    }

    /// Applies a notice of a peer. Returns whether it changed anything, so that it must be passed
    /// on.
    pub fn note_crash(&self, notice: &CrashNotice) -> bool {
        let changed = self.crashes.borrow_mut().apply(self.clock.now(), notice);
        if changed {
            tracing::info!(?notice, "guard: a request that may crash targets");
            if matches!(notice, CrashNotice::Crashed(_)) {
                self.metrics.crash_reports.inc();
            }
        }
        changed
    }

    /// Returns those of a peer's reports that the peer does not know to be cleared.
    pub fn cleared_among(&self, notices: &[CrashNotice]) -> Vec<CrashReport> {
        self.crashes.borrow().cleared_among(notices)
    }

    /// Returns what is known, for a node that has just started.
    pub fn crash_notices(&self) -> Vec<CrashNotice> {
        let crashes = self.crashes.borrow();
        crashes.reports().cloned().map(CrashNotice::Crashed).collect()
    }

    /// Returns what the peers are to be told. Can be called once.
    pub fn take_crash_updates(&self) -> Option<UnboundedReceiver<CrashUpdate>> {
        self.crash_receiver.borrow_mut().take()
    }
}
