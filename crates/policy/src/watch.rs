//! Selection of the nodes that watch the operator's table in the store. Calls to the store are
//! charged for and limited, so that only a few nodes of each data centre watch it, and the others
//! receive changes from these.

/// Nodes of a data centre that watch the table: one, and a spare in case it is lost.
const WATCHERS: usize = 2;
/// Limit of the nodes of a data centre that try to watch while the store refuses some of them.
const MAX_CANDIDATES: usize = 4;

/// Returns whether a node is to watch the table itself. `earlier` has an item for each live node of
/// its data centre whose name sorts before its own: whether the store answers that node.
pub fn should_watch(earlier: impl Iterator<Item = bool>) -> bool {
    let (nodes, answered) =
        earlier.fold((0, 0), |(nodes, answered), ok| (nodes + 1, answered + usize::from(ok)));
    answered < WATCHERS && nodes < MAX_CANDIDATES
}
