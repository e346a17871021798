//! The control leader's list of who was seen alive.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::registry::{Member, Registry, RegistryChange};
use crate::ids::NodeId;
use crate::time::Time;

/// Shortest time between two registry changes.
///
/// Each change is an entry that a majority of the nodes must hold, so 1,200 restarts a day must not
/// become as many rounds when they come in waves.
pub const CHANGE_INTERVAL: Duration = Duration::from_secs(5);

/// Time without a further new node after which those that have come are registered.
///
/// Nodes that start together then join together. Otherwise the first would be the whole registry,
/// and the change that adds the others would move its seats and owners a few seconds later.
const GATHER_QUIET: Duration = Duration::from_millis(200);

/// Longest time that a new node waits for others.
const GATHER_MAX: Duration = Duration::from_secs(2);

/// Shortest time between a registry change and one that relieves nodes of their seats.
///
/// The seats of nodes that leave must move while they are still there to say so, and they end some
/// 2 s after they have begun to leave.
const RELIEF_INTERVAL: Duration = Duration::from_millis(500);

/// How long a registered node may be silent before it is relieved of its seats.
///
/// It asks the leader every 500 ms. A seat that is gone weighs on every lease, and VMs that go for
/// good one after the other must not take a majority of the seats with them.
const SEAT_SILENCE: Duration = Duration::from_millis(2_500);

/// Part of the registered nodes, as a divisor, that may be relieved as silent; the loss of a zone
/// stays below it.
const RELIEF_DIVISOR: usize = 2;

/// How long a registered node that leaves may be silent before it is removed.
const LEFT_SILENCE: Duration = Duration::from_secs(3);

/// How long a registered node may be silent before it is removed.
///
/// A VM that is gone for good weighs on every majority and may hold a seat of the rate limits: with
/// two of three seats gone no account with a limit is served. It is above the time in which a
/// process is restarted and finds a leader, and a node that was only cut off is registered again.
pub const REMOVAL_TIMEOUT: Duration = Duration::from_secs(8);

/// Part of the registered nodes, as a divisor, that may be removed as silent at once after
/// [`REMOVAL_TIMEOUT`].
///
/// If more are silent, it is likelier that the leader is cut off from them than that they are gone.
/// A leader that removed 17 of 26 live nodes left their accounts without owners for 10 s.
const SILENT_DIVISOR: usize = 3;

/// How long a registered node may be silent in any case.
const SILENCE_LONG: Duration = Duration::from_secs(60);

/// A link that the leader itself opened and that a node answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeAck {
    /// When the leader began to connect.
    pub started: Time,
    /// Who answered.
    pub member: Member,
}

/// The last question that a node has asked.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// When it arrived.
    pub received: Time,
    /// Who asked.
    pub id: NodeId,
    /// The address that it named.
    pub addr: SocketAddr,
    /// True if it said that it leaves.
    pub leaving: bool,
}

#[derive(Clone, Debug)]
struct Seen {
    member: Member,
    /// The start of the latest contact.
    alive: Time,
    /// When the member was first known; a contact that began earlier proves no successor.
    since: Time,
    /// Whether this leader itself had contact; only then the member may join.
    sighted: bool,
    leaving: bool,
}

/// Who runs on each address, as one leader knows it in its time; the next one starts anew.
#[derive(Clone, Debug, Default)]
pub struct MembershipTable {
    seen: BTreeMap<SocketAddr, Seen>,
    last_change: Option<Time>,
    /// Since when new nodes wait to be registered.
    gathering: Option<Time>,
}

impl MembershipTable {
    /// Takes in a registry and returns the processes that it proves dead.
    ///
    /// A new leader takes in every version since the last accepted entry, oldest first, before it
    /// opens a link, and later each version that commits. Whoever registered a member had contact
    /// with it before this leader had any of its own, or was this leader. So a member that differs
    /// from the process that this leader met on the address is an earlier one, and otherwise it is
    /// later than the one of an older version.
    pub fn apply_registry(&mut self, now: Time, registry: &Registry) -> Vec<NodeId> {
        let mut dead = Vec::new();
        for member in registry.members() {
            match self.seen.get(&member.addr) {
                Some(seen) if seen.member.id == member.id => {}
                Some(seen) if seen.sighted => dead.push(member.id),
                earlier => {
                    dead.extend(earlier.map(|seen| seen.member.id));
                    self.enter(now, member.clone(), false);
                }
            }
        }
        dead
    }

    fn enter(&mut self, now: Time, member: Member, sighted: bool) {
        let seen = Seen {
            alive: now,
            since: now,
            sighted,
            leaving: false,
            member,
        };
        self.seen.insert(seen.member.addr, seen);
    }

    /// Takes in that a node answered on its address, and returns the process that this proves dead.
    ///
    /// Two processes can't listen on one address, so a process that answers a contact which began
    /// after another was known there is its successor. A late answer to an earlier contact proves
    /// nothing.
    pub fn record_probe(&mut self, now: Time, ack: ProbeAck) -> Option<NodeId> {
        let Some(seen) = self.seen.get_mut(&ack.member.addr) else {
            self.enter(now, ack.member, true);
            return None;
        };
        if seen.member.id == ack.member.id {
            seen.alive = seen.alive.max(ack.started);
            seen.sighted = true;
            return None;
        }
        if ack.started <= seen.since {
            return None;
        }
        let dead = seen.member.id;
        self.enter(now, ack.member, true);
        Some(dead)
    }

    /// Takes in that a node has asked a question.
    ///
    /// A question may arrive after the end of its sender, so it proves nothing about others. It only
    /// keeps a node from being removed as silent, and tells that it leaves.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let seen = self.seen.get_mut(&heartbeat.addr);
        if let Some(seen) = seen.filter(|seen| seen.member.id == heartbeat.id) {
            seen.alive = seen.alive.max(heartbeat.received);
            seen.leaving |= heartbeat.leaving;
        }
    }

    /// Returns the next registry change, if one is due and there is anything to change.
    ///
    /// A caller proposes nothing more before the change is committed.
    pub fn propose(&mut self, now: Time, registry: &Registry) -> Option<RegistryChange> {
        let is_alive = |seen: &&Seen| now.since(seen.alive) < REMOVAL_TIMEOUT;
        let is_new = |s: &&Seen| s.sighted && is_alive(s) && registry.get(s.member.id).is_none();
        let new: Vec<&Seen> = self.seen.values().filter(is_new).collect();
        let newest = new.iter().map(|s| s.since).max();
        let mut joined: Vec<Member> = new.into_iter().map(|s| s.member.clone()).collect();
        joined.sort_by_key(|m| m.id);
        let demoted = self.demoted(now, registry);
        let interval = match demoted.is_empty() {
            true => CHANGE_INTERVAL,
            false => RELIEF_INTERVAL,
        };
        let is_due = |last: Time| now.since(last) >= interval;
        let is_gathering = self.is_gathering(now, newest) && demoted.is_empty();
        if is_gathering || !self.last_change.is_none_or(is_due) {
            return None;
        }
        let change = RegistryChange {
            joined,
            left: self.gone(now, registry),
            demoted,
            reinstated: self.reinstated(now, registry),
        };
        if change.is_empty() {
            return None;
        }
        self.last_change = Some(now);
        self.gathering = None;
        Some(change)
    }

    /// Returns what is known of a registered node.
    fn seen(&self, member: &Member) -> Option<&Seen> {
        let seen = self.seen.get(&member.addr);
        seen.filter(|s| s.member.id == member.id)
    }

    /// Returns the registered nodes that leave or are silent and still may hold seats, sorted.
    fn demoted(&self, now: Time, registry: &Registry) -> Vec<NodeId> {
        let members = registry.members();
        let is_silent = |s: &Seen| !s.leaving && now.since(s.alive) >= SEAT_SILENCE;
        let seen = || members.iter().filter_map(|m| self.seen(m));
        let silent = seen().filter(|s| is_silent(s)).count();
        let is_many = silent > members.len() / RELIEF_DIVISOR;
        let demoted = seen().filter(|s| s.leaving || !is_many && is_silent(s));
        let ids = demoted.map(|s| s.member.id);
        ids.filter(|id| !registry.is_demoted(*id)).collect()
    }

    /// Returns the relieved nodes that are there and stay, sorted.
    fn reinstated(&self, now: Time, registry: &Registry) -> Vec<NodeId> {
        let members = registry.members().iter();
        let demoted = members.filter(|m| registry.is_demoted(m.id));
        // A new leader takes each for alive until it has heard of it.
        let is_heard = |s: &Seen| s.alive > s.since && now.since(s.alive) < SEAT_SILENCE;
        let is_back = |s: &&Seen| !s.leaving && is_heard(s);
        let back = demoted.filter_map(|m| self.seen(m)).filter(is_back);
        back.map(|s| s.member.id).collect()
    }

    /// Returns the registered nodes that are proved dead or have been silent for too long.
    fn gone(&self, now: Time, registry: &Registry) -> Vec<NodeId> {
        let members = registry.members();
        let silence = |s: &Seen| now.since(s.alive);
        // One that leaves is expected to fall silent.
        let is_silent = |s: &&Seen| !s.leaving && silence(s) >= REMOVAL_TIMEOUT;
        let seen = members.iter().filter_map(|m| self.seen(m));
        let is_many = seen.filter(is_silent).count() > members.len() / SILENT_DIVISOR;
        let most = |s: &Seen| match s.leaving {
            true => LEFT_SILENCE,
            false if is_many => SILENCE_LONG,
            false => REMOVAL_TIMEOUT,
        };
        let stays = |m: &&Member| self.seen(m).is_some_and(|s| silence(s) < most(s));
        let gone = members.iter().filter(|m| !stays(m));
        gone.map(|m| m.id).collect()
    }

    /// Returns true if more nodes may be about to join with those that wait; `newest` is when the
    /// last of them came.
    fn is_gathering(&mut self, now: Time, newest: Option<Time>) -> bool {
        let Some(newest) = newest else {
            self.gathering = None;
            return false;
        };
        let since = *self.gathering.get_or_insert(newest);
        now.since(newest) < GATHER_QUIET && now.since(since) < GATHER_MAX
    }
}
