//! Requests that crash the target: recognised when the target's process is gone right after a
//! connection broke, and refused after the third time.

use std::io::ErrorKind;
use std::rc::Rc;

use bytes::Bytes;
use policy::{CrashNotice, CrashReport, Fingerprint};
use runtime::wall_ms;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use wire::link::Attempt;

use crate::guard::state::{Guard, Target};

/// Bytes of a body by which a request is recognised.
const PRINTED_BYTES: usize = 4_096;

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

    /// Checks whether the target is gone after a connection broke while a request ran there. Then
    /// the request may be the cause.
    pub(super) fn check_crash(self: &Rc<Guard>, print: Fingerprint, target: &Target) {
        let (guard, target) = (self.clone(), target.clone());
        tokio::task::spawn_local(async move {
            let Err(error) = TcpStream::connect(target.address).await else { return };
            if error.kind() != ErrorKind::ConnectionRefused {
                return;
            }
            tracing::info!(id = &*target.life.id, %print, "target: crashed while a request ran");
            let (node, number) = (guard.node_name.clone(), wall_ms());
            guard.found(CrashNotice::Crashed(CrashReport { print, node, number }));
        });
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
