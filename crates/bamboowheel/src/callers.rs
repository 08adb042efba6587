//! Callers' requests over HTTP.

use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::future::poll_fn;
use http::{Method, Response, StatusCode, Uri, header};
use policy::{CallSpec, Fingerprint};
use tokio::sync::{mpsc, oneshot};
use wire::Call;
use world::{Code, Rule};
use xitca_web::body::{Body, Frame, RequestBody, ResponseBody};
use xitca_web::http::{WebRequest, WebResponse};

use crate::attempt::{Attempt, Event};
use crate::exchange::{Answer, Exchange, Feed, Refusal};
use crate::headers;
use crate::node::{Busy, Node};
use crate::pieces::{DEPTH, PIECE_LIMIT, Piece, Pieces};
use crate::refusal::{insert, refusal};

/// The part of a body that is held, so that the request can be sent again.
const PREFIX: usize = 16 * 1024;
/// The longest wait for the next bytes of a caller's body.
const BODY_WAIT: Duration = Duration::from_secs(30);
/// The longest idempotency key, in bytes.
const KEY_LIMIT: usize = 255;
/// The longest path with its query, in bytes.
const PATH_LIMIT: usize = 8 * 1024;

/// Serves one request.
pub async fn serve(node: Arc<Node>, request: WebRequest) -> WebResponse {
    let begun = Instant::now();
    let busy = node.busy();
    let (head, body) = request.into_parts();
    let (_, body) = body.replace_body(());
    let id = request_id(&node, &head.headers);
    let parsed = Parsed::new(&node, &head.method, &head.uri, &head.headers);
    let parsed = match parsed {
        Ok(parsed) => parsed,
        Err(code) => return refuse(&node, Refusal { code, not_run: true }, id),
    };
    let class = parsed.rule.class;
    let is_head = head.method == Method::HEAD;
    let fields = headers::end_to_end(&head.headers);
    let answer = exchange(&node, parsed, head.method, fields, body, id).await;
    let tenant = node.inventory().tenant.clone();
    let answer = match answer {
        Ok(answer) => answer,
        Err(refusal) => return refuse(&node, refusal, id),
    };
    node.metrics.answered(&tenant, class, begun.elapsed().as_secs_f64());
    let (told, attempt) = Told::new(answer);
    let body = match told.is_bare(is_head) {
        true => ResponseBody::bytes(Bytes::new()),
        false if told.is_small() => match collect(attempt).await {
            Some(body) => ResponseBody::bytes(body),
            None => {
                let cut = Refusal { code: Code::AnswerCut, not_run: false };
                return refuse(&node, cut, id);
            }
        },
        false => {
            let (sender, receiver) = mpsc::channel(DEPTH);
            node.spawn(pump(attempt, sender, busy));
            ResponseBody::boxed(Pieces::new(Bytes::new(), Some(receiver), told.length))
        }
    };
    told.respond(&node, id, body)
}

fn refuse(node: &Node, told: Refusal, id: u64) -> WebResponse {
    node.metrics.result(told.code);
    tracing::debug!("entry: request {id:016x}: {}", told.code);
    let mut response = refusal(told.code, told.not_run, id);
    if node.is_draining() {
        insert(response.headers_mut(), "connection", "close");
    }
    response
}

/// Takes the caller's own id where it gave one that fits, or makes one.
fn request_id(node: &Node, headers: &http::HeaderMap) -> u64 {
    let given = headers::text(headers, headers::REQUEST_ID.as_str());
    let given = given.filter(|id| id.len() == 16);
    given.and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or_else(|| node.unique())
}

/// What the rules and the head say.
struct Parsed {
    rule: Rule,
    path: String,
    key: Option<String>,
    /// The body's length. A body without one is refused, since the HTTP library does not tell the end
    /// of such a body from its cut.
    length: u64,
    deadline_ms: u64,
}

impl Parsed {
    fn new(
        node: &Node,
        method: &Method,
        uri: &Uri,
        headers: &http::HeaderMap,
    ) -> Result<Parsed, Code> {
        if node.is_draining() {
            return Err(Code::ShuttingDown);
        }
        if !node.is_ready() {
            return Err(Code::StoreDown);
        }
        let path = uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        if path.len() > PATH_LIMIT {
            return Err(Code::HeadTooLarge);
        }
        let rule = node.inventory().rule(method.as_str(), &path).ok_or(Code::NoService)?;
        let key = rule.key_header.as_deref().and_then(|name| headers::text(headers, name));
        if key.is_some_and(|key| key.is_empty() || key.len() > KEY_LIMIT) {
            return Err(Code::BadRequest);
        }
        if key.is_none() && rule.key_required {
            return Err(Code::KeyMissing);
        }
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(Code::LengthMissing);
        }
        let length = headers::text(headers, "content-length").unwrap_or("0");
        let length = length.parse().map_err(|_| Code::BadRequest)?;
        let left = headers::text(headers, headers::DEADLINE.as_str());
        let left =
            left.map(|left| left.parse::<u64>().map_err(|_| Code::BadRequest)).transpose()?;
        let deadline_ms = left.unwrap_or(u64::MAX).min(rule.deadline_ms);
        let key = key.map(str::to_owned);
        Ok(Parsed { rule, path, key, length, deadline_ms })
    }
}

async fn exchange(
    node: &Arc<Node>,
    parsed: Parsed,
    method: Method,
    fields: Vec<wire::Field>,
    body: RequestBody,
    id: u64,
) -> Result<Answer, Refusal> {
    let Parsed { rule, path, key, length, deadline_ms } = parsed;
    let deadline = node.now().after(deadline_ms * 1_000);
    let mut upload = Upload { body, left: Bytes::new(), to_come: length, ended: false };
    let prefix = upload.prefix().await.ok_or(Refusal { code: Code::BadRequest, not_run: true })?;
    let whole = upload.ended;
    let ask = CallSpec {
        service: rule.service.clone(),
        class: rule.class,
        idempotent: rule.idempotent,
        keyed: key.is_some(),
        whole,
        deadline,
    };
    let call = Call {
        request: id,
        print: Fingerprint::of(&rule.service, method.as_str(), &path, &prefix),
        service: rule.service,
        class: rule.class,
        left_us: deadline_ms * 1_000,
        method: method.to_string(),
        path,
        fields,
        length: Some(length),
        key,
        spare: false,
        prefix: prefix.to_vec(),
        whole,
    };
    let feed: Feed = Box::new(move |pieces, fed| {
        tokio::task::spawn_local(upload.feed(pieces, fed));
    });
    Exchange::run(node.clone(), call, ask, (!whole).then_some(feed)).await
}

/// A caller's body.
struct Upload {
    body: RequestBody,
    /// Read already, and not yet passed on.
    left: Bytes,
    /// Bytes that were not read yet. A body that ends before they came was cut.
    to_come: u64,
    /// Whether the caller sent all of it.
    ended: bool,
}

impl Upload {
    /// Reads the first bytes of the body. None where the caller cut it.
    async fn prefix(&mut self) -> Option<Bytes> {
        let mut prefix = BytesMut::new();
        while prefix.len() < PREFIX {
            match self.next().await? {
                Piece::Data(mut bytes) => {
                    let room = PREFIX - prefix.len();
                    self.left = bytes.split_off(room.min(bytes.len()));
                    prefix.extend_from_slice(&bytes);
                }
                Piece::End => {
                    self.ended = true;
                    break;
                }
            }
        }
        Some(prefix.freeze())
    }

    /// Passes the rest of the body on, with back-pressure. A body that is cut gets no end.
    async fn feed(mut self, pieces: mpsc::Sender<Piece>, fed: oneshot::Sender<()>) {
        loop {
            while !self.left.is_empty() {
                let piece = self.left.split_to(PIECE_LIMIT.min(self.left.len()));
                if pieces.send(Piece::Data(piece)).await.is_err() {
                    return;
                }
            }
            match self.next().await {
                Some(Piece::Data(bytes)) => self.left = bytes,
                Some(Piece::End) => {
                    let _ = pieces.send(Piece::End).await;
                    let _ = fed.send(());
                    return;
                }
                None => return,
            }
        }
    }

    async fn next(&mut self) -> Option<Piece> {
        let frame = poll_fn(|context| Pin::new(&mut self.body).poll_frame(context));
        if self.to_come == 0 {
            return Some(Piece::End);
        }
        match tokio::time::timeout(BODY_WAIT, frame).await.ok()? {
            Some(Ok(Frame::Data(bytes))) => {
                self.to_come = self.to_come.checked_sub(bytes.len() as u64)?;
                Some(Piece::Data(bytes))
            }
            Some(Ok(Frame::Trailers(_)) | Err(_)) | None => None,
        }
    }
}

/// The head of an answer as it is told to the caller.
struct Told {
    status: StatusCode,
    fields: Vec<wire::Field>,
    length: Option<u64>,
}

impl Told {
    fn new(answer: Answer) -> (Told, Attempt) {
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let told = Told { status, fields: answer.fields, length: answer.length };
        (told, answer.attempt)
    }

    /// Whether the answer has no body.
    fn is_bare(&self, is_head: bool) -> bool {
        let bare = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
        is_head || bare.contains(&self.status) || self.length == Some(0)
    }

    /// Whether the body is held whole before the answer begins. One that is cut is then told as
    /// such, with a code.
    fn is_small(&self) -> bool {
        self.length.is_some_and(|length| length <= PIECE_LIMIT as u64)
    }

    fn respond(self, node: &Node, id: u64, body: ResponseBody) -> WebResponse {
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        wire::add_fields(response.headers_mut(), &self.fields);
        insert(response.headers_mut(), headers::REQUEST_ID.as_str(), &format!("{id:016x}"));
        if node.is_draining() {
            insert(response.headers_mut(), "connection", "close");
        }
        response
    }
}

/// Reads a small body. None where it was cut.
async fn collect(mut attempt: Attempt) -> Option<Bytes> {
    let mut body = BytesMut::new();
    loop {
        match attempt.events.recv().await? {
            Event::Chunk(bytes) => body.extend_from_slice(&bytes),
            Event::End => return Some(body.freeze()),
            Event::Said(_) => return None,
        }
    }
}

/// Passes an answer's body on. One that is cut gets no end, so that the caller sees it is cut.
async fn pump(mut attempt: Attempt, pieces: mpsc::Sender<Piece>, _busy: Busy) {
    while let Some(event) = attempt.events.recv().await {
        let piece = match event {
            Event::Chunk(bytes) => Piece::Data(bytes),
            Event::End => Piece::End,
            _ => return,
        };
        let is_end = piece == Piece::End;
        if pieces.send(piece).await.is_err() || is_end {
            // The caller's connection still writes the last pieces.
            pieces.closed().await;
            return;
        }
    }
}
