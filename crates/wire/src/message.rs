//! The messages.

use policy::{Fingerprint, Load, Member, MemberMessage, SuspectRequest};
use serde::{Deserialize, Serialize};
use world::{Class, Code, Config, Name};

/// A header's name and value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// In lower case.
    pub name: String,
    /// As it came.
    pub value: Vec<u8>,
}

/// The first frame of an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Open {
    /// Run a request. Answered by [`Verdict`]s.
    Call(Box<Call>),
    /// Report the load of a service's target. Answered by [`Reply::Load`].
    Probe,
    /// Compare member lists. Answered by [`Reply::Members`]; the opener then sends its own.
    Sync(Vec<u64>),
    /// Send the configuration where it is newer. Answered by [`Reply::Config`].
    Fetch {
        /// The version that the opener has in force.
        version: u64,
        /// The version that last changed the opener's document.
        base: u64,
    },
    /// Note what is held against requests. Answered by [`Reply::Noted`].
    Suspect(Vec<Suspect>),
    /// Send what is held against requests. Answered by [`Reply::Suspects`].
    Suspects,
    /// A membership message, on a datagram. Not answered on the same exchange.
    Member(Box<MemberMessage>),
}

/// News about a request that may crash its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Suspect {
    /// It broke.
    Broke(SuspectRequest),
    /// It was answered.
    Cleared(Fingerprint),
}

/// A request on its way to a guard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Unique to the caller's request; every attempt carries the same.
    pub request: u64,
    /// The service it is for.
    pub service: Name,
    /// The request's class.
    pub class: Class,
    /// Until its answer must begin, in microseconds from the frame's arrival.
    pub left_us: u64,
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// End-to-end headers.
    pub fields: Vec<Field>,
    /// The body's length, where the caller gave it.
    pub length: Option<u64>,
    /// The idempotency key, where the request may run at most once.
    pub key: Option<String>,
    /// Tells the request from others.
    pub print: Fingerprint,
    /// Whether it runs at once or not at all.
    pub spare: bool,
    /// The body's first bytes.
    pub prefix: Vec<u8>,
    /// Whether `prefix` is the whole body.
    pub whole: bool,
}

/// What a guard says to a request: waits, then a refusal, or a run and then a failure or a head. A
/// request whose body is whole may be told of its answer alone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// It waits.
    Wait,
    /// It is dispatched, and the rest of its body may come.
    Run(Option<Load>),
    /// The target slowed down while it runs the request.
    Slow,
    /// It was not dispatched.
    Refused {
        /// Why.
        code: Code,
        /// Whether neither it nor any other request with its key ran.
        not_run: bool,
        /// The load that stood against it.
        load: Option<Load>,
    },
    /// It was dispatched and not answered.
    Failed {
        /// Why.
        code: Code,
        /// Whether it is certain that it did not run.
        not_run: bool,
        /// The load after that.
        load: Option<Load>,
    },
    /// The answer began. Its body follows as plain bytes.
    Head {
        /// The caller's request, which must be the one that was asked.
        request: u64,
        /// The HTTP status.
        status: u16,
        /// End-to-end headers.
        fields: Vec<Field>,
        /// The body's length, where the target gave it.
        length: Option<u64>,
        /// The load after the answer began.
        load: Option<Load>,
    },
}

/// An answer to an exchange other than a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The load of the target.
    Load(Load),
    /// Members of the buckets that differ.
    Members {
        /// The answering node's own digests.
        summary: Vec<u64>,
        /// The answering node's members.
        members: Vec<Member>,
    },
    /// A newer configuration. Its document is empty where the asker has the same.
    Config(Option<Box<Config>>),
    /// The news were taken in.
    Noted,
    /// Everything that is held against requests.
    Suspects(Vec<SuspectRequest>),
}
