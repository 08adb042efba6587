//! A stand-in target: serves requests with a heavy-tailed service time, drains, starts cold, sheds
//! with an explicit mark, and misbehaves on command.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::json;
use world::{Announcement, TargetState};

use crate::client;
use crate::http::{Body, Server, answer, serve};

/// Time between two announcements.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// The spread of the service time: the standard deviation of its logarithm.
const TAIL: f64 = 0.6;

/// What a target is.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name, in its answers.
    pub name: String,
    /// The service it runs.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its node's admin address.
    pub node: SocketAddr,
    /// The requests it runs at once when warm.
    pub slots: u32,
    /// The requests it bears when cold.
    pub cold_slots: u32,
    /// Answers after which it bears one more when cold.
    pub warm_answers: u32,
    /// The median service time in microseconds; 0 answers at once.
    pub work_us: u64,
    /// Of the service times.
    pub seed: u64,
    /// Where it notes what it runs: a line each with the time in microseconds since 1970, the key
    /// or `-`, and the request's id.
    pub runs: Option<PathBuf>,
}

/// How a target misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Multiplies the service time where above 1.
    pub slow: f64,
    /// Sheds everything.
    pub shed: bool,
    /// Fails everything with status 500.
    pub fail: bool,
    /// Cuts every answer half way.
    pub cut: bool,
    /// Says that it drains.
    pub drain: bool,
    /// Falls back to cold now.
    pub cold: bool,
}

#[derive(Debug)]
struct State {
    running: u32,
    /// Answers since the last start or fall to cold.
    answers: u32,
    warm: bool,
    /// Requests that came beyond what it bore while cold.
    overruns: u64,
    served: u64,
    faults: Faults,
    rng: SmallRng,
    runs: Option<File>,
}

/// A target; clones share its state.
#[derive(Clone, Debug)]
pub struct Target {
    settings: Arc<Settings>,
    incarnation: u64,
    state: Arc<Mutex<State>>,
}

impl Target {
    /// Opens a target that is cold.
    pub fn open(settings: Settings) -> std::io::Result<Target> {
        let runs =
            settings.runs.as_ref().map(|path| File::options().append(true).create(true).open(path));
        let state = State {
            running: 0,
            answers: 0,
            warm: false,
            overruns: 0,
            served: 0,
            faults: Faults::default(),
            rng: SmallRng::seed_from_u64(settings.seed),
            runs: runs.transpose()?,
        };
        let incarnation = wall_us();
        Ok(Target { settings: Arc::new(settings), incarnation, state: Arc::new(Mutex::new(state)) })
    }

    /// Serves requests from now on, and announces itself.
    pub async fn serve(&self) -> std::io::Result<Server> {
        let target = self.clone();
        let server = serve(self.settings.address, move |request| {
            let target = target.clone();
            async move { target.handle(request).await }
        })
        .await?;
        let (target, address) = (self.clone(), server.address);
        tokio::spawn(async move { target.announce(address).await });
        Ok(server)
    }

    /// Sets how it misbehaves.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        state.faults = faults;
        if faults.cold {
            state.warm = false;
            state.answers = 0;
        }
    }

    async fn announce(&self, address: SocketAddr) {
        loop {
            let announcement = self.announcement(address);
            let body = serde_json::to_vec(&announcement).unwrap_or_default();
            let _ = client::post(self.settings.node, "/target", body).await;
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    fn announcement(&self, address: SocketAddr) -> Announcement {
        let state = self.lock();
        Announcement {
            service: self.settings.service.as_str().into(),
            address,
            slots: self.settings.slots,
            incarnation: self.incarnation,
            state: match state.warm {
                _ if state.faults.drain => TargetState::Draining,
                true => TargetState::Warm,
                false => TargetState::Cold,
            },
            running: state.running,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        let (head, body) = request.into_parts();
        if head.uri.path() == "/control" {
            return self.control(&head.method, body).await;
        }
        let Some(mut running) = self.begin(&head.headers) else { return Some(shed()) };
        if head.headers.contains_key("x-crash") {
            std::process::abort();
        }
        let (length, hash) = digest(body).await?;
        let work = self.work(&head.headers);
        if !work.is_zero() {
            tokio::time::sleep(work).await;
        }
        let faults = self.lock().faults;
        if faults.fail {
            return Some(answer(500, "failed"));
        }
        running.whole = true;
        let echo = head.headers.get("x-echo").and_then(|echo| echo.to_str().ok());
        let said = json!({
            "echo": echo,
            "target": self.settings.name,
            "bytes": length,
            "hash": format!("{hash:016x}"),
        });
        Some(match faults.cut {
            true => cut_answer(said.to_string()),
            false => answer(200, said.to_string()),
        })
    }

    async fn control(&self, method: &Method, body: Incoming) -> Option<Response<Body>> {
        if method == Method::POST {
            let body = body.collect().await.ok()?.to_bytes();
            self.set_faults(serde_json::from_slice(&body).ok()?);
        }
        let state = self.lock();
        let said = json!({
            "running": state.running,
            "overruns": state.overruns,
            "served": state.served,
            "warm": state.warm,
        });
        Some(answer(200, said.to_string()))
    }

    /// Takes a request in, or sheds it.
    fn begin(&self, headers: &HeaderMap) -> Option<Running> {
        let mut state = self.lock();
        let bears = match state.warm {
            true => self.settings.slots,
            false => self.settings.cold_slots + state.answers / self.settings.warm_answers,
        };
        if state.running >= bears {
            state.overruns += 1;
            return None;
        }
        if state.faults.shed {
            return None;
        }
        state.running += 1;
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let key = text("idempotency-key").unwrap_or("-");
        let id = text("x-request-id").unwrap_or("-");
        let line = format!("{} {key} {id}\n", wall_us());
        if let Some(runs) = &mut state.runs {
            let _ = runs.write_all(line.as_bytes());
        }
        Some(Running { target: self.clone(), whole: false })
    }

    fn work(&self, headers: &HeaderMap) -> Duration {
        let given = headers.get("x-work-us").and_then(|value| value.to_str().ok()?.parse().ok());
        let mut state = self.lock();
        let slow = state.faults.slow.max(1.0);
        if let Some(given) = given {
            return Duration::from_micros(given).mul_f64(slow);
        }
        let normal: f64 = (0..12).map(|_| state.rng.random::<f64>()).sum::<f64>() - 6.0;
        Duration::from_micros(self.settings.work_us).mul_f64((normal * TAIL).exp() * slow)
    }
}

/// A request under way.
struct Running {
    target: Target,
    whole: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.target.lock();
        state.running -= 1;
        if !self.whole {
            return;
        }
        state.served += 1;
        state.answers += 1;
        let settings = &self.target.settings;
        let bears = settings.cold_slots + state.answers / settings.warm_answers;
        state.warm |= bears >= settings.slots;
    }
}

/// Reads a body and returns its length and hash. None where it was cut.
async fn digest(mut body: Incoming) -> Option<(u64, u64)> {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame.ok()?.into_data() else { continue };
        length += bytes.len() as u64;
        hash.update(&bytes);
    }
    Some((length, hash.digest()))
}

fn shed() -> Response<Body> {
    let mut response = answer(503, "shed");
    let value = http::HeaderValue::from_static("true");
    response.headers_mut().insert("bamboowheel-not-run", value);
    response
}

/// An answer that says its length and ends before it.
fn cut_answer(body: String) -> Response<Body> {
    let half = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    let cut = std::io::Error::other("cut on command");
    let pieces = stream::iter([Ok(Frame::data(half)), Err(cut)]);
    let mut response = Response::new(StreamBody::new(pieces).boxed_unsync());
    let length = http::HeaderValue::from(body.len());
    response.headers_mut().insert(http::header::CONTENT_LENGTH, length);
    response
}

/// Returns the wall clock's microseconds since 1970.
pub fn wall_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}
