//! Revisions of the operator's table.

use derive_more::{From, Into};

/// Bits of a revision that hold the version.
const VERSION_BITS: u32 = 48;
/// The highest version that is told from the next one.
const MAX_VERSION: u64 = (1 << VERSION_BITS) - 1;
/// The highest era that is told from the next one.
const MAX_ERA: u64 = u64::MAX >> VERSION_BITS;

/// A revision of the operator's table: the store's era, then its version in that era. The store comes
/// back from an older copy with each new era, and gives out versions again, so that neither orders
/// revisions alone.
///
/// Nodes exchange it as one number with the era in its upper 16 bits. In era 0 that is the version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, From, Into)]
pub struct Revision(u64);

impl Revision {
    /// Creates a revision. An era or a version that is too high counts as the highest one.
    pub fn new(era: u64, version: u64) -> Revision {
        Revision(era.min(MAX_ERA) << VERSION_BITS | version.min(MAX_VERSION))
    }

    /// Returns the store's era; 0 if the store has none.
    pub fn era(self) -> u64 {
        self.0 >> VERSION_BITS
    }

    /// Returns the store's version in its era.
    pub fn version(self) -> u64 {
        self.0 & MAX_VERSION
    }
}
