//! A backend, after the users' pages: slots and a queue, its instance's id, its load, its warm-up,
//! health checks and heartbeats. The header `X-Work-Ms` of a request says how long it works on it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};

use crate::client::{Call, send};
use crate::http::{Message, read};
use crate::record::Record;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How long a backend that crashed is away.
const DOWN: Duration = Duration::from_millis(2_500);
/// How long a backend is cold after a start during traffic.
const WARMUP: Duration = Duration::from_secs(3);
/// Work on a request without `X-Work-Ms`.
const WORK_MS: u64 = 60;

/// What became of a request at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Another instance was meant.
    Misdirected,
    /// It was rejected and did not run.
    Shed,
    /// It began to run.
    Running,
    /// It ran and was answered.
    Answered,
    /// The node closed the connection while it ran.
    Dropped,
    /// It ran until its deadline.
    Late,
    /// The backend crashed while it ran.
    Crashed,
}

/// A request that arrived at a backend.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The attempt's id.
    pub id: String,
    /// When it had arrived whole.
    pub at: Instant,
    /// What became of it.
    pub fate: Fate,
    /// The service that the node named as the caller.
    pub caller: String,
}

#[derive(Debug)]
struct State {
    id: String,
    born: u64,
    sequence: u64,
    slots: usize,
    queue: usize,
    running: usize,
    waiting: usize,
    arrivals: Vec<Arrival>,
    /// The share of requests that are rejected.
    shed: f64,
    /// Until when it is cold.
    cold_until: Option<Instant>,
    /// Requests in one second from which on a cold backend crashes.
    cold_crash: Option<usize>,
    /// When it last said in a health answer that it is cold, for the first time since it is.
    told_cold: Option<Instant>,
    crashes: Vec<Instant>,
    /// When it last became cold.
    cold_since: Option<Instant>,
    /// How late the first heartbeat after a restart is.
    first_beat: Duration,
    /// Whether heartbeats are sent.
    beats: bool,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    freed: Notify,
    crash: Notify,
    beat: Notify,
    record: Record,
    address: SocketAddr,
    control: SocketAddr,
    service: &'static str,
    zone: &'static str,
}

/// A running backend. Dropping it ends it.
#[derive(Debug)]
pub struct Backend {
    shared: Arc<Shared>,
    tasks: [JoinHandle<()>; 2],
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1_024)
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn new_id() -> String {
    format!("i-{:010x}", rand::random::<u64>() & 0xff_ffff_ffff)
}

impl Backend {
    /// Starts a backend at `address` whose heartbeats go to `control`.
    pub async fn bind(
        address: SocketAddr,
        control: SocketAddr,
        (service, zone): (&'static str, &'static str),
        (slots, queue): (usize, usize),
        record: Record,
    ) -> std::io::Result<Backend> {
        let listener = listen(address)?;
        let state = State {
            id: new_id(),
            born: wall_ms(),
            sequence: 0,
            slots,
            queue,
            running: 0,
            waiting: 0,
            arrivals: Vec::new(),
            shed: 0.0,
            cold_until: None,
            cold_crash: None,
            told_cold: None,
            crashes: Vec::new(),
            cold_since: None,
            first_beat: Duration::ZERO,
            beats: true,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            freed: Notify::new(),
            crash: Notify::new(),
            beat: Notify::new(),
            record,
            address,
            control,
            service,
            zone,
        });
        let tasks = [
            tokio::spawn(accept(listener, shared.clone())),
            tokio::spawn(send_heartbeats(shared.clone())),
        ];
        Ok(Backend { shared, tasks })
    }

    /// Sends a heartbeat at once.
    pub fn beat(&self) {
        self.shared.beat.notify_one();
    }

    /// Sets the number of slots, which heartbeats tell.
    pub fn set_slots(&self, slots: usize) {
        self.shared.lock().slots = slots;
    }

    /// Sets the share of requests that are rejected.
    pub fn set_shed(&self, share: f64) {
        self.shared.lock().shed = share;
    }

    /// Makes the backend cold from now on. Health answers and heartbeats tell it.
    pub fn set_cold(&self, cold: Duration) {
        let mut state = self.shared.lock();
        state.cold_until = Some(Instant::now() + cold);
        state.cold_since = Some(Instant::now());
        state.told_cold = None;
    }

    /// Returns since when and until when it is or was last cold.
    pub fn cold_time(&self) -> Option<(Instant, Instant)> {
        let state = self.shared.lock();
        state.cold_since.zip(state.cold_until)
    }

    /// Sets the number of requests in one second from which on the backend crashes while it is
    /// cold.
    pub fn set_cold_crash(&self, requests: usize) {
        self.shared.lock().cold_crash = Some(requests);
    }

    /// Sets how late the first heartbeat after each restart is.
    pub fn set_first_beat(&self, delay: Duration) {
        self.shared.lock().first_beat = delay;
    }

    /// Ends the backend's process, which starts again after a while as a new instance.
    pub fn crash(&self) {
        self.shared.crash.notify_one();
    }

    /// Returns the requests that arrived.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.lock().arrivals.clone()
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> usize {
        self.shared.lock().running
    }

    /// Returns when it crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        self.shared.lock().crashes.clone()
    }

    /// Returns when a health answer first told that it is cold, since it is.
    pub fn told_cold(&self) -> Option<Instant> {
        self.shared.lock().told_cold
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn cold_left(&self) -> f64 {
        let left = self.cold_until.map(|until| until.saturating_duration_since(Instant::now()));
        left.unwrap_or_default().as_secs_f64()
    }

    fn load(&self) -> String {
        format!("{},{},{},100", self.running, self.waiting, self.slots)
    }
}

/// Accepts connections, and ends and restarts the whole backend when it crashes.
async fn accept(mut listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, shared.clone()));
                }
            }
            () = shared.crash.notified() => {
                drop(listener);
                connections.shutdown().await;
                {
                    let mut state = shared.lock();
                    state.beats = false;
                    state.running = 0;
                    state.waiting = 0;
                    state.crashes.push(Instant::now());
                    for arrival in &mut state.arrivals {
                        if arrival.fate == Fate::Running {
                            arrival.fate = Fate::Crashed;
                        }
                    }
                    shared.record.line(format!("backend {} crashed", state.id));
                }
                tokio::time::sleep(DOWN).await;
                listener = loop {
                    match listen(shared.address) {
                        Ok(listener) => break listener,
                        Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                    }
                };
                let delay = {
                    let mut state = shared.lock();
                    state.id = new_id();
                    state.born = wall_ms();
                    state.sequence = 0;
                    state.cold_until = Some(Instant::now() + WARMUP);
                    state.cold_since = Some(Instant::now());
                    state.told_cold = None;
                    shared.record.line(format!("backend {} started", state.id));
                    state.first_beat
                };
                let shared = shared.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    shared.lock().beats = true;
                    shared.beat.notify_one();
                });
            }
        }
    }
}

async fn send_heartbeats(shared: Arc<Shared>) {
    loop {
        let _ = tokio::time::timeout(HEARTBEAT, shared.beat.notified()).await;
        let (id, body) = {
            let mut state = shared.lock();
            if !state.beats {
                continue;
            }
            state.sequence += 1;
            let body = json!({
                "service": shared.service, "address": shared.address.to_string(),
                "zone": shared.zone, "version": "v1", "slots": state.slots, "state": "ready",
                "warmupLeftS": state.cold_left(), "sequence": state.sequence, "born": state.born,
            });
            (state.id.clone(), body.to_string())
        };
        let path = format!("/api/rpc?call=instances.heartbeat&of={id}");
        let call = Call {
            method: "POST",
            path: &path,
            id: "-",
            timeout_ms: 800,
            headers: "Content-Type: application/json\r\n",
            body: body.as_bytes(),
        };
        // One that is not acknowledged is followed by the next.
        send(shared.control, &call).await;
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read(&mut stream, &mut buffer).await {
        let Some(answer) = respond(&mut stream, &request, &shared).await else { return };
        if stream.write_all(&answer).await.is_err() {
            return;
        }
    }
}

fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Gives back a running request's slot when it ends in any way.
struct Running {
    shared: Arc<Shared>,
    at: usize,
    incarnation: u64,
}

impl Running {
    fn end(&self, fate: Fate) {
        let mut state = self.shared.lock();
        if state.born == self.incarnation {
            state.arrivals[self.at].fate = fate;
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if state.born == self.incarnation {
            state.running = state.running.saturating_sub(1);
            self.shared.freed.notify_waiters();
        }
    }
}

/// Returns the bytes of the answer; `None` if the connection ends instead.
async fn respond(
    stream: &mut TcpStream,
    request: &Message,
    shared: &Arc<Shared>,
) -> Option<Vec<u8>> {
    if request.path() == "/health" && request.header("x-target-instance").is_none() {
        let mut state = shared.lock();
        let cold = state.cold_left();
        if cold > 0.0 && state.told_cold.is_none() {
            state.told_cold = Some(Instant::now());
            shared.record.line(format!("backend {} says in a health answer: cold", state.id));
        }
        let warmup =
            if cold > 0.0 { format!("X-Warmup-Remaining: {cold:.3}\r\n") } else { String::new() };
        let headers =
            format!("X-Instance-Id: {}\r\nX-Backend-Load: {}\r\n{warmup}", state.id, state.load());
        return Some(answer("200 OK", &headers, b""));
    }
    let arrived = Instant::now();
    let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
    let echo = format!("X-Attempt-Id: {id}\r\n");
    let not_run = format!("{echo}X-Not-Executed: 1\r\n");
    let timeout = Duration::from_millis(request.number("x-timeout-ms").unwrap_or(60_000));
    let until = arrived + timeout;
    let caller = request.header("x-caller-service").unwrap_or_default().to_owned();
    let (at, incarnation) = {
        let mut state = shared.lock();
        let at = state.arrivals.len();
        let mut fate = Fate::Shed;
        let expected = request.header("x-target-instance");
        let is_other = expected.is_some_and(|expected| expected != state.id);
        if is_other {
            fate = Fate::Misdirected;
        }
        state.arrivals.push(Arrival { id: id.clone(), at: arrived, fate, caller });
        shared.record.line(format!("backend {} gets {id}", state.id));
        if is_other {
            let headers = format!("{echo}X-Instance-Id: {}\r\n", state.id);
            return Some(answer("421 Misdirected Request", &headers, b""));
        }
        if id.is_empty() {
            return Some(answer("400 Bad Request", &not_run, b""));
        }
        if rand::random::<f64>() < state.shed
            || state.running + state.waiting >= state.slots + state.queue
        {
            shared.record.line(format!("backend {} rejects {id}", state.id));
            return Some(answer("503 Service Unavailable", &not_run, b""));
        }
        // A cold backend crashes at a rate well above what it tolerates.
        if state.cold_left() > 0.0
            && let Some(most) = state.cold_crash
        {
            let second = arrived - Duration::from_secs(1);
            let since = state.cold_since.map_or(second, |since| since.max(second));
            let is_recent =
                |arrival: &&Arrival| arrival.at > since && arrival.fate != Fate::Misdirected;
            if state.arrivals.iter().rev().take(2_000).filter(is_recent).count() >= most {
                shared.crash.notify_one();
            }
        }
        state.waiting += 1;
        (at, state.born)
    };
    loop {
        let freed = shared.freed.notified();
        tokio::pin!(freed);
        freed.as_mut().enable();
        {
            let mut state = shared.lock();
            if state.running < state.slots {
                state.running += 1;
                state.waiting -= 1;
                state.arrivals[at].fate = Fate::Running;
                break;
            }
        }
        if tokio::time::timeout_at(until.into(), freed).await.is_err() {
            shared.lock().waiting -= 1;
            return Some(answer("503 Service Unavailable", &not_run, b""));
        }
    }
    let running = Running { shared: shared.clone(), at, incarnation };
    if request.path().contains("/poison") {
        shared.record.line(format!("{id} crashes its backend"));
        running.end(Fate::Crashed);
        shared.crash.notify_one();
        return std::future::pending().await;
    }
    let work = Duration::from_millis(request.number("x-work-ms").unwrap_or(WORK_MS));
    let mut byte = [0];
    let stamp = format!("{echo}X-Response-Signature: s.{id}\r\n");
    tokio::select! {
        () = tokio::time::sleep(work) => {}
        () = tokio::time::sleep_until(until.into()) => {
            running.end(Fate::Late);
            return Some(answer("504 Gateway Timeout", &stamp, b""));
        }
        closed = stream.peek(&mut byte) => {
            if !matches!(closed, Ok(count) if count > 0) {
                running.end(Fate::Dropped);
                shared.record.line(format!("{id} is dropped while it runs"));
                return None;
            }
        }
    }
    running.end(Fate::Answered);
    let (instance, load) = {
        let state = shared.lock();
        (state.id.clone(), state.load())
    };
    let size = request.number("x-answer-bytes").unwrap_or(100) as usize;
    let body = vec![b'x'; size];
    let headers = format!(
        "{stamp}X-Instance-Id: {instance}\r\nX-Backend-Load: {load}\r\nKeep-Alive: timeout=10\r\n"
    );
    shared.record.line(format!("backend {instance} answers {id}"));
    Some(answer("200 OK", &headers, &body))
}
