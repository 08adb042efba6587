//! Opens the platform's table from options and environment variables.

use std::future::Future;
use std::time::Duration;

use table::{Dynamo, Settings};

use crate::Error;

/// The longest wait for one answer of the store.
const TIMEOUT: Duration = Duration::from_secs(2);

/// How the table is reached, as far as flags say.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The service's address.
    pub endpoint: Option<String>,
    /// The region.
    pub region: Option<String>,
    /// The table's name.
    pub table: Option<String>,
    /// The access key's id.
    pub access_key: Option<String>,
    /// The access key's secret.
    pub secret_key: Option<String>,
}

impl Options {
    /// Opens the table. Options that are absent are taken from variables.
    pub fn open(&self) -> Result<Dynamo, Error> {
        let needed = |given: &Option<String>, flag: &str| {
            value(given, flag).ok_or_else(|| Error::usage(format!("--{flag} is needed")))
        };
        Ok(Dynamo::open(Settings {
            endpoint: value(&self.endpoint, "store"),
            region: value(&self.region, "store-region").unwrap_or("us-east-1".to_owned()),
            table: value(&self.table, "store-table").unwrap_or("bamboowheel".to_owned()),
            access_key: needed(&self.access_key, "store-access-key")?,
            secret_key: needed(&self.secret_key, "store-secret-key")?,
            timeout: TIMEOUT,
        }))
    }
}

fn value(given: &Option<String>, flag: &str) -> Option<String> {
    let variable = format!("BAMBOOWHEEL_{}", flag.replace('-', "_").to_uppercase());
    given.clone().or_else(|| std::env::var(variable).ok()).filter(|value| !value.is_empty())
}

/// Runs a future to its end.
pub fn block_on<F: Future>(future: F) -> Result<F::Output, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Error::usage)?;
    Ok(runtime.block_on(future))
}
