//! Selection of the targets that an entry keeps links to.
//!
//! An entry of a large fleet links to a few targets of each service. They are ranked by a hash of
//! the entry's and the target's names (rendezvous hashing), so that every target is in the subsets
//! of some entries, different entries have different subsets, and a change of the fleet replaces
//! only the targets that it concerns.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A service with at most this many targets is linked to whole.
const SMALL_SERVICE: usize = 8;
/// Targets in the entry's data centre that are linked to, if there are so many.
const NEAR_TARGETS: usize = 5;
/// All targets of a service that are linked to, if there are so many.
const TARGETS: usize = 8;
/// All targets that are linked to of a service with few targets: each of them is in the subsets of
/// more entries than the targets of a large service.
const TARGETS_OF_FEW: usize = 5;
/// A service with fewer targets than this has few.
const FEW_TARGETS: usize = 48;

/// A target that an entry may link to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkCandidate<'a> {
    /// The name of the node in front of it.
    pub name: &'a str,
    /// Whether it is in the entry's data centre.
    pub near: bool,
    /// Whether it can be used as far as the entry knows. Others are not counted, and are kept in
    /// the subset only where they rank before the last usable one.
    pub usable: bool,
}

/// Returns the indices of the targets of one service that an entry links to, in ascending order.
pub fn select_subset(entry: &str, candidates: &[LinkCandidate<'_>]) -> Vec<usize> {
    let most = match candidates.len() {
        count if count <= SMALL_SERVICE => return (0..count).collect(),
        count if count < FEW_TARGETS => TARGETS_OF_FEW,
        _ => TARGETS,
    };
    let seed = xxh3_64(entry.as_bytes());
    let hash = |at: &usize| xxh3_64_with_seed(candidates[*at].name.as_bytes(), seed);
    let (mut near, mut far): (Vec<usize>, Vec<usize>) =
        (0..candidates.len()).partition(|at| candidates[*at].near);
    near.sort_by_cached_key(hash);
    far.sort_by_cached_key(hash);
    let far_most = most - usable(candidates, &near).min(most * NEAR_TARGETS / TARGETS);
    let mut chosen = take_usable(candidates, &far, far_most);
    let near_most = most - usable(candidates, &chosen).min(most);
    chosen.extend(take_usable(candidates, &near, near_most));
    chosen.sort_unstable();
    chosen
}

/// Returns how many items of a list are usable.
fn usable(candidates: &[LinkCandidate<'_>], list: &[usize]) -> usize {
    list.iter().filter(|at| candidates[**at].usable).count()
}

/// Returns the first items of a ranked list up to the usable one number `most`, or all if there are
/// fewer.
fn take_usable(candidates: &[LinkCandidate<'_>], ranked: &[usize], most: usize) -> Vec<usize> {
    let mut left = most;
    let first = ranked.iter().copied().take_while(|at| {
        let takes = left > 0;
        left -= usize::from(takes && candidates[*at].usable);
        takes
    });
    first.collect()
}
