//! Starts the node, and drains it.

use std::net::UdpSocket;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gumdrop::Options;
use tokio::runtime::{Builder, Handle};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::oneshot;
use wire::tls::{self, Timing, Trust};
use world::Code;

use crate::links::Links;
use crate::node::{Node, lock};
use crate::settings::{Args, Settings, USAGE};
use crate::{admin, callers, gate, gossip, logs, peers, server, spread};

/// Time in which peers learn of a leaving node before it refuses callers.
const NOTICE: Duration = Duration::from_millis(300);

/// How links between nodes are kept: the membership's own probes find a dead peer sooner.
const LINK_TIMING: Timing =
    Timing { idle: Duration::from_secs(60), keep_alive: Duration::from_secs(20) };

/// Runs the program. Returns its exit code.
pub fn main() -> i32 {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let args = match Args::parse_args_default(&arguments) {
        Ok(args) => args,
        Err(error) => return usage_error(&error.to_string()),
    };
    if args.help {
        println!("{USAGE}\n{}", Args::usage());
        return 0;
    }
    if args.version {
        println!("bamboowheel {}", env!("CARGO_PKG_VERSION"));
        return 0;
    }
    let settings = match Settings::check(args, |name| std::env::var(name).ok()) {
        Ok(settings) => settings,
        Err(faults) => {
            let code = Code::BadSetting;
            faults.iter().for_each(|fault| eprintln!("bamboowheel: {code}: {fault}"));
            return code.exit();
        }
    };
    logs::start(settings.log_form, settings.log_level);
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return usage_error(&error.to_string()),
    };
    runtime.block_on(run(settings))
}

fn usage_error(detail: &str) -> i32 {
    eprintln!("bamboowheel: {}: {detail}", Code::Usage);
    Code::Usage.exit()
}

async fn run(settings: Settings) -> i32 {
    let started = match Started::start(settings).await {
        Ok(started) => started,
        Err((code, detail)) => {
            tracing::error!("node: {code}: {detail}");
            return code.exit();
        }
    };
    let (Ok(mut term), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return Code::CannotBind.exit();
    };
    next(&mut term, &mut interrupt).await;
    let code = tokio::select! {
        code = drain(&started.node) => code,
        _ = next(&mut term, &mut interrupt) => cut(&started.node),
    };
    started.callers.stop();
    started.admin.stop();
    code
}

async fn next(term: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}

struct Started {
    node: Arc<Node>,
    callers: server::Running,
    admin: server::Running,
}

impl Started {
    async fn start(settings: Settings) -> Result<Started, (Code, String)> {
        let cannot_bind = |error: std::io::Error| (Code::CannotBind, error.to_string());
        let identity = tls::open(&settings.trust, LINK_TIMING)
            .map_err(|error| (Code::BadSetting, error.to_string()))?;
        if settings.trust == Trust::Development {
            tracing::warn!("links: development mode, any node may join");
        }
        let caller_side = server::bind(settings.listen).map_err(cannot_bind)?;
        let admin_side = server::bind(settings.admin).map_err(cannot_bind)?;
        let socket = UdpSocket::bind(settings.link).map_err(cannot_bind)?;
        let (threads, name) = (settings.threads, settings.name.clone());
        let (caller_address, admin_address) = (caller_side.address, admin_side.address);
        let cell = server::Cell::default();
        let (opened, open) = oneshot::channel();
        let parts = Mutex::new(Some((settings, socket, identity, opened)));
        let shared = cell.clone();
        let begin = move || {
            let parts = lock(&parts).take();
            let cell = shared.clone();
            async move {
                if let Some((settings, socket, identity, opened)) = parts {
                    let _ = opened.send(open_node(&cell, settings, socket, identity));
                }
            }
        };
        let callers = server::spawn(caller_side, threads, cell.clone(), callers::serve, begin);
        let callers = callers.map_err(cannot_bind)?;
        let node = open.await.unwrap_or_else(|_| Err(std::io::Error::other("no thread started")));
        let node = node.map_err(cannot_bind)?;
        let admin = server::spawn(admin_side, 1, cell, admin::serve, async || ());
        let admin = admin.map_err(cannot_bind)?;
        tracing::info!("node: {name} serves callers at {caller_address}, admin at {admin_address}");
        Ok(Started { node, callers, admin })
    }
}

/// Builds the node on the runtime of the calling thread, and starts its tasks there.
fn open_node(
    cell: &server::Cell,
    settings: Settings,
    socket: UdpSocket,
    identity: tls::Identity,
) -> std::io::Result<Arc<Node>> {
    let links = Links::open_on(socket, identity)?;
    let node = Arc::new(Node::new(settings, links, Handle::current()));
    spawn_tasks(&node);
    let _ = cell.set(node.clone());
    Ok(node)
}

fn spawn_tasks(node: &Arc<Node>) {
    tokio::spawn(peers::accept(node.clone()));
    tokio::spawn(gate::tick(node.clone()));
    tokio::spawn(gossip::tick(node.clone()));
    tokio::spawn(gossip::register(node.clone()));
    let node = node.clone();
    tokio::spawn(async move {
        gossip::join(&node).await;
        spread::ask_all(&node).await;
        node.set_joined();
        spread::poll(node).await;
    });
}

/// Refuses what is new, finishes what runs, and returns the exit code.
async fn drain(node: &Arc<Node>) -> i32 {
    tracing::info!("node: draining begins with {} exchanges", node.exchanges());
    node.note(Code::Draining, &node.settings.name, None);
    let told = lock(&node.members).leave();
    node.act(told);
    tokio::time::sleep(NOTICE).await;
    node.set_draining();
    let limit = node.settings.drain_limit;
    let idle = async {
        while node.exchanges() > 0 {
            let _ = tokio::time::timeout(Duration::from_millis(50), node.idle.notified()).await;
        }
    };
    match tokio::time::timeout(limit, idle).await {
        Ok(()) => {
            tracing::info!("node: drained");
            0
        }
        Err(_) => cut(node),
    }
}

/// Says what is cut, and returns the exit code.
fn cut(node: &Node) -> i32 {
    let code = Code::DrainLimit;
    tracing::error!("node: {code}: {} exchanges are cut", node.exchanges());
    code.exit()
}
