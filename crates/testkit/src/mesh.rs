//! A mesh of separate processes on loopback addresses: the platform's stand-in, targets, and a node
//! beside each target.

use std::fs::File;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;
use world::Class;

use crate::client;

/// The port at which nodes serve callers.
const CALLERS: u16 = 7000;
/// The port of the links.
const LINKS: u16 = 7001;
/// The port at which targets and operators reach a node.
const ADMIN: u16 = 7002;
/// The port of targets.
const TARGETS: u16 = 8000;
/// The port of the table.
const TABLE: u16 = 8001;
/// The longest wait for processes to start.
const START: Duration = Duration::from_secs(30);

/// One service of a tenant.
#[derive(Clone, Debug)]
pub struct ServiceSize {
    /// Its name, and its route after a slash.
    pub name: String,
    /// Its targets.
    pub targets: usize,
    /// The median service time in microseconds.
    pub work_us: u64,
    /// The class of its requests.
    pub class: Class,
    /// Whether its POST requests need an idempotency key and run at most once.
    pub keyed: bool,
}

/// A user: what runs where.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its data centres.
    pub data_centres: Vec<String>,
    /// Its services. Those of the two users are what is read, booked and uploaded, in this order.
    pub services: Vec<ServiceSize>,
    /// The slots of each target.
    pub slots: u32,
}

/// Returns one of the two users with the sizes of the brief, by name.
pub fn tenant(name: &str) -> Option<Tenant> {
    let service = |(name, targets, work_us): (&str, usize, u64), class, keyed| ServiceSize {
        name: name.to_owned(),
        targets,
        work_us,
        class,
        keyed,
    };
    let tenant = |name: &str, centres: &[&str], sizes: [(&str, usize, u64); 3], slots| Tenant {
        name: name.to_owned(),
        data_centres: centres.iter().map(|name| name.to_string()).collect(),
        services: vec![
            service(sizes[0], Class::Normal, false),
            service(sizes[1], Class::Favoured, true),
            service(sizes[2], Class::Bulk, false),
        ],
        slots,
    };
    match name {
        "riddim" => Some(tenant(
            name,
            &["kingston", "mandeville", "montego"],
            [("listings", 6, 5_000), ("bookings", 4, 8_000), ("auditions", 3, 10_000)],
            12,
        )),
        "kaiviti" => Some(tenant(
            name,
            &["suva", "lami", "nasinu", "nausori"],
            [("menus", 6, 4_000), ("orders", 5, 8_000), ("files", 4, 10_000)],
            14,
        )),
        _ => None,
    }
}

/// What a cold target of the stand-ins bears at once.
pub const COLD_SLOTS: u32 = 2;
/// Answers after which it bears one more.
pub const WARM_ANSWERS: u32 = 4;

/// One VM: a target and the node beside it.
#[derive(Debug)]
pub struct VmProcess {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The service of its target.
    pub service: ServiceSize,
    /// Its address.
    pub address: IpAddr,
    /// Where its target notes its runs.
    pub runs: PathBuf,
    node: Option<Child>,
    target: Option<Child>,
}

impl VmProcess {
    /// Returns where the node serves callers.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.address, CALLERS)
    }

    /// Returns the node's admin address.
    pub fn admin(&self) -> SocketAddr {
        SocketAddr::new(self.address, ADMIN)
    }

    /// Returns where the target takes requests.
    pub fn target(&self) -> SocketAddr {
        SocketAddr::new(self.address, TARGETS)
    }

    /// Returns the node's process id.
    pub fn node_id(&self) -> Option<u32> {
        self.node.as_ref().map(Child::id)
    }

    /// Returns the target's process id.
    pub fn target_id(&self) -> Option<u32> {
        self.target.as_ref().map(Child::id)
    }
}

/// A running mesh. Dropping it kills what it started.
#[derive(Debug)]
pub struct Mesh {
    /// The user.
    pub tenant: Tenant,
    /// Its VMs.
    pub vms: Vec<VmProcess>,
    /// Where the table's stand-in serves.
    pub table: SocketAddr,
    binaries: PathBuf,
    folder: PathBuf,
    platform: Option<Child>,
}

impl Mesh {
    /// Starts a mesh in `folder` on addresses 127.`net`.x.y, with programs from `binaries`.
    pub async fn start(
        tenant: Tenant,
        net: u8,
        seed: u64,
        binaries: &Path,
        folder: &Path,
    ) -> io::Result<Mesh> {
        std::fs::create_dir_all(folder)?;
        let mut mesh = Mesh {
            vms: layout(&tenant, net, folder),
            table: SocketAddr::from((Ipv4Addr::new(127, net, 0, 1), TABLE)),
            tenant,
            binaries: binaries.to_owned(),
            folder: folder.to_owned(),
            platform: None,
        };
        let address = mesh.table.to_string();
        mesh.platform = Some(mesh.spawn("examples/table", "table", &["--address", &address])?);
        until(START, || async { client::get(address_of(&address), "/stats").await.is_ok() })
            .await?;
        std::fs::write(mesh.inventory_path(), inventory(&mesh.tenant, &mesh.vms))?;
        let path = mesh.inventory_path().display().to_string();
        mesh.ctl(&["apply", &path])?;
        for at in 0..mesh.vms.len() {
            mesh.start_target(at, seed)?;
            mesh.start_node(at)?;
        }
        mesh.wait_ready().await?;
        Ok(mesh)
    }

    /// Waits until every node is ready and knows every target.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let count = self.vms.len();
        until(START, || async {
            for vm in &self.vms {
                let Some(status) = self.status(vm).await else { return false };
                let others = status["members"].as_array().map_or(0, |members| {
                    let is_up = |member: &&Value| {
                        member["health"] == "alive" && !member["service"].is_null()
                    };
                    members.iter().filter(is_up).count()
                });
                if status["ready"] != true || others + 1 < count || status["target"].is_null() {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// Returns what a node says of itself.
    pub async fn status(&self, vm: &VmProcess) -> Option<Value> {
        let page = client::get(vm.admin(), "/status").await.ok()?;
        serde_json::from_slice(&page.body).ok()
    }

    /// Starts the target of a VM.
    pub fn start_target(&mut self, at: usize, seed: u64) -> io::Result<()> {
        let vm = &self.vms[at];
        let (address, node) = (vm.target().to_string(), vm.admin().to_string());
        let (slots, work) = (self.tenant.slots.to_string(), vm.service.work_us.to_string());
        let (cold, warm) = (COLD_SLOTS.to_string(), WARM_ANSWERS.to_string());
        let seed = (seed + at as u64).to_string();
        let runs = vm.runs.display().to_string();
        let name = format!("{}-target", vm.name);
        let flags = [
            ("--name", vm.name.as_str()),
            ("--service", vm.service.name.as_str()),
            ("--address", &address),
            ("--node", &node),
            ("--slots", &slots),
            ("--cold-slots", &cold),
            ("--warm-answers", &warm),
            ("--work-us", &work),
            ("--seed", &seed),
            ("--runs", &runs),
        ];
        let flags: Vec<&str> = flags.into_iter().flat_map(|(flag, value)| [flag, value]).collect();
        self.vms[at].target = Some(self.spawn("examples/target", &name, &flags)?);
        Ok(())
    }

    /// Starts the node of a VM.
    pub fn start_node(&mut self, at: usize) -> io::Result<()> {
        let vm = &self.vms[at];
        let callers = vm.callers().to_string();
        let links = SocketAddr::new(vm.address, LINKS).to_string();
        let (admin, table) = (vm.admin().to_string(), format!("http://{}", self.table));
        let flags = [
            ("--name", vm.name.as_str()),
            ("--data-centre", vm.data_centre.as_str()),
            ("--listen", &callers),
            ("--link", &links),
            ("--admin", &admin),
            ("--store", &table),
            ("--store-access-key", "stand-in"),
            ("--store-secret-key", "stand-in"),
        ];
        let mut flags: Vec<&str> =
            flags.into_iter().flat_map(|(flag, value)| [flag, value]).collect();
        flags.push("--dev-links");
        let name = vm.name.clone();
        self.vms[at].node = Some(self.spawn("bamboowheel", &name, &flags)?);
        Ok(())
    }

    /// Kills the node of a VM without notice.
    pub fn kill_node(&mut self, at: usize) {
        end(&mut self.vms[at].node);
    }

    /// Kills the target of a VM without notice.
    pub fn kill_target(&mut self, at: usize) {
        end(&mut self.vms[at].target);
    }

    /// Sends a signal to a process, by its id.
    pub fn signal(&self, id: u32, name: &str) -> io::Result<()> {
        let status = Command::new("kill").args(["-s", name, &id.to_string()]).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other(format!("kill -s {name} {id} failed"))),
        }
    }

    /// Waits for the node of a VM to end and returns its exit code.
    pub fn wait_node(&mut self, at: usize) -> io::Result<Option<i32>> {
        match self.vms[at].node.take() {
            Some(mut node) => Ok(node.wait()?.code()),
            None => Ok(None),
        }
    }

    /// Runs the operators' program and returns what it printed.
    pub fn ctl(&self, arguments: &[&str]) -> io::Result<String> {
        let output = Command::new(self.binaries.join("bamboowheelctl"))
            .args(["--store", &format!("http://{}", self.table)])
            .args(["--store-access-key", "stand-in", "--store-secret-key", "stand-in"])
            .args(arguments)
            .output()?;
        match output.status.success() {
            true => Ok(String::from_utf8_lossy(&output.stdout).into_owned()),
            false => Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned())),
        }
    }

    fn inventory_path(&self) -> PathBuf {
        self.folder.join("inventory.toml")
    }

    fn spawn(&self, program: &str, name: &str, arguments: &[&str]) -> io::Result<Child> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        Command::new(self.binaries.join(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            end(&mut vm.node);
            end(&mut vm.target);
        }
        end(&mut self.platform);
    }
}

fn end(process: &mut Option<Child>) {
    if let Some(mut process) = process.take() {
        let _ = process.kill();
        let _ = process.wait();
    }
}

fn address_of(text: &str) -> SocketAddr {
    text.parse().unwrap_or(SocketAddr::from(([127, 0, 0, 1], TABLE)))
}

/// Places the targets of each service round the data centres.
fn layout(tenant: &Tenant, net: u8, folder: &Path) -> Vec<VmProcess> {
    let mut vms = Vec::new();
    for service in &tenant.services {
        for number in 0..service.targets {
            let dc = number % tenant.data_centres.len();
            let name = format!("{}-{}", service.name, number + 1);
            vms.push(VmProcess {
                data_centre: tenant.data_centres[dc].clone(),
                service: service.clone(),
                address: IpAddr::from([127, net, dc as u8 + 1, vms.len() as u8 + 1]),
                runs: folder.join(format!("{name}.runs")),
                name,
                node: None,
                target: None,
            });
        }
    }
    vms
}

/// Writes the operators' document of a tenant.
fn inventory(tenant: &Tenant, vms: &[VmProcess]) -> String {
    let mut text = format!("tenant = \"{}\"\n", tenant.name);
    for name in &tenant.data_centres {
        text += &format!("\n[[data_centre]]\nname = \"{name}\"\nregion = \"home\"\n");
    }
    for vm in vms {
        let (name, dc, address) = (&vm.name, &vm.data_centre, vm.address);
        text += &format!(
            "\n[[vm]]\nname = \"{name}\"\ndata_centre = \"{dc}\"\naddress = \"{address}\"\n"
        );
    }
    for ServiceSize { name, class, keyed, .. } in &tenant.services {
        text += &format!(
            "\n[[service]]\nname = \"{name}\"\nroute = \"/{name}\"\nclass = \"{class}\"\n\
             deadline_ms = 2000\ncold_slots = {COLD_SLOTS}\nwarm_answers = {WARM_ANSWERS}\n"
        );
        if *keyed {
            text += &format!(
                "\n[[contract]]\nservice = \"{name}\"\nmethod = \"POST\"\npath = \"/{name}\"\n\
                 never_repeat = true\nkey_required = true\n"
            );
        }
        text += &format!(
            "\n[[contract]]\nservice = \"{name}\"\npath = \"/{name}/check\"\nclass = \"internal\"\n"
        );
    }
    text
}

/// Waits until a condition holds.
pub async fn until<F, Fut>(limit: Duration, holds: F) -> io::Result<()>
where
    F: Fn() -> Fut,
    Fut: Future<Output = bool>,
{
    let start = Instant::now();
    while start.elapsed() < limit {
        if holds().await {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(io::Error::new(io::ErrorKind::TimedOut, "the mesh did not come up in time"))
}
