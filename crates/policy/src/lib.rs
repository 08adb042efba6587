//! The decisions of bamboowheel as plain state machines.
//!
//! Nothing here opens a socket, reads a clock, spawns a task or uses a global random number
//! generator. The caller passes the time and a seeded generator with each event, and receives the
//! actions to take. A node drives these state machines over sockets, and tests and benchmarks drive
//! them in virtual time.

mod admission;
mod bucket;
mod bytes;
mod call;
mod choice;
mod connections;
mod crashes;
mod elapsed;
mod entry;
mod era;
mod guard;
mod knee;
mod leftover;
mod limit;
mod load;
mod median;
mod member;
mod members;
mod named_rate;
mod once;
mod pace;
mod picker;
mod queue;
mod quota;
mod rate;
mod retries;
mod rollout;
pub mod room;
mod service;
mod shutdown;
mod slowness;
mod subset;
mod suspects;
mod time;
mod versions;
mod warmth;
mod watch;

pub use admission::{Admission, Decision, Refusal, SlotRequest};
pub use bucket::TokenBucket;
pub use bytes::{BodyKind, ByteBudget};
pub use call::{AttemptError, CallSpec, CallState, Step};
pub use choice::{Candidate, Report, RequestEstimate, TargetView, choose};
pub use connections::{CallerConnection, ConnectionPhase, longest_idle};
pub use crashes::{CrashNotice, CrashReport, Crashes, RunPermit};
pub use elapsed::ElapsedTime;
pub use entry::Entry;
pub use era::{EraMerge, reread_wait_us, rewrite_wait_us};
pub use guard::{DispatchOutcome, DispatchRequest, Guard, GuardAction, WarmupSettings};
pub use knee::{Knee, Occupancy};
pub use limit::ConcurrencyLimit;
pub use load::{Load, Phase};
pub use median::Median;
pub use member::{Health, Member, MemberAction, MemberMessage, MessageKind};
pub use members::Members;
pub use named_rate::NamedRate;
pub use once::{
    IdempotencyRecord, IdempotencyState, IdempotencyStep, KeyedAttempt, StoredAnswer, TableReply,
};
pub use pace::SlowdownDetector;
pub use picker::{AttemptResult, Picker, Route};
pub use queue::{Queue, QueuedRequest};
pub use quota::{
    Keeper, OutgoingAsk, QuotaAdmission, QuotaClient, QuotaToken, QuotaTolerance, TokenAsk,
    TokenGrant, TokenReply, TokenRequest,
};
pub use rate::RateWindow;
pub use retries::{RetryBound, RetryBudget};
pub use rollout::{
    Coordinator, Evidence, EvidenceReport, Exposure, ExposureGrant, ExposureLimit, RouteEvidence,
    coordinator_order, route_id,
};
pub use room::Urgency;
pub use service::ServiceState;
pub use shutdown::Shutdown;
pub use subset::{LinkCandidate, select_subset};
pub use suspects::{Fingerprint, Permit, Quarantine, SuspectRequest};
pub use time::Time;
pub use versions::ActiveConfig;
pub use warmth::Warmth;
pub use watch::{BEACON_INTERVAL_US, PassOn, VALID_US, Watcher, Watchers, ruleset_wait_us};
