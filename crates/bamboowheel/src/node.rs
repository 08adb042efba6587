//! The state of a node, shared by its tasks.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use policy::{ActiveConfig, Entry, Health, Member, MemberAction, Members, Quarantine, Route, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use table::Dynamo;
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use world::{Code, Config, Inventory, Name};
use xxhash_rust::xxh3::xxh3_64;

use crate::events::Events;
use crate::gate::Gate;
use crate::ledger::Ledger;
use crate::links::Links;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::settings::Settings;
use runtime::{Clock, wall_ms};

/// The entry with the generator that its choices draw from.
#[derive(Debug)]
pub struct Choosing {
    /// The routing state.
    pub entry: Entry,
    /// Seeded anew at each start.
    pub rng: SmallRng,
}

/// One node.
#[derive(Debug)]
pub struct Node {
    /// Checked settings.
    pub settings: Settings,
    /// When the process started, in milliseconds since 1970.
    pub started: u64,
    /// Behind every decision.
    pub clock: Clock,
    /// The runtime that drives links, targets and the store: that of the first thread of callers,
    /// so that a call crosses no threads on its way.
    runtime: Handle,
    /// The routing state.
    pub choosing: Mutex<Choosing>,
    /// The guard and those who wait at it.
    pub gate: Gate,
    /// Other nodes.
    pub members: Mutex<Members>,
    /// The configuration in force.
    pub versions: Mutex<ActiveConfig>,
    /// Requests that may crash their targets.
    pub suspects: Mutex<Quarantine>,
    /// The inventory of the configuration in force, with its marks.
    inventory: RwLock<Arc<Inventory>>,
    /// Links to other nodes.
    pub links: Links,
    /// Connections to the target.
    pub pool: Pool,
    /// The platform's table.
    pub table: Arc<Dynamo>,
    /// Writes of idempotency keys.
    pub ledger: Ledger,
    /// Decisions of late.
    pub events: Events,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    /// Set once the node has asked the table or peers for members and configuration.
    joined: AtomicBool,
    /// Set once the node shuts down.
    draining: AtomicBool,
    /// Exchanges with callers and peers under way.
    busy: AtomicUsize,
    /// Told whenever an exchange ends.
    pub idle: Notify,
    requests: AtomicU64,
}

impl Node {
    /// Builds the state of a node that knows nothing yet.
    pub fn new(settings: Settings, links: Links, runtime: Handle) -> Node {
        let clock = Clock::start();
        let started = wall_ms();
        let me = Member {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            address: links.local(settings.link),
            service: None,
            started,
            incarnation: started,
            health: Health::Alive,
        };
        let metrics = Arc::new(Metrics::default());
        let table = Arc::new(Dynamo::open(settings.store.clone()));
        let seed = xxh3_64(settings.name.as_bytes()) ^ started ^ u64::from(std::process::id());
        let choosing = Choosing {
            entry: Entry::new(settings.name.clone()),
            rng: SmallRng::seed_from_u64(seed),
        };
        Node {
            started,
            clock,
            choosing: Mutex::new(choosing),
            gate: Gate::new(clock.now()),
            members: Mutex::new(Members::new(clock.now(), me)),
            versions: Mutex::new(ActiveConfig::default()),
            suspects: Mutex::new(Quarantine::default()),
            inventory: RwLock::default(),
            links,
            pool: Pool::default(),
            ledger: Ledger::spawn(table.clone(), metrics.clone(), &runtime),
            table,
            events: Events::default(),
            metrics,
            joined: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            busy: AtomicUsize::new(0),
            idle: Notify::new(),
            requests: AtomicU64::new(seed),
            settings,
            runtime,
        }
    }

    /// Returns the time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Starts a task.
    pub fn spawn<F>(&self, task: F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        self.runtime.spawn(task)
    }

    /// Returns the inventory in force.
    pub fn inventory(&self) -> Arc<Inventory> {
        self.inventory.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns a number that no other request or attempt of any node has.
    pub fn unique(&self) -> u64 {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        let mut seed = self.settings.name.as_bytes().to_vec();
        seed.extend(self.started.to_le_bytes());
        seed.extend(count.to_le_bytes());
        xxh3_64(&seed)
    }

    /// Notes a decision.
    pub fn note(&self, code: Code, about: impl ToString, request: Option<u64>) {
        self.metrics.decision(code);
        self.events.note(code, about, request);
    }

    /// Returns whether the node shuts down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Begins to shut down.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.gate.drain();
    }

    /// Counts an exchange until the returned value is dropped.
    pub fn busy(self: &Arc<Node>) -> Busy {
        self.busy.fetch_add(1, Ordering::SeqCst);
        Busy { node: self.clone() }
    }

    /// Returns how many exchanges are under way.
    pub fn exchanges(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }

    /// Returns whether a configuration is in force and requests can be served.
    pub fn is_ready(&self) -> bool {
        let joined = self.joined.load(Ordering::SeqCst);
        joined && !self.is_draining() && lock(&self.versions).config().version > 0
    }

    /// Notes that the node has asked the table or peers for members and configuration.
    pub fn set_joined(&self) {
        self.joined.store(true, Ordering::SeqCst);
    }

    /// Puts a configuration in force, where it is newer than the one in force.
    pub fn apply(self: &Arc<Node>, config: Config) {
        let inventory = match config.inventory() {
            Ok(inventory) => Arc::new(inventory),
            Err(faults) => {
                tracing::error!("config: version {} is faulty: {faults:?}", config.version);
                return;
            }
        };
        let version = config.version;
        {
            let mut versions = lock(&self.versions);
            if !versions.update(config) {
                return;
            }
            *self.inventory.write().unwrap_or_else(PoisonError::into_inner) = inventory.clone();
        }
        tracing::info!("config: version {version} is in force");
        self.compare(&inventory);
        self.note(Code::ConfigApplied, version, None);
        self.metrics.version.set(version);
        self.gate.configure(self, &inventory);
        self.reroute();
        let told = {
            let mut members = lock(&self.members);
            members.set_version(version);
            members.notify_fingers()
        };
        self.act(told);
    }

    /// Warns where the inventory says something else of this VM than the settings do.
    fn compare(&self, inventory: &Inventory) {
        let Settings { name, data_centre, .. } = &self.settings;
        match inventory.vm(name) {
            None => tracing::warn!("config: the inventory has no VM {name}"),
            Some(vm) if vm.data_centre != *data_centre => {
                tracing::warn!("config: the inventory has {name} in {}", vm.data_centre);
            }
            Some(_) => {}
        }
    }

    /// Works the routes of every service out anew, from the members and the inventory.
    pub fn reroute(&self) {
        let inventory = self.inventory();
        let members = lock(&self.members);
        let here = &self.settings.data_centre;
        let mut routes: Vec<(Name, Route)> = Vec::new();
        for member in members.up().chain(std::iter::once(members.local_member())) {
            let Some(service) = &member.service else { continue };
            if inventory.is_out(&member.data_centre) {
                continue;
            }
            let is_me = member.name == self.settings.name;
            let rtt_us = if is_me { 0 } else { inventory.rtt_us(here, &member.data_centre) };
            routes.push((service.clone(), Route { target: member.name.clone(), rtt_us }));
        }
        self.metrics.members.set(members.up().count() as i64);
        drop(members);
        routes.sort_by(|a, b| a.0.cmp(&b.0));
        let mut choosing = lock(&self.choosing);
        let names: Vec<Name> = inventory.services.iter().map(|s| s.name.clone()).collect();
        choosing.entry.retain(&names);
        for service in names {
            let from = routes.partition_point(|(name, _)| *name < service);
            let to = routes.partition_point(|(name, _)| *name <= service);
            let own = routes[from..to].iter().map(|(_, route)| route.clone()).collect();
            choosing.entry.set_routes(&service, own);
        }
    }

    /// Does what the membership decided.
    pub fn act(self: &Arc<Node>, actions: Vec<MemberAction>) {
        let mut changed = false;
        for action in actions {
            match action {
                MemberAction::Send(_, address, message) => self.links.tell(self, address, message),
                MemberAction::Sync(_, address) => {
                    self.spawn(crate::gossip::sync(self.clone(), address));
                }
                MemberAction::CloseLink(address) => self.links.close(address),
                MemberAction::Event(code, name) => self.member_event(code, name),
                MemberAction::Changed => changed = true,
            }
        }
        if changed {
            self.reroute();
        }
    }

    /// Returns where a member is reached.
    pub fn address_of(&self, member: &str) -> Option<SocketAddr> {
        lock(&self.members).member(member).map(|member| member.address)
    }

    fn member_event(&self, code: Code, name: Name) {
        tracing::info!("members: {name}: {}", code.text());
        let member = lock(&self.members).member(&name).cloned();
        // A node that left still finishes what it has.
        if let Some(dead) = member.filter(|member| member.health == Health::Dead) {
            self.links.close(dead.address);
        }
        self.note(code, name, None);
    }
}

/// An exchange under way.
#[derive(Debug)]
pub struct Busy {
    node: Arc<Node>,
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.node.busy.fetch_sub(1, Ordering::SeqCst);
        self.node.idle.notify_waiters();
    }
}

/// Locks state whose every change is whole, so that a panic elsewhere does no harm to it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
