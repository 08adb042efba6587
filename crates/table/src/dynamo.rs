//! A client of a table service that speaks the DynamoDB JSON protocol.
//!
//! A row is an item with the partition key `pk`, the sort key `sk`, the version `v`, the body `b`
//! and, where it expires, the time `ttl`. The retries of the AWS client are off: a write with an
//! unknown outcome may have taken effect, and only the caller knows whether it may be repeated.

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

const PARTITION_KEY: &str = "pk";
const SORT_KEY: &str = "sk";
const VERSION_ATTRIBUTE: &str = "v";
const BODY_ATTRIBUTE: &str = "b";
const EXPIRY_ATTRIBUTE: &str = "ttl";

type Item = HashMap<String, AttributeValue>;

/// Address, credentials and timeout for a table.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The URL of the service; the region's AWS endpoint when absent.
    pub endpoint: Option<String>,
    /// The AWS region, which is also part of each request's signature.
    pub region: String,
    /// The name of the table, which must exist.
    pub table: String,
    /// The id of the access key.
    pub access_key: String,
    /// The secret of the access key.
    pub secret_key: String,
    /// The timeout for connecting and for a whole call.
    pub timeout: Duration,
}

/// A table in DynamoDB or a compatible service.
#[derive(Clone, Debug)]
pub struct Dynamo {
    client: Client,
    table: String,
}

impl Dynamo {
    /// Creates the client. Nothing is sent before the first call.
    pub fn open(settings: Settings) -> Dynamo {
        let is_http = settings.endpoint.as_deref().is_some_and(|url| url.starts_with("http://"));
        let http = match is_http {
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
        let (condition, names, values) = condition_expression(write.condition);
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
            let (condition, names, values) = condition_expression(write.condition);
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
            Err(error) => Err(cancellation_error(&error).unwrap_or_else(|| write_error(&error))),
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
            .key(PARTITION_KEY, AttributeValue::S(key.part.to_string()))
            .key(SORT_KEY, AttributeValue::S(key.id.to_string()));
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
                .expression_attribute_names("#p", PARTITION_KEY)
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

/// A condition expression with its attribute names and values.
type Expression =
    (Option<String>, Option<HashMap<String, String>>, Option<HashMap<String, AttributeValue>>);

fn condition_expression(condition: Condition) -> Expression {
    let named = |name: &str| Some(HashMap::from([("#c".to_owned(), name.to_owned())]));
    match condition {
        Condition::Any => (None, None, None),
        Condition::Absent => {
            (Some("attribute_not_exists(#c)".to_owned()), named(PARTITION_KEY), None)
        }
        Condition::Version(version) => {
            let value = AttributeValue::N(version.to_string());
            let values = HashMap::from([(":v".to_owned(), value)]);
            (Some("#c = :v".to_owned()), named(VERSION_ATTRIBUTE), Some(values))
        }
    }
}

fn item(row: Row, expires: Option<u64>) -> Item {
    let mut item = HashMap::from([
        (PARTITION_KEY.to_owned(), AttributeValue::S(row.key.part.to_string())),
        (SORT_KEY.to_owned(), AttributeValue::S(row.key.id.to_string())),
        (VERSION_ATTRIBUTE.to_owned(), AttributeValue::N(row.version.to_string())),
        (BODY_ATTRIBUTE.to_owned(), AttributeValue::B(Blob::new(row.body))),
    ]);
    if let Some(expires) = expires {
        item.insert(EXPIRY_ATTRIBUTE.to_owned(), AttributeValue::N(expires.to_string()));
    }
    item
}

fn row(mut item: Item) -> Result<Row, Error> {
    let parsed = (|| {
        let part = item.remove(PARTITION_KEY)?.as_s().ok()?.clone();
        let id = item.remove(SORT_KEY)?.as_s().ok()?.clone();
        let version = item.remove(VERSION_ATTRIBUTE)?.as_n().ok()?.parse().ok()?;
        let AttributeValue::B(body) = item.remove(BODY_ATTRIBUTE)? else { return None };
        Some(Row { key: Key::new(part, id), version, body: body.into_inner() })
    })();
    parsed.ok_or_else(|| {
        UnavailableSnafu { detail: "a row lacks pk, sk, v or b, or one of them has the wrong type" }
            .build()
    })
}

fn is_failed_condition<R>(error: &SdkError<PutItemError, R>) -> bool {
    let service = error.as_service_error();
    service.is_some_and(PutItemError::is_conditional_check_failed_exception)
}

/// Returns the error of a cancelled transaction, with the first write whose condition failed.
/// Any other failure gives `None`.
fn cancellation_error<R>(error: &SdkError<TransactWriteItemsError, R>) -> Option<Error> {
    let Some(TransactWriteItemsError::TransactionCanceledException(cancelled)) =
        error.as_service_error()
    else {
        return None;
    };
    let failed = |reason: &CancellationReason| reason.code() == Some("ConditionalCheckFailed");
    Some(match cancelled.cancellation_reasons().iter().position(failed) {
        Some(at) => ConflictSnafu { at }.build(),
        None => UnavailableSnafu {
            detail: "the transaction was cancelled for another reason than a condition",
        }
        .build(),
    })
}

/// Classifies the failure of a write: certainly without effect, or with an unknown outcome.
fn write_error<E, R>(error: &SdkError<E, R>) -> Error
where
    E: StdError + ProvideErrorMetadata + 'static,
    R: std::fmt::Debug + 'static,
{
    let detail = with_causes(error);
    let may_have_effect = match error {
        SdkError::ConstructionFailure(_) => false,
        SdkError::DispatchFailure(_) => !is_connection_refused(error),
        SdkError::ServiceError(service) => service.err().code().is_none_or(is_server_fault),
        _ => true,
    };
    match may_have_effect {
        true => UnknownSnafu { detail }.build(),
        false => UnavailableSnafu { detail }.build(),
    }
}

/// Returns whether an error code of DynamoDB leaves open if the write took effect.
fn is_server_fault(code: &str) -> bool {
    matches!(code, "InternalServerError" | "InternalFailure" | "ServiceUnavailable")
}

/// Returns whether the connection was refused, so that nothing was sent.
fn is_connection_refused(error: &(dyn StdError + 'static)) -> bool {
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
    UnavailableSnafu { detail: with_causes(error) }.build()
}

/// Returns the text of an error and of all its causes.
fn with_causes(error: &(dyn StdError + 'static)) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
