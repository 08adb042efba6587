//! The errors of commands, with their numbers and texts.

use snafu::Snafu;
use world::{Code, Fault};

/// An error that ends a command. Most texts begin with an error number; see [`Error::code`].
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line is wrong.
    #[snafu(display("{}: {detail}", Code::Usage))]
    Usage {
        /// Which argument or option is wrong, and how.
        detail: String,
    },
    /// A file cannot be read or written.
    #[snafu(display("{path}: {source}"))]
    File {
        /// Path of the file.
        path: String,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The inventory is not valid.
    #[snafu(display("{}", list_faults(path, faults)))]
    InvalidInventory {
        /// Path of the file, or "the table" for the inventory in force.
        path: String,
        /// The faults, sorted by line and column; at least one.
        faults: Vec<Fault>,
    },
    /// The routing table cannot be decoded or has errors.
    #[snafu(display("{path}: {detail}"))]
    InvalidRouting {
        /// Path of the file.
        path: String,
        /// The error of the decoder, or the number of errors found.
        detail: String,
    },
    /// Another change was accepted first.
    #[snafu(display("{}: version {version} ({note}) is in force", Code::Conflict))]
    Conflict {
        /// The version in force, which the other change wrote.
        version: u64,
        /// The note of that change.
        note: String,
    },
    /// The store did not say whether the change took effect.
    #[snafu(display(
        "{}: look for change {change} in `bamboowheelctl history`",
        Code::StoreUnknown
    ))]
    StoreUnknown {
        /// Id of the change, as `history` lists it.
        change: String,
    },
    /// The store is not available.
    #[snafu(display("{}: {source}", Code::StoreUnavailable))]
    Store {
        /// The error of the client of the store.
        source: table::Error,
    },
    /// The inventory has no data centre of this name.
    #[snafu(display("{}: {name}", Code::UnknownDataCentre))]
    UnknownDataCentre {
        /// The name that the operator gave.
        name: String,
    },
    /// No log line names the request.
    #[snafu(display("{}: {id}", Code::RequestUnknown))]
    RequestUnknown {
        /// Id of the request, as the operator gave it.
        id: String,
    },
    /// No inventory was ever applied.
    #[snafu(display("{}", Code::NothingApplied))]
    NothingApplied,
    /// A node does not answer.
    #[snafu(display("{}: {address}: {detail}", Code::NodeUnreachable))]
    NodeUnreachable {
        /// Admin address of the node.
        address: String,
        /// Why the status page or the events could not be read.
        detail: String,
    },
    /// A key or certificate cannot be created or read.
    #[snafu(display("cannot create the certificates: {source}"), context(false))]
    Certificate {
        /// The error of the certificate library.
        source: rcgen::Error,
    },
}

impl Error {
    /// Returns an [`Error::Usage`] with this detail.
    pub fn usage(detail: impl ToString) -> Error {
        UsageSnafu { detail: detail.to_string() }.build()
    }

    /// Returns the error number, which also decides the exit code. An invalid inventory has the
    /// number of its first fault.
    pub fn code(&self) -> Code {
        match self {
            Error::Usage { .. } => Code::Usage,
            Error::File { .. } | Error::Certificate { .. } => Code::BadSetting,
            Error::InvalidInventory { faults, .. } => {
                faults.first().map_or(Code::BadSyntax, |fault| fault.code)
            }
            Error::InvalidRouting { .. } => Code::BadSyntax,
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

fn list_faults(path: &str, faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("{path}:{fault}")).collect();
    lines.join("\n")
}
