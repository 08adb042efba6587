//! Which connections of callers are closed where there are too many, or where their bodies leave too
//! little room for others.

use crate::Time;

/// A connection that holds memory and has not moved for this long makes room for others, in
/// microseconds. A lost packet is sent again within a shorter time.
const STALL_US: u64 = 2_000_000;
/// Bytes that a connection has to move within that time.
const PROGRESS_BYTES: usize = 16 * 1024;

/// What a connection of a caller is used for at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Nothing: no whole head of a request has arrived since the last answer.
    Waiting,
    /// The body of a request arrives.
    Receiving,
    /// A request that has arrived completely is served.
    Serving,
}

/// The state of a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerConnection {
    phase: ConnectionPhase,
    /// Whether the caller has not read all that was sent to it.
    blocked: bool,
    /// When the phase last changed, or enough bytes had moved.
    moved: Time,
    /// Bytes since then; below [`PROGRESS_BYTES`].
    bytes: usize,
}

impl CallerConnection {
    /// Returns the state of a connection that was accepted now.
    pub fn new(now: Time) -> CallerConnection {
        let phase = ConnectionPhase::Waiting;
        CallerConnection { phase, blocked: false, moved: now, bytes: 0 }
    }

    /// Returns what the connection is used for.
    pub fn phase(&self) -> ConnectionPhase {
        self.phase
    }

    /// Records what the connection is used for from now on.
    pub fn set_phase(&mut self, now: Time, phase: ConnectionPhase) {
        *self = CallerConnection { phase, blocked: self.blocked, moved: now, bytes: 0 };
    }

    /// Records that bytes of a body arrived from the caller.
    pub fn received(&mut self, now: Time, bytes: usize) {
        self.bytes += bytes;
        if self.bytes >= PROGRESS_BYTES {
            (self.moved, self.bytes) = (now, 0);
        }
    }

    /// Records that the caller took bytes.
    pub fn sent(&mut self, now: Time, bytes: usize) {
        self.blocked = false;
        self.received(now, bytes);
    }

    /// Records that the caller takes no bytes at the moment.
    pub fn set_blocked(&mut self) {
        self.blocked = true;
    }

    /// Returns whether it holds memory without moving.
    pub fn is_stalled(&self, now: Time) -> bool {
        let holds = self.blocked || self.phase == ConnectionPhase::Receiving;
        holds && now.since(self.moved) >= STALL_US
    }

    /// Returns whether no request is under way on it, nor an answer of which the caller still reads.
    fn is_idle(&self, now: Time) -> bool {
        (self.phase == ConnectionPhase::Waiting && !self.blocked) || self.is_stalled(now)
    }
}

/// Returns the index of the connection that is closed in favour of a new one: of those without a
/// request under way the one that has not moved for longest.
pub fn longest_idle(
    now: Time,
    connections: impl Iterator<Item = CallerConnection>,
) -> Option<usize> {
    let idle = connections.enumerate().filter(|(_, connection)| connection.is_idle(now));
    idle.min_by_key(|(_, connection)| connection.moved).map(|(at, _)| at)
}
