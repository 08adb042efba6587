//! What the cases share: the record of a run and its end.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use standin::deployment::Deployment;

/// The exit status if the rule held.
pub const HELD: i32 = 0;
/// The exit status if the rule was broken.
pub const BROKEN: i32 = 1;
/// The exit status if the case could not run.
pub const NOT_RUN: i32 = 2;

/// `heartbeatS` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// One run of a case.
pub struct Case {
    /// The node's program.
    pub program: String,
    /// Whether the disruption is part of the run.
    pub trouble: bool,
    record: PathBuf,
    begun: Instant,
    text: String,
}

impl Case {
    /// Starts a run with the arguments of the script: the node's program and the record's path.
    pub fn open() -> Case {
        let mut arguments = std::env::args().skip(1);
        let (Some(program), Some(record)) = (arguments.next(), arguments.next()) else {
            eprintln!("usage: PROGRAM RECORD");
            std::process::exit(NOT_RUN);
        };
        if !std::path::Path::new(&program).exists() {
            eprintln!("the node's program is not built");
            std::process::exit(NOT_RUN);
        }
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let (record, begun) = (record.into(), Instant::now());
        let mut case = Case { program, trouble, record, begun, text: String::new() };
        case.note(format!("disruption: {}", if trouble { "yes" } else { "no" }));
        case
    }

    /// Adds a line to the record.
    pub fn note(&mut self, line: impl AsRef<str>) {
        let line = format!("{:7.3} s  {}", self.begun.elapsed().as_secs_f64(), line.as_ref());
        println!("{line}");
        let _ = writeln!(self.text, "{line}");
    }

    /// Writes the record and returns the exit status.
    pub fn finish(mut self, status: i32, verdict: &str) -> i32 {
        self.note(verdict);
        if let Err(error) = std::fs::write(&self.record, &self.text) {
            eprintln!("cannot write the record: {error}");
            return NOT_RUN;
        }
        status
    }
}

/// Counts answers by status. A connection that ended without an answer counts as 0.
pub fn count(statuses: impl IntoIterator<Item = u16>) -> String {
    let mut counts = BTreeMap::<u16, usize>::new();
    for status in statuses {
        *counts.entry(status).or_default() += 1;
    }
    let texts: Vec<String> = counts
        .into_iter()
        .map(|(status, number)| match status {
            0 => format!("{number} without an answer"),
            _ => format!("{number} with {status}"),
        })
        .collect();
    if texts.is_empty() { "none".to_owned() } else { texts.join(", ") }
}

/// Waits for some time, while the targets of the given VMs go on with their heartbeats.
pub async fn rest(deployment: &mut Deployment, time: Duration, vms: &[usize]) {
    let until = Instant::now() + time;
    loop {
        for at in vms {
            deployment.vms[*at].heartbeat("ready", 0.0).await;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(HEARTBEAT)).await;
    }
}
