//! A stand-in for the platform's table: the part of the published DynamoDB JSON protocol that the
//! adapter speaks, with faults on command.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::http::{Body, Server, answer, serve};

/// What is wrong with the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call fails without an effect.
    pub down: bool,
    /// Every call is left without an answer and without an effect.
    pub hang: bool,
    /// Milliseconds that every call takes before it has its effect.
    pub slow_ms: u64,
    /// This many of the next writes take effect, and their answers are lost.
    pub lost: u32,
    /// This many of the next writes take effect only `late_ms` after their answers are lost.
    pub late: u32,
    /// Milliseconds until a late write takes effect.
    pub late_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<(String, String), Value>,
    faults: Faults,
    reads: u64,
    writes: u64,
}

/// The table's state; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Table {
    state: Arc<Mutex<State>>,
}

/// What the service says to a call.
type Said = Result<Value, Value>;

impl Table {
    /// Binds an address and serves the table there.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let table = self.clone();
        serve(address, move |request| {
            let table = table.clone();
            async move { table.handle(request).await }
        })
        .await
    }

    /// Sets what is wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns how many reads and writes took effect.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let input: Value = serde_json::from_slice(&body).unwrap_or_default();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/stats") => {
                let (reads, writes) = self.counts();
                Some(answer(200, json!({ "reads": reads, "writes": writes }).to_string()))
            }
            (&Method::POST, "/faults") => {
                self.set_faults(serde_json::from_value(input).ok()?);
                Some(answer(200, "{}"))
            }
            _ => {
                let action = head.headers.get("x-amz-target")?.to_str().ok()?.to_owned();
                self.call(action.rsplit('.').next()?, input).await
            }
        }
    }

    async fn call(&self, action: &str, input: Value) -> Option<Response<Body>> {
        let faults = self.lock().faults;
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.hang {
            std::future::pending::<()>().await;
        }
        if faults.down {
            return Some(failed(500, &fault("InternalServerError")));
        }
        let is_write = matches!(action, "PutItem" | "TransactWriteItems");
        if is_write && self.take_late() {
            let (table, action) = (self.clone(), action.to_owned());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
                let _ = table.apply(&action, &input);
            });
            return None;
        }
        let said = self.apply(action, &input);
        if is_write && self.take_lost() {
            return None;
        }
        Some(match said {
            Ok(output) => json_answer(200, &output),
            Err(fault) => failed(400, &fault),
        })
    }

    fn take_late(&self) -> bool {
        let mut state = self.lock();
        let late = state.faults.late > 0;
        state.faults.late = state.faults.late.saturating_sub(1);
        late
    }

    fn take_lost(&self) -> bool {
        let mut state = self.lock();
        let lost = state.faults.lost > 0;
        state.faults.lost = state.faults.lost.saturating_sub(1);
        lost
    }

    fn apply(&self, action: &str, input: &Value) -> Said {
        let mut state = self.lock();
        match action {
            "GetItem" => {
                state.reads += 1;
                let item = key(&input["Key"]).and_then(|key| state.items.get(&key).cloned());
                Ok(item.map_or(json!({}), |item| json!({ "Item": item })))
            }
            "Query" => {
                state.reads += 1;
                let part = input["ExpressionAttributeValues"][":p"]["S"].as_str().unwrap_or("");
                let rows = state.items.iter().filter(|((pk, _), _)| pk == part);
                let rows: Vec<&Value> = rows.map(|(_, item)| item).collect();
                Ok(json!({ "Items": rows, "Count": rows.len(), "ScannedCount": rows.len() }))
            }
            "PutItem" => match state.holds(input) {
                true => {
                    state.writes += 1;
                    state.put(input);
                    Ok(json!({}))
                }
                false => Err(fault("ConditionalCheckFailedException")),
            },
            "TransactWriteItems" => state.transact(input),
            _ => Err(fault("UnknownOperationException")),
        }
    }
}

impl State {
    fn holds(&self, put: &Value) -> bool {
        let item = key(&put["Item"]).and_then(|key| self.items.get(&key));
        match put["ConditionExpression"].as_str() {
            None => true,
            Some("attribute_not_exists(#c)") => item.is_none(),
            Some("#c = :v") => {
                let wanted = &put["ExpressionAttributeValues"][":v"];
                let name = put["ExpressionAttributeNames"]["#c"].as_str().unwrap_or_default();
                item.is_some_and(|item| &item[name] == wanted)
            }
            Some(_) => false,
        }
    }

    fn put(&mut self, put: &Value) {
        if let Some(key) = key(&put["Item"]) {
            self.items.insert(key, put["Item"].clone());
        }
    }

    fn transact(&mut self, input: &Value) -> Said {
        let empty = Vec::new();
        let puts = input["TransactItems"].as_array().unwrap_or(&empty);
        let held: Vec<bool> = puts.iter().map(|put| self.holds(&put["Put"])).collect();
        if held.iter().all(|held| *held) {
            self.writes += 1;
            puts.iter().for_each(|put| self.put(&put["Put"]));
            return Ok(json!({}));
        }
        let reason = |held: &bool| match held {
            true => json!({ "Code": "None" }),
            false => json!({ "Code": "ConditionalCheckFailed" }),
        };
        let mut said = fault("TransactionCanceledException");
        said["CancellationReasons"] = held.iter().map(reason).collect();
        Err(said)
    }
}

fn key(item: &Value) -> Option<(String, String)> {
    let part = item["pk"]["S"].as_str()?;
    let id = item["sk"]["S"].as_str()?;
    Some((part.to_owned(), id.to_owned()))
}

fn fault(name: &str) -> Value {
    json!({ "__type": format!("com.amazonaws.dynamodb.v20120810#{name}"), "message": name })
}

fn failed(status: u16, fault: &Value) -> Response<Body> {
    json_answer(status, fault)
}

fn json_answer(status: u16, body: &Value) -> Response<Body> {
    let mut response = answer(status, body.to_string());
    let kind = http::HeaderValue::from_static("application/x-amz-json-1.0");
    response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
    response
}
