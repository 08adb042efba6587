//! Workspaces: the owners of callers' keys, with their priority and the rate that they may use.

use derive_more::Debug;
use ring::digest::{SHA256, digest};
use serde::{Deserialize, Serialize};

use crate::Name;

/// The SHA-256 digest of a caller's key. Nodes keep and exchange digests only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[debug("KeyDigest({:02x}{:02x}..)", self.0[0], self.0[1])]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        let mut bytes = [0; 32];
        bytes.copy_from_slice(digest(&SHA256, key).as_ref());
        KeyDigest(bytes)
    }
}

/// The requests that a workspace may send, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests a second in the long run, above 0.
    pub per_s: f64,
    /// Requests beyond that in a burst, at least 0.
    pub burst: f64,
}

/// The owner of some keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Unique among workspaces, not empty. Targets receive it with each request.
    pub name: Name,
    /// The digests of its keys. No two workspaces share one.
    pub keys: Vec<KeyDigest>,
    /// The rank of its requests under overload, before that of their routes; 0 is served first.
    /// `None` if it has none: its requests are ranked by their routes alone.
    pub priority: Option<u16>,
    /// The limit of its requests. `None` for no limit.
    pub quota: Option<Quota>,
}

/// All workspaces of a configuration, by name and by key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Workspace>", into = "Vec<Workspace>")]
pub struct Workspaces {
    /// Sorted by name.
    all: Vec<Workspace>,
    /// Digests with the position of their workspace in `all`, sorted by digest.
    keys: Vec<(KeyDigest, u32)>,
}

impl From<Vec<Workspace>> for Workspaces {
    fn from(all: Vec<Workspace>) -> Workspaces {
        Workspaces::new(all)
    }
}

impl From<Workspaces> for Vec<Workspace> {
    fn from(workspaces: Workspaces) -> Vec<Workspace> {
        workspaces.all
    }
}

impl Workspaces {
    /// Creates them from a list in any order, whose names and keys are unique.
    pub fn new(mut all: Vec<Workspace>) -> Workspaces {
        all.sort_by(|a, b| a.name.cmp(&b.name));
        let of = |(at, workspace): (usize, &Workspace)| {
            let keys: Vec<_> = workspace.keys.iter().map(|key| (*key, at as u32)).collect();
            keys
        };
        let mut keys: Vec<_> = all.iter().enumerate().flat_map(of).collect();
        keys.sort_by_key(|(key, _)| *key);
        Workspaces { all, keys }
    }

    /// Returns the workspace that holds a key. The search runs over digests, so that its time tells
    /// nothing of the keys.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Workspace> {
        let at = self.keys.binary_search_by_key(key, |(known, _)| *known).ok()?;
        self.all.get(self.keys[at].1 as usize)
    }

    /// Finds a workspace by name.
    pub fn find(&self, name: &str) -> Option<&Workspace> {
        let at = self.all.binary_search_by(|workspace| (*workspace.name).cmp(name)).ok()?;
        Some(&self.all[at])
    }

    /// Returns all workspaces, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.all.iter()
    }

    /// Returns whether there are none, in which case requests need no key.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}
