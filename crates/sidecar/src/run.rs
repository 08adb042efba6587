//! Starts the node, reloads its settings, and drains it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use gumdrop::Options;
use platform::settings::{self, FILE_VARIABLE, Settings};
use platform::store::StoreClient;
use policy::RetryBound;
use runtime::{Clock, wall_ms};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use wire::link::Node;
use world::Code;

use crate::configuration::{self, ActiveRuleset};
use crate::entry::{self, Callers, Entry};
use crate::guard::{self, Guard};
use crate::metrics::Metrics;
use crate::peers::{self, Peers};
use crate::{logs, platform_side};

/// Time in which peers learn that this node's target takes no more before it refuses.
const NOTICE: Duration = Duration::from_millis(300);
/// The platform sends callers here until it has missed the readiness check twice, a second apart.
const LAST_CALLERS: Duration = Duration::from_millis(2_500);
/// What is left of the time to stop when what still runs is cut.
const LAST_CLOSE: Duration = Duration::from_millis(800);
/// Time between two looks at the settings file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(1);

/// The program's flags.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
    #[options(
        help = "the settings file (default: as the platform's variable says)",
        meta = "PATH"
    )]
    settings: Option<PathBuf>,
    #[options(
        help = "where other nodes reach this one's links, if not where they are bound",
        meta = "IP:PORT",
        no_short
    )]
    advertise: Option<SocketAddr>,
    #[options(help = "the port at which metrics are served; none without it", meta = "PORT")]
    metrics: Option<u16>,
}

/// Runs the program. Returns its exit code.
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
    let Some(file) = file else { return fail(Code::Usage, "no settings file is named") };
    let settings = match read(&file) {
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

fn fail(code: Code, detail: &str) -> i32 {
    eprintln!("bamboowheel-sidecar: {code}: {detail}");
    code.exit()
}

fn read(file: &PathBuf) -> Result<Settings, Vec<String>> {
    let text = std::fs::read_to_string(file).map_err(|error| vec![error.to_string()])?;
    settings::decode(&text)
}

/// The parts of a running node.
struct Running {
    entry: Rc<Entry>,
    guard: Rc<Guard>,
    callers: Callers,
}

async fn run(settings: Settings, file: PathBuf, args: &Args) -> i32 {
    let running = match start(&settings, args) {
        Ok(running) => running,
        Err(error) => {
            tracing::error!(%error, "node: not started");
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
    tokio::task::spawn_local(reload(running.entry.clone(), running.guard.clone(), file, hangup));
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    drain(&running, Duration::from_micros(settings.grace_us)).await;
    0
}

fn start(settings: &Settings, args: &Args) -> std::io::Result<Running> {
    let clock = Clock::start();
    let metrics = Rc::new(Metrics::default());
    let rules = Rc::new(ActiveRuleset::open());
    let callers = entry::bind(settings.caller_address)?;
    let ready = entry::bind(settings.readiness_address)?;
    let control = entry::bind(settings.control_address)?;
    let data_centre = settings.data_centre.clone();
    let guard =
        Guard::open(clock, rules.clone(), metrics.clone(), data_centre.clone(), settings.warmup);
    let link = SocketAddr::new(settings.ip, settings.port_range.0);
    let address = args.advertise.unwrap_or(link);
    let node = Node { name: settings.name.clone(), data_centre, address, started: wall_ms() };
    let peer_settings = peers::PeerSettings { node, bind: link, first_start: settings.first_start };
    let peers = Peers::spawn(peer_settings, clock, rules.clone(), guard.clone(), metrics.clone())?;
    let entry = Entry::open(
        clock,
        rules.clone(),
        guard.clone(),
        peers.clone(),
        metrics.clone(),
        settings.service.clone(),
        bound(settings),
    );
    let store = StoreClient::new(settings.store_address);
    let watcher = peers.clone();
    let should_watch = move || watcher.should_watch();
    tokio::task::spawn_local(configuration::follow(store, rules, should_watch));
    tokio::task::spawn_local(peers.join(store));
    tokio::task::spawn_local(guard.clone().run_timers());
    let search =
        guard::find_target(guard.clone(), settings.target_address, settings.service.clone());
    tokio::task::spawn_local(search);
    tokio::task::spawn_local(platform_side::control(control, guard.clone()));
    tokio::task::spawn_local(platform_side::readiness(ready, entry.clone()));
    if let Some(port) = args.metrics {
        let listener = entry::bind(SocketAddr::new(settings.ip, port))?;
        tokio::task::spawn_local(platform_side::metrics(listener, metrics));
    }
    let callers = Callers::spawn(callers, entry.clone());
    tracing::info!(
        name = &*settings.name,
        data_centre = &*settings.data_centre,
        service = &*settings.service,
        version = env!("CARGO_PKG_VERSION"),
        "node: started"
    );
    Ok(Running { entry, guard, callers })
}

fn bound(settings: &Settings) -> RetryBound {
    let repeats = settings.retries;
    RetryBound { ratio: repeats.ratio, slack: repeats.slack, window_us: repeats.window_us }
}

/// Reads the settings anew at each hangup, and when the file changed.
async fn reload(entry: Rc<Entry>, guard: Rc<Guard>, file: PathBuf, mut hangup: Signal) {
    let mut changed = modified(&file);
    loop {
        let asked = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(LOOK) => false,
        };
        let now = modified(&file);
        if !asked && now == changed {
            continue;
        }
        changed = now;
        match read(&file) {
            Ok(settings) => {
                entry.set_bound(bound(&settings));
                guard.set_warmup_limits(settings.warmup);
                tracing::info!(asked, "settings: reloaded");
            }
            Err(faults) => tracing::error!(?faults, "settings: kept, the file cannot be used"),
        }
    }
}

fn modified(file: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|data| data.modified()).ok()
}

/// Serves what still comes, finishes what runs, and ends within `grace`.
async fn drain(running: &Running, grace: Duration) {
    let Running { entry, guard, callers } = running;
    let begun = tokio::time::Instant::now();
    tracing::info!(entry = entry.pending(), guard = guard.pending(), "node: draining");
    entry.drain();
    guard.announce_drain();
    tokio::time::sleep(NOTICE).await;
    guard.drain();
    tokio::time::sleep_until(begun + LAST_CALLERS).await;
    let last = begun + grace.saturating_sub(LAST_CLOSE);
    // Where too few other nodes are ready, callers keep coming for as long as they are taken.
    callers.close();
    let idle = async {
        callers.ended().await;
        while entry.pending() > 0 || guard.pending() > 0 {
            let pause = Duration::from_millis(20);
            let _ = tokio::time::timeout(pause, entry.ended()).await;
        }
    };
    let drained = tokio::time::timeout_at(last, idle).await.is_ok();
    tracing::info!(drained, entry = entry.pending(), guard = guard.pending(), "node: stopped");
}
