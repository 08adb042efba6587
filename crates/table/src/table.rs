//! The interface to a table service and its errors.

use std::future::Future;

use snafu::Snafu;
use world::Key;

/// The largest row body, in bytes. DynamoDB limits an item, with its keys, to 400 KB.
pub const ROW_LIMIT: usize = 390 * 1024;

/// One versioned row of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Unique in the table.
    pub key: Key,
    /// The version for conditional writes. Writers set it; it changes with each write and is
    /// never 0.
    pub version: u64,
    /// The encoded content, at most [`ROW_LIMIT`] bytes.
    pub body: Vec<u8>,
}

/// What must hold of the row in the table for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Nothing: any row of this key is replaced.
    Any,
    /// No row has this key.
    Absent,
    /// The row exists and has this version.
    Version(u64),
}

/// A write of one whole row.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// The row to write, with the version that it has afterwards.
    pub row: Row,
    /// What must hold of the present row.
    pub condition: Condition,
    /// When the platform may delete the row, in seconds since 1970; never when absent.
    pub expires: Option<u64>,
}

/// Why a call failed, and whether it may have taken effect all the same.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A condition did not hold, and nothing was written.
    #[snafu(display("the condition of write {at} did not hold"))]
    Conflict {
        /// The index of the first write of the call whose condition did not hold.
        at: usize,
    },
    /// Nothing was written or read.
    #[snafu(display("the store is not available: {detail}"))]
    Unavailable {
        /// The cause, in words.
        detail: String,
    },
    /// The write may have taken effect, or may still do so.
    #[snafu(display("the store did not say whether it took effect: {detail}"))]
    Unknown {
        /// The cause of the unknown outcome, in words.
        detail: String,
    },
}

/// A table service with conditional writes and small transactions.
pub trait Table: Send + Sync + 'static {
    /// Reads one row, if it exists. The read sees every write that took effect before it.
    fn read(&self, key: &Key) -> impl Future<Output = Result<Option<Row>, Error>> + Send;

    /// Reads all rows of a partition, sorted by id.
    fn list(&self, part: &str) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;

    /// Writes rows in one transaction: all, or none if any condition does not hold.
    fn write(&self, writes: Vec<Write>) -> impl Future<Output = Result<(), Error>> + Send;
}

impl<T: Table> Table for std::sync::Arc<T> {
    fn read(&self, key: &Key) -> impl Future<Output = Result<Option<Row>, Error>> + Send {
        T::read(self, key)
    }

    fn list(&self, part: &str) -> impl Future<Output = Result<Vec<Row>, Error>> + Send {
        T::list(self, part)
    }

    fn write(&self, writes: Vec<Write>) -> impl Future<Output = Result<(), Error>> + Send {
        T::write(self, writes)
    }
}
