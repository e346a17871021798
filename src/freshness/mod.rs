//! Proof that a node's configuration is current.
//!
//! A node honours keys while [`FreshnessProof::is_fresh`] holds: less than [`PROOF_LIFETIME`] ago,
//! a majority of the control replicas or a majority of the registered nodes held no entry newer
//! than the node's own position. An entry is accepted only once majorities of both groups hold it,
//! and any two majorities of a group overlap, so no newer entry had been accepted at that time.
//!
//! The registry may limit the time for which nodes confirm one another after the last statement of
//! the control group, and an entry is then accepted without most of the nodes once that time is over
//! for every node that lacks it.
//!
//! A statement, by which a replica or node says that it held no newer entry, is dated with the send
//! time of the request, by the clock of the requesting node; a relayed statement is older by the age
//! in the response. Every part of an age is measured by one clock, so clock offsets don't matter, and
//! a clock that is slow by 1 % extends the lifetime by only 1 %.
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

/// How long a proof is valid, by the clock of the node that holds it.
///
/// A revoked key must stop working within 5 s; this leaves 2 s to propagate the change and to abort
/// streams in progress.
pub const PROOF_LIFETIME: Duration = Duration::from_secs(3);

/// Time after the end of a process by which every proof based on its statements has expired, by any
/// clock.
pub const PROOF_LIFETIME_MAX: Duration = with_drift(PROOF_LIFETIME);

/// Returns a time that is at least `span` by any other clock that was started with it.
///
/// The span may be measured by a clock that is 1 % slow and the returned time by one that is 1 %
/// fast; the third percent covers the product of both.
pub const fn with_drift(span: Duration) -> Duration {
    Duration::from_micros(
        (span.as_micros() as u64).saturating_add(span.as_micros() as u64 / 100 * 3),
    )
}
