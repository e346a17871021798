//! Evidence that a node's configuration is current.
//!
//! A node honours keys while [`FreshnessProof::is_fresh`] holds: a majority of the control replicas or a
//! majority of the registered nodes held nothing newer than the node's own position less than
//! [`PROOF_LIFETIME`] ago. An entry is accepted only with a majority of both, so at least one
//! member of every majority that holds nothing newer would have had to hold it.
//!
//! Evidence is dated with the time when the question was sent, by the clock of the node that asked;
//! relayed evidence is older by the age that the answer states. Every part of an age is measured by
//! one clock, so clock offsets don't matter and a clock that is slow by 1 % stretches the lifetime by
//! that much only.
//!
//! ```
//! use laburnumtide::freshness::{FreshnessProof, PROOF_LIFETIME, ProofAges};
//! use laburnumtide::ids::NodeId;
//! use laburnumtide::time::Time;
//! use laburnumtide::units::Position;
//!
//! let nodes = [NodeId(1), NodeId(2), NodeId(3)];
//! let mut proof = FreshnessProof::new(NodeId(1));
//! proof.set_nodes(Position(4), &nodes);
//! let sent = Time::from_millis(5_000);
//! let now = Time::from_millis(5_002);
//! let ages = ProofAges { position: Position(4), registry: Position(4), bytes: vec![255, 0, 255] };
//! proof.record_peer(now, sent, NodeId(2), &ages, 255);
//! assert!(proof.is_fresh(now));
//! assert!(!proof.is_fresh(sent + PROOF_LIFETIME));
//! ```

mod ages;
mod proof;
mod quorum;

use std::time::Duration;

pub use self::ages::{AGE_UNIT, ProofAges};
pub use self::proof::{FreshnessProof, ReplicaReport};

/// How long evidence counts, by the clock of the node that holds it.
///
/// A revoked key must stop working within 5 s; this leaves 2 s for the change to spread and for the
/// streams in progress to be cut.
pub const PROOF_LIFETIME: Duration = Duration::from_secs(3);

/// How long after the end of a process no other process can use evidence from it, by any clock.
///
/// The evidence may be held by a clock that is 1 % slow and the wait measured by one that is 1 %
/// fast; the third percent covers their product.
pub const PROOF_LIFETIME_MAX: Duration =
    Duration::from_millis(PROOF_LIFETIME.as_millis() as u64 * 103 / 100);
