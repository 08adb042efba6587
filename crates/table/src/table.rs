//! The seam: what bamboowheel asks of a table service.

use std::future::Future;

use snafu::Snafu;
use world::Key;

/// The longest row body, in bytes. The published limit of an item is 400 KB.
pub const ROW_LIMIT: usize = 390 * 1024;

/// One row.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Unique in the table.
    pub key: Key,
    /// Changes with each write; never 0.
    pub version: u64,
    /// What the row holds, at most [`ROW_LIMIT`] bytes.
    pub body: Vec<u8>,
}

/// When a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Always.
    Any,
    /// Where no row has the key.
    Absent,
    /// Where the row has this version.
    Version(u64),
}

/// A write of one whole row.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// The row to write. Its version is the one it has afterwards.
    pub row: Row,
    /// When it takes effect.
    pub condition: Condition,
    /// When the platform may drop the row, in seconds since 1970; never where absent.
    pub expires: Option<u64>,
}

/// Why a call did not succeed.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A condition did not hold, and nothing was written.
    #[snafu(display("the condition of write {at} did not hold"))]
    Conflict {
        /// The first write whose condition did not hold, by its place in the transaction.
        at: usize,
    },
    /// Nothing was written or read.
    #[snafu(display("the store is not available: {detail}"))]
    Unavailable {
        /// What went wrong.
        detail: String,
    },
    /// The write may have taken effect, or may still do so.
    #[snafu(display("the store did not say whether it took effect: {detail}"))]
    Unknown {
        /// What went wrong.
        detail: String,
    },
}

/// A table service with conditional writes and small transactions.
pub trait Table: Send + Sync + 'static {
    /// Reads one row; consistent with every write that took effect before.
    fn read(&self, key: &Key) -> impl Future<Output = Result<Option<Row>, Error>> + Send;

    /// Reads every row of a partition, sorted by id.
    fn list(&self, part: &str) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;

    /// Writes rows, all or none.
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
