//! A small deployment for the cases of the second review: the project's store and targets, and nodes
//! that are started with the command of the deploy file.

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standin::caller::{Answer, TestRequest, send_request};
use standin::store::{Store, StoreEndpoint};
use standin::target::Target;
use tokio::process::{Child, Command};

/// The node's program and its arguments, as in `deploy/system.toml`.
const PROGRAM: &str = "target/release/bamboowheel-sidecar";
const ARGUMENTS: [&str; 2] = ["--metrics", "9464"];
/// The longest wait for a deployment to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// `warmupS` of every service: how long a backend is cold that starts during traffic.
const WARMUP: Duration = Duration::from_secs(3);

/// What one deployment is like.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The zone and the service of each machine.
    pub machines: Vec<(&'static str, &'static str)>,
    /// `memoryMb` of each machine.
    pub memory_mb: u64,
    /// `timeoutS` of the routes.
    pub timeout_s: f64,
    /// `slots` of each backend.
    pub slots: u32,
}

/// One machine: its node, its backend and the address of the store that its node is given.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub service: &'static str,
    pub ip: IpAddr,
    pub store: StoreEndpoint,
    pub target: Target,
    settings: PathBuf,
    slots: u32,
    sequence: u64,
    born: u64,
    has_started: bool,
    /// Until when the backend is cold, if it has started during traffic.
    cold_until: Option<Instant>,
    node: Option<Child>,
}

/// The deployment. Dropping it kills its nodes.
#[derive(Debug)]
pub struct Fleet {
    pub store: Store,
    pub machines: Vec<Machine>,
    folder: PathBuf,
}

impl Machine {
    /// Returns the address at which the machine's clients send requests.
    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8629)
    }

    fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8620)
    }

    /// Starts the node.
    pub fn start(&mut self) {
        if std::mem::replace(&mut self.has_started, true) {
            // `bootstrap` is true only when the whole system starts for the first time.
            let text = std::fs::read_to_string(&self.settings).expect("cannot read the settings");
            let text = text.replace("bootstrap = true", "bootstrap = false");
            std::fs::write(&self.settings, text).expect("cannot write the settings");
        }
        let node = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env("BAMBOOWHEEL_NODE_FILE", &self.settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn();
        self.node = Some(node.expect("cannot start a node"));
    }

    /// Kills the node with SIGKILL and waits until it is gone.
    pub async fn kill(&mut self) {
        if let Some(mut node) = self.node.take() {
            node.kill().await.expect("cannot kill a node");
        }
    }

    /// Sends a signal to the node.
    pub async fn signal(&self, signal: &str) {
        let id = self.node.as_ref().and_then(Child::id).expect("the node does not run");
        let sent = Command::new("kill").arg(signal).arg(id.to_string()).status().await;
        assert!(sent.is_ok_and(|status| status.success()), "cannot send {signal}");
    }

    /// Returns whether the node's process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.node.as_mut().is_some_and(|node| node.try_wait().ok().flatten().is_some())
    }

    /// Returns whether the node answers the platform's readiness check with 200.
    pub async fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, 8625);
        let request = TestRequest { path: "/api/ready", ..TestRequest::default() };
        send_request(address, &request).await.is_some_and(|answer| answer.status == 200)
    }

    /// Sends the backend's next heartbeat. Returns the status, 0 without an answer.
    pub async fn heartbeat(&mut self, state: &str) -> u16 {
        self.sequence += 1;
        let now = Instant::now();
        let cold = self.cold_until.map_or(Duration::ZERO, |until| until.duration_since(now));
        self.target.set_cold(cold);
        let body = json!({
            "service": self.service, "address": self.target.address.to_string(),
            "zone": self.zone, "version": "v1", "slots": self.slots, "state": state,
            "warmupLeftS": cold.as_secs_f64(), "sequence": self.sequence,
            "born": self.born,
        });
        let path = format!("/api/rpc?call=instances.heartbeat&of=i-{}", self.name);
        let body = body.to_string();
        let request =
            TestRequest { method: "POST", path: &path, body: &body, ..TestRequest::default() };
        send_request(self.control(), &request).await.map_or(0, |answer| answer.status)
    }

    /// Ends the backend's process as the returned value is dropped: its listener and all its
    /// connections close.
    pub async fn take_backend(&mut self) -> Target {
        let spare = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let none = Target::bind(spare, "none").await.expect("cannot bind");
        std::mem::replace(&mut self.target, none)
    }

    /// Starts the backend again at its address and under its id, `later` after its first start.
    pub async fn restart_backend(&mut self, later: Duration) {
        let address = SocketAddr::new(self.ip, 8628);
        let id = format!("i-{}", self.name);
        self.target = Target::bind(address, &id).await.expect("cannot bind the backend");
        self.born += later.as_millis() as u64;
        self.sequence = 0;
        self.cold_until = Some(Instant::now() + WARMUP);
        self.target.set_cold(WARMUP);
    }

    /// Returns the memory of the node's process, in bytes: now and at its peak.
    pub fn memory(&self) -> (u64, u64) {
        let Some(id) = self.node.as_ref().and_then(Child::id) else { return (0, 0) };
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let value = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
            kilobytes.unwrap_or(0u64) * 1_024
        };
        (value("VmRSS:"), value("VmHWM:"))
    }
}

impl Fleet {
    /// Starts the store and a backend for each machine, and writes the settings.
    pub async fn prepare(shape: &Shape) -> Fleet {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        std::fs::create_dir_all(&folder).expect("cannot create a folder");
        let store = Store::default();
        let mut machines = Vec::new();
        for (at, (zone, service)) in shape.machines.iter().enumerate() {
            let (high, low) = ((pid % 200) as u8 + 20, (pid / 200 % 250) as u8);
            let ip = IpAddr::V4(Ipv4Addr::new(127, high, low, at as u8 + 1));
            let name = format!("sidecar-{zone}-{at}");
            let endpoint = store.bind(SocketAddr::new(ip, 8627)).await.expect("cannot bind");
            let address = SocketAddr::new(ip, 8628);
            let target = Target::bind(address, &format!("i-{name}")).await.expect("cannot bind");
            let settings = folder.join(format!("{name}.toml"));
            let text = settings_text(shape, &name, ip, zone, service);
            std::fs::write(&settings, text).expect("cannot write the settings");
            machines.push(Machine {
                name,
                zone,
                service,
                ip,
                store: endpoint,
                target,
                settings,
                slots: shape.slots,
                sequence: 0,
                born: 1_790_000_000_000,
                has_started: false,
                cold_until: None,
                node: None,
            });
        }
        Fleet { store, machines, folder }
    }

    /// Starts every node and announces the backends.
    pub async fn start(&mut self) {
        self.start_without(usize::MAX).await;
    }

    /// Does the same, but announces no backend of the machine `silent`.
    pub async fn start_without(&mut self, silent: usize) {
        self.machines.iter_mut().for_each(Machine::start);
        let begun = Instant::now();
        for (at, machine) in self.machines.iter_mut().enumerate() {
            while !machine.is_ready().await {
                assert!(begun.elapsed() < READY_TIMEOUT, "{} is not ready", machine.name);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            if at != silent {
                assert_eq!(machine.heartbeat("ready").await, 200);
            }
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Writes `op/config`: the routes, each with its prefix, kind and service, as the operator does.
pub fn write_config(store: &Store, version: u64, timeout_s: f64, routes: &[(&str, &str, &str)]) {
    let all: Vec<Value> = routes
        .iter()
        .map(|(prefix, kind, service)| {
            json!({
                "name": format!("r{prefix}"), "host": "test.example", "pathPrefix": prefix,
                "kind": kind, "timeoutS": timeout_s, "targetLatencyS": 0.4, "priority": 1,
                "service": service, "maxAttempts": 2,
            })
        })
        .collect();
    let mut services: Vec<&str> = routes.iter().map(|route| route.2).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<Value> = services
        .iter()
        .map(|name| {
            json!({
                "name": name, "healthPath": "/health", "maxConnections": 260, "warmupS": 3.0,
                "warmupPerS": 12.0,
            })
        })
        .collect();
    let config = json!({
        "version": version, "routes": all, "services": services,
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 1_000_000, "headerTimeoutS": 3.0,
            "idleTimeoutS": 15.0,
        },
    });
    store.put("op", "config", config.to_string().as_bytes());
}

/// Sends a request to a node on a new connection and reads the answer.
pub async fn ask(address: SocketAddr, request: &TestRequest<'_>) -> Option<Answer> {
    send_request(address, request).await
}

/// The file `record.txt` of a case, and what its verdict is.
#[derive(Debug)]
pub struct Record {
    file: std::fs::File,
    begun: Instant,
}

impl Record {
    /// Creates the file in the folder that is the program's first argument.
    pub fn create() -> Record {
        let folder = std::env::args().nth(1).expect("the first argument is the case's folder");
        let file = std::fs::File::create(PathBuf::from(folder).join("record.txt"));
        Record { file: file.expect("cannot create the record"), begun: Instant::now() }
    }

    /// Writes a line, with the time since the start.
    pub fn line(&mut self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.begun.elapsed().as_secs_f64());
        let _ = self.file.write_all(line.as_bytes());
        print!("{line}");
    }
}

/// Returns whether the case is run with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn settings_text(shape: &Shape, name: &str, ip: IpAddr, zone: &str, service: &str) -> String {
    let memory_mb = shape.memory_mb;
    let mut zones: Vec<&str> = shape.machines.iter().map(|machine| machine.0).collect();
    zones.sort_unstable();
    zones.dedup();
    let zones: String = zones.iter().map(|zone| format!("{zone} = \"viti-central\"\n")).collect();
    format!(
        r#"nodeName = "{name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{zone}"
region = "viti-central"
portRange = [7600, 7615]
seeds = []
bootstrap = true
heartbeatS = 1.5
bounds = ["contactS=3","ackS=4","drainS=2","graceS=6","lossSlackS=0.2","configApplyS=2","maxStretchS=5","retryBudgetRatio=0.2","retryWindowS=10","retrySlack=64","warmupOverage=1.5","warmupSlack=5","evacuationS=5","recoveryS=15","probesPerS=60"]
appAddr = "{ip}:8628"
service = "{service}"
[zones]
{zones}
[listen]
inbound = "{ip}:8624"
outbound = "{ip}:8629"
readinessAddr = "{ip}:8625"
control = "{ip}:8620"
[limits]
cpuShare = 0.2
cpuCores = 1
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
[platform]
address = "{ip}:8627"
form = "table"
"#
    )
}
