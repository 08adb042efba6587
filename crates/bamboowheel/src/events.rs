//! What the node decided lately, for operators.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use serde::Serialize;
use world::Code;

use runtime::wall_ms;

/// Events kept; the oldest go first.
const KEPT: usize = 1_024;

/// One decision.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Milliseconds since 1970.
    pub time_ms: u64,
    /// What was decided.
    pub code: Code,
    /// The code's sentence.
    pub text: &'static str,
    /// The service, target, node or data centre it is about.
    pub about: String,
    /// The caller's request, where it is about one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
}

/// A bounded ring of events.
#[derive(Debug, Default)]
pub struct Events {
    ring: Mutex<VecDeque<Event>>,
}

impl Events {
    /// Notes an event.
    pub fn note(&self, code: Code, about: impl ToString, request: Option<u64>) {
        let event = Event {
            time_ms: wall_ms(),
            code,
            text: code.text(),
            about: about.to_string(),
            request: request.map(|request| format!("{request:016x}")),
        };
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() == KEPT {
            ring.pop_front();
        }
        ring.push_back(event);
    }

    /// Returns the events, oldest first.
    pub fn list(&self) -> Vec<Event> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().cloned().collect()
    }
}
