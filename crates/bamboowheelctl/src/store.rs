//! Opens the platform's table with the settings from flags and environment variables.

use std::future::Future;
use std::time::Duration;

use table::{Dynamo, Settings};

use crate::Error;

/// Limit for one call to the store.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of the store that were given as flags. An absent one is taken from its environment
/// variable, or else has its default if there is one.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Address of the table service; default: that of the region.
    pub endpoint: Option<String>,
    /// Region of the table service; default: `us-east-1`.
    pub region: Option<String>,
    /// Name of the table; default: `bamboowheel`.
    pub table: Option<String>,
    /// Id of the access key; required.
    pub access_key: Option<String>,
    /// Secret of the access key; required.
    pub secret_key: Option<String>,
}

impl Options {
    /// Returns a client of the table. Fails if a required setting is neither given as a flag nor as
    /// an environment variable.
    pub fn open(&self) -> Result<Dynamo, Error> {
        let required = |given: &Option<String>, flag: &str| {
            value(given, flag).ok_or_else(|| Error::usage(format!("--{flag} is required")))
        };
        Ok(Dynamo::open(Settings {
            endpoint: value(&self.endpoint, "store"),
            region: value(&self.region, "store-region").unwrap_or("us-east-1".to_owned()),
            table: value(&self.table, "store-table").unwrap_or("bamboowheel".to_owned()),
            access_key: required(&self.access_key, "store-access-key")?,
            secret_key: required(&self.secret_key, "store-secret-key")?,
            timeout: TIMEOUT,
        }))
    }
}

/// Returns the value of a flag, or else of its environment variable. Returns `None` if it is empty.
fn value(given: &Option<String>, flag: &str) -> Option<String> {
    let variable = format!("BAMBOOWHEEL_{}", flag.replace('-', "_").to_uppercase());
    given.clone().or_else(|| std::env::var(variable).ok()).filter(|value| !value.is_empty())
}

/// Runs a future to completion on a new single-threaded runtime.
pub fn block_on<F: Future>(future: F) -> Result<F::Output, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Error::usage)?;
    Ok(runtime.block_on(future))
}
