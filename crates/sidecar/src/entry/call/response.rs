//! The response to a caller's request, and its log line and metrics.

use http::StatusCode;
use http::header::HeaderValue;
use policy::{Refusal, Time};
use world::Code;

use super::{ActiveRequest, RETURN_US};
use crate::entry::responses::{CallerResponse, error_response, forward, set_return};
use crate::guard::Answer;

impl ActiveRequest<'_> {
    /// Builds the response to the caller and logs the request.
    pub(super) fn finish(
        &mut self,
        answer: Option<Answer>,
        id: Option<&HeaderValue>,
    ) -> CallerResponse {
        let answer = answer.or(self.failure.take());
        let now = self.entry.clock.now();
        let forwarded = answer.is_some();
        let response = match answer {
            Some(answer) => forward(answer),
            None => {
                let (code, status) = self.error_code(now);
                let mut response = error_response(code, status, id);
                if status == StatusCode::SERVICE_UNAVAILABLE {
                    set_return(&mut response, self.refusal, self.deadline.since(now));
                }
                response
            }
        };
        self.log(now, response.status(), forwarded);
        response
    }

    /// Returns the code and the status of the response to a request without an answer.
    fn error_code(&self, now: Time) -> (Code, StatusCode) {
        let is_late = now.after(RETURN_US) >= self.deadline;
        match (self.outcome_unknown, is_late) {
            (true, true) => (Code::DeadlinePassed, StatusCode::GATEWAY_TIMEOUT),
            (true, false) => (Code::TargetFailed, StatusCode::BAD_GATEWAY),
            (false, _) => {
                let code = match self.refusal {
                    Refusal::NoTarget | Refusal::Misdirected => Code::NoTarget,
                    Refusal::Leaving | Refusal::Out => Code::OutOfService,
                    Refusal::Draining => Code::ShuttingDown,
                    Refusal::Late => Code::DeadlinePassed,
                    Refusal::Shed => Code::TargetRefused,
                    Refusal::Quarantined => Code::Quarantined,
                    Refusal::Cold | Refusal::Busy | Refusal::Slow | Refusal::Limited => {
                        Code::TargetBusy
                    }
                    Refusal::Full => Code::Overload,
                };
                (code, StatusCode::SERVICE_UNAVAILABLE)
            }
        }
    }

    /// Records the request in the metrics, and logs it unless the limit on log lines is reached.
    fn log(&self, now: Time, status: StatusCode, forwarded: bool) {
        let entry = self.entry;
        let took_us = now.since(self.arrived);
        let outcome = match (forwarded, status.is_server_error()) {
            (true, false) => "answered",
            (true, true) => "failed",
            (false, _) if status == StatusCode::SERVICE_UNAVAILABLE => "refused",
            (false, _) => "lost",
        };
        entry.metrics.record_call(&self.service, outcome, took_us as f64 / 1e6);
        let workspace = self.workspace.as_ref().map(|workspace| &*workspace.name);
        if let Some(workspace) = workspace {
            entry.metrics.record_workspace(workspace, outcome);
        }
        if outcome == "refused" {
            entry.metrics.record_refusal(&self.service, self.refusal);
        }
        let notable = outcome != "answered" || took_us > self.route.aim_us;
        let bucket = if notable { &entry.notable_lines } else { &entry.routine_lines };
        if !bucket.borrow_mut().take(now, 1.0) {
            entry.metrics.dropped_lines.inc();
            return;
        }
        tracing::info!(
            request = self.id,
            route = &*self.route.name,
            service = &*self.service,
            workspace,
            status = status.as_u16(),
            took_us,
            target_us = self.target_us,
            attempts = self.attempts,
            reached = self.reached,
            hedged = self.hedged,
            priority = self.priority(),
            is_call = self.inherited.is_some(),
            tried = ?self.tried,
            refusal = %self.refusal,
            detail = self.detail,
            revision = entry.ruleset.revision(),
            "entry: {outcome}"
        );
    }
}
