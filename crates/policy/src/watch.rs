//! Which nodes watch the operator's table. Calls to the store are priced and limited, so that a few
//! nodes of each data centre watch it, and the others learn from these.

/// Nodes of a data centre that watch the table: one, and another for when that is lost.
const WATCHERS: usize = 2;
/// Nodes of a data centre that try to, at most, where the store turns some of them away.
const TRYING: usize = 4;

/// Decides whether a node watches the table itself. `before` tells of each live node of its data
/// centre that comes before it by name whether the store answers that one.
pub fn should_watch(before: impl Iterator<Item = bool>) -> bool {
    let (live, answered) =
        before.fold((0, 0), |(live, answered), is| (live + 1, answered + usize::from(is)));
    answered < WATCHERS && live < TRYING
}
