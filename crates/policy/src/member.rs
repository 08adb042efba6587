//! Cluster members and the messages they exchange.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use world::{Code, Name};
use xxhash_rust::xxh3::xxh3_64;

/// A member's state in the failure detector. At equal incarnations the later variant wins.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Health {
    /// It answers probes.
    Alive,
    /// It did not answer a probe, directly or through others, and may still refute that.
    Suspect,
    /// It was suspect and did not refute that in time.
    Dead,
    /// It announced that it leaves.
    Left,
}

/// A node as its peers know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Unique among nodes and kept across restarts.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// The address at which it accepts links.
    pub address: SocketAddr,
    /// The service of its target, or none while the target is down.
    pub service: Option<Name>,
    /// When its process started, in milliseconds since 1970; distinguishes a restarted process
    /// from the one before.
    pub started: u64,
    /// Begins at `started` and increases whenever the member changes its own record or refutes a
    /// claim about itself.
    pub incarnation: u64,
    /// Its state in the failure detector.
    pub health: Health,
}

impl Member {
    /// Whether this record replaces `known`, a record of the same member.
    pub(crate) fn supersedes(&self, known: &Member) -> bool {
        (self.incarnation, self.health) > (known.incarnation, known.health)
    }

    /// Whether it is alive or only suspect.
    pub(crate) fn is_up(&self) -> bool {
        self.health <= Health::Suspect
    }

    /// Returns a hash of the fields that decide between two records. Digests of several members
    /// are combined by XOR.
    pub(crate) fn digest(&self) -> u64 {
        let state = self.incarnation.rotate_left(8) ^ self.health as u64;
        xxh3_64(self.name.as_bytes()) ^ state.wrapping_mul(0x9E37_79B9_7F4A_7C15)
    }
}

/// The purpose of a membership message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Asks the receiver for an `Ack`.
    Ping,
    /// Answers a `Ping`.
    Ack,
    /// Asks the receiver to ping this member on the sender's behalf.
    Ask(Name),
    /// Reports that this member answered the ping that an `Ask` requested.
    Relayed(Name),
    /// Carries updates and needs no answer.
    News,
}

/// A message between two members. Every kind also carries updates about other members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// The purpose of the message.
    pub probe: MessageKind,
    /// The sender's own record.
    pub from: Member,
    /// Combined digest of the sender and the members that it knows to be up.
    pub digest: u64,
    /// Version of the configuration that the sender has in force.
    pub version: u64,
    /// Updates about other members, at most `MAX_UPDATES`, and the sender's record of the receiver
    /// unless that is alive.
    pub news: Vec<Member>,
}

/// What the owner of a [`Members`](crate::Members) must do.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send this message to the member at this address.
    Send(Name, SocketAddr, MemberMessage),
    /// Compare member lists with the member at this address and merge the differences.
    Sync(Name, SocketAddr),
    /// Close the link to this address: the member restarted, and the link leads to its previous
    /// process.
    CloseLink(SocketAddr),
    /// Record this event about a member.
    Event(Code, Name),
    /// The list changed: recompute the routes.
    Changed,
}
