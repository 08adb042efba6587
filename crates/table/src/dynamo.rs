//! The adapter over the published DynamoDB JSON protocol.
//!
//! A row is an item with the partition key `pk`, the sort key `sk`, the version `v`, the body `b`
//! and, where it expires, the time `ttl`. The client's own retries are off: only the caller knows
//! what an unknown outcome means.

use std::collections::HashMap;
use std::error::Error as StdError;
use std::time::Duration;

use aws_sdk_dynamodb::Client;
use aws_sdk_dynamodb::config::retry::RetryConfig;
use aws_sdk_dynamodb::config::timeout::TimeoutConfig;
use aws_sdk_dynamodb::config::{
    BehaviorVersion, Credentials, Region, StalledStreamProtectionConfig,
};
use aws_sdk_dynamodb::error::{ProvideErrorMetadata, SdkError};
use aws_sdk_dynamodb::operation::put_item::PutItemError;
use aws_sdk_dynamodb::operation::transact_write_items::TransactWriteItemsError;
use aws_sdk_dynamodb::types::{AttributeValue, CancellationReason, Put, TransactWriteItem};
use aws_smithy_http_client::Builder;
use aws_smithy_http_client::tls::{Provider, rustls_provider::CryptoMode};
use aws_smithy_types::Blob;
use world::Key;

use crate::Write;
use crate::table::{Condition, ConflictSnafu, Error, Row, Table, UnavailableSnafu, UnknownSnafu};

const PART: &str = "pk";
const ID: &str = "sk";
const VERSION: &str = "v";
const BODY: &str = "b";
const EXPIRES: &str = "ttl";

type Item = HashMap<String, AttributeValue>;

/// Where the table is and how to reach it.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The service's address; the region's own where absent.
    pub endpoint: Option<String>,
    /// The region.
    pub region: String,
    /// The table's name.
    pub table: String,
    /// The access key's id.
    pub access_key: String,
    /// The access key's secret.
    pub secret_key: String,
    /// The longest wait for one answer.
    pub timeout: Duration,
}

/// A table reached over the DynamoDB protocol.
#[derive(Clone, Debug)]
pub struct Dynamo {
    client: Client,
    table: String,
}

impl Dynamo {
    /// Opens the adapter. Nothing is sent before the first call.
    pub fn open(settings: Settings) -> Dynamo {
        let is_plain = settings.endpoint.as_deref().is_some_and(|url| url.starts_with("http://"));
        let http = match is_plain {
            true => Builder::new().build_http(),
            false => Builder::new().tls_provider(Provider::Rustls(CryptoMode::Ring)).build_https(),
        };
        let timeouts = TimeoutConfig::builder()
            .connect_timeout(settings.timeout)
            .operation_attempt_timeout(settings.timeout)
            .operation_timeout(settings.timeout)
            .build();
        let (access, secret) = (settings.access_key, settings.secret_key);
        let credentials = Credentials::new(access, secret, None, None, "settings");
        let mut config = aws_sdk_dynamodb::Config::builder()
            .behavior_version(BehaviorVersion::latest())
            .region(Region::new(settings.region))
            .credentials_provider(credentials)
            .retry_config(RetryConfig::disabled())
            .timeout_config(timeouts)
            .stalled_stream_protection(StalledStreamProtectionConfig::disabled())
            .http_client(http);
        config.set_endpoint_url(settings.endpoint);
        Dynamo { client: Client::from_conf(config.build()), table: settings.table }
    }

    async fn put(&self, write: Write) -> Result<(), Error> {
        let (condition, names, values) = condition(write.condition);
        let call = self
            .client
            .put_item()
            .table_name(&self.table)
            .set_item(Some(item(write.row, write.expires)))
            .set_condition_expression(condition)
            .set_expression_attribute_names(names)
            .set_expression_attribute_values(values);
        match call.send().await {
            Ok(_) => Ok(()),
            Err(error) if is_failed_condition(&error) => ConflictSnafu { at: 0usize }.fail(),
            Err(error) => Err(write_error(&error)),
        }
    }

    async fn transact(&self, writes: Vec<Write>) -> Result<(), Error> {
        let mut items = Vec::new();
        for write in writes {
            let (condition, names, values) = condition(write.condition);
            let put = Put::builder()
                .table_name(&self.table)
                .set_item(Some(item(write.row, write.expires)))
                .set_condition_expression(condition)
                .set_expression_attribute_names(names)
                .set_expression_attribute_values(values)
                .build();
            let put = put.map_err(|error| unavailable(&error))?;
            items.push(TransactWriteItem::builder().put(put).build());
        }
        let call = self.client.transact_write_items().set_transact_items(Some(items));
        match call.send().await {
            Ok(_) => Ok(()),
            Err(error) => Err(cancelled(&error).unwrap_or_else(|| write_error(&error))),
        }
    }
}

impl Table for Dynamo {
    async fn read(&self, key: &Key) -> Result<Option<Row>, Error> {
        let call = self
            .client
            .get_item()
            .table_name(&self.table)
            .consistent_read(true)
            .key(PART, AttributeValue::S(key.part.to_string()))
            .key(ID, AttributeValue::S(key.id.to_string()));
        let output = call.send().await.map_err(|error| unavailable(&error))?;
        output.item.map(row).transpose()
    }

    async fn list(&self, part: &str) -> Result<Vec<Row>, Error> {
        let mut rows = Vec::new();
        let mut from = None;
        loop {
            let call = self
                .client
                .query()
                .table_name(&self.table)
                .consistent_read(true)
                .key_condition_expression("#p = :p")
                .expression_attribute_names("#p", PART)
                .expression_attribute_values(":p", AttributeValue::S(part.to_owned()))
                .set_exclusive_start_key(from);
            let output = call.send().await.map_err(|error| unavailable(&error))?;
            for item in output.items.unwrap_or_default() {
                rows.push(row(item)?);
            }
            match output.last_evaluated_key {
                Some(last) if !last.is_empty() => from = Some(last),
                _ => return Ok(rows),
            }
        }
    }

    async fn write(&self, mut writes: Vec<Write>) -> Result<(), Error> {
        match writes.len() {
            0 => Ok(()),
            1 => self.put(writes.remove(0)).await,
            _ => self.transact(writes).await,
        }
    }
}

type Expression =
    (Option<String>, Option<HashMap<String, String>>, Option<HashMap<String, AttributeValue>>);

fn condition(condition: Condition) -> Expression {
    let named = |name: &str| Some(HashMap::from([("#c".to_owned(), name.to_owned())]));
    match condition {
        Condition::Any => (None, None, None),
        Condition::Absent => (Some("attribute_not_exists(#c)".to_owned()), named(PART), None),
        Condition::Version(version) => {
            let value = AttributeValue::N(version.to_string());
            let values = HashMap::from([(":v".to_owned(), value)]);
            (Some("#c = :v".to_owned()), named(VERSION), Some(values))
        }
    }
}

fn item(row: Row, expires: Option<u64>) -> Item {
    let mut item = HashMap::from([
        (PART.to_owned(), AttributeValue::S(row.key.part.to_string())),
        (ID.to_owned(), AttributeValue::S(row.key.id.to_string())),
        (VERSION.to_owned(), AttributeValue::N(row.version.to_string())),
        (BODY.to_owned(), AttributeValue::B(Blob::new(row.body))),
    ]);
    if let Some(expires) = expires {
        item.insert(EXPIRES.to_owned(), AttributeValue::N(expires.to_string()));
    }
    item
}

fn row(mut item: Item) -> Result<Row, Error> {
    let parsed = (|| {
        let part = item.remove(PART)?.as_s().ok()?.clone();
        let id = item.remove(ID)?.as_s().ok()?.clone();
        let version = item.remove(VERSION)?.as_n().ok()?.parse().ok()?;
        let AttributeValue::B(body) = item.remove(BODY)? else { return None };
        Some(Row { key: Key::new(part, id), version, body: body.into_inner() })
    })();
    parsed.ok_or_else(|| UnavailableSnafu { detail: "a row has another shape" }.build())
}

fn is_failed_condition<R>(error: &SdkError<PutItemError, R>) -> bool {
    let service = error.as_service_error();
    service.is_some_and(PutItemError::is_conditional_check_failed_exception)
}

/// Finds the failed condition of a cancelled transaction.
fn cancelled<R>(error: &SdkError<TransactWriteItemsError, R>) -> Option<Error> {
    let Some(TransactWriteItemsError::TransactionCanceledException(cancelled)) =
        error.as_service_error()
    else {
        return None;
    };
    let failed = |reason: &CancellationReason| reason.code() == Some("ConditionalCheckFailed");
    Some(match cancelled.cancellation_reasons().iter().position(failed) {
        Some(at) => ConflictSnafu { at }.build(),
        None => UnavailableSnafu { detail: "the transaction was cancelled" }.build(),
    })
}

/// Sorts the failure of a write: certainly without effect, or unknown.
fn write_error<E, R>(error: &SdkError<E, R>) -> Error
where
    E: StdError + ProvideErrorMetadata + 'static,
    R: std::fmt::Debug + 'static,
{
    let detail = chain(error);
    let has_effect = match error {
        SdkError::ConstructionFailure(_) => false,
        SdkError::DispatchFailure(_) => !is_refused(error),
        SdkError::ServiceError(service) => service.err().code().is_none_or(is_server_fault),
        _ => true,
    };
    match has_effect {
        true => UnknownSnafu { detail }.build(),
        false => UnavailableSnafu { detail }.build(),
    }
}

/// Published codes of faults after which a write may have taken effect.
fn is_server_fault(code: &str) -> bool {
    matches!(code, "InternalServerError" | "InternalFailure" | "ServiceUnavailable")
}

/// Whether the connection was refused, so that nothing was sent.
fn is_refused(error: &(dyn StdError + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let io = error.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}

fn unavailable(error: &(dyn StdError + 'static)) -> Error {
    UnavailableSnafu { detail: chain(error) }.build()
}

fn chain(error: &(dyn StdError + 'static)) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
