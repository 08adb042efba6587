//! Bodies of requests and answers, held whole within one limit on all of the node together.

use std::future::Future;
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
        BodyMemory { shared: Arc::new(Shared { budget, short: Notify::new() }) }
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

    /// Returns the buffer of an answer's body, once there is room for `length` bytes. Fails at once
    /// if no answer may be so long.
    pub async fn receive_answer(&self, length: usize) -> Result<BodyBuffer, BodyFault> {
        let held = self.open(BodyKind::Answer);
        let mut buffer = BodyBuffer { bytes: Vec::new(), held, most: MAX_ANSWER_BYTES };
        buffer.wait_for_room(length).await?;
        Ok(buffer)
    }

    /// Reads a target's whole body. An error describes what is wrong with it.
    pub(super) async fn read(&self, mut body: Incoming) -> Result<Bytes, String> {
        let length = body.size_hint().exact().unwrap_or(0);
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let too_long = |_| "the answer is longer than the node can hold".to_owned();
        let mut buffer = self.receive_answer(length).await.map_err(too_long)?;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| format!("the answer is cut: {error}"))?;
            let Ok(data) = frame.into_data() else { continue };
            buffer.wait_for_room(data.len()).await.map_err(too_long)?;
            buffer.extend(&data).map_err(too_long)?;
        }
        Ok(buffer.freeze())
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

    /// Makes room for `more` bytes once there is any.
    async fn wait_for_room(&mut self, more: usize) -> Result<(), BodyFault> {
        loop {
            match self.grow(more) {
                Err(BodyFault::NoRoom) => tokio::time::sleep(ROOM_CHECK).await,
                other => return other,
            }
        }
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
