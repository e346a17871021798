//! The control leader's membership table, with a failure detector for the nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::registry::{Member, Registry, RegistryChange};
use crate::ids::NodeId;
use crate::time::Time;

/// Shortest time between two registry changes.
///
/// Each change is an entry that a majority of the nodes must hold. There are 1,200 restarts a day,
/// and those of one wave must not cause a change each.
pub const CHANGE_INTERVAL: Duration = Duration::from_secs(5);

/// Time without a further new node after which the new nodes are registered.
///
/// Nodes that start together then join in one change. Otherwise the first node would form the whole
/// registry, and the change that adds the others would move its lease voters and owners a few
/// seconds later.
const JOIN_QUIET_PERIOD: Duration = Duration::from_millis(200);

/// Longest time for which the registration of a new node waits for others.
const JOIN_DELAY_MAX: Duration = Duration::from_secs(2);

/// Shortest time between a registry change and one that demotes nodes.
///
/// The lease votes of leaving nodes must move while those nodes still run, and a node stops about
/// 2 s after it begins to leave.
const DEMOTION_INTERVAL: Duration = Duration::from_millis(500);

/// Time without contact after which a registered node is demoted: it is no lease voter any more.
///
/// A node sends a request to the leader every 500 ms. An unreachable voter still counts toward the
/// majority of every lease, and the loss of one VM after the other must not lead to the loss of a
/// majority of the voters.
const DEMOTION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Largest share of the registered nodes, as a divisor, that may be demoted for missing contact.
///
/// The loss of an availability zone stays below it.
const DEMOTION_DIVISOR: usize = 2;

/// Time without contact after which a leaving node is removed.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without contact after which a registered node is removed.
///
/// A permanently lost VM still counts toward every majority and may be a lease voter of the rate
/// limits: with two of three voters lost, no account with a limit is served. The timeout exceeds
/// the time in which a process restarts and finds a leader. A node that was only unreachable is
/// registered again.
pub const REMOVAL_TIMEOUT: Duration = Duration::from_secs(8);

/// Largest share of the registered nodes, as a divisor, that may be removed after
/// [`REMOVAL_TIMEOUT`].
///
/// If more are unreachable, it is more likely that the leader is partitioned from them than that
/// they are lost. A leader that removed 17 of 26 live nodes left their accounts without owners for
/// 10 s.
const REMOVAL_DIVISOR: usize = 3;

/// Time without contact after which a registered node is removed, however many are unreachable.
const REMOVAL_TIMEOUT_LONG: Duration = Duration::from_secs(60);

/// Like [`REMOVAL_TIMEOUT_LONG`] in a fleet whose nodes serve only shortly without control.
///
/// Nodes that are cut off for so long serve no accounts any more, and those that are left need the
/// lease voters.
const REMOVAL_TIMEOUT_OFFLINE: Duration = Duration::from_secs(20);

/// A node's response to a connection that the leader opened to its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeAck {
    /// The time at which the leader started to connect.
    pub started: Time,
    /// The node that responded.
    pub member: Member,
}

/// The latest request that a node has sent to the leader.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// The time of arrival.
    pub received: Time,
    /// The node that sent it.
    pub id: NodeId,
    /// The address of that node.
    pub addr: SocketAddr,
    /// True if the node is leaving the fleet.
    pub leaving: bool,
}

#[derive(Clone, Debug)]
struct NodeState {
    member: Member,
    /// The start of the latest probe or the arrival of the latest heartbeat.
    last_contact: Time,
    /// When the member entered the table; a probe that started earlier proves no successor.
    known_since: Time,
    /// True if the member responded to a probe of this leader; only then it may join.
    probed: bool,
    leaving: bool,
}

/// The process on each address, as known to one leader in its term; a new leader starts with an
/// empty table.
#[derive(Clone, Debug, Default)]
pub struct MembershipTable {
    nodes: BTreeMap<SocketAddr, NodeState>,
    last_change: Option<Time>,
    /// Since when new nodes wait to be registered.
    batch_start: Option<Time>,
}

impl MembershipTable {
    /// Applies a registry and returns the processes that it proves dead.
    ///
    /// A new leader applies every version since the last accepted entry, oldest first, before it
    /// opens a link, and later each version that commits. The leader that registered a member had
    /// contact with it before this leader probed any node, or is this leader. So a member that
    /// differs from the process that this leader probed on the address is a predecessor of that
    /// process. If this leader has not probed the address, the member is a successor of the one in
    /// an older version.
    pub fn apply_registry(&mut self, now: Time, registry: &Registry) -> Vec<NodeId> {
        let mut dead = Vec::new();
        for member in registry.members() {
            match self.nodes.get(&member.addr) {
                Some(node) if node.member.id == member.id => {}
                Some(node) if node.probed => dead.push(member.id),
                earlier => {
                    dead.extend(earlier.map(|node| node.member.id));
                    self.insert(now, member.clone(), false);
                }
            }
        }
        dead
    }

    fn insert(&mut self, now: Time, member: Member, probed: bool) {
        let node = NodeState {
            last_contact: now,
            known_since: now,
            probed,
            leaving: false,
            member,
        };
        self.nodes.insert(node.member.addr, node);
    }

    /// Records the response to a probe and returns the process that it proves dead.
    ///
    /// Two processes can't listen on one address, so a process that responds to a probe which
    /// started after another process was known there is its successor. A late response to an
    /// earlier probe proves nothing.
    pub fn record_probe(&mut self, now: Time, ack: ProbeAck) -> Option<NodeId> {
        let Some(node) = self.nodes.get_mut(&ack.member.addr) else {
            self.insert(now, ack.member, true);
            return None;
        };
        if node.member.id == ack.member.id {
            node.last_contact = node.last_contact.max(ack.started);
            node.probed = true;
            return None;
        }
        if ack.started <= node.known_since {
            return None;
        }
        let dead = node.member.id;
        self.insert(now, ack.member, true);
        Some(dead)
    }

    /// Records a heartbeat.
    ///
    /// A heartbeat may arrive after its sender has ended, so it proves nothing about other
    /// processes. It only resets the timeouts of the node and reports that the node is leaving.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let node = self.nodes.get_mut(&heartbeat.addr);
        if let Some(node) = node.filter(|node| node.member.id == heartbeat.id) {
            node.last_contact = node.last_contact.max(heartbeat.received);
            node.leaving |= heartbeat.leaving;
        }
    }

    /// Returns the next registry change if one is due.
    ///
    /// The caller must not call it again before the change is committed.
    pub fn propose(&mut self, now: Time, registry: &Registry) -> Option<RegistryChange> {
        let is_alive = |node: &&NodeState| now.since(node.last_contact) < REMOVAL_TIMEOUT;
        let is_new =
            |s: &&NodeState| s.probed && is_alive(s) && registry.get(s.member.id).is_none();
        let new: Vec<&NodeState> = self.nodes.values().filter(is_new).collect();
        let newest = new.iter().map(|s| s.known_since).max();
        let mut joined: Vec<Member> = new.into_iter().map(|s| s.member.clone()).collect();
        joined.sort_by_key(|m| m.id);
        let demoted = self.to_demote(now, registry);
        let leaving = self.to_mark_leaving(registry);
        let is_urgent = !demoted.is_empty() || !leaving.is_empty();
        let interval = match is_urgent {
            true => DEMOTION_INTERVAL,
            false => CHANGE_INTERVAL,
        };
        let is_due = |last: Time| now.since(last) >= interval;
        let is_batching = self.is_batching(now, newest) && !is_urgent;
        if is_batching || !self.last_change.is_none_or(is_due) {
            return None;
        }
        let change = RegistryChange {
            joined,
            left: self.to_remove(now, registry),
            demoted,
            reinstated: self.to_reinstate(now, registry),
            leaving,
            offline: None,
        };
        if change.is_empty() {
            return None;
        }
        self.last_change = Some(now);
        self.batch_start = None;
        Some(change)
    }

    /// Returns the state of a registered node.
    fn state_of(&self, member: &Member) -> Option<&NodeState> {
        let node = self.nodes.get(&member.addr);
        node.filter(|s| s.member.id == member.id)
    }

    /// Returns the nodes to demote: those that are leaving or unreachable, sorted.
    fn to_demote(&self, now: Time, registry: &Registry) -> Vec<NodeId> {
        let members = registry.members();
        let is_unresponsive =
            |s: &NodeState| !s.leaving && now.since(s.last_contact) >= DEMOTION_TIMEOUT;
        let nodes = || members.iter().filter_map(|m| self.state_of(m));
        let unresponsive = nodes().filter(|s| is_unresponsive(s)).count();
        let too_many = unresponsive > members.len() / DEMOTION_DIVISOR;
        let demoted = nodes().filter(|s| s.leaving || !too_many && is_unresponsive(s));
        let ids = demoted.map(|s| s.member.id);
        ids.filter(|id| !registry.is_demoted(*id)).collect()
    }

    /// Returns the leaving nodes that the registry doesn't list as such, sorted.
    fn to_mark_leaving(&self, registry: &Registry) -> Vec<NodeId> {
        let nodes = registry.members().iter().filter_map(|m| self.state_of(m));
        let ids = nodes.filter(|s| s.leaving).map(|s| s.member.id);
        ids.filter(|id| registry.leaving().binary_search(id).is_err())
            .collect()
    }

    /// Returns the demoted nodes to reinstate: those that are reachable and not leaving, sorted.
    fn to_reinstate(&self, now: Time, registry: &Registry) -> Vec<NodeId> {
        let members = registry.members().iter();
        let demoted = members.filter(|m| registry.is_demoted(m.id));
        // For a new leader, every node starts with a recent contact that is only assumed.
        let is_reachable = |s: &NodeState| {
            s.last_contact > s.known_since && now.since(s.last_contact) < DEMOTION_TIMEOUT
        };
        let is_back = |s: &&NodeState| !s.leaving && is_reachable(s);
        let back = demoted.filter_map(|m| self.state_of(m)).filter(is_back);
        back.map(|s| s.member.id).collect()
    }

    /// Returns the nodes to remove: those that are proved dead or unreachable for too long.
    fn to_remove(&self, now: Time, registry: &Registry) -> Vec<NodeId> {
        let members = registry.members();
        let idle = |s: &NodeState| now.since(s.last_contact);
        // A leaving node is expected to become unreachable.
        let is_unresponsive = |s: &&NodeState| !s.leaving && idle(s) >= REMOVAL_TIMEOUT;
        let nodes = members.iter().filter_map(|m| self.state_of(m));
        let too_many = nodes.filter(is_unresponsive).count() > members.len() / REMOVAL_DIVISOR;
        let is_short = registry
            .offline()
            .is_some_and(|limit| limit < REMOVAL_TIMEOUT_OFFLINE);
        let longest = match is_short {
            true => REMOVAL_TIMEOUT_OFFLINE,
            false => REMOVAL_TIMEOUT_LONG,
        };
        let timeout = |s: &NodeState| match s.leaving {
            true => LEAVING_TIMEOUT,
            false if too_many => longest,
            false => REMOVAL_TIMEOUT,
        };
        let stays = |m: &&Member| self.state_of(m).is_some_and(|s| idle(s) < timeout(s));
        let removed = members.iter().filter(|m| !stays(m));
        removed.map(|m| m.id).collect()
    }

    /// Returns true while the registration of new nodes waits for more of them; `newest` is the
    /// time at which the last one was added.
    fn is_batching(&mut self, now: Time, newest: Option<Time>) -> bool {
        let Some(newest) = newest else {
            self.batch_start = None;
            return false;
        };
        let since = *self.batch_start.get_or_insert(newest);
        now.since(newest) < JOIN_QUIET_PERIOD && now.since(since) < JOIN_DELAY_MAX
    }
}
