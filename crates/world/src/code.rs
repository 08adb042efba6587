//! Numbered result codes, used by every crate and listed in `docs/ERRORS.md`.

use derive_more::Display;
use serde::{Deserialize, Serialize};

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// The result of a request, change or command. Users identify it by its number.
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[display("{} {}", self.number(), self.text())]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Code { $($(#[$doc])* #[doc = $text] $name,)* }

        impl Code {
            /// Every code, sorted by number as `try_from` needs for its binary search.
            pub const ALL: &[Code] = &[$(Code::$name,)*];

            /// Returns the number that is sent, stored and logged.
            pub const fn number(self) -> u16 {
                match self { $(Code::$name => $number,)* }
            }

            /// Returns a short description of what happened.
            pub const fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }
        }
    };
}

codes! {
    BadSyntax = 1001, "the inventory is not valid TOML or has an unknown or missing field";
    Duplicate = 1002, "two entries have the same name";
    Dangling = 1003, "an entry refers to a name that does not exist";
    BadNumber = 1004, "a number is outside its range";
    BadName = 1005, "a name is empty, too long or has characters other than a-z 0-9 - _ .";
    BadContract = 1006, "a contract contradicts itself";
    NoService = 2001, "no service has this route";
    NoTarget = 2002, "the service has no target that can take the request";
    DeadlinePassed = 2003, "the deadline passed";
    Overload = 2004, "the targets bear no more work";
    OutOfService = 2005, "the data centre or target is leaving and takes no new work";
    TargetFailed = 2006, "the target failed while it ran the request";
    LinkFailed = 2007, "the link to the node in front of the target failed";
    AnswerCut = 2008, "the answer was cut";
    BadRequest = 2009, "the request is malformed";
    HeadTooLarge = 2010, "the request head is too large";
    KeyMissing = 2011, "the request needs an idempotency key";
    KeyRunning = 2012, "a request with this key is still running";
    KeyUnknown = 2013, "the outcome of this key is unknown and it is not run again";
    KeyReused = 2014, "the key was used before for another request";
    StoreDown = 2015, "the platform's store does not answer, and this request needs it";
    Quarantined = 2016, "this request crashed targets before and is not run";
    ShuttingDown = 2017, "the node is shutting down";
    TargetRefused = 2018, "the target shed the request before it ran";
    AnswerLost = 2019, "the request ran once, and its answer was too large to be kept";
    TargetBusy = 2020, "the target bears no more at the moment";
    LengthMissing = 2021, "a body needs a content-length";
    KeyUnauthorized = 2022, "the request has no key of a workspace";
    QuotaExceeded = 2023, "the workspace has sent more than it may";
    NoRoom = 2024, "the node has no memory or connection left for the request";
    Conflict = 3001, "another change was accepted first";
    StoreUnknown = 3002, "the store did not say whether the change took effect";
    StoreUnavailable = 3003, "the store is not available";
    UnknownDataCentre = 3004, "the inventory has no data centre of this name";
    NothingApplied = 3005, "no inventory was ever applied";
    NodeUnreachable = 3006, "the node does not answer";
    RequestUnknown = 3007, "no log line names the request";
    Usage = 4001, "the command line is wrong";
    BadSetting = 4002, "a setting is missing or wrong";
    CannotBind = 4003, "an address cannot be bound";
    DrainLimit = 4004, "the drain limit passed and requests were cut";
    Retried = 5001, "a request was sent again to another target";
    Hedged = 5002, "a request was hedged";
    LimitCut = 5003, "a target's limit was cut";
    TargetUp = 5004, "a target announced itself";
    TargetDown = 5005, "a target died or went silent";
    Draining = 5006, "draining began";
    ConfigApplied = 5007, "a configuration took force";
    MemberSuspect = 5008, "a node is suspected";
    MemberDead = 5009, "a node is taken for dead";
    MemberJoined = 5010, "a node joined";
    Suspected = 5011, "a request was running when its target died";
}

impl From<Code> for u16 {
    fn from(code: Code) -> u16 {
        code.number()
    }
}

impl TryFrom<u16> for Code {
    type Error = String;

    fn try_from(number: u16) -> Result<Code, String> {
        let index = Code::ALL.binary_search_by_key(&number, |code| code.number());
        index.map(|index| Code::ALL[index]).map_err(|_| format!("{number} is not a result code"))
    }
}

impl Code {
    /// Returns the HTTP status of an answer that carries this code.
    pub const fn status(self) -> u16 {
        match self {
            Code::NoService => 404,
            Code::BadRequest | Code::KeyMissing => 400,
            Code::HeadTooLarge => 431,
            Code::LengthMissing => 411,
            Code::KeyRunning | Code::KeyUnknown => 409,
            Code::KeyReused => 422,
            Code::KeyUnauthorized => 401,
            Code::QuotaExceeded => 429,
            Code::DeadlinePassed => 504,
            Code::TargetFailed | Code::LinkFailed | Code::AnswerCut | Code::AnswerLost => 502,
            _ => 503,
        }
    }

    /// Returns the exit status of a command that ended with this result.
    pub const fn exit(self) -> i32 {
        match self.number() {
            1000..=1999 => 10,
            3001 => 20,
            3002 => 21,
            3003 => 22,
            3000..=3999 => 23,
            4001 => 2,
            4002 => 3,
            4003 => 4,
            4004 => 5,
            _ => 1,
        }
    }
}
