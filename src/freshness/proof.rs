//! The freshness proof of one process.

use std::time::Duration;

use super::PROOF_LIFETIME;
use super::ages::{self, ProofAges};
use super::quorum::{MemberStatements, Quorum};
use crate::ids::{NodeId, ReplicaId};
use crate::replica::Confirmation;
use crate::time::Time;
use crate::units::Position;

/// A control replica's response to a request for its position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaReport {
    /// When the request was sent.
    pub sent: Time,
    /// The replica that responded.
    pub replica: ReplicaId,
    /// Its committed position.
    pub position: Position,
    /// How the replica confirms that its position is current.
    pub confirmation: Confirmation,
}

/// Proof that no entry after this process's own position has been accepted.
///
/// The position is that of the last entry that this process applied. Times are measured by its own
/// clock, which must continue while the process is paused.
#[derive(Clone, Debug)]
pub struct FreshnessProof {
    me: NodeId,
    position: Position,
    /// The position of the last registry change that was applied.
    registry: Position,
    nodes: Quorum<NodeId>,
    replicas: Quorum<ReplicaId>,
    /// Statements of a leader for the whole control group, received directly or relayed.
    group: MemberStatements,
    /// Time for which the nodes prove freshness to one another after a statement of the control
    /// group; `None` if it is unlimited.
    offline: Option<Duration>,
    /// True once this process has stopped making statements.
    retired: bool,
    expires: Time,
}

impl FreshnessProof {
    /// Creates the proof of a process that has applied no entry.
    pub fn new(me: NodeId) -> Self {
        FreshnessProof {
            me,
            position: Position(0),
            registry: Position(0),
            nodes: Quorum::default(),
            replicas: Quorum::default(),
            group: MemberStatements::default(),
            offline: None,
            retired: false,
            expires: Time::ZERO,
        }
    }

    /// Returns the position of the last entry that was applied.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the position of the registry in force.
    pub fn registry(&self) -> Position {
        self.registry
    }

    /// Returns true if the configuration is proved current.
    ///
    /// To be checked again immediately before a request is dispatched, since the process may have
    /// been paused after an earlier check.
    pub fn is_fresh(&self, now: Time) -> bool {
        now < self.expires
    }

    /// Returns the time from which the proof is no longer valid.
    ///
    /// The request path compares it with the clock without locking the proof.
    pub fn expires(&self) -> Time {
        self.expires
    }

    /// Records that every entry up to `position` is applied.
    pub fn advance(&mut self, position: Position) {
        if position <= self.position {
            return;
        }
        self.position = position;
        self.nodes.advance(position);
        self.replicas.advance(position);
        self.group.advance(position);
        self.update();
    }

    /// Sets the registered nodes, as of the entry at `position`.
    pub fn set_nodes(&mut self, position: Position, nodes: &[NodeId]) {
        self.registry = position;
        self.nodes.replace(nodes);
        self.advance(position);
        self.update();
    }

    /// Limits the time for which the nodes prove freshness to one another after a statement of the
    /// control group.
    pub fn set_offline(&mut self, limit: Option<Duration>) {
        self.offline = limit;
        self.update();
    }

    /// Stops making statements, also for this process's own proof, which from now on needs a
    /// majority without itself.
    pub fn retire(&mut self) {
        self.retired = true;
        self.update();
    }

    /// Returns true if this process has stopped making statements.
    pub fn is_retired(&self) -> bool {
        self.retired
    }

    /// Sets the voters of the control group, as of the entry at `position`.
    pub fn set_replicas(&mut self, position: Position, voters: &[ReplicaId]) {
        self.replicas.replace(voters);
        self.advance(position);
        self.update();
    }

    /// Records the response of a control replica.
    pub fn record_replica(&mut self, now: Time, report: ReplicaReport) {
        if report.sent > now {
            return;
        }
        match report.confirmation {
            Confirmation::None => {}
            Confirmation::Leader => self
                .group
                .record(self.position, report.position, report.sent),
            Confirmation::Voter => {
                if let Some(statements) = self.replicas.get_mut(report.replica) {
                    statements.record(self.position, report.position, report.sent);
                }
            }
        }
        self.update();
    }

    /// Records the response of another node: its position, the ages of its statements from nodes,
    /// and the age of its statement from the control group.
    ///
    /// The position in `ages` is the last entry that the node held when it responded.
    pub fn record_peer(
        &mut self,
        now: Time,
        sent: Time,
        node: NodeId,
        ages: &ProofAges,
        group: u32,
    ) {
        if sent > now {
            return;
        }
        if let Some(statements) = self.nodes.get_mut(node) {
            statements.record(self.position, ages.position, sent);
        }
        self.record_relayed(now, sent, ages, group);
    }

    /// Like [`FreshnessProof::record_peer`] for a node that makes no statement of its own any more.
    pub fn record_relayed(&mut self, now: Time, sent: Time, ages: &ProofAges, group: u32) {
        if sent > now {
            return;
        }
        self.record_ages(sent, ages);
        if let Some(age) = ages::decode_long(group) {
            self.group.record(self.position, ages.position, sent - age);
        }
        self.update();
    }

    /// Records relayed statements; ages under another registry are ignored, since their order
    /// refers to other nodes.
    fn record_ages(&mut self, sent: Time, ages: &ProofAges) {
        if ages.registry != self.registry || ages.bytes.len() != self.nodes.len() {
            return;
        }
        for (statements, byte) in self.nodes.iter_mut().zip(&ages.bytes) {
            if let Some(age) = ages::decode(*byte) {
                statements.record(self.position, ages.position, sent - age);
            }
        }
    }

    /// Returns the ages of the statements from all registered nodes.
    pub fn ages(&self, now: Time) -> ProofAges {
        let age = |(id, statements): &(NodeId, MemberStatements)| match statements.as_of {
            _ if *id == self.me && !self.retired => 0,
            Some(as_of) => ages::encode(now.since(as_of)),
            None => u8::MAX,
        };
        ProofAges {
            position: self.position,
            registry: self.registry,
            bytes: self.nodes.members().iter().map(age).collect(),
        }
    }

    /// Returns the age of the statement from the control group; 255 for none.
    pub fn group_age(&self, now: Time) -> u32 {
        let age = |time| ages::encode_long(now.since(time));
        self.group_as_of().map_or(ages::NONE.into(), age)
    }

    /// Returns the latest time at which the control group held no entry after this process's
    /// position.
    fn group_as_of(&self) -> Option<Time> {
        self.group.as_of.max(self.replicas.as_of(None))
    }

    fn update(&mut self) {
        let group = self.group_as_of();
        let nodes = self.nodes.as_of((!self.retired).then_some(self.me));
        let by_group = group.map_or(Time::ZERO, |as_of| as_of + PROOF_LIFETIME);
        let by_nodes = nodes.map_or(Time::ZERO, |as_of| as_of + PROOF_LIFETIME);
        let offline_end = match self.offline {
            None => Time(u64::MAX),
            Some(limit) => group.map_or(Time::ZERO, |as_of| as_of + limit),
        };
        self.expires = by_group.max(by_nodes.min(offline_end));
    }
}
