//! Access to the platform's table service: the [`Table`] trait, a client for the DynamoDB JSON
//! protocol, and an in-memory fake with fault injection.
//!
//! The object store is not used: every row fits the table's limit of 400 KB.

mod dynamo;
mod fake;
mod table;

pub use dynamo::{Dynamo, Settings};
pub use fake::{Fake, Faults};
pub use table::{Condition, Error, ROW_LIMIT, Row, Table, Write};
