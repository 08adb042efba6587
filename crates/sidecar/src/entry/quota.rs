//! Quotas of workspaces at the entry: each request takes a token or is refused.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use http::request::Parts;
use platform::headers;
use policy::{
    OutgoingAsk, QuotaAdmission, QuotaClient, QuotaToken, QuotaTolerance, Time, TokenBucket,
};
use rand::Rng;
use tokio::sync::Notify;
use world::{Code, Name, Quota};

use crate::configuration::ActiveRuleset;
use crate::entry::keys::KeyHolder;
use crate::entry::responses::{CallerResponse, error_response, set_retry_after};
use crate::entry::state::Entry;
use crate::metrics::Metrics;
use crate::peers::Peers;

/// The time between two checks of what to ask keepers.
const CHECK: Duration = Duration::from_millis(50);
/// The time between two looks at the member list, in microseconds.
const MEMBERS_US: u64 = 200_000;
/// The longest wait of a request for a token: as long as a keeper has to answer, since a busy one is
/// still sooner than a caller that comes back.
const TOKEN_WAIT: Duration = Duration::from_millis(200);
/// Callers are told to return between this and `SPREAD.1` times the time until there is room.
const SPREAD: (f64, f64) = (1.0, 1.5);
/// The least spread of callers that return, in seconds.
const MIN_SPREAD_S: f64 = 0.1;
/// Limit on log lines about workspaces at their limits.
const LIMIT_LINES_PER_S: f64 = 0.5;
/// Limit on log lines about other keepers, and how many may come at once.
const KEEPER_LINES: (f64, f64) = (1.0, 16.0);

/// How long a caller over its quota is to wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wait {
    /// The time until it may return, in seconds.
    pub seconds: f64,
}

/// The quotas of workspaces as this entry applies them. Without bounds in the settings, or
/// workspaces in the ruleset, it does nothing.
#[derive(Debug)]
pub struct Quotas {
    peers: Rc<Peers>,
    rules: Rc<ActiveRuleset>,
    metrics: Rc<Metrics>,
    /// `None` without bounds.
    client: RefCell<Option<QuotaClient>>,
    /// When the client last took over the member list.
    members_at: Cell<Time>,
    /// Notified when a request waits for a question.
    wanted: Notify,
    /// Notified at each answer.
    answered: Notify,
    /// The keepers that were last logged.
    keepers: RefCell<Vec<(Option<Name>, bool)>>,
    keeper_lines: RefCell<TokenBucket>,
    limit_lines: RefCell<TokenBucket>,
}

impl Quotas {
    /// Starts to apply quotas by the bounds of the settings; `None` for not at all.
    pub fn spawn(
        peers: Rc<Peers>,
        rules: Rc<ActiveRuleset>,
        metrics: Rc<Metrics>,
        bounds: Option<QuotaTolerance>,
    ) -> Rc<Quotas> {
        let quotas = Rc::new(Quotas {
            peers,
            rules,
            metrics,
            client: RefCell::default(),
            members_at: Cell::default(),
            wanted: Notify::new(),
            answered: Notify::new(),
            keepers: RefCell::default(),
            keeper_lines: RefCell::new(TokenBucket::new(KEEPER_LINES.1, KEEPER_LINES.0)),
            limit_lines: RefCell::new(TokenBucket::new(1.0, LIMIT_LINES_PER_S)),
        });
        quotas.set_bounds(bounds);
        tokio::task::spawn_local(quotas.clone().run());
        quotas
    }

    /// Replaces the bounds after the settings changed. Bounds that were removed stay in force until
    /// the node restarts.
    pub fn set_bounds(&self, bounds: Option<QuotaTolerance>) {
        let Some(bounds) = bounds else { return };
        self.peers.set_quota_bounds(bounds);
        let node = self.peers.local_node().name.clone();
        match &mut *self.client.borrow_mut() {
            Some(client) => client.set_bounds(bounds),
            client => *client = Some(QuotaClient::new(self.now(), node, bounds)),
        }
        self.wanted.notify_one();
    }

    /// Refuses a request of a workspace that is known to be at its limit, without a question.
    pub fn check(&self, workspace: &Name, quota: Quota) -> Result<(), Wait> {
        let now = self.now();
        let refused = self.with_client(|client| client.check(now, workspace, quota)).flatten();
        refused.map_or(Ok(()), |wait_us| Err(self.refuse(workspace, wait_us)))
    }

    /// Takes a token for a request of a workspace, and waits for one for a short time.
    pub async fn admit(&self, workspace: &Name, quota: Quota) -> Result<Option<QuotaToken>, Wait> {
        let now = self.now();
        let Some(mut admission) = self.with_client(|client| client.admit(now, workspace, quota))
        else {
            return Ok(None);
        };
        let until = tokio::time::Instant::now() + TOKEN_WAIT;
        loop {
            let round = match admission {
                QuotaAdmission::Admitted(token) => return Ok(Some(token)),
                QuotaAdmission::Refused(wait_us) => return Err(self.refuse(workspace, wait_us)),
                QuotaAdmission::Wait(round) => round,
            };
            let answered = self.answered.notified();
            self.wanted.notify_one();
            let is_answered = tokio::time::timeout_at(until, answered).await.is_ok();
            let now = self.now();
            let next = self.with_client(|client| match is_answered {
                true => client.retry(now, workspace, quota, round),
                false => client.last_resort(now, workspace, quota),
            });
            let Some(next) = next else { return Ok(None) };
            admission = next;
        }
    }

    /// Takes back the token of a request that no target was sent.
    pub fn give_back(&self, token: &QuotaToken) {
        let now = self.now();
        self.with_client(|client| client.give_back(now, token));
    }

    /// Counts a request that is sent to a further target. The next token of the workspace pays for
    /// it.
    pub fn charge(&self, workspace: &Name) {
        self.with_client(|client| client.charge(workspace));
    }

    /// Takes the charge for a request back that the further target was not sent.
    pub fn refund(&self, workspace: &Name) {
        self.with_client(|client| client.refund(workspace));
    }

    fn with_client<T>(&self, action: impl FnOnce(&mut QuotaClient) -> T) -> Option<T> {
        self.client.borrow_mut().as_mut().map(action)
    }

    fn now(&self) -> Time {
        self.peers.elapsed()
    }

    fn refuse(&self, workspace: &Name, wait_us: u64) -> Wait {
        self.metrics.quota_refused.inc();
        if self.limit_lines.borrow_mut().take(self.peers.now(), 1.0) {
            tracing::info!(workspace = &**workspace, wait_us, "quota: a workspace is at its limit");
        }
        let room_s = wait_us as f64 / 1e6;
        let latest_s = (room_s * SPREAD.1).max(room_s + MIN_SPREAD_S);
        Wait { seconds: rand::rng().random_range(room_s * SPREAD.0..latest_s) }
    }

    /// Asks keepers for what is wanted, for as long as the process runs.
    async fn run(self: Rc<Quotas>) {
        let mut revision = self.rules.subscribe();
        loop {
            let rules = self.rules.current();
            let rules = rules.filter(|rules| !rules.routing.workspaces.is_empty());
            let Some(rules) = rules.filter(|_| self.client.borrow().is_some()) else {
                tokio::select! {
                    _ = revision.changed() => {}
                    () = self.wanted.notified() => {}
                }
                continue;
            };
            let now = self.now();
            self.update_members(now);
            let asks = self.with_client(|client| client.asks(now, rules.revision));
            for outgoing in asks.unwrap_or_default() {
                tokio::task::spawn_local(self.clone().ask(outgoing, now));
            }
            self.log_keepers(now);
            let _ = tokio::time::timeout(CHECK, self.wanted.notified()).await;
        }
    }

    fn update_members(&self, now: Time) {
        if now.since(self.members_at.get()) < MEMBERS_US && self.members_at.get() != Time::default()
        {
            return;
        }
        let Some((fleet, up)) = self.peers.quota_members() else { return };
        self.members_at.set(now);
        self.with_client(|client| client.set_members(now, fleet, &up));
    }

    async fn ask(self: Rc<Quotas>, outgoing: OutgoingAsk, sent: Time) {
        let reply = self.peers.ask_tokens(&outgoing).await;
        let now = self.now();
        self.with_client(|client| match &reply {
            Some(reply) => client.answered(now, sent, &outgoing, reply),
            None => client.unanswered(now, &outgoing),
        });
        if reply.is_none() {
            self.metrics.quota_silent.inc();
        }
        self.answered.notify_waiters();
        // Requests may have waited for this question to end, or a vote has become possible.
        self.wanted.notify_one();
    }

    /// Logs the keepers that have changed since they were last logged.
    fn log_keepers(&self, now: Time) {
        let client = self.client.borrow();
        let Some(client) = client.as_ref() else { return };
        let mut known = self.keepers.borrow_mut();
        known.resize(client.keepers(now).count(), (None, false));
        for (slot, (known, (keeper, settled))) in
            known.iter_mut().zip(client.keepers(now)).enumerate()
        {
            let is_other = known.0.as_ref() != keeper || known.1 != settled;
            if is_other && self.keeper_lines.borrow_mut().take(now, 1.0) {
                let name = keeper.map(|name| &**name);
                tracing::info!(slot, keeper = name, settled, "quota: another keeper of a slot");
                *known = (keeper.cloned(), settled);
            }
        }
    }
}

impl Entry {
    /// Takes a token for a request. `None` where its workspace has no quota.
    pub(super) async fn take_token(
        &self,
        holder: Option<&KeyHolder>,
    ) -> Result<Option<QuotaToken>, Wait> {
        match holder.and_then(|holder| Some((&holder.name, holder.quota?))) {
            Some((workspace, quota)) => self.quotas.admit(workspace, quota).await,
            None => Ok(None),
        }
    }

    /// Takes back the token of a request that no target runs.
    pub(super) fn give_back(&self, token: Option<&QuotaToken>) {
        if let Some(token) = token {
            self.quotas.give_back(token);
        }
    }

    /// Counts a repeat of a request against the quota of its workspace.
    pub(super) fn charge_repeat(&self, token: Option<&QuotaToken>) {
        if let Some(token) = token {
            self.quotas.charge(&token.workspace);
        }
    }

    /// Takes back the charge for a repeat that no target runs.
    pub(super) fn refund_repeat(&self, token: Option<&QuotaToken>) {
        if let Some(token) = token {
            self.quotas.refund(&token.workspace);
        }
    }

    /// Returns the refusal of a request whose workspace is known to be at its limit.
    pub(super) fn refuse_known(
        &self,
        holder: Option<&KeyHolder>,
        head: &Parts,
    ) -> Option<CallerResponse> {
        let (workspace, quota) = holder.and_then(|holder| Some((&holder.name, holder.quota?)))?;
        let wait = self.quotas.check(workspace, quota).err()?;
        Some(self.refuse_quota(wait, holder, head))
    }

    /// Builds the response to a request over its workspace's quota.
    pub(super) fn refuse_quota(
        &self,
        wait: Wait,
        holder: Option<&KeyHolder>,
        head: &Parts,
    ) -> CallerResponse {
        if let Some(holder) = holder {
            self.metrics.record_workspace(&holder.name, "refused");
        }
        let id = head.headers.get(headers::REQUEST_ID);
        let code = Code::QuotaExceeded;
        let mut response = error_response(code, StatusCode::TOO_MANY_REQUESTS, id);
        set_retry_after(&mut response, wait.seconds);
        response
    }
}
