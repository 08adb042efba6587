//! Runs a scenario against separate processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::task::JoinHandle;
use xxhash_rust::xxh3::xxh3_64;

use super::parse::{Action, Expected, Process, Scenario, Send, Shape};
use crate::client::{self, Answer, Client, request, upload};
use crate::mesh::{Mesh, VmProcess, until};
use crate::report;
use crate::target::wall_us;

/// The longest wait for an answer in the background, or for a process to end.
const FINISH: Duration = Duration::from_secs(60);
/// The longest time until an accepted change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(4);
/// Pieces of an upload.
const PIECES: u32 = 20;
/// Bytes of one piece.
const PIECE: usize = 16 * 1024;

/// Why a scenario failed.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The line of the step, from 1; 0 before the first.
    pub line: usize,
    /// What was seen in place of what was expected.
    pub detail: String,
}

type Outcome = Result<Answer, String>;

struct Runner {
    mesh: Mesh,
    answers: BTreeMap<String, Outcome>,
    waiting: BTreeMap<String, JoinHandle<Outcome>>,
    /// The request id of each request.
    ids: BTreeMap<String, u64>,
    mark_us: u64,
    seed: u64,
}

/// Runs a scenario with programs from `binaries`, on addresses 127.`net`.x.y.
pub async fn run(
    scenario: &Scenario,
    net: u8,
    seed: u64,
    binaries: &Path,
    folder: &Path,
) -> Result<(), Failure> {
    let _ = std::fs::remove_dir_all(folder);
    let mesh = Mesh::start(scenario.tenant.clone(), net, seed, binaries, folder).await;
    let mesh = mesh.map_err(|error| Failure { line: 0, detail: error.to_string() })?;
    let mut runner = Runner {
        mesh,
        answers: BTreeMap::new(),
        waiting: BTreeMap::new(),
        ids: BTreeMap::new(),
        mark_us: wall_us(),
        seed,
    };
    for step in &scenario.steps {
        let taken = runner.take(&step.action).await;
        taken.map_err(|detail| Failure { line: step.line, detail })?;
    }
    Ok(())
}

impl Runner {
    async fn take(&mut self, action: &Action) -> Result<(), String> {
        match action {
            Action::Send(send) => self.send(send).await,
            Action::Finish(id) => self.finish(id).await,
            Action::Expect(id, expected) => self.expect(id, *expected),
            Action::Runs(name, count) => {
                let runs = self.runs(name);
                hold(runs == *count, format!("{name} ran {runs} times, not {count}"))
            }
            Action::RunsAtMost(name, count) => {
                let runs = self.runs(name);
                hold(runs <= *count, format!("{name} ran {runs} times, more than {count}"))
            }
            Action::TargetsLost(count) => self.targets_lost(*count).await,
            Action::Store(faults) => {
                let body = serde_json::to_vec(faults).unwrap_or_default();
                post(self.mesh.table, "/faults", body).await
            }
            Action::Target(vm, faults) => {
                let body = serde_json::to_vec(faults).unwrap_or_default();
                let address = self.vm(vm)?.target();
                post(address, "/control", body).await
            }
            Action::Kill(process, vm) => self.kill(*process, vm),
            Action::Start(process, vm) => self.start(*process, vm),
            Action::Freeze(process, vm) => self.signal(*process, vm, "STOP"),
            Action::Thaw(process, vm) => self.signal(*process, vm, "CONT"),
            Action::Stop(vm) => self.signal(Process::Node, vm, "TERM"),
            Action::Exits(vm, code) => self.exits(vm, *code),
            Action::Out(name) => self.mark(&["dc", "out", name]),
            Action::In(name) => self.mark(&["dc", "in", name]),
            Action::Race(count, name) => self.race(*count, name),
            Action::Version(version) => self.version(*version).await,
            Action::NoWork(name) => self.no_work(name),
            Action::Mark => {
                self.mark_us = wall_us();
                Ok(())
            }
            Action::Ready => self.mesh.wait_ready().await.map_err(|error| error.to_string()),
            Action::Wait(time) => {
                tokio::time::sleep(*time).await;
                Ok(())
            }
        }
    }

    fn at(&self, name: &str) -> Result<usize, String> {
        let at = self.mesh.vms.iter().position(|vm| vm.name == name);
        at.ok_or_else(|| format!("no VM is named {name:?}"))
    }

    fn vm(&self, name: &str) -> Result<&VmProcess, String> {
        Ok(&self.mesh.vms[self.at(name)?])
    }

    async fn send(&mut self, send: &Send) -> Result<(), String> {
        let to = match &send.via {
            Some(vm) => self.vm(vm)?.callers(),
            None => self.mesh.vms[0].callers(),
        };
        let id = xxh3_64(format!("{}-{}", self.seed, send.id).as_bytes());
        self.ids.insert(send.id.clone(), id);
        let request = build(send, id);
        let answer = tokio::spawn(async move {
            Client::default().send(to, request).await.map_err(|error| error.to_string())
        });
        self.waiting.insert(send.id.clone(), answer);
        match send.background {
            true => Ok(()),
            false => self.finish(&send.id).await,
        }
    }

    async fn finish(&mut self, id: &str) -> Result<(), String> {
        let waiting = self.waiting.remove(id).ok_or_else(|| format!("{id} is not under way"))?;
        let answer = tokio::time::timeout(FINISH, waiting).await;
        let answer = answer.map_err(|_| format!("{id} has no answer after {FINISH:?}"))?;
        let answer = answer.map_err(|error| error.to_string())?;
        self.answers.insert(id.to_owned(), answer);
        Ok(())
    }

    fn expect(&self, id: &str, expected: Expected) -> Result<(), String> {
        let answer = self.answers.get(id).ok_or_else(|| format!("{id} has no answer yet"))?;
        let answer = answer.as_ref().map_err(|error| format!("{id} broke: {error}"))?;
        let body = String::from_utf8_lossy(&answer.body);
        let seen = format!("{id} was answered {} {:?} {body}", answer.status, answer.code());
        let is_right = answer.status == 200 && body.contains(&format!("\"{id}\""));
        let holds = match expected {
            Expected::Ok => is_right,
            Expected::NotRun => answer.not_run(),
            Expected::MayHaveRun => answer.status >= 400 && !answer.not_run(),
            Expected::Code(code) => answer.code() == Some(code),
            Expected::Stored => answer.header("bamboowheel-stored") == Some("true"),
        };
        hold(holds, seen)
    }

    /// Counts the runs of a key, or of a request by its name.
    fn runs(&self, name: &str) -> u64 {
        let id = self.ids.get(name);
        let runs = self.mesh.vms.iter().flat_map(|vm| report::runs(&vm.runs));
        let is_it = |run: &report::Run| {
            run.key.as_deref() == Some(name) || (id.is_some() && run.request == id.copied())
        };
        runs.filter(is_it).count() as u64
    }

    async fn targets_lost(&self, count: u64) -> Result<(), String> {
        let mut lost = 0;
        for vm in &self.mesh.vms {
            lost += u64::from(client::get(vm.target(), "/control").await.is_err());
        }
        hold(lost == count, format!("{lost} targets are lost, not {count}"))
    }

    fn kill(&mut self, process: Process, vm: &str) -> Result<(), String> {
        let at = self.at(vm)?;
        match process {
            Process::Node => self.mesh.kill_node(at),
            Process::Target => self.mesh.kill_target(at),
        }
        Ok(())
    }

    fn start(&mut self, process: Process, vm: &str) -> Result<(), String> {
        let at = self.at(vm)?;
        let started = match process {
            Process::Node => self.mesh.start_node(at),
            Process::Target => self.mesh.start_target(at, self.seed),
        };
        started.map_err(|error| error.to_string())
    }

    fn signal(&self, process: Process, vm: &str, signal: &str) -> Result<(), String> {
        let vm = self.vm(vm)?;
        let id = match process {
            Process::Node => vm.node_id(),
            Process::Target => vm.target_id(),
        };
        let id = id.ok_or("it does not run")?;
        self.mesh.signal(id, signal).map_err(|error| error.to_string())
    }

    fn exits(&mut self, vm: &str, code: i32) -> Result<(), String> {
        let at = self.at(vm)?;
        let seen = self.mesh.wait_node(at).map_err(|error| error.to_string())?;
        hold(seen == Some(code), format!("{vm} exited with {seen:?}, not {code}"))
    }

    fn mark(&self, arguments: &[&str]) -> Result<(), String> {
        self.mesh.ctl(arguments).map(drop).map_err(|error| error.to_string())
    }

    /// Runs several operators at once; each must be accepted.
    fn race(&self, count: u32, name: &str) -> Result<(), String> {
        std::thread::scope(|scope| {
            let operators: Vec<_> =
                (0..count).map(|_| scope.spawn(|| self.mark(&["dc", "out", name]))).collect();
            let mut ended = operators.into_iter().map(|operator| operator.join());
            ended.try_for_each(|ended| ended.unwrap_or(Err("an operator crashed".to_owned())))
        })
    }

    async fn version(&self, version: u64) -> Result<(), String> {
        let in_force = until(IN_FORCE, || async {
            for vm in self.mesh.vms.iter().filter(|vm| vm.node_id().is_some()) {
                let status = self.mesh.status(vm).await.unwrap_or_default();
                if status["version"].as_u64() != Some(version) {
                    return false;
                }
            }
            true
        });
        in_force.await.map_err(|_| format!("version {version} is not in force everywhere"))
    }

    fn no_work(&self, name: &str) -> Result<(), String> {
        let vms = self.mesh.vms.iter().filter(|vm| vm.data_centre == name);
        let late =
            vms.flat_map(|vm| report::runs(&vm.runs)).filter(|run| run.time_us > self.mark_us);
        let count = late.count();
        hold(count == 0, format!("{count} requests began in {name}"))
    }
}

fn hold(holds: bool, otherwise: String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(otherwise) }
}

async fn post(to: SocketAddr, path: &str, body: Vec<u8>) -> Result<(), String> {
    client::post(to, path, body).await.map(drop).map_err(|error| error.to_string())
}

fn build(send: &Send, id: u64) -> http::Request<client::Body> {
    let text = format!("{id:016x}");
    let work = send.work.map(|work| work.as_micros().to_string());
    let mut headers = vec![("x-request-id", text.as_str()), ("x-echo", send.id.as_str())];
    headers.extend(send.key.as_deref().map(|key| ("idempotency-key", key)));
    headers.extend(work.as_deref().map(|work| ("x-work-us", work)));
    headers.extend(send.crash.then_some(("x-crash", "1")));
    let path = match send.crash {
        true => format!("/{}/crash", send.service),
        false => format!("/{}", send.service),
    };
    match send.shape {
        Shape::Get => request(Method::GET, &path, &headers, Bytes::new()),
        Shape::Post => request(Method::POST, &path, &headers, Bytes::from_static(b"deposit")),
        Shape::Upload => {
            let pieces = vec![Bytes::from(vec![7; PIECE]); PIECES as usize];
            let length = (PIECE * PIECES as usize).to_string();
            headers.push(("content-length", &length));
            upload(&path, &headers, pieces, send.over / PIECES)
        }
    }
}
