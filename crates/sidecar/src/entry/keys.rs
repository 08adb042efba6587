//! Keys of callers: the workspace of a request, and the refusal of requests without a valid key.

use http::StatusCode;
use http::header::AUTHORIZATION;
use http::request::Parts;
use platform::headers;
use wire::Field;
use world::{Code, KeyDigest, Name, Quota, RouteRule, Ruleset, Workspace};

use crate::entry::callers::host;
use crate::entry::responses::CallerResponse;
use crate::entry::state::Entry;

/// The most that a route's priority adds to a rank that a workspace's priority leads.
const MAX_ROUTE_PRIORITY: u32 = 0xffff;

/// The workspace of a request's key.
#[derive(Clone, Debug)]
pub(super) struct KeyHolder {
    /// The workspace's name.
    pub name: Name,
    /// The limit of its requests. `None` for no limit.
    pub quota: Option<Quota>,
    /// Its rank, before that of the route. `None` if the route's counts alone.
    pub priority: Option<u16>,
    /// The key with which the request came.
    digest: KeyDigest,
}

impl KeyHolder {
    fn new(workspace: &Workspace, digest: KeyDigest) -> KeyHolder {
        let Workspace { name, quota, priority, .. } = workspace;
        KeyHolder { name: name.clone(), quota: *quota, priority: *priority, digest }
    }

    /// Returns whether a ruleset needs no key, or the workspace still holds this one.
    fn is_valid(&self, ruleset: &Ruleset) -> bool {
        let workspaces = &ruleset.routing.workspaces;
        let is_own = |holder: &Workspace| holder.name == self.name;
        workspaces.is_empty() || workspaces.holder(&self.digest).is_some_and(is_own)
    }
}

/// Why a request is refused for its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refused {
    /// 401, or 503 if a newer ruleset may hold the key.
    status: StatusCode,
    /// `missing`, `unknown` or `withdrawn`.
    reason: &'static str,
}

impl Entry {
    /// Refuses a request whose route needs a key that its head does not have, before its body is
    /// read. A request without a route is refused when it is served. Returns the workspace of the
    /// key.
    pub(super) fn check_key(&self, head: &Parts) -> Result<Option<KeyHolder>, Refused> {
        let Some(ruleset) = self.ruleset.current() else { return Ok(None) };
        if ruleset.routing.workspaces.is_empty() {
            return Ok(None);
        }
        let found = host(head).and_then(|host| ruleset.routing.route(host, head.uri.path()));
        found.map_or(Ok(None), |route| self.admit_key(head, route, &ruleset))
    }

    /// Returns the workspace of a request's key. `None` where requests need no key.
    pub(super) fn admit_key(
        &self,
        head: &Parts,
        route: &RouteRule,
        ruleset: &Ruleset,
    ) -> Result<Option<KeyHolder>, Refused> {
        let workspaces = &ruleset.routing.workspaces;
        if workspaces.is_empty() || route.public {
            return Ok(None);
        }
        let key = headers::caller_key(&head.headers).ok_or_else(|| self.refused("missing"))?;
        let digest = KeyDigest::of(key);
        let workspace = workspaces.holder(&digest).ok_or_else(|| self.refused("unknown"))?;
        Ok(Some(KeyHolder::new(workspace, digest)))
    }

    /// Checks that the ruleset in force still has the key of a request.
    pub(super) fn confirm_key(&self, holder: Option<&KeyHolder>) -> Result<(), Refused> {
        let (Some(holder), Some(ruleset)) = (holder, self.ruleset.current()) else { return Ok(()) };
        holder.is_valid(&ruleset).then_some(()).ok_or_else(|| self.refused("withdrawn"))
    }

    fn refused(&self, reason: &'static str) -> Refused {
        // A newer ruleset that this node does not have yet may contain the key.
        let status = match self.peers.is_ruleset_current() {
            true => StatusCode::UNAUTHORIZED,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        Refused { status, reason }
    }

    /// Builds the response to a request that is refused for its key.
    pub(super) fn refuse_key(&self, refused: Refused, head: &Parts) -> CallerResponse {
        self.metrics.record_key_refusal(refused.reason);
        self.refuse_unroutable(Code::KeyUnauthorized, refused.status, head)
    }
}

/// Returns the end-to-end headers of a request as targets receive them: without those that only
/// nodes set, and without the caller's key where keys are in use.
pub(super) fn fields(head: &Parts, workspace: Option<&KeyHolder>, ruleset: &Ruleset) -> Vec<Field> {
    let mut excluded = vec![
        headers::TIMEOUT_MS,
        headers::TARGET_INSTANCE,
        headers::CALLER_SERVICE,
        headers::WORKSPACE,
    ];
    if !ruleset.routing.workspaces.is_empty() {
        excluded.push(AUTHORIZATION);
    }
    let mut fields = wire::end_to_end(&head.headers, &excluded);
    fields.extend(workspace.map(|workspace| Field {
        name: headers::WORKSPACE.as_str().to_owned(),
        value: workspace.name.as_bytes().to_vec(),
    }));
    fields
}

/// Returns the rank of a request under overload: that of its workspace, then that of its route.
pub(super) fn rank(workspace: Option<&KeyHolder>, route_priority: u32) -> u32 {
    match workspace.and_then(|workspace| workspace.priority) {
        Some(priority) => u32::from(priority) << 16 | route_priority.min(MAX_ROUTE_PRIORITY),
        None => route_priority,
    }
}
