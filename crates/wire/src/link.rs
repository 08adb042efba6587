//! Messages between the nodes of a deployment without an inventory, in which nodes find each other
//! through the store and each reports on the target on its own VM.
//!
//! Each stream carries one exchange, which a [`Frame`] opens. A body follows its frame as plain
//! bytes.

use std::net::SocketAddr;

use policy::{
    CrashNotice, EvidenceReport, ExposureGrant, Member, MemberMessage, Refusal, Report, TokenAsk,
    TokenReply, Watcher,
};
use serde::{Deserialize, Serialize};
use world::{Name, Ruleset};

use crate::Field;
use crate::earlier::EarlierRuleset;

/// The identity and address of a node, as other nodes know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Unique among nodes, and kept across restarts.
    pub name: Name,
    /// The data centre of the VM on which the node runs.
    pub data_centre: Name,
    /// The address at which the node accepts links.
    pub address: SocketAddr,
    /// The start of its process in milliseconds since 1970, by which restarts are detected.
    pub started: u64,
}

impl Node {
    /// Returns whether both have the same data centre and address. A node that restarted with the
    /// same ones is reached as before.
    pub fn is_same_place(&self, other: &Node) -> bool {
        (&self.data_centre, self.address) == (&other.data_centre, other.address)
    }
}

/// One run of a target instance, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    /// The instance id, which a restarted instance may keep.
    pub id: Name,
    /// The start of the run in milliseconds since 1970.
    pub born: u64,
}

/// The state of a node and of its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The service of the node's target, absent while no target is known.
    pub service: Option<Name>,
    /// The load of the node's target.
    pub report: Report,
    /// The run of its target that announced its shutdown, once the node has acknowledged that.
    pub leaving: Option<Life>,
    /// The revision of its ruleset, or 0 if it has none.
    pub revision: u64,
    /// Whether the node receives newer rulesets from the store at the moment.
    pub followed: bool,
}

/// The first message on a link, sent in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The identity and address of the sender.
    pub node: Node,
    /// The current state of the sender.
    pub status: Status,
    /// The receiver's target that last announced its shutdown, as far as the sender knows. The
    /// receiver may have restarted since and lost this.
    pub leaving: Option<Life>,
}

/// One attempt to run a request, as its entry sends it to a guard. Its body follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The caller's id of the request, unchanged.
    pub id: String,
    /// The service whose target is to run it.
    pub service: Name,
    /// The service of the VM where the request entered.
    pub caller: Name,
    /// The HTTP method, unchanged from the caller.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The end-to-end headers.
    pub fields: Vec<Field>,
    /// The length of the body in bytes.
    pub length: u64,
    /// Time until the deadline, in microseconds from the frame's arrival. A later answer is useless.
    pub left_us: u64,
    /// Time within which an answer is worth most, in microseconds from the frame's arrival.
    pub aim_us: u64,
    /// The expected work of the target for this request, in microseconds.
    pub work_us: u64,
    /// The priority; lower numbers are served first.
    pub priority: u32,
    /// Whether the entry has other targets to try, so that the request should not wait here.
    pub elsewhere: bool,
}

/// The first message on a stream, which opens an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Introduces the sender. Answered by a [`Hello`].
    Hello(Box<Hello>),
    /// Asks a guard to run a request. Answered by [`Reply`]s.
    Attempt(Box<Attempt>),
    /// Reports a change in the sender's state. Answered by [`Reply::Noted`].
    Status(Box<Status>),
    /// Asks for the ruleset in force, from nodes of earlier versions. Answered by [`Reply::Ruleset`].
    Fetch,
    /// Asks for every node that the receiver knows. Answered by [`Reply::Nodes`].
    FetchNodes,
    /// Compares member lists by the digests of their buckets (anti-entropy). Answered by
    /// [`Reply::Members`].
    Sync(Vec<u64>),
    /// Sends members that the receiver does not know, after a comparison. Answered by
    /// [`Reply::Noted`].
    Members(Vec<Member>),
    /// Asks to close this link, which the sender does not need. Answered by [`Reply::Noted`], or by
    /// [`Reply::Kept`] if the receiver needs it.
    Release,
    /// Tells of requests that crash their targets. Answered by [`Reply::Noted`].
    Crashes(Vec<CrashNotice>),
    /// Says that an attempt that the sender sent before must be sent to the target within a time or
    /// not at all, because the sender stops. Answered by [`Reply::Noted`].
    StartWithin {
        /// The id of the attempt's request.
        id: String,
        /// The time from the frame's arrival, in microseconds.
        us: u64,
    },
    /// Asks for the ruleset in force. Answered by [`Reply::Rules`]. Nodes of earlier versions close
    /// the stream.
    FetchRules,
    /// Asks a keeper for tokens of workspaces. Answered by [`Reply::Tokens`]. Nodes of earlier
    /// versions close the stream.
    Tokens(Box<TokenAsk>),
    /// Reports to the coordinator of a roll-out. Answered by [`Reply::Exposure`].
    Evidence(Box<EvidenceReport>),
}

/// A message that is sent as a datagram and not answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Reports the sender's current state.
    Status(Box<Status>),
    /// Carries a membership message. Any answer is a datagram of its own.
    Member(Box<MemberMessage>),
    /// The same as [`Datagram::Beacons`], from nodes of earlier versions. Their beacons have no numbers,
    /// so that copies of them circulate, and are ignored.
    Watchers(Vec<EarlierWatcher>),
    /// Passes on which nodes of the sender's data centre watch the operator's table.
    Beacons(Vec<Watcher>),
}

/// What a node of an earlier version said of its watch on the operator's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierWatcher {
    /// Its name.
    pub name: Name,
    /// The revision of its ruleset at that time.
    pub revision: u64,
    /// Whether it watched.
    pub active: bool,
    /// How long ago it said so, in microseconds.
    pub age_us: u64,
}

/// An answer to a [`Frame`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The attempt is queued or runs. Another reply follows. Nodes of earlier versions send it.
    Held,
    /// The target answered. The body follows as plain bytes.
    Answer {
        /// The HTTP status code of the target.
        status: u16,
        /// The end-to-end headers.
        fields: Vec<Field>,
        /// The length of the body in bytes.
        length: u64,
        /// The time that the target took to answer, in microseconds.
        took_us: u64,
        /// The load after the answer.
        report: Report,
    },
    /// The target did not run the attempt and will not run it later.
    NotRun {
        /// The reason of the refusal.
        refusal: Refusal,
        /// Whether the target itself refused the attempt; otherwise it never reached the target.
        reached: bool,
        /// The load at the time of the refusal.
        report: Report,
    },
    /// The target may have run the attempt, and there is no answer.
    Lost {
        /// A description of the failure.
        detail: String,
        /// The load after the failure.
        report: Report,
    },
    /// Acknowledges [`Frame::Status`].
    Noted,
    /// Answers [`Frame::Fetch`]. Absent if the node has no ruleset, or one that nodes of earlier
    /// versions cannot apply.
    Ruleset(Option<Box<EarlierRuleset>>),
    /// Answers [`Frame::FetchNodes`].
    Nodes(Vec<Node>),
    /// Answers [`Frame::Sync`] with the members of the buckets whose digests differ.
    Members {
        /// The digests of the answering node, one for each bucket.
        summary: Vec<u64>,
        /// What the answering node knows of these members.
        members: Vec<Member>,
    },
    /// Answers [`Frame::Release`] if the link is still needed.
    Kept,
    /// Answers [`Frame::FetchRules`]. Absent if the node has no ruleset.
    Rules(Option<Box<Ruleset>>),
    /// Answers [`Frame::Tokens`].
    Tokens(Box<TokenReply>),
    /// Answers [`Frame::Evidence`]. Absent if the node does not coordinate the roll-out.
    Exposure(Option<ExposureGrant>),
}
