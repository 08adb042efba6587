//! Reads a scenario. Every error names its line and column.

use std::time::Duration;

use world::Class;

use crate::mesh::{ServiceSize, Tenant};
use crate::table::Faults as StoreFaults;
use crate::target::Faults as TargetFaults;

/// A scenario: what runs where, and what happens.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// What runs where.
    pub tenant: Tenant,
    /// What happens, in order.
    pub steps: Vec<Step>,
}

/// One step.
#[derive(Clone, Debug)]
pub struct Step {
    /// The line, from 1.
    pub line: usize,
    /// What happens.
    pub action: Action,
}

/// What kind of request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A GET request.
    Get,
    /// A POST request with a short body.
    Post,
    /// A POST request whose body takes its time.
    Upload,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Send {
    /// Its name in the scenario.
    pub id: String,
    /// What kind it is.
    pub shape: Shape,
    /// The service.
    pub service: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The VM whose node is asked; the first one where absent.
    pub via: Option<String>,
    /// The time the target works on it; the target's own where absent.
    pub work: Option<Duration>,
    /// Whether it crashes its target.
    pub crash: bool,
    /// The time its body takes.
    pub over: Duration,
    /// Whether the next step begins before its answer.
    pub background: bool,
}

/// A process beside another on one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// The node.
    Node,
    /// The target.
    Target,
}

/// What is expected of a request's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// Whole and right.
    Ok,
    /// Refused with "not run".
    NotRun,
    /// Refused or failed without "not run".
    MayHaveRun,
    /// This result code.
    Code(u16),
    /// The answer of an earlier run.
    Stored,
}

/// What happens in one step.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request.
    Send(Send),
    /// Wait for the answer of a request sent in the background, at most this long.
    Finish(String),
    /// Check a request's answer.
    Expect(String, Expected),
    /// Check how often a key or a request ran.
    Runs(String, u64),
    /// Check that a key or a request ran at most this often.
    RunsAtMost(String, u64),
    /// Check how many targets are dead.
    TargetsLost(u64),
    /// Set the store's faults.
    Store(StoreFaults),
    /// Set a target's faults.
    Target(String, TargetFaults),
    /// Kill a process.
    Kill(Process, String),
    /// Start a process again.
    Start(Process, String),
    /// Stop a process without ending it.
    Freeze(Process, String),
    /// Let a frozen process go on.
    Thaw(Process, String),
    /// Ask a node to drain and end.
    Stop(String),
    /// Wait for a node's end and check its exit code.
    Exits(String, i32),
    /// Mark a data centre as out.
    Out(String),
    /// Mark a data centre as in.
    In(String),
    /// Several operators mark a data centre as out at once.
    Race(u32, String),
    /// Wait until this version is in force on every live node, at most 4 seconds.
    Version(u64),
    /// Check that no work began in a data centre since the last mark.
    NoWork(String),
    /// Remember the time for `NoWork`.
    Mark,
    /// Wait until every live node knows every other.
    Ready,
    /// Wait.
    Wait(Duration),
}

/// Why a scenario cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// What is wrong there.
    pub detail: String,
}

impl std::fmt::Display for Error {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}:{}: {}", self.line, self.column, self.detail)
    }
}

/// The words of one line that were not read yet.
struct Words<'l> {
    line: usize,
    words: Vec<(usize, &'l str)>,
    at: usize,
    /// The column after the last character.
    end: usize,
}

impl<'l> Words<'l> {
    fn new(line: usize, text: &'l str) -> Words<'l> {
        let text = text.split('#').next().unwrap_or_default();
        let column = |word: &str| {
            let before = word.as_ptr() as usize - text.as_ptr() as usize;
            text[..before].chars().count() + 1
        };
        let words = text.split_whitespace().map(|word| (column(word), word)).collect();
        Words { line, words, at: 0, end: text.trim_end().chars().count() + 1 }
    }

    fn fail<T>(&self, column: usize, detail: impl Into<String>) -> Result<T, Error> {
        Err(Error { line: self.line, column, detail: detail.into() })
    }

    fn take(&mut self) -> Option<(usize, &'l str)> {
        let word = self.words.get(self.at).copied();
        self.at += usize::from(word.is_some());
        word
    }

    fn word(&mut self, what: &str) -> Result<(usize, &'l str), Error> {
        match self.take() {
            Some(word) => Ok(word),
            None => self.fail(self.end, format!("{what} is missing")),
        }
    }

    fn name(&mut self, what: &str) -> Result<String, Error> {
        Ok(self.word(what)?.1.to_owned())
    }

    fn number<N: std::str::FromStr>(&mut self, what: &str) -> Result<N, Error> {
        let (column, word) = self.word(what)?;
        match word.parse() {
            Ok(number) => Ok(number),
            Err(_) => self.fail(column, format!("{word:?} is not {what}")),
        }
    }

    fn duration(&mut self) -> Result<Duration, Error> {
        let (column, word) = self.word("a duration")?;
        let parsed = match (word.strip_suffix("ms"), word.strip_suffix('s')) {
            (Some(ms), _) => ms.parse().map(Duration::from_millis).ok(),
            (None, Some(s)) => s.parse().map(Duration::from_secs).ok(),
            (None, None) => None,
        };
        match parsed {
            Some(duration) => Ok(duration),
            None => self.fail(column, format!("{word:?} is not a duration such as 20ms or 3s")),
        }
    }

    fn process(&mut self) -> Result<Process, Error> {
        match self.word("node or target")? {
            (_, "node") => Ok(Process::Node),
            (_, "target") => Ok(Process::Target),
            (column, word) => self.fail(column, format!("{word:?} is not node or target")),
        }
    }

    fn done(&mut self) -> Result<(), Error> {
        match self.take() {
            None => Ok(()),
            Some((column, word)) => self.fail(column, format!("{word:?} is one word too many")),
        }
    }
}

/// Reads a scenario.
pub fn parse(text: &str) -> Result<Scenario, Error> {
    let mut tenant = Tenant {
        name: "scenario".to_owned(),
        data_centres: vec!["here".to_owned()],
        services: Vec::new(),
        slots: 4,
    };
    let mut steps = Vec::new();
    for (at, line) in text.lines().enumerate() {
        let mut words = Words::new(at + 1, line);
        let Some((column, first)) = words.take() else { continue };
        match first {
            "data-centres" => {
                tenant.data_centres = words.words[1..].iter().map(|(_, w)| w.to_string()).collect();
                if tenant.data_centres.is_empty() {
                    return words.fail(words.end, "a name is missing");
                }
                words.at = words.words.len();
            }
            "slots" => tenant.slots = words.number("a number of slots")?,
            "service" => tenant.services.push(service(&mut words)?),
            _ => {
                let action = action(&mut words, column, first)?;
                steps.push(Step { line: at + 1, action });
            }
        }
        words.done()?;
    }
    if tenant.services.is_empty() {
        return Err(Error { line: 1, column: 1, detail: "no service is set up".to_owned() });
    }
    Ok(Scenario { tenant, steps })
}

fn service(words: &mut Words<'_>) -> Result<ServiceSize, Error> {
    let name = words.name("a service's name")?;
    let mut service =
        ServiceSize { name, targets: 1, work_us: 2_000, class: Class::Normal, keyed: false };
    while let Some((column, word)) = words.take() {
        match word {
            "targets" => service.targets = words.number("a number of targets")?,
            "work" => service.work_us = words.duration()?.as_micros() as u64,
            "keyed" => service.keyed = true,
            other => return words.fail(column, format!("{other:?} is not targets, work or keyed")),
        }
    }
    Ok(service)
}

fn action(words: &mut Words<'_>, column: usize, first: &str) -> Result<Action, Error> {
    Ok(match first {
        "send" => Action::Send(send(words)?),
        "finish" => Action::Finish(words.name("a request")?),
        "expect" => Action::Expect(words.name("a request")?, expected(words)?),
        "runs" => {
            let name = words.name("a key or request")?;
            match words.word("is or at-most")? {
                (_, "is") => Action::Runs(name, words.number("a count")?),
                (_, "at-most") => Action::RunsAtMost(name, words.number("a count")?),
                (column, word) => {
                    return words.fail(column, format!("{word:?} is not is or at-most"));
                }
            }
        }
        "targets-lost" => Action::TargetsLost(words.number("a count")?),
        "store" => Action::Store(store(words)?),
        "target" => Action::Target(words.name("a VM")?, target(words)?),
        "kill" => Action::Kill(words.process()?, words.name("a VM")?),
        "start" => Action::Start(words.process()?, words.name("a VM")?),
        "freeze" => Action::Freeze(words.process()?, words.name("a VM")?),
        "thaw" => Action::Thaw(words.process()?, words.name("a VM")?),
        "stop" => Action::Stop(words.name("a VM")?),
        "exits" => Action::Exits(words.name("a VM")?, words.number("an exit code")?),
        "out" => Action::Out(words.name("a data centre")?),
        "in" => Action::In(words.name("a data centre")?),
        "race" => Action::Race(words.number("a count")?, words.name("a data centre")?),
        "version" => Action::Version(words.number("a version")?),
        "no-work" => Action::NoWork(words.name("a data centre")?),
        "mark" => Action::Mark,
        "ready" => Action::Ready,
        "wait" => Action::Wait(words.duration()?),
        other => return words.fail(column, format!("{other:?} is not a step")),
    })
}

fn send(words: &mut Words<'_>) -> Result<Send, Error> {
    let id = words.name("a request's name")?;
    let shape = match words.word("get, post or upload")? {
        (_, "get") => Shape::Get,
        (_, "post") => Shape::Post,
        (_, "upload") => Shape::Upload,
        (column, word) => {
            return words.fail(column, format!("{word:?} is not get, post or upload"));
        }
    };
    let service = words.name("a service")?;
    let mut send = Send {
        id,
        shape,
        service,
        key: None,
        via: None,
        work: None,
        crash: false,
        over: Duration::from_secs(1),
        background: false,
    };
    while let Some((column, word)) = words.take() {
        match word {
            "key" => send.key = Some(words.name("a key")?),
            "via" => send.via = Some(words.name("a VM")?),
            "work" => send.work = Some(words.duration()?),
            "over" => send.over = words.duration()?,
            "crash" => send.crash = true,
            "background" => send.background = true,
            other => {
                let detail = format!("{other:?} is not key, via, work, over, crash or background");
                return words.fail(column, detail);
            }
        }
    }
    Ok(send)
}

fn expected(words: &mut Words<'_>) -> Result<Expected, Error> {
    Ok(match words.word("what is expected")? {
        (_, "ok") => Expected::Ok,
        (_, "not-run") => Expected::NotRun,
        (_, "may-have-run") => Expected::MayHaveRun,
        (_, "stored") => Expected::Stored,
        (_, "code") => Expected::Code(words.number("a result code")?),
        (column, word) => {
            let detail = format!("{word:?} is not ok, not-run, may-have-run, stored or code");
            return words.fail(column, detail);
        }
    })
}

fn store(words: &mut Words<'_>) -> Result<StoreFaults, Error> {
    let none = StoreFaults::default();
    Ok(match words.word("the store's fault")? {
        (_, "ok") => none,
        (_, "down") => StoreFaults { down: true, ..none },
        (_, "hang") => StoreFaults { hang: true, ..none },
        (_, "slow") => StoreFaults { slow_ms: words.duration()?.as_millis() as u64, ..none },
        (_, "lose") => StoreFaults { lost: words.number("a count")?, ..none },
        (_, "late") => StoreFaults {
            late: words.number("a count")?,
            late_ms: words.duration()?.as_millis() as u64,
            ..none
        },
        (column, word) => {
            let detail = format!("{word:?} is not ok, down, hang, slow, lose or late");
            return words.fail(column, detail);
        }
    })
}

fn target(words: &mut Words<'_>) -> Result<TargetFaults, Error> {
    let none = TargetFaults::default();
    Ok(match words.word("the target's fault")? {
        (_, "ok") => none,
        (_, "slow") => TargetFaults { slow: words.number("a factor")?, ..none },
        (_, "shed") => TargetFaults { shed: true, ..none },
        (_, "fail") => TargetFaults { fail: true, ..none },
        (_, "cut") => TargetFaults { cut: true, ..none },
        (_, "drain") => TargetFaults { drain: true, ..none },
        (_, "cold") => TargetFaults { cold: true, ..none },
        (column, word) => {
            let detail = format!("{word:?} is not ok, slow, shed, fail, cut, drain or cold");
            return words.fail(column, detail);
        }
    })
}
