//! Identities: names given by operators and numbers drawn by processes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::error::{Error, Result};

/// Longest name in bytes.
pub const NAME_MAX_BYTES: usize = 64;

fn check_name(kind: &str, s: &str) -> Result<()> {
    if s.is_empty() || s.len() > NAME_MAX_BYTES {
        return Err(Error::invalid(format!(
            "{kind} must have 1 to {NAME_MAX_BYTES} bytes"
        )));
    }
    let legal = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    if !s.bytes().all(legal) {
        return Err(Error::invalid(format!(
            "{kind} {s:?} may hold only a-z, 0-9, '-', '_' and '.'"
        )));
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                check_name($kind, s)?;
                Ok($name(s.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(s: String) -> Result<Self> {
                check_name($kind, &s)?;
                Ok($name(s))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// The name of a client account.
    AccountName,
    "account name"
);
name_type!(
    /// The name of a key; the key itself is never stored.
    KeyName,
    "key name"
);
name_type!(
    /// The name of a service, which a set of targets offers.
    ServiceName,
    "service name"
);
name_type!(
    /// The name of a route.
    RouteName,
    "route name"
);
name_type!(
    /// The name of an availability zone.
    ZoneName,
    "availability zone"
);
name_type!(
    /// The name that a target announces for itself, unique on its VM.
    TargetName,
    "target name"
);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Draws a random identity, never zero.
            pub fn random() -> Self {
                $name(rand::random_range(1..=u64::MAX))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                u64::from_str_radix(s, 16)
                    .map($name)
                    .map_err(|_| Error::invalid(format!("{} {s:?} is not hexadecimal", $kind)))
            }
        }
    };
}

number_type!(
    /// One run of a node process; drawn anew at each start, since a node keeps nothing on disk.
    NodeId,
    "node id"
);
number_type!(
    /// One control process together with its data folder; drawn when the folder is created.
    ReplicaId,
    "replica id"
);
number_type!(
    /// One request of a caller, the same over both hops.
    RequestId,
    "request id"
);
number_type!(
    /// One attempt to serve a request; an answer with another attempt id is dropped.
    AttemptId,
    "attempt id"
);

/// A target, named by the node on its VM and the name that it announced.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetId {
    /// The node on the target's VM.
    pub node: NodeId,
    /// The name within that VM.
    pub name: TargetName,
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.node, self.name)
    }
}

impl FromStr for TargetId {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let (node, name) = s
            .split_once('/')
            .ok_or_else(|| Error::invalid("target id must be node/name"))?;
        Ok(TargetId {
            node: node.parse()?,
            name: name.parse()?,
        })
    }
}

/// The SHA-256 digest of a caller's key.
///
/// Equality takes the same time for every pair of digests.
#[derive(Clone, Copy, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digests a key as the caller sent it.
    pub fn of(key: &[u8]) -> Self {
        KeyDigest(Sha256::digest(key).into())
    }

    /// Returns the raw digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl std::hash::Hash for KeyDigest {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("sha256:")?;
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    /// Shows only a prefix, so that debug output can't serve to search for keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

impl FromStr for KeyDigest {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let bad = || Error::invalid("key digest must be sha256: and 64 hexadecimal digits");
        let hex = s.strip_prefix("sha256:").ok_or_else(bad)?;
        if hex.len() != 64 || !hex.is_ascii() {
            return Err(bad());
        }
        let mut digest = [0; 32];
        for (i, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).map_err(|_| bad())?;
        }
        Ok(KeyDigest(digest))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = Error;

    fn try_from(s: String) -> Result<Self> {
        s.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        digest.to_string()
    }
}
