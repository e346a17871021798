//! Exchanges between nodes: evidence, changed records and missing entries.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::registry::{Member, Registry, RegistryChange, RegistryLog};
use super::table::{Advertisement, RECORDS_MAX, RecordVersion, Records};
use crate::error::Result;
use crate::freshness::{FreshnessProof, ProofAges};
use crate::ids::NodeId;
use crate::time::Time;
use crate::units::Position;

/// Time between the exchanges that a node begins.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);

/// How many peers a node asks each time.
pub const GOSSIP_PEERS: usize = 4;

/// How long the records must differ from those of every peer before a node sends a digest, and the
/// shortest time between two digests.
///
/// A digest of 560 records takes several kB, and news alone settles most differences before.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(5);

/// Unknown nodes in one answer from which a node is taken to have just started; it then sends its
/// next digest at once, or 560 nodes would take 9 intervals to learn.
const BEHIND_RECORDS: usize = RECORDS_MAX / 2;

/// Names a question, so that its answer can be dated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestStamp {
    /// Who asks; answers to an earlier process on the same address don't count.
    pub from: NodeId,
    /// When, by the clock of the one who asks.
    pub sent: Time,
}

/// What a node sends to a peer to begin an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipRequest {
    /// The question.
    pub stamp: RequestStamp,
    /// The last entry that the sender holds.
    pub position: Position,
    /// The hash of the sender's records.
    pub hash: u64,
    /// Versions of records that changed lately.
    pub updates: Vec<RecordVersion>,
    /// The versions of all records, if they have differed from the peers' for long.
    pub digest: Option<Vec<RecordVersion>>,
}

/// An encoded log entry on its way between nodes; only committed entries travel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedEntry {
    /// The position.
    pub position: Position,
    /// The encoded entry.
    pub entry: Bytes,
}

/// What the peer answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipResponse {
    /// The question.
    pub stamp: RequestStamp,
    /// Who answers.
    pub node: NodeId,
    /// The evidence that the peer holds; its position is the last entry that the peer holds.
    pub ages: ProofAges,
    /// The age of the peer's evidence from the control group; 255 for none.
    pub group: u8,
    /// The hash of the peer's records.
    pub hash: u64,
    /// Records that changed lately or are newer than in the digest, and that the asker lacks.
    pub records: Vec<Arc<Advertisement>>,
    /// Records that the peer would like to have.
    pub requested: Vec<NodeId>,
    /// Entries that the asker misses; the caller, who stores entries, puts them in.
    pub entries: Vec<RelayedEntry>,
}

/// Records that a peer wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Push {
    /// The records.
    pub records: Vec<Arc<Advertisement>>,
}

/// One node's part in the gossip.
#[derive(Clone, Debug)]
pub struct Gossip {
    me: NodeId,
    registry: RegistryLog,
    proof: FreshnessProof,
    records: Records,
    /// Since when no peer had the same records.
    differs: Option<Time>,
    last_digest: Option<Time>,
}

impl Gossip {
    /// Creates the state of a node that holds nothing.
    pub fn new(me: NodeId) -> Self {
        Gossip {
            me,
            registry: RegistryLog::default(),
            proof: FreshnessProof::new(me),
            records: Records::new(me),
            differs: None,
            last_digest: None,
        }
    }

    /// Returns the evidence.
    pub fn proof(&self) -> &FreshnessProof {
        &self.proof
    }

    /// Returns the evidence, to add answers of control replicas to it.
    pub fn proof_mut(&mut self) -> &mut FreshnessProof {
        &mut self.proof
    }

    /// Returns the registry in force.
    pub fn registry(&self) -> &Registry {
        self.registry.latest()
    }

    /// Returns the records.
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// Replaces the own record.
    pub fn publish(&mut self, published: Advertisement) {
        self.records.publish(published);
    }

    /// Takes in that the entry at `position` is applied, and the registry change in it.
    ///
    /// # Errors
    ///
    /// As for [`RegistryLog::apply`]; nothing is changed then.
    pub fn apply(&mut self, position: Position, change: Option<&RegistryChange>) -> Result<()> {
        let Some(change) = change else {
            self.proof.advance(position);
            return Ok(());
        };
        self.registry.apply(position, change)?;
        self.registry.prune_before(position);
        self.adopt(position);
        Ok(())
    }

    /// Takes in a snapshot at `position`, whose registry is in force since `changed`.
    pub fn restore(&mut self, position: Position, changed: Position, registry: Registry) {
        self.registry = RegistryLog::new(changed, registry);
        self.adopt(changed);
        self.proof.advance(position);
    }

    fn adopt(&mut self, position: Position) {
        let registry = self.registry.latest();
        self.proof.set_nodes(position, &registry.ids());
        self.records.set_registry(registry);
    }

    /// Chooses peers at random among the registered nodes.
    pub fn peers(&self, rng: &mut impl Rng) -> Vec<Member> {
        let others = self.registry().members().iter();
        let others: Vec<&Member> = others.filter(|m| m.id != self.me).collect();
        others
            .sample(rng, GOSSIP_PEERS)
            .map(|m| (*m).clone())
            .collect()
    }

    /// Begins an exchange with one peer.
    pub fn request(&mut self, now: Time) -> GossipRequest {
        let is_due = |last: Time| now.since(last) >= DIGEST_INTERVAL;
        let with_digest = self.differs.is_some_and(is_due) && self.last_digest.is_none_or(is_due);
        if with_digest {
            self.last_digest = Some(now);
        }
        GossipRequest {
            stamp: RequestStamp {
                from: self.me,
                sent: now,
            },
            position: self.proof.position(),
            hash: self.records.hash(),
            updates: self.records.updates(now),
            digest: with_digest.then(|| self.records.digest()),
        }
    }

    /// Answers a peer.
    pub fn respond(&mut self, now: Time, ask: &GossipRequest) -> GossipResponse {
        let mut requested = self.records.to_request(now, &ask.updates);
        let mut records = self.records.updates_for(now, &ask.updates);
        if let Some(digest) = &ask.digest {
            records = self.records.newer_than(digest);
            requested.extend(self.records.to_request(now, digest));
            requested.truncate(RECORDS_MAX);
        }
        GossipResponse {
            stamp: ask.stamp,
            node: self.me,
            ages: self.proof.ages(now),
            group: self.proof.group_age(now),
            hash: self.records.hash(),
            records,
            requested,
            entries: Vec::new(),
        }
    }

    /// Takes in an answer and returns what the peer wants to have.
    ///
    /// A caller applies the entries of the answer first.
    pub fn receive(&mut self, now: Time, answer: &GossipResponse) -> Option<Push> {
        let RequestStamp { from, sent } = answer.stamp;
        // A digest goes to one of the peers that are asked at that time; the other answers of the
        // round lose nothing, since their senders go on to push what they know.
        match self.last_digest == Some(sent) {
            true if self.catch_up(&answer.records) >= BEHIND_RECORDS => self.last_digest = None,
            true => {}
            false => self.merge(&answer.records),
        }
        if from != self.me {
            return None;
        }
        self.differs = match answer.hash == self.records.hash() {
            true => None,
            false => self.differs.or(Some(self.differs_since(now))),
        };
        self.proof
            .record_peer(now, sent, answer.node, &answer.ages, answer.group);
        if answer.requested.is_empty() {
            return None;
        }
        let records = self.records.pick(&answer.requested);
        Some(Push { records })
    }

    /// Dates a difference that shows now; a node that has just started need not wait.
    fn differs_since(&self, now: Time) -> Time {
        match self.records.iter().len() < BEHIND_RECORDS {
            true => now - DIGEST_INTERVAL,
            false => now,
        }
    }

    /// Takes in records that this node wanted.
    ///
    /// They are passed on by name, as a new node's record comes this way.
    pub fn receive_push(&mut self, push: &Push) {
        self.merge(&push.records);
    }

    /// Takes in what a digest showed to be missing; returns how many nodes were unknown.
    fn catch_up(&mut self, records: &[Arc<Advertisement>]) -> usize {
        let mut firsts = 0;
        for published in records {
            firsts += usize::from(self.records.catch_up((**published).clone()));
        }
        firsts
    }

    fn merge(&mut self, records: &[Arc<Advertisement>]) {
        for published in records {
            self.records.merge((**published).clone());
        }
    }
}
