//! The evidence that one process holds.

use super::PROOF_LIFETIME;
use super::ages::{self, ProofAges};
use super::quorum::{MemberProof, Quorum};
use crate::ids::{NodeId, ReplicaId};
use crate::replica::Confirmation;
use crate::time::Time;
use crate::units::Position;

/// What a control replica said in answer to a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaReport {
    /// When the question was sent.
    pub sent: Time,
    /// Who answered.
    pub replica: ReplicaId,
    /// Its committed position.
    pub position: Position,
    /// What it can say about newer entries.
    pub confirmation: Confirmation,
}

/// Evidence that nothing newer than the own position was accepted.
///
/// The position is that of the last entry that this process applied. Times are those of its own
/// clock, which must go on while the process is paused.
#[derive(Clone, Debug)]
pub struct FreshnessProof {
    me: NodeId,
    position: Position,
    /// The position of the last registry change that was applied.
    registry: Position,
    nodes: Quorum<NodeId>,
    replicas: Quorum<ReplicaId>,
    /// Statements of a leader, or of others that relay them, for the whole control group.
    group: MemberProof,
    expires: Time,
}

impl FreshnessProof {
    /// Creates evidence of a process that has applied nothing.
    pub fn new(me: NodeId) -> Self {
        FreshnessProof {
            me,
            position: Position(0),
            registry: Position(0),
            nodes: Quorum::default(),
            replicas: Quorum::default(),
            group: MemberProof::default(),
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
    /// A caller asks again just before it hands a request over, since the process may have been
    /// paused after the first check.
    pub fn is_fresh(&self, now: Time) -> bool {
        now < self.expires
    }

    /// Returns the time from which the evidence no longer counts.
    ///
    /// The request path can compare it with the clock without a lock on the evidence.
    pub fn expires(&self) -> Time {
        self.expires
    }

    /// Takes in that every entry up to `position` is applied.
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

    /// Takes in the registry that the entry at `position` put in force.
    pub fn set_nodes(&mut self, position: Position, nodes: &[NodeId]) {
        self.registry = position;
        self.nodes.replace(nodes);
        self.advance(position);
        self.update();
    }

    /// Takes in the voters of the control group that the entry at `position` put in force.
    pub fn set_replicas(&mut self, position: Position, voters: &[ReplicaId]) {
        self.replicas.replace(voters);
        self.advance(position);
        self.update();
    }

    /// Takes in the answer of a control replica.
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
                if let Some(proof) = self.replicas.get_mut(report.replica) {
                    proof.record(self.position, report.position, report.sent);
                }
            }
        }
        self.update();
    }

    /// Takes in the answer of another node: its position, the evidence that it holds, and the age
    /// of its evidence from the control group.
    ///
    /// The position of the ages is the last entry that the node held when it answered.
    pub fn record_peer(
        &mut self,
        now: Time,
        sent: Time,
        node: NodeId,
        ages: &ProofAges,
        group: u8,
    ) {
        if sent > now {
            return;
        }
        if let Some(proof) = self.nodes.get_mut(node) {
            proof.record(self.position, ages.position, sent);
        }
        self.record_ages(sent, ages);
        if let Some(age) = ages::decode(group) {
            self.group.record(self.position, ages.position, sent - age);
        }
        self.update();
    }

    /// Takes in relayed evidence; ages by another registry are left out, since their order names
    /// other nodes.
    fn record_ages(&mut self, sent: Time, ages: &ProofAges) {
        if ages.registry != self.registry || ages.bytes.len() != self.nodes.len() {
            return;
        }
        for (proof, byte) in self.nodes.iter_mut().zip(&ages.bytes) {
            if let Some(age) = ages::decode(*byte) {
                proof.record(self.position, ages.position, sent - age);
            }
        }
    }

    /// Returns the ages of the evidence from each registered node.
    pub fn ages(&self, now: Time) -> ProofAges {
        let age = |(id, proof): &(NodeId, MemberProof)| match proof.as_of {
            _ if *id == self.me => 0,
            Some(as_of) => ages::encode(now.since(as_of)),
            None => u8::MAX,
        };
        ProofAges {
            position: self.position,
            registry: self.registry,
            bytes: self.nodes.members().iter().map(age).collect(),
        }
    }

    /// Returns the age of the evidence from the control group; 255 for none.
    pub fn group_age(&self, now: Time) -> u8 {
        let as_of = self.group.as_of.max(self.replicas.as_of(None));
        as_of.map_or(u8::MAX, |time| ages::encode(now.since(time)))
    }

    fn update(&mut self) {
        let group = self.group.as_of.max(self.replicas.as_of(None));
        let nodes = self.nodes.as_of(Some(self.me));
        let as_of = group.max(nodes).unwrap_or(Time::ZERO);
        self.expires = match as_of {
            Time::ZERO => Time::ZERO,
            as_of => as_of + PROOF_LIFETIME,
        };
    }
}
