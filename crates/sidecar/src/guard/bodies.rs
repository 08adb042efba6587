//! Bodies of answers, held whole within limits on one answer and on all of the node together.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use policy::ByteBudget;

/// The longest body of an answer: an eighth of the memory that the smallest VMs give a node.
const MAX_ANSWER_BYTES: usize = 20_000_000;
/// Share of the node's memory that bodies may take up while they are received.
const MEMORY_SHARE: u64 = 4;

/// The memory for bodies that are being received. Clones share it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    budget: Rc<RefCell<ByteBudget>>,
}

/// Part of the memory for bodies. Dropping it gives it back.
#[derive(Debug)]
pub struct HeldMemory {
    memory: BodyMemory,
    bytes: usize,
}

impl BodyMemory {
    /// Creates it for a node that may use `memory_bytes` in all.
    pub fn new(memory_bytes: u64) -> BodyMemory {
        let most = usize::try_from(memory_bytes / MEMORY_SHARE).unwrap_or(usize::MAX);
        BodyMemory { budget: Rc::new(RefCell::new(ByteBudget::new(most))) }
    }

    /// Returns a part without bytes, to which bytes are added as they arrive.
    fn open(&self) -> HeldMemory {
        HeldMemory { memory: self.clone(), bytes: 0 }
    }

    /// Returns a part for a body of known length. `None` if there is not enough left, or if the
    /// body is longer than any answer may be.
    pub fn hold(&self, bytes: usize) -> Option<HeldMemory> {
        let mut held = self.open();
        held.add(bytes).then_some(held)
    }

    /// Reads a target's whole body. An error describes what is wrong with it.
    pub(super) async fn read(&self, mut body: Incoming) -> Result<Bytes, String> {
        let mut held = self.open();
        let mut whole = BytesMut::new();
        let mut single: Option<Bytes> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| format!("the answer is cut: {error}"))?;
            let Ok(data) = frame.into_data() else { continue };
            if !held.add(data.len()) {
                return Err("the answer is longer than the node can hold".to_owned());
            }
            // Most bodies arrive in one piece, which need not be copied.
            match single.take() {
                None if whole.is_empty() => single = Some(data),
                None => whole.extend_from_slice(&data),
                Some(first) => {
                    whole.extend_from_slice(&first);
                    whole.extend_from_slice(&data);
                }
            }
        }
        Ok(single.unwrap_or_else(|| whole.freeze()))
    }
}

impl HeldMemory {
    /// Adds bytes. Returns false if there is not enough left or the body would be too long.
    fn add(&mut self, bytes: usize) -> bool {
        let is_short = self.bytes + bytes <= MAX_ANSWER_BYTES;
        let fits = is_short && self.memory.budget.borrow_mut().take(bytes);
        self.bytes += if fits { bytes } else { 0 };
        fits
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.memory.budget.borrow_mut().give_back(self.bytes);
    }
}
