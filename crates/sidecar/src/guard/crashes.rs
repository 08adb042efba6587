//! Requests that crash the target, refused after the third time.
//!
//! A crash is recognised in two ways after a connection broke while a request ran: the target's port
//! refuses connections right then, or another incarnation sends its first heartbeat before the broken
//! one has answered a later request.

use std::io::ErrorKind;
use std::rc::Rc;

use bytes::Bytes;
use policy::{CrashNotice, CrashReport, Fingerprint, Time};
use runtime::wall_ms;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use wire::link::{Attempt, Life};

use crate::guard::state::{Guard, Target};

/// Bytes of a body by which a request is recognised.
const PRINTED_BYTES: usize = 4_096;
/// A target that crashed is back within this time, in microseconds. Its first heartbeat may be late.
const RETURN_US: u64 = 10_000_000;
/// The most broken runs that are kept.
const MAX_BROKEN: usize = 64;

/// A run whose connection to the target broke.
///
/// Invariant: since then the incarnation has answered no request that was sent later, and the run was
/// not reported as a crash.
#[derive(Debug)]
pub(super) struct BrokenRun {
    print: Fingerprint,
    life: Life,
    at: Time,
}

/// Returns the fingerprint of a request.
pub(super) fn fingerprint(attempt: &Attempt, body: &Bytes) -> Fingerprint {
    let start = &body[..body.len().min(PRINTED_BYTES)];
    Fingerprint::of(&attempt.service, &attempt.method, &attempt.path, start)
}

impl Guard {
    /// Returns whether a request has crashed targets three times.
    pub(super) fn is_quarantined(&self, print: Fingerprint) -> bool {
        self.crashes.borrow().is_quarantined(self.clock.now(), print)
    }

    /// Returns the crashes that a request may have caused, as far as this node knows.
    pub(super) fn crashes_of(&self, print: Fingerprint) -> Vec<CrashReport> {
        self.crashes.borrow().reports_of(print)
    }

    /// Records that a request ran to its end, for which `known` was returned before it was sent.
    pub(super) fn clear(&self, known: Vec<CrashReport>) {
        if !known.is_empty() {
            self.found(CrashNotice::Answered(known));
        }
    }

    /// Records that a connection broke while a request ran at the target, and checks whether the
    /// target is gone. Then the request may be the cause.
    pub(super) fn check_crash(self: &Rc<Guard>, print: Fingerprint, target: &Target) {
        let (guard, target) = (self.clone(), target.clone());
        let broken = BrokenRun { print, life: target.life.clone(), at: self.clock.now() };
        {
            let mut runs = self.broken.borrow_mut();
            if runs.len() >= MAX_BROKEN {
                runs.remove(0);
            }
            runs.push(broken);
        }
        tokio::task::spawn_local(async move {
            let Err(error) = TcpStream::connect(target.address).await else { return };
            if error.kind() != ErrorKind::ConnectionRefused {
                return;
            }
            guard.report_crash(|run| run.print == print && run.life == target.life);
        });
    }

    /// Handles an answer of an incarnation to a request that was sent at `sent`: it had not crashed.
    pub(super) fn clear_broken(&self, life: &Life, sent: Time) {
        self.broken.borrow_mut().retain(|run| run.life != *life || run.at >= sent);
    }

    /// Handles the first heartbeat of an incarnation. One that ran before and did not leave crashed.
    pub(super) fn report_replaced(&self, life: &Life) {
        let now = self.clock.now();
        self.broken.borrow_mut().retain(|run| {
            let left = self.state.borrow().incarnations.is_gone(&run.life);
            !left && now.since(run.at) < RETURN_US
        });
        self.report_crash(|run| run.life != *life);
    }

    /// Reports broken runs as crashes, and forgets them.
    fn report_crash(&self, is_crash: impl Fn(&BrokenRun) -> bool) {
        let crashed: Vec<BrokenRun> =
            self.broken.borrow_mut().extract_if(.., |run| is_crash(run)).collect();
        for BrokenRun { print, life, .. } in crashed {
            tracing::info!(id = &*life.id, %print, "target: crashed while a request ran");
            let (node, number) = (self.node_name.clone(), wall_ms());
            self.found(CrashNotice::Crashed(CrashReport { print, node, number }));
        }
    }

    /// Records what this guard found, and passes it on.
    fn found(&self, notice: CrashNotice) {
        if self.note_crash(&notice) {
            self.send_crash_notice(notice);
        }
    }

    /// Applies a notice of a peer. Returns whether it changed anything, so that it must be passed
    /// on.
    pub fn note_crash(&self, notice: &CrashNotice) -> bool {
        let changed = self.crashes.borrow_mut().apply(self.clock.now(), notice);
        if changed {
            tracing::info!(?notice, "guard: a request that may crash targets");
        }
        changed
    }

    /// Returns what is known, for a node that has just started.
    pub fn crash_notices(&self) -> Vec<CrashNotice> {
        let crashes = self.crashes.borrow();
        crashes.reports().cloned().map(CrashNotice::Crashed).collect()
    }

    /// Returns the notices that the peers are to be told. Can be called once.
    pub fn take_crash_notices(&self) -> Option<UnboundedReceiver<CrashNotice>> {
        self.crash_receiver.borrow_mut().take()
    }
}
