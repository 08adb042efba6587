//! A bound on the bytes that a node holds for all unfinished answers together.

/// The bytes that may be held, and those that are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteBudget {
    most: usize,
    /// Never above `most`.
    held: usize,
}

impl ByteBudget {
    /// Creates a budget of `most` bytes, none of which are held.
    pub fn new(most: usize) -> ByteBudget {
        ByteBudget { most, held: 0 }
    }

    /// Takes bytes from the budget. Returns false and takes none if fewer are left.
    pub fn take(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.most - self.held;
        self.held += if fits { bytes } else { 0 };
        fits
    }

    /// Returns bytes that were taken.
    pub fn give_back(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }
}
