//! Members and the messages between them.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use world::{Code, Name};
use xxhash_rust::xxh3::xxh3_64;

/// What is known of a member's life.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Health {
    /// It answers.
    Alive,
    /// It did not answer, and may refute that.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said goodbye.
    Left,
}

/// A node as others know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Unique among nodes; a restarted node keeps it.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Where its links are accepted.
    pub address: SocketAddr,
    /// The service of its target, while one is up.
    pub service: Option<Name>,
    /// When its process started, in milliseconds since 1970; tells one life from the next.
    pub started: u64,
    /// Grows with each change that the member itself makes, restarts among them.
    pub incarnation: u64,
    /// What is known of its life.
    pub health: Health,
}

impl Member {
    pub(crate) fn beats(&self, known: &Member) -> bool {
        (self.incarnation, self.health) > (known.incarnation, known.health)
    }

    pub(crate) fn is_up(&self) -> bool {
        self.health <= Health::Suspect
    }

    pub(crate) fn digest(&self) -> u64 {
        let life = self.incarnation.rotate_left(8) ^ self.health as u64;
        xxh3_64(self.name.as_bytes()) ^ life.wrapping_mul(0x9E37_79B9_7F4A_7C15)
    }
}

/// What a membership message is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Asks for an answer.
    Ping,
    /// Answers.
    Ack,
    /// Asks to ping another member in the sender's place.
    Ask(Name),
    /// Says that the other member answered.
    Relayed(Name),
    /// Carries news only.
    News,
}

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// What it is for.
    pub probe: MessageKind,
    /// The sender as it knows itself.
    pub from: Member,
    /// Over all members that the sender knows.
    pub digest: u64,
    /// The version of the sender's configuration.
    pub version: u64,
    /// News of others, at most `NEWS`.
    pub news: Vec<Member>,
}

/// What the owner must do.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send this message to a member.
    Send(Name, SocketAddr, MemberMessage),
    /// Exchange whole lists with a member.
    Sync(Name, SocketAddr),
    /// A member came back in a new life: links to its old one lead nowhere.
    CloseLink(SocketAddr),
    /// Note this event about a member.
    Event(Code, Name),
    /// The list changed; routes must be worked out again.
    Changed,
}
