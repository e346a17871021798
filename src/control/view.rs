//! The state that the replica thread publishes to readers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use bytes::Bytes;
use tokio::sync::watch;

use crate::control::state::State;
use crate::ids::ReplicaId;
use crate::replica::{Confirmation, Replica, Replicas, Role};
use crate::time::Time;
use crate::units::{Position, Term};

/// Maximum number of committed entries kept for nodes that are slightly behind.
const TAIL_ENTRIES: usize = 2_048;

/// Maximum size of the kept entries in bytes.
const TAIL_BYTES: usize = 8 * 1024 * 1024;

/// Role and replication progress of the replica.
#[derive(Clone, Debug)]
pub struct Meta {
    /// The replica's identity.
    pub id: ReplicaId,
    /// The replica's role.
    pub role: Role,
    /// The current term.
    pub term: Term,
    /// The leader of the term, if known.
    pub leader: Option<ReplicaId>,
    /// The last committed position.
    pub committed: Position,
    /// The group in force.
    pub replicas: Replicas,
    /// Positions that the members are known to hold.
    pub positions: Vec<(ReplicaId, Position)>,
    /// True if every entry in the replica's log is committed, so that it can confirm as a voter.
    fully_committed: bool,
    /// Until when this replica can confirm positions as the leader.
    confirmed_until: Option<Time>,
}

impl Meta {
    fn of(replica: &Replica, now: Time) -> Meta {
        let members = replica.replicas().members();
        let position = |id| replica.position_of(id).map(|p| (id, p));
        Meta {
            id: replica.id(),
            role: replica.role(),
            term: replica.term(),
            leader: replica.leader(),
            committed: replica.committed(),
            replicas: replica.replicas().clone(),
            positions: members.iter().filter_map(|m| position(m.id)).collect(),
            fully_committed: replica.confirmation(now) != Confirmation::None
                && replica.last_position() == replica.committed(),
            confirmed_until: replica.confirmed_until(now),
        }
    }

    /// Returns true if the replica is the leader with a valid lease and knows every committed entry.
    pub fn leads(&self, now: Time) -> bool {
        self.confirmed_until.is_some_and(|end| now < end)
    }

    /// Returns how the replica can confirm that nothing after `position` was accepted.
    pub fn confirmation(&self, now: Time, position: Position) -> Confirmation {
        if position < self.committed {
            Confirmation::None
        } else if self.leads(now) {
            Confirmation::Leader
        } else if self.fully_committed && self.replicas.is_voter(self.id) {
            Confirmation::Voter
        } else {
            Confirmation::None
        }
    }

    /// Returns the leader's operator address.
    pub fn leader_operator(&self) -> Option<SocketAddr> {
        Some(self.replicas.get(self.leader?)?.operator)
    }

    /// Returns the leader's link address.
    pub fn leader_link(&self) -> Option<SocketAddr> {
        Some(self.replicas.get(self.leader?)?.link)
    }
}

/// Encoded committed entries, the oldest first.
#[derive(Debug, Default)]
struct Tail {
    /// The position before the first entry.
    base: Position,
    entries: VecDeque<Bytes>,
    bytes: usize,
}

/// The published state of one replica.
#[derive(Debug)]
pub struct View {
    meta: ArcSwap<Meta>,
    state: watch::Sender<Arc<State>>,
    tail: Mutex<Tail>,
    snapshot: Mutex<Option<(Position, Bytes)>>,
}

impl View {
    /// Creates the view of a replica, with the state of its snapshot.
    pub fn new(replica: &Replica, state: State, now: Time) -> View {
        let base = state.position();
        View {
            meta: ArcSwap::from_pointee(Meta::of(replica, now)),
            state: watch::Sender::new(Arc::new(state)),
            tail: Mutex::new(Tail {
                base,
                ..Tail::default()
            }),
            snapshot: Mutex::default(),
        }
    }

    /// Publishes the replica's role and positions.
    ///
    /// Must be called before the replica's actions are executed: once an acknowledgement is sent,
    /// this replica must no longer confirm that nothing newer exists.
    pub fn publish_meta(&self, replica: &Replica, now: Time) {
        self.meta.store(Arc::new(Meta::of(replica, now)));
    }

    /// Publishes applied entries together with the resulting state.
    pub fn publish_state(&self, state: State, entries: Vec<Bytes>) {
        let mut tail = self.tail();
        for entry in entries {
            tail.bytes += entry.len();
            tail.entries.push_back(entry);
        }
        while tail.entries.len() > TAIL_ENTRIES || tail.bytes > TAIL_BYTES {
            let Some(entry) = tail.entries.pop_front() else {
                break;
            };
            tail.bytes -= entry.len();
            tail.base = tail.base.next();
        }
        drop(tail);
        self.state.send_replace(Arc::new(state));
    }

    /// Publishes the state of an installed snapshot.
    pub fn publish_install(&self, state: State) {
        *self.tail() = Tail {
            base: state.position(),
            ..Tail::default()
        };
        self.state.send_replace(Arc::new(state));
    }

    /// Returns the replica's role and progress.
    pub fn meta(&self) -> Arc<Meta> {
        self.meta.load_full()
    }

    /// Returns the applied state.
    pub fn state(&self) -> Arc<State> {
        self.state.borrow().clone()
    }

    /// Returns a receiver that is notified of each state change.
    pub fn changes(&self) -> watch::Receiver<Arc<State>> {
        self.state.subscribe()
    }

    /// Returns entries after `position`, bounded in count and bytes, or `None` if the first of them
    /// is no longer kept.
    pub fn entries_after(
        &self,
        position: Position,
        count: usize,
        bytes: usize,
    ) -> Option<Vec<Bytes>> {
        let tail = self.tail();
        let skip = position.0.checked_sub(tail.base.0)? as usize;
        let mut size = 0;
        let mut fits = |entry: &&Bytes| {
            let first = size == 0;
            size += entry.len().max(1);
            first || size <= bytes
        };
        let entries = tail.entries.iter().skip(skip).take(count);
        Some(entries.take_while(&mut fits).cloned().collect())
    }

    /// Returns the size in bytes of the entries after `position`, or `None` if the first of them is
    /// no longer kept.
    pub fn bytes_after(&self, position: Position) -> Option<usize> {
        let tail = self.tail();
        let skip = position.0.checked_sub(tail.base.0)? as usize;
        Some(tail.entries.iter().skip(skip).map(|e| e.len()).sum())
    }

    /// Returns an encoded state and its position, for a node that lacks it.
    ///
    /// `partial` is the position of the snapshot that the node has received in part. A cached
    /// snapshot is reused if its position is `partial`, or while the entries after it are kept and
    /// smaller than the snapshot itself.
    pub fn snapshot(&self, partial: Option<Position>) -> (Position, Bytes) {
        let mut cached = self.snapshot.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((position, bytes)) = &*cached {
            let newer = self.bytes_after(*position);
            if partial == Some(*position) || newer.is_some_and(|newer| newer <= bytes.len()) {
                return (*position, bytes.clone());
            }
        }
        let state = self.state();
        let fresh = (state.position(), state.encode_for_node());
        *cached = Some(fresh.clone());
        fresh
    }

    fn tail(&self) -> MutexGuard<'_, Tail> {
        self.tail.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
