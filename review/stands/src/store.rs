//! The platform's metadata store: rows in tables, kept in memory.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::http::{Message, read};

#[derive(Clone, Debug)]
struct Change {
    table: String,
    key: String,
    /// `None` if the row was removed.
    value: Option<String>,
    ver: u64,
}

#[derive(Debug, Default)]
struct State {
    changes: Vec<Change>,
    ver: u64,
}

/// The store. Clones share the rows.
#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<Mutex<State>>,
    latest: watch::Sender<u64>,
    begun: Instant,
}

impl Store {
    /// Serves an empty store.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Store> {
        let listener = TcpListener::bind(address).await?;
        let (latest, _) = watch::channel(0);
        let store = Store { state: Arc::default(), latest, begun: Instant::now() };
        let served = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator does. Returns its version.
    pub fn put(&self, table: &str, key: &str, value: &Value) -> u64 {
        let value = STANDARD.encode(value.to_string());
        self.apply(vec![(table.to_owned(), key.to_owned(), Some(value))])
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply(&self, rows: Vec<(String, String, Option<String>)>) -> u64 {
        let mut state = self.lock();
        state.ver += 1;
        let ver = state.ver;
        let changes = rows.into_iter();
        state.changes.extend(changes.map(|(table, key, value)| Change { table, key, value, ver }));
        drop(state);
        self.latest.send_replace(ver);
        ver
    }

    async fn serve(self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(call) = read(&mut stream, &mut buffer).await {
            let (status, body) = self.answer(&call).await;
            let body = body.to_string();
            let answer = format!(
                "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, call: &Message) -> (u16, Value) {
        let (path, query) = call.path().split_once('?').unwrap_or((call.path(), ""));
        match path {
            "/api/rows-tx" => match serde_json::from_slice(&call.body) {
                Ok(transaction) => self.transact(&transaction),
                Err(_) => (400, json!({})),
            },
            "/api/rows-get" => self.get(query),
            "/api/rows-feed" => self.feed(query).await,
            _ => (404, json!({})),
        }
    }

    fn now_s(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    fn transact(&self, call: &Value) -> (u16, Value) {
        let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or_default().to_owned();
        let entries = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let is_operators =
            |entry: &Value| ["op", "servers"].contains(&text(entry, "table").as_str());
        if entries("puts").iter().chain(&entries("remove")).any(is_operators) {
            return (403, json!({}));
        }
        {
            let state = self.lock();
            for condition in entries("precondition") {
                let (table, key) = (text(&condition, "table"), text(&condition, "key"));
                let row = state.rows(&table).into_iter().find(|row| row.key == key);
                if condition["ver"].as_u64() != Some(row.as_ref().map_or(0, |row| row.ver)) {
                    let rows: Vec<Value> = row.iter().map(row_json).collect();
                    return (412, json!({ "rows": rows, "ver": state.ver, "nowS": self.now_s() }));
                }
            }
        }
        let puts = entries("puts");
        let puts =
            puts.iter().map(|put| (text(put, "table"), text(put, "key"), Some(text(put, "value"))));
        let removed = entries("remove");
        let removed = removed.iter().map(|row| (text(row, "table"), text(row, "key"), None));
        let ver = self.apply(puts.chain(removed).collect());
        (200, json!({ "ver": ver, "nowS": self.now_s() }))
    }

    fn get(&self, query: &str) -> (u16, Value) {
        let from = field(query, "from");
        let limit = field(query, "limit").parse().unwrap_or(500).min(500);
        let state = self.lock();
        let mut rows = state.rows(&field(query, "table"));
        rows.retain(|row| row.key >= from);
        let more = rows.len() > limit;
        let rows: Vec<Value> = rows.iter().take(limit).map(row_json).collect();
        (200, json!({ "rows": rows, "hasMore": more, "ver": state.ver, "nowS": self.now_s() }))
    }

    async fn feed(&self, query: &str) -> (u16, Value) {
        let table = field(query, "table");
        let after: u64 = field(query, "after").parse().unwrap_or_default();
        let wait_ms: u64 = field(query, "waitMs").parse().unwrap_or_default();
        let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut latest = self.latest.subscribe();
        loop {
            {
                let state = self.lock();
                let is_new = |change: &&Change| change.ver > after && change.table == table;
                let rows: Vec<Value> = state.changes.iter().filter(is_new).map(row_json).collect();
                if !rows.is_empty() || tokio::time::Instant::now() >= until {
                    return (200, json!({ "rows": rows, "ver": state.ver, "nowS": self.now_s() }));
                }
            }
            let _ = tokio::time::timeout_at(until, latest.changed()).await;
        }
    }
}

impl State {
    fn rows(&self, table: &str) -> Vec<Change> {
        let mut rows: Vec<Change> = Vec::new();
        for change in self.changes.iter().filter(|change| change.table == table) {
            match rows.binary_search_by(|row| row.key.cmp(&change.key)) {
                Ok(at) => rows[at] = change.clone(),
                Err(at) => rows.insert(at, change.clone()),
            }
        }
        rows.retain(|row| row.value.is_some());
        rows
    }
}

fn row_json(change: &Change) -> Value {
    let Change { table, key, value, ver } = change;
    match value {
        Some(value) => {
            json!({ "table": table, "part": "", "key": key, "value": value, "ver": ver })
        }
        None => json!({ "table": table, "part": "", "key": key, "ver": ver, "removed": true }),
    }
}

/// Returns a field of a query, with its escapes replaced.
fn field(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value);
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let escaped = (*first == b'%').then(|| after.get(..2)).flatten();
        let escaped = escaped.and_then(|digits| std::str::from_utf8(digits).ok());
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
