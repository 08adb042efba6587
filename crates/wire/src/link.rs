//! Messages between the nodes of a deployment without an inventory: nodes find each other through
//! the store, and each speaks for the target on its own VM.
//!
//! One stream carries one exchange, opened by one [`Frame`]. A body follows its frame as plain
//! bytes.

use std::net::SocketAddr;

use policy::{Refusal, Report};
use serde::{Deserialize, Serialize};
use world::{Name, Ruleset};

use crate::Field;

/// A node as others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Unique among nodes; a restarted node keeps it.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Where its links are accepted.
    pub address: SocketAddr,
    /// When its process started, in milliseconds since 1970; tells one life from the next.
    pub started: u64,
}

impl Node {
    /// Returns whether another life of the node is reached in the same way.
    pub fn is_same_place(&self, other: &Node) -> bool {
        (&self.data_centre, self.address) == (&other.data_centre, other.address)
    }
}

/// One life of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    /// The instance.
    pub id: Name,
    /// Its start in milliseconds since 1970.
    pub born: u64,
}

/// What a node says of itself and of its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The service of its target, while one is known.
    pub service: Option<Name>,
    /// Its target's load.
    pub report: Report,
    /// The target that it acknowledged to be leaving, if any.
    pub leaving: Option<Life>,
    /// The revision of its ruleset, 0 where it has none.
    pub revision: u64,
    /// Whether the store tells it of newer ones.
    pub followed: bool,
}

/// The first message on a link, in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender.
    pub node: Node,
    /// Its state.
    pub status: Status,
    /// What the sender heard last from the receiver's earlier life about a leaving target.
    pub leaving: Option<Life>,
}

/// A request on its way to a guard. Its body follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The caller's id of the request, as it came.
    pub id: String,
    /// The service whose target is to run it.
    pub service: Name,
    /// The service of the VM where it began.
    pub caller: Name,
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// End-to-end headers.
    pub fields: Vec<Field>,
    /// Bytes of its body.
    pub length: u64,
    /// Until its answer is worth nothing, in microseconds from the frame's arrival.
    pub left_us: u64,
    /// Until its answer is worth less, in microseconds from the frame's arrival.
    pub aim_us: u64,
    /// How long the target is expected to work on it, in microseconds.
    pub work_us: u64,
    /// 0 is served first.
    pub priority: u32,
    /// Whether its entry has other targets to try.
    pub elsewhere: bool,
}

/// The first message on a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Introduces the sender. Answered by a [`Hello`].
    Hello(Box<Hello>),
    /// Asks to run a request. Answered by [`Reply`]s.
    Attempt(Box<Attempt>),
    /// Tells of a change of the sender. Answered by [`Reply::Noted`].
    Status(Box<Status>),
    /// Asks for the ruleset. Answered by [`Reply::Ruleset`].
    Fetch,
    /// Asks for the nodes that are known. Answered by [`Reply::Nodes`].
    FetchNodes,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Tells of the sender's state.
    Status(Box<Status>),
}

/// What a guard, or a node, answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The attempt waits or runs.
    Held,
    /// The target answered. The body follows.
    Answer {
        /// The HTTP status.
        status: u16,
        /// End-to-end headers.
        fields: Vec<Field>,
        /// Bytes of the body.
        length: u64,
        /// The time in the target, in microseconds.
        took_us: u64,
        /// The load after that.
        report: Report,
    },
    /// The target did not run the attempt and never will.
    NotRun {
        /// Why.
        refusal: Refusal,
        /// Whether it reached the target, which then refused it.
        reached: bool,
        /// The load that stood against it.
        report: Report,
    },
    /// The target may have run the attempt, and there is no answer.
    Lost {
        /// What was seen.
        detail: String,
        /// The load after that.
        report: Report,
    },
    /// The message was taken in.
    Noted,
    /// The ruleset, where there is one.
    Ruleset(Option<Box<Ruleset>>),
    /// The nodes that are known.
    Nodes(Vec<Node>),
}
