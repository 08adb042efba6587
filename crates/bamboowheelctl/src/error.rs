//! Why a command failed.

use snafu::Snafu;
use world::{Code, Fault};

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line is wrong.
    #[snafu(display("{}: {detail}", Code::Usage))]
    Usage {
        /// What is wrong.
        detail: String,
    },
    /// A file cannot be read or written.
    #[snafu(display("{path}: {source}"))]
    File {
        /// The file.
        path: String,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The inventory has faults.
    #[snafu(display("{}", list(path, faults)))]
    Faulty {
        /// The file.
        path: String,
        /// The faults, sorted by place; at least one.
        faults: Vec<Fault>,
    },
    /// Another change was accepted first.
    #[snafu(display("{}: version {version} ({note}) is in force", Code::Conflict))]
    Conflict {
        /// The version that won.
        version: u64,
        /// What it changed.
        note: String,
    },
    /// The store did not say whether the change took effect.
    #[snafu(display("{}: look for change {change} with history", Code::StoreUnknown))]
    StoreUnknown {
        /// The change's id.
        change: String,
    },
    /// The store is not available.
    #[snafu(display("{}: {source}", Code::StoreUnavailable))]
    Store {
        /// What it said.
        source: table::Error,
    },
    /// The inventory has no data centre of this name.
    #[snafu(display("{}: {name}", Code::UnknownDataCentre))]
    UnknownDataCentre {
        /// The name.
        name: String,
    },
    /// No log line names the request.
    #[snafu(display("{}: {id}", Code::RequestUnknown))]
    RequestUnknown {
        /// The request's id.
        id: String,
    },
    /// No inventory was ever applied.
    #[snafu(display("{}", Code::NothingApplied))]
    NothingApplied,
    /// A node does not answer.
    #[snafu(display("{}: {address}: {detail}", Code::NodeUnreachable))]
    NodeUnreachable {
        /// Its admin address.
        address: String,
        /// What went wrong.
        detail: String,
    },
    /// The certificates cannot be made.
    #[snafu(display("the certificates cannot be made: {source}"), context(false))]
    Certificate {
        /// What went wrong.
        source: rcgen::Error,
    },
}

impl Error {
    /// Builds the error of a wrong command line.
    pub fn usage(detail: impl ToString) -> Error {
        UsageSnafu { detail: detail.to_string() }.build()
    }

    /// Returns the numbered result.
    pub fn code(&self) -> Code {
        match self {
            Error::Usage { .. } => Code::Usage,
            Error::File { .. } | Error::Certificate { .. } => Code::BadSetting,
            Error::Faulty { faults, .. } => {
                faults.first().map_or(Code::BadSyntax, |fault| fault.code)
            }
            Error::Conflict { .. } => Code::Conflict,
            Error::StoreUnknown { .. } => Code::StoreUnknown,
            Error::Store { .. } => Code::StoreUnavailable,
            Error::UnknownDataCentre { .. } => Code::UnknownDataCentre,
            Error::RequestUnknown { .. } => Code::RequestUnknown,
            Error::NothingApplied => Code::NothingApplied,
            Error::NodeUnreachable { .. } => Code::NodeUnreachable,
        }
    }
}

impl From<gumdrop::Error> for Error {
    fn from(error: gumdrop::Error) -> Error {
        Error::usage(error)
    }
}

fn list(path: &str, faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("{path}:{fault}")).collect();
    lines.join("\n")
}
