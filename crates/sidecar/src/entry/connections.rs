//! The connections of callers: how many there may be, and which of them are closed to make room.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use policy::{CallerConnection, ConnectionPhase, Time, longest_idle};
use runtime::Clock;
use tokio::sync::Notify;

/// Share of the node's memory for connections, in sixteenths.
const MEMORY_SIXTEENTHS: u64 = 3;
/// The memory that a connection takes up besides bodies and what is read ahead: its tasks, the HTTP
/// server's buffer and a head that has not arrived completely.
const CONNECTION_BYTES: u64 = 64 * 1024;
/// Descriptors of a process that the platform keeps for files.
const FILE_FDS: usize = 200;
/// The descriptors of a process if the platform does not say.
const DEFAULT_FDS: usize = 4_096;

/// The open connections of callers.
#[derive(Debug)]
pub struct Connections {
    clock: Clock,
    /// In no order.
    open: RefCell<Vec<Rc<Connection>>>,
    most: usize,
}

/// One connection of a caller.
#[derive(Debug)]
pub struct Connection {
    clock: Clock,
    state: Cell<CallerConnection>,
    /// Notified when the connection is to be closed.
    closed: Notify,
    /// Notified when the body that arrives on it is to be given up.
    body_ended: Notify,
}

/// A connection that counts as open until it is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Rc<Connections>,
    connection: Rc<Connection>,
}

impl Connections {
    /// Creates it for a node that may use so much memory and so many descriptors.
    pub fn new(clock: Clock, memory_bytes: u64, max_fds: Option<usize>) -> Rc<Connections> {
        let by_memory = memory_bytes / 16 * MEMORY_SIXTEENTHS / CONNECTION_BYTES;
        let by_fds = max_fds.unwrap_or(DEFAULT_FDS).saturating_sub(FILE_FDS) * 3 / 4;
        let most = by_fds.min(by_memory as usize).max(1);
        Rc::new(Connections { clock, open: RefCell::default(), most })
    }

    /// Counts a new connection, and closes one that waits if there are too many. `None` if the new
    /// one has to be closed, because requests are under way on all others.
    pub fn open(self: &Rc<Connections>) -> Option<OpenConnection> {
        let now = self.clock.now();
        let mut open = self.open.borrow_mut();
        if open.len() >= self.most {
            let at = longest_idle(now, open.iter().map(|connection| connection.state.get()))?;
            open.swap_remove(at).end();
        }
        let connection = Rc::new(Connection {
            clock: self.clock,
            state: Cell::new(CallerConnection::new(now)),
            closed: Notify::new(),
            body_ended: Notify::new(),
        });
        open.push(connection.clone());
        Some(OpenConnection { connections: self.clone(), connection })
    }

    /// Ends what callers hold without moving, because `held` bytes leave too little room. Returns how
    /// many connections that concerns.
    pub fn end_stalled(&self, held: usize) -> usize {
        let now = self.clock.now();
        let open = self.open.borrow();
        let stalled = open.iter().filter(|connection| connection.state.get().is_stalled(now));
        let ended = stalled.map(|connection| connection.end()).count();
        if ended > 0 {
            tracing::warn!(ended, held, "callers: stalled connections make room");
        }
        ended
    }
}

impl Connection {
    /// Records what the connection is used for from now on.
    pub fn set_phase(&self, phase: ConnectionPhase) {
        self.update(|state, now| state.set_phase(now, phase));
    }

    /// Records that bytes of a body arrived.
    pub fn received(&self, bytes: usize) {
        self.update(|state, now| state.received(now, bytes));
    }

    /// Records that the caller took bytes.
    pub fn sent(&self, bytes: usize) {
        self.update(|state, now| state.sent(now, bytes));
    }

    /// Records that the caller takes no bytes at the moment.
    pub fn set_blocked(&self) {
        self.update(|state, _| state.set_blocked());
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Waits until the body that arrives is to be given up.
    pub async fn body_ended(&self) {
        self.body_ended.notified().await;
    }

    fn update(&self, change: impl FnOnce(&mut CallerConnection, Time)) {
        let mut state = self.state.get();
        change(&mut state, self.clock.now());
        self.state.set(state);
    }

    /// Ends the body that arrives, and its request with an answer; the whole connection otherwise.
    fn end(&self) {
        match self.state.get().phase() {
            ConnectionPhase::Receiving => self.body_ended.notify_one(),
            ConnectionPhase::Waiting | ConnectionPhase::Serving => self.closed.notify_one(),
        }
    }
}

impl OpenConnection {
    /// Returns the connection itself.
    pub fn get(&self) -> &Rc<Connection> {
        &self.connection
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut open = self.connections.open.borrow_mut();
        open.retain(|connection| !Rc::ptr_eq(connection, &self.connection));
    }
}
