//! Starts the node, reloads its settings, and drains it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use gumdrop::Options;
use platform::settings::{self, FILE_VARIABLE, Settings};
use platform::store::StoreClient;
use policy::{ExposureLimit, QuotaTolerance, RetryBound, Shutdown};
use runtime::{Clock, wall_ms};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use wire::link::Node;
use world::Code;

use crate::configuration::{self, ActiveRuleset};
use crate::entry::{self, CallerServer, Entry, EntryLimits};
use crate::guard::{self, BodyMemory, Guard, VmNames};
use crate::metrics::Metrics;
use crate::peers::{self, Peers};
use crate::{local_http, logs};

/// Time between the announcement to the peers that the guard will refuse requests and the first
/// refusal.
const DRAIN_NOTICE: Duration = Duration::from_millis(300);
/// How often the settings file is checked for a change, since it may change without a signal.
const SETTINGS_CHECK: Duration = Duration::from_secs(1);

/// Runs the load balancer's node beside a target.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
    #[options(
        help = "path of the settings file (default: the value of BAMBOOWHEEL_NODE_FILE)",
        meta = "PATH"
    )]
    settings: Option<PathBuf>,
    #[options(
        help = "address at which other nodes reach this one's links (default: the bound address)",
        meta = "IP:PORT",
        no_short
    )]
    advertise: Option<SocketAddr>,
    #[options(help = "port on which metrics are served (default: not served)", meta = "PORT")]
    metrics: Option<u16>,
}

/// Runs the program with the process's arguments. Returns its exit code.
pub fn main() -> i32 {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let args = match Args::parse_args_default(&arguments) {
        Ok(args) => args,
        Err(error) => return fail(Code::Usage, &error.to_string()),
    };
    if args.help {
        println!("Usage: bamboowheel-sidecar [OPTIONS]\n\n{}", Args::usage());
        return 0;
    }
    if args.version {
        println!("bamboowheel-sidecar {}", env!("CARGO_PKG_VERSION"));
        return 0;
    }
    let file = args.settings.clone().or_else(|| std::env::var_os(FILE_VARIABLE).map(PathBuf::from));
    let Some(file) = file else {
        return fail(Code::Usage, "no settings file: give --settings or set BAMBOOWHEEL_NODE_FILE");
    };
    let settings = match read_settings(&file) {
        Ok(settings) => settings,
        Err(faults) => return fail(Code::BadSetting, &faults.join("; ")),
    };
    logs::start();
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(Code::Usage, &error.to_string()),
    };
    let code = LocalSet::new().block_on(&runtime, run(settings, file, &args));
    logs::flush();
    code
}

/// Prints an error and returns the exit code for it.
fn fail(code: Code, detail: &str) -> i32 {
    eprintln!("bamboowheel-sidecar: {code}: {detail}");
    code.exit()
}

fn read_settings(file: &PathBuf) -> Result<Settings, Vec<String>> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| vec![format!("cannot read {}: {error}", file.display())])?;
    settings::decode(&text)
}

/// The parts of a running node that are needed to drain it.
struct RunningNode {
    clock: Clock,
    /// The time from the signal to stop until the process is killed, in microseconds.
    grace_us: Rc<Cell<u64>>,
    entry: Rc<Entry>,
    guard: Rc<Guard>,
    peers: Rc<Peers>,
    callers: CallerServer,
}

async fn run(settings: Settings, file: PathBuf, args: &Args) -> i32 {
    let node = match start(&settings, args) {
        Ok(node) => node,
        Err(error) => {
            tracing::error!(%error, "node: cannot start");
            return Code::CannotBind.exit();
        }
    };
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    );
    let (Ok(mut term), Ok(mut interrupt), Ok(hangup)) = signals else {
        return Code::CannotBind.exit();
    };
    let (entry, guard) = (node.entry.clone(), node.guard.clone());
    tokio::task::spawn_local(reload(entry, guard, node.grace_us.clone(), file, hangup));
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    drain(&node).await;
    0
}

/// Binds every address and starts every task of the node.
fn start(settings: &Settings, args: &Args) -> std::io::Result<RunningNode> {
    let clock = Clock::start();
    let metrics = Rc::new(Metrics::default());
    let ruleset = Rc::new(ActiveRuleset::new(clock, metrics.clone()));
    let callers = entry::bind(settings.caller_address)?;
    let readiness = entry::bind(settings.readiness_address)?;
    let control = entry::bind(settings.control_address)?;
    let data_centre = settings.data_centre.clone();
    let guard = Guard::open(
        clock,
        ruleset.clone(),
        metrics.clone(),
        VmNames {
            node: settings.name.clone(),
            data_centre: data_centre.clone(),
            service: settings.service.clone(),
        },
        settings.warmup,
        BodyMemory::new(settings.memory_bytes),
    );
    let link = SocketAddr::new(settings.ip, settings.port_range.0);
    let address = args.advertise.unwrap_or(link);
    let node = Node { name: settings.name.clone(), data_centre, address, started: wall_ms() };
    let store = StoreClient::new(settings.store_address);
    let peer_settings = peers::PeerSettings {
        node,
        bind: link,
        service: settings.service.clone(),
        first_start: settings.first_start,
        rollouts: settings.exposure.map(|bounds| peers::RolloutSettings {
            store,
            limit: ExposureLimit { share: bounds.share, slack: bounds.slack },
        }),
    };
    let peers =
        Peers::spawn(peer_settings, clock, ruleset.clone(), guard.clone(), metrics.clone())?;
    let entry = Entry::new(
        clock,
        ruleset.clone(),
        guard.clone(),
        peers.clone(),
        metrics.clone(),
        settings.service.clone(),
        entry_limits(settings),
    );
    let watcher = peers.clone();
    let should_watch = move || watcher.should_watch();
    tokio::task::spawn_local(configuration::watch_table(store, ruleset, should_watch));
    tokio::task::spawn_local(peers.clone().join(store));
    tokio::task::spawn_local(entry.clone().make_room());
    tokio::task::spawn_local(guard.clone().run_timers());
    let (target, service) = (settings.target_address, settings.service.clone());
    let search = guard::find_target(guard.clone(), target, service, settings.first_start);
    tokio::task::spawn_local(search);
    tokio::task::spawn_local(local_http::serve_control(control, guard.clone()));
    tokio::task::spawn_local(local_http::serve_readiness(readiness, entry.clone()));
    if let Some(port) = args.metrics {
        let listener = entry::bind(SocketAddr::new(settings.ip, port))?;
        tokio::task::spawn_local(local_http::serve_metrics(listener, metrics));
    }
    let callers = CallerServer::spawn(callers, entry.clone());
    tracing::info!(
        name = &*settings.name,
        data_centre = &*settings.data_centre,
        service = &*settings.service,
        version = env!("CARGO_PKG_VERSION"),
        "node: started"
    );
    let grace_us = Rc::new(Cell::new(settings.grace_us));
    Ok(RunningNode { clock, grace_us, entry, guard, peers, callers })
}

fn entry_limits(settings: &Settings) -> EntryLimits {
    let retries = settings.retries;
    let quota = settings.quota.map(|bounds| QuotaTolerance {
        window_us: bounds.window_us,
        overage: bounds.overage,
        slack: bounds.slack,
    });
    EntryLimits {
        retries: RetryBound {
            ratio: retries.ratio,
            slack: retries.slack,
            window_us: retries.window_us,
        },
        quota,
        memory_bytes: settings.memory_bytes,
        max_fds: settings.max_fds,
    }
}

/// Reloads the settings at each hangup signal and whenever the file has changed. Only the limits on
/// retries, on cold targets and on quotas and the grace period take effect; the rest needs a restart.
async fn reload(
    entry: Rc<Entry>,
    guard: Rc<Guard>,
    grace_us: Rc<Cell<u64>>,
    file: PathBuf,
    mut hangup: Signal,
) {
    let mut last_modified = modified(&file);
    loop {
        let asked = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_CHECK) => false,
        };
        let now = modified(&file);
        if !asked && now == last_modified {
            continue;
        }
        last_modified = now;
        match read_settings(&file) {
            Ok(settings) => {
                entry.set_limits(entry_limits(&settings));
                guard.set_warmup_limits(settings.warmup);
                grace_us.set(settings.grace_us);
                tracing::info!(asked, "settings: reloaded");
            }
            Err(faults) => tracing::error!(?faults, "settings: the file is invalid and is ignored"),
        }
    }
}

/// Returns when the file was modified. None if it cannot be read.
fn modified(file: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|data| data.modified()).ok()
}

/// Refuses new requests step by step, waits for those that run, and returns within the grace period.
async fn drain(node: &RunningNode) {
    let RunningNode { clock, grace_us, entry, guard, peers, callers } = node;
    let shutdown = Shutdown::new(clock.now(), grace_us.get());
    tracing::info!(
        entry = entry.pending(),
        guard = guard.pending(),
        grace_us = grace_us.get(),
        "node: draining"
    );
    entry.drain(shutdown);
    guard.announce_drain();
    peers.close_keeper();
    peers.leave();
    tokio::time::sleep(DRAIN_NOTICE).await;
    guard.drain();
    tokio::time::sleep_until(clock.instant(shutdown.closes_at())).await;
    // If too few other nodes are ready, callers keep connecting for as long as they are accepted.
    callers.close();
    let idle = async {
        callers.wait_closed().await;
        while entry.pending() > 0 || guard.pending() > 0 || peers.serving() > 0 {
            let pause = Duration::from_millis(20);
            let _ = tokio::time::timeout(pause, entry.request_ended()).await;
        }
    };
    let drained = tokio::time::timeout_at(clock.instant(shutdown.cut_at()), idle).await.is_ok();
    tracing::info!(drained, entry = entry.pending(), guard = guard.pending(), "node: stopped");
    peers.close().await;
}
