//! The node's settings: flags, then environment variables, checked as a whole.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use gumdrop::Options;
use wire::tls::Trust;
use world::Name;

/// The text above the options in the help.
pub const USAGE: &str = "\
Runs the node of one target: the entry that callers ask, and the guard in front of the target.

Usage:
    bamboowheel [options]

Every option may be given as an environment variable instead: --data-centre as
BAMBOOWHEEL_DATA_CENTRE, and so on. A flag goes before a variable. The node starts only when
all settings are right, and lists every fault otherwise. SIGTERM drains it: what runs is
finished, and the exit code is 0. After the drain limit, or on a second SIGTERM, it says what
it cut and exits with 5.

Options:";

/// The node's command line.
#[derive(Debug, Default, Options)]
pub struct Args {
    /// Print this help.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Print the version.
    #[options(help = "print the version", no_short)]
    pub version: bool,
    /// The node's name.
    #[options(help = "this node's name, one of the inventory's VMs", no_short, meta = "NAME")]
    pub name: Option<String>,
    /// The data centre.
    #[options(help = "the data centre of this VM", no_short, meta = "NAME")]
    pub data_centre: Option<String>,
    /// Callers' address.
    #[options(help = "where callers are served", no_short, meta = "IP:PORT")]
    pub listen: Option<String>,
    /// The links' address.
    #[options(help = "where other nodes reach this one", no_short, meta = "IP:PORT")]
    pub link: Option<String>,
    /// The admin address.
    #[options(
        help = "where the target announces itself and operators look (default 127.0.0.1:7002)",
        no_short,
        meta = "IP:PORT"
    )]
    pub admin: Option<String>,
    /// Other nodes' links.
    #[options(
        help = "links of nodes to join by when the store is down, with commas between",
        no_short,
        meta = "LIST"
    )]
    pub join: Option<String>,
    /// The certificate authority.
    #[options(help = "certificate of the links' authority, PEM", no_short, meta = "FILE")]
    pub link_ca: Option<String>,
    /// The node's certificate.
    #[options(help = "this node's certificate, PEM", no_short, meta = "FILE")]
    pub link_cert: Option<String>,
    /// The node's key.
    #[options(help = "this node's key, PEM", no_short, meta = "FILE")]
    pub link_key: Option<String>,
    /// Development links.
    #[options(
        help = "use a certificate authority that everyone knows; for development only",
        no_short
    )]
    pub dev_links: bool,
    /// The store's address.
    #[options(help = "address of the table service (default the region's own)", no_short)]
    pub store: Option<String>,
    /// The store's region.
    #[options(help = "region of the table service (default us-east-1)", no_short)]
    pub store_region: Option<String>,
    /// The table's name.
    #[options(help = "the table's name (default bamboowheel)", no_short)]
    pub store_table: Option<String>,
    /// The access key's id.
    #[options(help = "id of the store's access key", no_short)]
    pub store_access_key: Option<String>,
    /// The access key's secret.
    #[options(help = "secret of the store's access key; better given by variable", no_short)]
    pub store_secret_key: Option<String>,
    /// The longest wait for the store.
    #[options(help = "longest wait for one answer of the store (default 1000)", no_short)]
    pub store_timeout_ms: Option<String>,
    /// The drain limit.
    #[options(help = "longest time that draining may take (default 300)", no_short)]
    pub drain_limit_s: Option<String>,
    /// Threads for callers.
    #[options(help = "threads that serve callers, 1 to 64 (default 1)", no_short)]
    pub threads: Option<String>,
    /// The form of log lines.
    #[options(help = "form of log lines: plain or json (default plain)", no_short)]
    pub log_form: Option<String>,
    /// The level of log lines.
    #[options(
        help = "least level of log lines: error, warn, info, debug (default info)",
        no_short
    )]
    pub log_level: Option<String>,
}

/// The form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogForm {
    /// For people.
    Plain,
    /// One JSON object a line.
    Json,
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique among nodes.
    pub name: Name,
    /// One of the inventory's data centres.
    pub data_centre: Name,
    /// Where callers are served.
    pub listen: SocketAddr,
    /// Where other nodes reach this one.
    pub link: SocketAddr,
    /// Where the target and operators reach this node.
    pub admin: SocketAddr,
    /// Links of nodes to join by when the store is down.
    pub join: Vec<SocketAddr>,
    /// Where the links' certificates come from.
    pub trust: Trust,
    /// How the table is reached.
    pub store: table::Settings,
    /// The longest time that draining may take.
    pub drain_limit: Duration,
    /// Threads that serve callers, above zero.
    pub threads: usize,
    /// The form of log lines.
    pub log_form: LogForm,
    /// The least level of log lines.
    pub log_level: tracing::Level,
}

/// One wrong setting.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("--{flag}: {detail}")]
pub struct Fault {
    /// The setting's flag.
    pub flag: &'static str,
    /// What is wrong.
    pub detail: String,
}

impl Settings {
    /// Checks the flags and, where a flag is absent, the variable that `env` returns.
    pub fn check<F>(args: Args, env: F) -> Result<Settings, Vec<Fault>>
    where
        F: Fn(&str) -> Option<String>,
    {
        let mut check = Check { env, faults: Vec::new() };
        let settings = check.settings(args);
        match check.faults.is_empty() {
            true => Ok(settings),
            false => Err(check.faults),
        }
    }
}

struct Check<F> {
    env: F,
    faults: Vec<Fault>,
}

impl<F: Fn(&str) -> Option<String>> Check<F> {
    fn settings(&mut self, args: Args) -> Settings {
        Settings {
            name: self.name("name", args.name),
            data_centre: self.name("data-centre", args.data_centre),
            listen: self.needed("listen", args.listen, None, "an IP:PORT"),
            link: self.needed("link", args.link, None, "an IP:PORT"),
            admin: self.needed("admin", args.admin, Some("127.0.0.1:7002"), "an IP:PORT"),
            join: self.list("join", args.join),
            trust: self.trust(args.dev_links, args.link_ca, args.link_cert, args.link_key),
            store: table::Settings {
                endpoint: self.value("store", args.store),
                region: self.text("store-region", args.store_region, Some("us-east-1")),
                table: self.text("store-table", args.store_table, Some("bamboowheel")),
                access_key: self.text("store-access-key", args.store_access_key, None),
                secret_key: self.text("store-secret-key", args.store_secret_key, None),
                timeout: self.millis("store-timeout-ms", args.store_timeout_ms, 1_000, 60_000),
            },
            drain_limit: self.seconds("drain-limit-s", args.drain_limit_s, 300, 86_400),
            threads: self.number("threads", args.threads, 1, 64) as usize,
            log_form: self.log_form(args.log_form),
            log_level: self.needed("log-level", args.log_level, Some("info"), "a level"),
        }
    }

    fn fault(&mut self, flag: &'static str, detail: impl ToString) {
        self.faults.push(Fault { flag, detail: detail.to_string() });
    }

    fn value(&self, flag: &str, given: Option<String>) -> Option<String> {
        let variable = format!("BAMBOOWHEEL_{}", flag.replace('-', "_").to_uppercase());
        given.or_else(|| (self.env)(&variable)).filter(|value| !value.is_empty())
    }

    fn text(&mut self, flag: &'static str, given: Option<String>, other: Option<&str>) -> String {
        let value = self.value(flag, given).or(other.map(str::to_owned));
        if value.is_none() {
            self.fault(flag, "is needed");
        }
        value.unwrap_or_default()
    }

    fn name(&mut self, flag: &'static str, given: Option<String>) -> Name {
        self.text(flag, given, None).into()
    }

    fn needed<T>(
        &mut self,
        flag: &'static str,
        given: Option<String>,
        other: Option<&str>,
        kind: &str,
    ) -> T
    where
        T: FromStr + Placeholder,
    {
        let text = self.text(flag, given, other);
        match text.parse() {
            Ok(value) => value,
            Err(_) if text.is_empty() => T::placeholder(),
            Err(_) => {
                self.fault(flag, format!("{text:?} is not {kind}"));
                T::placeholder()
            }
        }
    }

    fn list(&mut self, flag: &'static str, given: Option<String>) -> Vec<SocketAddr> {
        let text = self.value(flag, given).unwrap_or_default();
        let mut list = Vec::new();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match part.parse() {
                Ok(address) => list.push(address),
                Err(_) => self.fault(flag, format!("{part:?} is not an IP:PORT")),
            }
        }
        list
    }

    fn number(&mut self, flag: &'static str, given: Option<String>, other: u64, most: u64) -> u64 {
        let Some(text) = self.value(flag, given) else { return other };
        match text.parse() {
            Ok(number) if (1..=most).contains(&number) => number,
            _ => {
                self.fault(flag, format!("{text:?} is not a number from 1 to {most}"));
                other
            }
        }
    }

    fn millis(
        &mut self,
        flag: &'static str,
        given: Option<String>,
        other: u64,
        most: u64,
    ) -> Duration {
        Duration::from_millis(self.number(flag, given, other, most))
    }

    fn seconds(
        &mut self,
        flag: &'static str,
        given: Option<String>,
        other: u64,
        most: u64,
    ) -> Duration {
        Duration::from_secs(self.number(flag, given, other, most))
    }

    fn trust(
        &mut self,
        dev: bool,
        ca: Option<String>,
        cert: Option<String>,
        key: Option<String>,
    ) -> Trust {
        let dev = dev || self.value("dev-links", None).is_some_and(|value| value == "true");
        let files = [("link-ca", ca), ("link-cert", cert), ("link-key", key)];
        let [ca, cert, key] = files.map(|(flag, given)| (flag, self.value(flag, given)));
        if dev {
            let given = [&ca, &cert, &key].into_iter().find(|(_, file)| file.is_some());
            if let Some((flag, _)) = given {
                self.fault(flag, "goes without --dev-links");
            }
            return Trust::Development;
        }
        let [ca, cert, key] = [ca, cert, key].map(|(flag, file)| match file {
            Some(file) => PathBuf::from(file),
            None => {
                self.fault(flag, "is needed, or --dev-links");
                PathBuf::new()
            }
        });
        Trust::Files { ca, cert, key }
    }

    fn log_form(&mut self, given: Option<String>) -> LogForm {
        match &*self.text("log-form", given, Some("plain")) {
            "plain" => LogForm::Plain,
            "json" => LogForm::Json,
            other => {
                self.fault("log-form", format!("{other:?} is not plain or json"));
                LogForm::Plain
            }
        }
    }
}

/// Stands in for a setting that is wrong, while the others are checked.
trait Placeholder {
    fn placeholder() -> Self;
}

impl Placeholder for SocketAddr {
    fn placeholder() -> SocketAddr {
        SocketAddr::from(([0, 0, 0, 0], 0))
    }
}

impl Placeholder for tracing::Level {
    fn placeholder() -> tracing::Level {
        tracing::Level::INFO
    }
}
