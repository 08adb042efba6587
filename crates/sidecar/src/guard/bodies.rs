//! Bodies of requests and answers, held whole within one limit on all of the node together.

use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use policy::{BodyKind, ByteBudget};
use tokio::sync::Notify;

/// The longest body of an answer: an eighth of the memory that the smallest VMs give a node.
const MAX_ANSWER_BYTES: usize = 20_000_000;
/// Share of the node's memory that bodies may take up, in eighths.
const MEMORY_EIGHTHS: u64 = 5;
/// How often a body that waits for room asks for it again.
const ROOM_CHECK: Duration = Duration::from_millis(50);
/// How often an answer asks for room before an answer of unknown length is ended for it.
const PATIENT_CHECKS: u32 = 4;

/// The memory for bodies. Clones share it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    budget: Mutex<ByteBudget>,
    /// Notified when there is too little room.
    short: Notify,
    /// Answers of the target that do not tell their length, in the order in which they began.
    growing: Mutex<Vec<Arc<Growing>>>,
}

/// An answer of the target that does not tell its length and may have no end.
#[derive(Debug, Default)]
struct Growing {
    /// The bytes that are held for it.
    bytes: AtomicUsize,
    /// Whether it is to end, so that others get its memory.
    is_ended: AtomicBool,
    /// Notified when it is to end.
    ended: Notify,
}

/// Keeps an answer listed as growing until it is dropped.
struct GrowingAnswer<'a> {
    memory: &'a BodyMemory,
    growing: Arc<Growing>,
}

/// Part of the memory for bodies. Dropping it gives it back.
#[derive(Debug)]
pub struct HeldMemory {
    memory: BodyMemory,
    kind: BodyKind,
    bytes: usize,
}

/// A body that arrives, in one buffer that never exceeds the memory that is held for it.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    held: HeldMemory,
    /// The longest body.
    most: usize,
}

/// Why a body cannot grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It is longer than the longest body.
    TooLong,
    /// The node has no memory left for it.
    NoRoom,
}

impl BodyMemory {
    /// Creates it for a node that may use `memory_bytes` in all.
    pub fn new(memory_bytes: u64) -> BodyMemory {
        let most = usize::try_from(memory_bytes / 8 * MEMORY_EIGHTHS).unwrap_or(usize::MAX);
        let budget = Mutex::new(ByteBudget::new(most));
        BodyMemory {
            shared: Arc::new(Shared { budget, short: Notify::new(), growing: Mutex::default() }),
        }
    }

    /// Returns a part without bytes.
    pub fn open(&self, kind: BodyKind) -> HeldMemory {
        HeldMemory { memory: self.clone(), kind, bytes: 0 }
    }

    /// Returns the buffer of a request's body of at most `most` bytes, with room for `length` bytes.
    pub fn receive(&self, length: usize, most: usize) -> Result<BodyBuffer, BodyFault> {
        let held = self.open(BodyKind::Request);
        let mut buffer = BodyBuffer { bytes: Vec::new(), held, most };
        buffer.grow(length)?;
        Ok(buffer)
    }

    /// Returns the buffer for the body of an answer from another node, once there is room for `length`
    /// bytes. Fails at once if no answer may be so long.
    pub async fn receive_answer(&self, length: usize) -> Result<BodyBuffer, BodyFault> {
        self.answer_buffer(BodyKind::Answer, length).await
    }

    async fn answer_buffer(&self, kind: BodyKind, length: usize) -> Result<BodyBuffer, BodyFault> {
        let held = self.open(kind);
        let mut buffer = BodyBuffer { bytes: Vec::new(), held, most: MAX_ANSWER_BYTES };
        buffer.wait_for_room(length).await?;
        Ok(buffer)
    }

    /// Reads a target's whole body. An error describes what is wrong with it.
    pub(super) async fn read(&self, body: Incoming) -> Result<Bytes, String> {
        match body.size_hint().exact() {
            Some(length) => {
                let length = usize::try_from(length).unwrap_or(usize::MAX);
                self.read_into(body, length, None).await
            }
            None => {
                let answer = self.track_growing();
                let growing = Some(&*answer.growing);
                tokio::select! {
                    biased;
                    () = answer.growing.ended.notified() => {
                        Err("an answer of unknown length was ended to make room".to_owned())
                    }
                    read = self.read_into(body, 0, growing) => read,
                }
            }
        }
    }

    /// Reads a target's body of `length` bytes or more.
    async fn read_into(
        &self,
        mut body: Incoming,
        length: usize,
        growing: Option<&Growing>,
    ) -> Result<Bytes, String> {
        let too_long = |_| "the answer is longer than the node can hold".to_owned();
        let buffer = self.answer_buffer(BodyKind::TargetAnswer, length).await;
        let mut buffer = buffer.map_err(too_long)?;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| format!("the answer is cut: {error}"))?;
            let Ok(data) = frame.into_data() else { continue };
            buffer.wait_for_room(data.len()).await.map_err(too_long)?;
            buffer.extend(&data).map_err(too_long)?;
            if let Some(growing) = growing {
                growing.bytes.store(buffer.held.bytes, Ordering::Relaxed);
            }
        }
        Ok(buffer.freeze())
    }

    fn track_growing(&self) -> GrowingAnswer<'_> {
        let growing = Arc::<Growing>::default();
        self.growing().push(growing.clone());
        GrowingAnswer { memory: self, growing }
    }

    /// Ends the growing answer that holds the most memory, if that makes room for `more` bytes.
    fn end_growing(&self, more: usize) {
        let growing = self.growing();
        let open = growing.iter().filter(|one| !one.is_ended.load(Ordering::Relaxed));
        let Some(most) = open.max_by_key(|one| one.bytes.load(Ordering::Relaxed)) else { return };
        let bytes = most.bytes.load(Ordering::Relaxed);
        if bytes >= more {
            tracing::info!(bytes, more, "target: ends an answer of unknown length to make room");
            most.is_ended.store(true, Ordering::Relaxed);
            most.ended.notify_one();
        }
    }

    fn growing(&self) -> MutexGuard<'_, Vec<Arc<Growing>>> {
        self.shared.growing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until there is too little room for a body.
    pub fn short(&self) -> impl Future<Output = ()> + '_ {
        self.shared.short.notified()
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.budget().held()
    }

    fn budget(&self) -> MutexGuard<'_, ByteBudget> {
        self.shared.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HeldMemory {
    /// Takes more bytes. Returns false if there are not enough left.
    pub fn add(&mut self, bytes: usize) -> bool {
        let fits = self.memory.budget().take(self.kind, self.bytes, bytes);
        self.bytes += if fits { bytes } else { 0 };
        if !fits {
            self.memory.shared.short.notify_one();
        }
        fits
    }

    /// Returns the bytes that it holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Gives back all but `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.memory.budget().give_back(self.kind, surplus);
        self.bytes -= surplus;
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

impl BodyBuffer {
    /// Appends bytes, and takes memory for them where there is none yet.
    pub fn extend(&mut self, data: &[u8]) -> Result<(), BodyFault> {
        self.grow(data.len())?;
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the body, which gives back its memory when its last copy is dropped.
    pub fn freeze(mut self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        // Pages beyond the length were never written.
        self.held.shrink(self.bytes.len());
        Bytes::from_owner(self)
    }

    /// Makes room for `more` bytes.
    fn grow(&mut self, more: usize) -> Result<(), BodyFault> {
        let needed = self.bytes.len().saturating_add(more);
        if needed > self.most {
            return Err(BodyFault::TooLong);
        }
        if needed <= self.bytes.capacity() {
            return Ok(());
        }
        let capacity = needed.max(2 * self.bytes.capacity()).min(self.most);
        if !self.held.add(capacity - self.held.bytes) {
            return Err(BodyFault::NoRoom);
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    /// Makes room for `more` bytes once there is any. A wait that lasts ends answers of unknown length.
    async fn wait_for_room(&mut self, more: usize) -> Result<(), BodyFault> {
        let mut checks = 0;
        loop {
            match self.grow(more) {
                Err(BodyFault::NoRoom) if checks >= PATIENT_CHECKS => {
                    self.held.memory.end_growing(more);
                }
                Err(BodyFault::NoRoom) => checks += 1,
                other => return other,
            }
            tokio::time::sleep(ROOM_CHECK).await;
        }
    }
}

impl Drop for GrowingAnswer<'_> {
    fn drop(&mut self) {
        self.memory.growing().retain(|other| !Arc::ptr_eq(other, &self.growing));
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
