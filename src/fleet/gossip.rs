//! Gossip between nodes: freshness proofs, changed records and missing log entries.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::departures::Departure;
use super::registry::{Member, Registry, RegistryChange, RegistryLog};
use super::table::{Advertisement, RECORDS_MAX, RecordVersion, Records, Scope};
use crate::error::Result;
use crate::freshness::{FreshnessProof, ProofAges};
use crate::ids::NodeId;
use crate::time::Time;
use crate::units::Position;

/// Time between the gossip rounds of a node.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);

/// Number of peers that a node sends a request to in each round.
pub const GOSSIP_FANOUT: usize = 4;

/// Number of these peers that are in the node's own availability zone, as far as there are as many.
///
/// One peer in another zone spreads what concerns all zones, since each node of a zone chooses its
/// own.
const ZONE_FANOUT: usize = 3;

/// Number of announced versions above which only one exchange in [`MANY_INTERVAL`] carries changed
/// records.
///
/// When a whole fleet starts, every node announces every other one.
const UPDATES_MANY: usize = RECORDS_MAX;

/// Shortest time between two exchanges with more than [`UPDATES_MANY`] announced versions.
const MANY_INTERVAL: Duration = Duration::from_millis(800);

/// Largest fleet, in nodes, in which nodes exchange health with those of other zones too.
const HEALTH_EVERYWHERE_MAX: usize = 64;

/// Time for which the records must differ from those of every peer before a node sends a digest,
/// and the shortest time between two digests.
///
/// A digest of 560 records takes several kB, and updates alone resolve most differences earlier.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(5);

/// Number of unknown nodes in one response at which a node counts as just started.
///
/// Such a node sends its next digest at once; otherwise it would need 9 intervals to receive the
/// records of 560 nodes.
const NEW_NODE_RECORDS: usize = RECORDS_MAX / 2;

/// Identifies a request, so that its response can be dated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestStamp {
    /// The sender; responses to an earlier process on the same address are ignored.
    pub from: NodeId,
    /// The send time on the sender's clock.
    pub sent: Time,
}

/// The message that starts an exchange with a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipRequest {
    /// Identifies the request.
    pub stamp: RequestStamp,
    /// The last entry that the sender holds.
    pub position: Position,
    /// The hash of the sender's records.
    pub hash: u64,
    /// The versions of recently changed records.
    pub updates: Vec<RecordVersion>,
    /// The versions of all records, if they have differed from the peers' for [`DIGEST_INTERVAL`].
    pub digest: Option<Vec<RecordVersion>>,
    /// True if the response should contain no entries: a node that lacks some requests them from one
    /// peer at a time.
    pub without_entries: bool,
    /// The part of the records that the exchange covers.
    pub scope: Scope,
    /// True if the response should contain no recently changed records.
    pub without_updates: bool,
    /// New departures; filled in by the caller, which stores them.
    pub departures: Vec<Departure>,
}

/// An encoded log entry that one node sends another; only committed entries are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedEntry {
    /// The position.
    pub position: Position,
    /// The encoded entry.
    pub entry: Bytes,
}

/// The peer's response to a [`GossipRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipResponse {
    /// Identifies the request.
    pub stamp: RequestStamp,
    /// The node that responds.
    pub node: NodeId,
    /// The ages of the peer's freshness proofs; their position is the last entry that it holds.
    pub ages: ProofAges,
    /// The age of the peer's freshness proof from the control group; 255 for none.
    pub group_age: u32,
    /// True if the peer makes no statement of its own any more; see [`FreshnessProof::retire`].
    pub retired: bool,
    /// The hash of the peer's records.
    pub hash: u64,
    /// The scope of the request.
    pub scope: Scope,
    /// Recently changed records, or records newer than in the digest, that the requester lacks.
    pub records: Vec<Arc<Advertisement>>,
    /// The nodes whose records the peer requests.
    pub requested: Vec<NodeId>,
    /// Log entries that the requester lacks; filled in by the caller, which stores them.
    pub entries: Vec<RelayedEntry>,
}

/// The records that a peer requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Push {
    /// The records.
    pub records: Vec<Arc<Advertisement>>,
}

/// The gossip state of one node.
#[derive(Clone, Debug)]
pub struct Gossip {
    me: NodeId,
    registry: RegistryLog,
    proof: FreshnessProof,
    records: Records,
    /// Differences of the records from those of peers, for exchanges with and without health.
    divergences: [Divergence; 2],
}

/// A difference of the records from those of every peer.
#[derive(Clone, Copy, Debug, Default)]
struct Divergence {
    /// Since when no peer has had the same records.
    since: Option<Time>,
    last_digest: Option<Time>,
    /// Time of the last round in which many changed records were announced.
    last_many: Option<Time>,
}

impl Gossip {
    /// Creates the state of a node without records or entries.
    pub fn new(me: NodeId) -> Self {
        Gossip {
            me,
            registry: RegistryLog::default(),
            proof: FreshnessProof::new(me),
            records: Records::new(me),
            divergences: Default::default(),
        }
    }

    /// Returns the freshness proofs.
    pub fn proof(&self) -> &FreshnessProof {
        &self.proof
    }

    /// Returns the freshness proofs for adding responses of control replicas.
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
    pub fn publish(&mut self, ad: Advertisement) {
        self.records.publish(ad);
    }

    /// Records that the entry at `position` is applied, and applies the registry change in it.
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
        self.update_registry(position);
        Ok(())
    }

    /// Restores a snapshot at `position` whose registry is in force since `changed`.
    pub fn restore(&mut self, position: Position, changed: Position, registry: Registry) {
        self.registry = RegistryLog::new(changed, registry);
        self.update_registry(changed);
        self.proof.advance(position);
    }

    fn update_registry(&mut self, position: Position) {
        let registry = self.registry.latest();
        self.proof.set_nodes(position, &registry.ids());
        self.proof.set_offline(registry.offline());
        self.records.set_registry(registry);
    }

    /// Chooses peers at random among the registered nodes, most of them in the own zone.
    pub fn peers(&self, rng: &mut impl Rng) -> Vec<Member> {
        let others = self.registry().members().iter();
        let others = others.filter(|m| m.id != self.me);
        let (near, far): (Vec<&Member>, Vec<&Member>) = others.partition(|m| self.is_near(m));
        let near_count = near
            .len()
            .min(ZONE_FANOUT.max(GOSSIP_FANOUT.saturating_sub(far.len())));
        let near = near.sample(rng, near_count);
        let far = far.sample(rng, GOSSIP_FANOUT - near_count);
        near.chain(far).map(|m| (*m).clone()).collect()
    }

    /// Returns true if a node is in the zone of this one.
    fn is_near(&self, member: &Member) -> bool {
        let registered = self.registry().get(self.me).map(|me| &me.zone);
        let published = self.records.get(self.me).map(|ad| &ad.record.zone);
        registered.or(published) == Some(&member.zone)
    }

    fn scope_with(&self, peer: &Member) -> Scope {
        let is_small = self.registry().members().len() <= HEALTH_EVERYWHERE_MAX;
        match is_small || self.is_near(peer) {
            true => Scope::WithHealth,
            false => Scope::WithoutHealth,
        }
    }

    /// Returns the request that starts an exchange with a peer.
    pub fn request(&mut self, now: Time, peer: &Member) -> GossipRequest {
        let scope = self.scope_with(peer);
        let is_due = |last: Time| now.since(last) >= DIGEST_INTERVAL;
        let divergence = &mut self.divergences[scope as usize];
        let with_digest =
            divergence.since.is_some_and(is_due) && divergence.last_digest.is_none_or(is_due);
        if with_digest {
            divergence.last_digest = Some(now);
        }
        let mut updates = self.records.updates(now, scope);
        let is_recent = |last: Time| now.since(last) < MANY_INTERVAL;
        let has_many = updates.len() > UPDATES_MANY;
        let without_updates = has_many && divergence.last_many.is_some_and(is_recent);
        if without_updates {
            updates.clear();
        } else if has_many {
            divergence.last_many = Some(now);
        }
        GossipRequest {
            stamp: RequestStamp {
                from: self.me,
                sent: now,
            },
            position: self.proof.position(),
            hash: self.records.hash(scope),
            updates,
            digest: with_digest.then(|| self.records.digest(scope)),
            without_entries: true,
            scope,
            without_updates,
            departures: Vec::new(),
        }
    }

    /// Returns the response to a peer's request.
    pub fn respond(&mut self, now: Time, request: &GossipRequest) -> GossipResponse {
        let scope = request.scope;
        let mut requested = self.records.outdated(now, scope, &request.updates);
        let mut records = match request.without_updates {
            true => Vec::new(),
            false => self.records.updates_for(now, scope, &request.updates),
        };
        if let Some(digest) = &request.digest {
            records = self.records.newer_than(scope, digest);
            requested.extend(self.records.outdated(now, scope, digest));
            requested.truncate(RECORDS_MAX);
        }
        GossipResponse {
            stamp: request.stamp,
            node: self.me,
            ages: self.proof.ages(now),
            group_age: self.proof.group_age(now),
            retired: self.proof.is_retired(),
            hash: self.records.hash(scope),
            scope,
            records,
            requested,
            entries: Vec::new(),
        }
    }

    /// Handles a response and returns the records that the peer requested.
    ///
    /// The caller must apply the entries of the response first.
    pub fn receive(&mut self, now: Time, response: &GossipResponse) -> Option<Push> {
        let RequestStamp { from, sent } = response.stamp;
        // A digest goes to only one peer of the round, but all responses of the round are merged as
        // responses to a digest. That loses nothing: the other peers keep sending these updates.
        let index = response.scope as usize;
        match self.divergences[index].last_digest == Some(sent) {
            true if self.merge_missed(&response.records) >= NEW_NODE_RECORDS => {
                self.divergences[index].last_digest = None
            }
            true => {}
            false => self.merge(&response.records),
        }
        if from != self.me {
            return None;
        }
        let since = self.divergences[index].since;
        self.divergences[index].since = match response.hash == self.records.hash(response.scope) {
            true => None,
            false => since.or(Some(self.divergence_start(now, response.scope))),
        };
        let (ages, group) = (&response.ages, response.group_age);
        match response.retired {
            true => self.proof.record_relayed(now, sent, ages, group),
            false => self
                .proof
                .record_peer(now, sent, response.node, ages, group),
        }
        if response.requested.is_empty() {
            return None;
        }
        let records = self.records.select(response.scope, &response.requested);
        Some(Push { records })
    }

    /// Returns the start of a difference that appears now.
    ///
    /// A node that has just started need not wait for its first digest, which goes to a node of its
    /// own zone if there is one.
    fn divergence_start(&self, now: Time, scope: Scope) -> Time {
        let is_new = self.records.iter().len() < NEW_NODE_RECORDS;
        match is_new && scope == Scope::WithHealth {
            true => now - DIGEST_INTERVAL,
            false => now,
        }
    }

    /// Merges records that this node requested.
    ///
    /// They are announced to other peers, since the record of a new node arrives this way.
    pub fn receive_push(&mut self, push: &Push) {
        self.merge(&push.records);
    }

    /// Merges records that a digest showed to be missing; returns the number of unknown nodes.
    fn merge_missed(&mut self, records: &[Arc<Advertisement>]) -> usize {
        let mut unknown = 0;
        for ad in records {
            unknown += usize::from(self.records.merge_missed((**ad).clone()));
        }
        unknown
    }

    fn merge(&mut self, records: &[Arc<Advertisement>]) {
        for ad in records {
            self.records.merge((**ad).clone());
        }
    }
}
