//! Messages between the nodes of a deployment that is described by an inventory.

use policy::{Fingerprint, Load, Member, MemberMessage, SuspectRequest};
use serde::{Deserialize, Serialize};
use world::{Class, Code, Config, Name};

/// An HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// The name in lower case.
    pub name: String,
    /// The value as received, which need not be UTF-8.
    pub value: Vec<u8>,
}

/// The first frame of an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Open {
    /// Asks a guard to run a request. Answered by [`Verdict`]s.
    Call(Box<Call>),
    /// Asks for the load of the target behind this guard. Answered by [`Reply::Load`].
    Probe,
    /// Compares member lists by the digests of their buckets (anti-entropy). Answered by
    /// [`Reply::Members`]; the opener then sends its own members of the differing buckets.
    Sync(Vec<u64>),
    /// Asks for the configuration if it is newer. Answered by [`Reply::Config`].
    Fetch {
        /// The version in force at the opener.
        version: u64,
        /// The version in which the opener's inventory document last changed.
        base: u64,
    },
    /// Reports requests that may crash targets, or that proved not to. Answered by [`Reply::Noted`].
    Suspect(Vec<Suspect>),
    /// Asks for every request that may crash targets. Answered by [`Reply::Suspects`].
    Suspects,
    /// Carries a membership message in a datagram. Any answer is a datagram of its own.
    Member(Box<MemberMessage>),
}

/// A change to what is known of a request that may crash its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Suspect {
    /// The connection to a target broke while the request ran.
    Broke(SuspectRequest),
    /// The request was answered, so it is no longer suspected.
    Cleared(Fingerprint),
}

/// One attempt to run a request, as its entry sends it to a guard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Identifies the caller's request. Every attempt of the request has the same number.
    pub request: u64,
    /// The service whose target is to run it.
    pub service: Name,
    /// The priority class, by which the guard admits and queues it.
    pub class: Class,
    /// Time until the answer must begin, in microseconds from the frame's arrival.
    pub left_us: u64,
    /// The HTTP method, unchanged from the caller.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The end-to-end headers.
    pub fields: Vec<Field>,
    /// The body's length in bytes, absent if the caller did not give it.
    pub length: Option<u64>,
    /// The idempotency key, present if the request may run at most once.
    pub key: Option<String>,
    /// The fingerprint by which a request that crashes targets is recognised.
    pub print: Fingerprint,
    /// Whether the guard refuses it if it cannot start at once.
    pub spare: bool,
    /// The first bytes of the body, sent in this frame.
    pub prefix: Vec<u8>,
    /// Whether `prefix` holds the whole body.
    pub whole: bool,
}

/// A guard's response to a [`Call`]. `Wait` is followed by `Refused`, or by `Run` and then
/// `Failed` or `Head`. If the call held its whole body, `Head` may be the only one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request is queued.
    Wait,
    /// The request is dispatched, and the rest of its body can be sent. Holds the load if known.
    Run(Option<Load>),
    /// The target slowed down while it runs the request.
    Slow,
    /// The request was not dispatched.
    Refused {
        /// The error number for the caller.
        code: Code,
        /// Whether neither this request nor any other with its key ran.
        not_run: bool,
        /// The load at the time of the refusal.
        load: Option<Load>,
    },
    /// The request was dispatched, and there is no answer.
    Failed {
        /// The error number for the caller.
        code: Code,
        /// Whether the request certainly did not run.
        not_run: bool,
        /// The load after the failure.
        load: Option<Load>,
    },
    /// The answer began. Its body follows as plain bytes until the stream ends.
    Head {
        /// The request number of the call, by which the entry detects a mixed-up answer.
        request: u64,
        /// The HTTP status code of the target.
        status: u16,
        /// The end-to-end headers.
        fields: Vec<Field>,
        /// The body's length in bytes, absent if the target did not give it.
        length: Option<u64>,
        /// The load after the answer began.
        load: Option<Load>,
    },
}

/// The answer to an exchange other than a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Answers [`Open::Probe`].
    Load(Load),
    /// Answers [`Open::Sync`] with the members of the buckets whose digests differ.
    Members {
        /// The digests of the answering node, one for each bucket.
        summary: Vec<u64>,
        /// What the answering node knows of these members.
        members: Vec<Member>,
    },
    /// Answers [`Open::Fetch`], with a configuration only if there is a newer one. Its document is
    /// empty if the opener has the same document already.
    Config(Option<Box<Config>>),
    /// Acknowledges [`Open::Suspect`].
    Noted,
    /// Answers [`Open::Suspects`] with every suspected or convicted request.
    Suspects(Vec<SuspectRequest>),
}
