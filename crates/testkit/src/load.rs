//! Load: callers' requests of every kind, open loop, each answer checked.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::client::{Answer, Client, Error, request, upload};

/// Sends of one keyed request, the first among them.
const SENDS: u32 = 8;
/// The wait before a keyed request is sent again; doubled each time.
const RESEND: Duration = Duration::from_millis(30);
/// The longest wait for a whole answer.
const PATIENCE: Duration = Duration::from_secs(30);
/// Bytes of one piece of an upload.
const PIECE: usize = 64 * 1024;
/// Pieces of an upload.
const PIECES: usize = 24;
/// Time between two pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(40);

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A listing or a menu.
    Read,
    /// An internal check.
    Check,
    /// A booking or an order, with a key.
    Book,
    /// An upload.
    Upload,
    /// A read without work, through the nodes.
    Through,
    /// The same, straight to the target.
    Direct,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 6] =
        [Kind::Read, Kind::Check, Kind::Book, Kind::Upload, Kind::Through, Kind::Direct];

    /// Returns its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Read => "read",
            Kind::Check => "check",
            Kind::Book => "book",
            Kind::Upload => "upload",
            Kind::Through => "through",
            Kind::Direct => "direct",
        }
    }
}

/// What became of the requests of one kind.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Latencies of whole and right answers, in microseconds.
    pub latency: Histogram<u64>,
    /// Whole and right answers.
    pub right: u64,
    /// Answers of another request, or not as they were sent.
    pub wrong: u64,
    /// Refusals that say "not run".
    pub refused: u64,
    /// Other failures told with a code.
    pub failed: u64,
    /// Requests without a whole answer.
    pub broken: u64,
    /// Keyed requests whose outcome is unknown.
    pub unknown: u64,
}

impl Default for Tally {
    fn default() -> Tally {
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3);
        Tally {
            latency: latency.expect("the bounds are constants in range"),
            right: 0,
            wrong: 0,
            refused: 0,
            failed: 0,
            broken: 0,
            unknown: 0,
        }
    }
}

impl Tally {
    /// Returns how many requests were made.
    pub fn calls(&self) -> u64 {
        self.right + self.wrong + self.refused + self.failed + self.broken + self.unknown
    }
}

/// How often each kind is sent, in requests a second.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Listings or menus.
    pub read: f64,
    /// Internal checks.
    pub check: f64,
    /// Bookings or orders.
    pub book: f64,
    /// Uploads.
    pub upload: f64,
    /// Reads without work, through the nodes and direct, each.
    pub probe: f64,
}

/// What is sent where.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Where nodes serve callers.
    pub nodes: Vec<SocketAddr>,
    /// Targets of the service that is read, for direct calls.
    pub direct: Vec<SocketAddr>,
    /// The service that is read.
    pub read: String,
    /// The service that books.
    pub book: String,
    /// The service that takes uploads.
    pub upload: String,
    /// How often.
    pub rates: Rates,
    /// Of the arrivals.
    pub seed: u64,
}

/// Running load.
#[derive(Debug)]
pub struct Load {
    plan: Plan,
    client: Client,
    tallies: Mutex<[Tally; Kind::ALL.len()]>,
    /// Request ids of which a caller was told "not run".
    not_run: Mutex<Vec<u64>>,
    next: AtomicU64,
}

impl Load {
    /// Sends requests for a time, and returns what became of them once all are over.
    pub async fn run(plan: Plan, time: Duration) -> Arc<Load> {
        let load = Arc::new(Load {
            next: AtomicU64::new(plan.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            plan,
            client: Client::default(),
            tallies: Mutex::default(),
            not_run: Mutex::default(),
        });
        let streams = Kind::ALL.map(|kind| tokio::spawn(load.clone().stream(kind, time)));
        for stream in streams {
            let _ = stream.await;
        }
        load
    }

    /// Returns what became of the requests of a kind.
    pub fn tally(&self, kind: Kind) -> Tally {
        lock(&self.tallies)[kind as usize].clone()
    }

    /// Returns the request ids of which a caller was told "not run", sorted.
    pub fn not_run(&self) -> Vec<u64> {
        let mut ids = lock(&self.not_run).clone();
        ids.sort_unstable();
        ids
    }

    fn rate(&self, kind: Kind) -> f64 {
        let rates = &self.plan.rates;
        match kind {
            Kind::Read => rates.read,
            Kind::Check => rates.check,
            Kind::Book => rates.book,
            Kind::Upload => rates.upload,
            Kind::Through | Kind::Direct => rates.probe,
        }
    }

    async fn stream(self: Arc<Load>, kind: Kind, time: Duration) {
        let mut rng = SmallRng::seed_from_u64(self.plan.seed ^ kind as u64);
        let start = tokio::time::Instant::now();
        let mut at = start;
        let mut calls = tokio::task::JoinSet::new();
        loop {
            let gap = -(1.0 - rng.random::<f64>()).ln() / self.rate(kind).max(1e-9);
            at += Duration::from_secs_f64(gap.min(3_600.0));
            if at.duration_since(start) > time {
                break;
            }
            tokio::time::sleep_until(at).await;
            let node = self.plan.nodes[rng.random_range(0..self.plan.nodes.len())];
            let direct = self.plan.direct[rng.random_range(0..self.plan.direct.len())];
            let to = if kind == Kind::Direct { direct } else { node };
            let load = self.clone();
            calls.spawn(async move { load.call(kind, to).await });
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
    }

    async fn call(&self, kind: Kind, to: SocketAddr) {
        match kind {
            Kind::Book => self.book(to).await,
            Kind::Upload => self.upload(to).await,
            _ => self.read(kind, to).await,
        }
    }

    async fn read(&self, kind: Kind, to: SocketAddr) {
        let id = self.id();
        let service = &self.plan.read;
        let path = match kind {
            Kind::Check => format!("/{service}/check/{id}"),
            _ => format!("/{service}/item/{id}"),
        };
        let text = format!("{id:016x}");
        let mut headers = vec![("x-echo", &*text)];
        if kind != Kind::Direct {
            headers.push(("x-request-id", &*text));
        }
        if matches!(kind, Kind::Through | Kind::Direct) {
            headers.push(("x-work-us", "0"));
        }
        let begun = Instant::now();
        let answer = self.send(to, request(Method::GET, &path, &headers, Bytes::new())).await;
        let verdict = self.judge(id, &answer, &text, None);
        self.note(kind, verdict, begun);
    }

    /// Sends a keyed request, again and again while that is what a careful caller would do.
    async fn book(&self, to: SocketAddr) {
        let key = format!("key-{:016x}", self.id());
        let body = Bytes::from(format!("{{\"deposit\":\"{key}\"}}"));
        let hash = (body.len() as u64, xxh3_64(&body));
        let path = format!("/{}", self.plan.book);
        let begun = Instant::now();
        let mut verdict = Verdict::Broken;
        for sent in 0..SENDS {
            if sent > 0 {
                tokio::time::sleep(RESEND * 2u32.pow(sent - 1)).await;
            }
            let id = self.id();
            let text = format!("{id:016x}");
            let headers = [("x-request-id", &*text), ("x-echo", &*key), ("idempotency-key", &*key)];
            let answer = self.send(to, request(Method::POST, &path, &headers, body.clone())).await;
            verdict = self.judge(id, &answer, &key, Some(hash));
            if matches!(verdict, Verdict::Right | Verdict::Wrong | Verdict::Unknown) {
                break;
            }
        }
        self.note(Kind::Book, verdict, begun);
    }

    async fn upload(&self, to: SocketAddr) {
        let id = self.id();
        let text = format!("{id:016x}");
        let piece = |at: usize| Bytes::from(vec![(id as usize).wrapping_add(at) as u8; PIECE]);
        let pieces: Vec<Bytes> = (0..PIECES).map(piece).collect();
        let hash = ((PIECE * PIECES) as u64, xxh3_64(&pieces.concat()));
        let length = (PIECE * PIECES).to_string();
        let headers = [("x-request-id", &*text), ("x-echo", &*text), ("content-length", &*length)];
        let path = format!("/{}", self.plan.upload);
        let begun = Instant::now();
        let answer = self.send(to, upload(&path, &headers, pieces, PIECE_PAUSE)).await;
        let verdict = self.judge(id, &answer, &text, Some(hash));
        self.note(Kind::Upload, verdict, begun);
    }

    async fn send(
        &self,
        to: SocketAddr,
        request: http::Request<crate::client::Body>,
    ) -> Result<Answer, Error> {
        tokio::time::timeout(PATIENCE, self.client.send(to, request)).await?
    }

    fn judge(
        &self,
        id: u64,
        answer: &Result<Answer, Error>,
        echo: &str,
        hash: Option<(u64, u64)>,
    ) -> Verdict {
        let Ok(answer) = answer else { return Verdict::Broken };
        if answer.status == 200 {
            return match is_right(answer, echo, hash) {
                true => Verdict::Right,
                false => Verdict::Wrong,
            };
        }
        if answer.not_run() {
            lock(&self.not_run).push(id);
            return Verdict::Refused;
        }
        match answer.code() {
            Some(2013) => Verdict::Unknown,
            _ => Verdict::Failed,
        }
    }

    fn note(&self, kind: Kind, verdict: Verdict, begun: Instant) {
        let tally = &mut lock(&self.tallies)[kind as usize];
        match verdict {
            Verdict::Right => {
                tally.right += 1;
                tally.latency.saturating_record(begun.elapsed().as_micros() as u64);
            }
            Verdict::Wrong => tally.wrong += 1,
            Verdict::Refused => tally.refused += 1,
            Verdict::Failed => tally.failed += 1,
            Verdict::Broken => tally.broken += 1,
            Verdict::Unknown => tally.unknown += 1,
        }
    }

    fn id(&self) -> u64 {
        xxh3_64(&self.next.fetch_add(1, Ordering::Relaxed).to_le_bytes())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Right,
    Wrong,
    Refused,
    Failed,
    Broken,
    Unknown,
}

fn is_right(answer: &Answer, echo: &str, hash: Option<(u64, u64)>) -> bool {
    let Ok(said) = serde_json::from_slice::<Value>(&answer.body) else { return false };
    let hashed = hash.is_none_or(|(length, hash)| {
        said["bytes"] == length && said["hash"] == format!("{hash:016x}")
    });
    said["echo"] == echo && hashed
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
