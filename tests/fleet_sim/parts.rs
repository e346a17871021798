//! Processes, clocks and messages of the simulation.

use std::collections::VecDeque;
use std::time::Duration;

use laburnumtide::fleet::{
    AckTracker, Gossip, GossipRequest, GossipResponse, Member, MembershipTable, Push,
    RegistryChange, RegistryLog,
};
use laburnumtide::ids::NodeId;
use laburnumtide::time::Time;
use laburnumtide::units::Position;
use rand::RngExt;
use rand::rngs::StdRng;

/// What happens in a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub nodes: usize,
    /// Share of messages that are lost, and that come twice.
    pub loss: f64,
    /// Share of messages that take up to the longest time.
    pub slow: f64,
    /// Share of answers that bring missing entries.
    pub entries: f64,
    pub slowest: Duration,
    /// Time between faults; none for a quiet run.
    pub fault_every: Option<Duration>,
    pub note_every: Option<Duration>,
}

#[derive(Clone, Debug)]
pub(super) enum Entry {
    Note,
    Nodes(RegistryChange),
}

#[derive(Clone, Debug)]
pub(super) enum Message {
    Ask(usize, GossipRequest),
    Answer(GossipResponse, Vec<Entry>),
    Push(Push),
    Sync(usize, NodeId, Time, Position),
    Synced(NodeId, Time, Position, Vec<Entry>),
    Dial(Time),
    Dialed(Time, Member),
}

#[derive(Clone, Debug)]
pub(super) enum Event {
    Deliver(usize, Message),
    Gossip(usize, u64),
    Sync(usize, u64),
    Control,
    Commit(u64),
    Note,
    Fault,
    Thaw(usize, u64),
}

/// A clock with a rate error of up to 1 % and an offset.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    pub(super) offset: u64,
    pub(super) parts: u64,
}

impl Clock {
    pub(super) fn new(rng: &mut StdRng) -> Clock {
        Clock {
            offset: rng.random_range(3_600_000_000..3_660_000_000),
            parts: rng.random_range(990_000..=1_010_000),
        }
    }

    pub(super) fn read(self, now: u64) -> Time {
        Time(self.offset + (u128::from(now) * u128::from(self.parts) / 1_000_000) as u64)
    }
}

pub struct Process {
    pub gossip: Gossip,
    pub(super) id: NodeId,
    pub(super) clock: Clock,
    pub(super) log: Vec<Entry>,
    pub(super) frozen: bool,
    pub(super) inbox: VecDeque<Message>,
}

pub(super) struct Control {
    pub(super) clock: Clock,
    pub(super) roll: MembershipTable,
    pub(super) acceptance: AckTracker,
    pub(super) registry: RegistryLog,
    pub(super) away: bool,
    pub(super) inbox: VecDeque<Message>,
    /// A change that is proposed and not committed, and how many were proposed.
    pub(super) pending: Option<RegistryChange>,
    pub(super) proposals: u64,
}

impl Control {
    pub(super) fn new(rng: &mut StdRng) -> Control {
        Control {
            clock: Clock::new(rng),
            roll: MembershipTable::default(),
            acceptance: AckTracker::new(Position(0)),
            registry: RegistryLog::default(),
            away: false,
            inbox: VecDeque::new(),
            pending: None,
            proposals: 0,
        }
    }
}

impl Process {
    /// Applies the entries that follow those it has; `from` is the position before the first.
    pub(super) fn apply(&mut self, from: Position, entries: Vec<Entry>) {
        for (entry, position) in entries.into_iter().zip(from.0 + 1..) {
            if position != self.log.len() as u64 + 1 {
                continue;
            }
            let change = match &entry {
                Entry::Nodes(change) => Some(change),
                Entry::Note => None,
            };
            self.gossip
                .apply(Position(position), change)
                .expect("committed entries apply");
            self.log.push(entry);
        }
    }
}

pub(super) fn after(log: &[Entry], position: Position) -> Vec<Entry> {
    log.get(position.0 as usize..).unwrap_or_default().to_vec()
}

pub(super) fn member(id: NodeId, vm: usize) -> Member {
    Member {
        id,
        addr: format!("127.0.0.1:{}", vm + 1).parse().expect("an address"),
        zone: format!("zone-{}", vm % 3).parse().expect("a zone"),
    }
}
