//! Processes, clocks and messages of the simulation.

use std::collections::VecDeque;
use std::time::Duration;

use laburnumtide::fleet::{
    AckTracker, Gossip, GossipRequest, GossipResponse, Heartbeat, Member, MembershipTable, Push,
    RegistryChange, RegistryLog,
};
use laburnumtide::ids::NodeId;
use laburnumtide::time::Time;
use laburnumtide::units::Position;
use rand::RngExt;
use rand::rngs::StdRng;

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub nodes: usize,
    /// Probability that a message is lost, and that it is duplicated.
    pub loss_rate: f64,
    /// Share of messages that are delayed by up to `delay_max`.
    pub slow_rate: f64,
    /// Share of gossip responses that contain missing entries.
    pub relay_rate: f64,
    pub delay_max: Duration,
    /// Time between faults; none for a run without faults.
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
    Request(usize, GossipRequest),
    Response(GossipResponse, Vec<Entry>),
    Push(Push),
    Sync(Heartbeat, Time, Position),
    Synced(NodeId, Time, Position, Vec<Entry>),
    Probe(Time),
    Probed(Time, Member),
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
    Leave(Duration),
    Resume(usize, u64),
}

/// A clock with a rate error of up to 1 % and an offset.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    pub(super) offset: u64,
    pub(super) rate_ppm: u64,
}

impl Clock {
    pub(super) fn new(rng: &mut StdRng) -> Clock {
        Clock {
            offset: rng.random_range(3_600_000_000..3_660_000_000),
            rate_ppm: rng.random_range(990_000..=1_010_000),
        }
    }

    pub(super) fn read(self, now: u64) -> Time {
        Time(self.offset + (u128::from(now) * u128::from(self.rate_ppm) / 1_000_000) as u64)
    }
}

pub struct Process {
    pub gossip: Gossip,
    pub(super) id: NodeId,
    pub(super) clock: Clock,
    pub(super) log: Vec<Entry>,
    pub(super) paused: bool,
    pub(super) inbox: VecDeque<Message>,
}

pub(super) struct Control {
    pub(super) clock: Clock,
    pub(super) membership: MembershipTable,
    pub(super) acks: AckTracker,
    pub(super) registry: RegistryLog,
    pub(super) paused: bool,
    pub(super) inbox: VecDeque<Message>,
    /// The proposed change that is not committed yet, and the number of proposals.
    pub(super) pending: Option<RegistryChange>,
    pub(super) proposals: u64,
    /// The limit on the time offline that the registry should have.
    pub(super) offline: Option<Duration>,
}

impl Control {
    pub(super) fn new(rng: &mut StdRng) -> Control {
        Control {
            clock: Clock::new(rng),
            membership: MembershipTable::default(),
            acks: AckTracker::new(Position(0)),
            registry: RegistryLog::default(),
            paused: false,
            inbox: VecDeque::new(),
            pending: None,
            proposals: 0,
            offline: None,
        }
    }
}

impl Process {
    /// Applies the entries that follow its log; `from` is the position before the first one.
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

pub(super) fn entries_after(log: &[Entry], position: Position) -> Vec<Entry> {
    log.get(position.0 as usize..).unwrap_or_default().to_vec()
}

pub(super) fn member(id: NodeId, vm: usize) -> Member {
    Member {
        id,
        addr: format!("127.0.0.1:{}", vm + 1).parse().expect("an address"),
        zone: format!("zone-{}", vm % 3).parse().expect("a zone"),
    }
}
