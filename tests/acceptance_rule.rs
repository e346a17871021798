//! Acceptance of log entries by the control leader while nodes are silent or leaving.

use std::time::Duration;

use laburnumtide::control::nodes::{MembershipTracker, Nodes};
use laburnumtide::control::state::State;
use laburnumtide::control::{OFFLINE_TIME, offline_for};
use laburnumtide::fleet::{Member, ProbeAck, RegistryChange};
use laburnumtide::freshness::{PROOF_LIFETIME_MAX, with_drift};
use laburnumtide::ids::NodeId;
use laburnumtide::replica::{Entry, LogEntry};
use laburnumtide::time::Time;
use laburnumtide::units::{Position, Term};
use laburnumtide::wire::registry::encode_change;
use laburnumtide::wire::sync::Request;

const START: Time = Time::from_millis(3_600_000);

/// The bound of the users' deployments on the time to the acknowledgement of a change.
const ACK_MAX: Duration = Duration::from_secs(4);

/// A control leader with five registered nodes.
struct Leader {
    state: State,
    nodes: Nodes,
    tracker: MembershipTracker,
}

fn members() -> Vec<Member> {
    let member = |n: u64| Member {
        id: NodeId(n),
        addr: format!("127.0.0.{n}:7100").parse().unwrap(),
        zone: "a".parse().unwrap(),
    };
    (1..=5).map(member).collect()
}

impl Leader {
    fn new(offline: Duration) -> Leader {
        let mut leader = Leader {
            state: State::new(),
            nodes: Nodes::new(),
            tracker: MembershipTracker::new(offline),
        };
        let joins = RegistryChange {
            joined: members(),
            offline: Some(offline),
            ..RegistryChange::default()
        };
        leader.commit(START, Entry::Nodes(encode_change(&joins).into()));
        leader.commit(START, Entry::Accepted(Position(1)));
        leader
    }

    fn commit(&mut self, now: Time, entry: Entry) {
        let logged = LogEntry {
            position: self.state.position().next(),
            term: Term(1),
            entry,
        };
        self.state.apply(&logged).unwrap();
        self.tracker.apply_registries(now, &self.state);
    }

    fn request(&self, now: Time, node: usize, leaving: bool) {
        let request = Request {
            node: members()[node].clone(),
            position: self.state.position(),
            sent: now,
            wait: Duration::ZERO,
            partial: None,
            leaving,
            data_max: 0,
        };
        self.nodes.record_request(now, &request);
    }

    /// Commits the registry change that is due.
    fn commit_change(&mut self, now: Time) {
        let (position, registry) = (self.state.position(), self.state.registry());
        let due = self
            .tracker
            .due_change(now, position, &registry, &self.nodes);
        let change = due.expect("a change is due");
        self.commit(now, Entry::Nodes(encode_change(&change).into()));
        self.tracker.record_proposed(self.state.position());
    }

    fn acceptable(&self, now: Time) -> Option<Position> {
        self.tracker.acceptable(now, &self.nodes, &self.state)
    }
}

/// Guards against changes that are never acknowledged after most nodes fell silent (review/2), and
/// against one that is acknowledged while the silent nodes may still confirm one another.
#[test]
fn silent_majority() {
    let mut leader = Leader::new(offline_for(ACK_MAX));
    let now = START + Duration::from_secs(10);
    let change = RegistryChange {
        demoted: vec![NodeId(3)],
        ..RegistryChange::default()
    };
    leader.commit(now, Entry::Nodes(encode_change(&change).into()));
    leader.request(now, 0, false);
    leader.request(now, 1, false);
    let over = now + with_drift(offline_for(ACK_MAX));
    assert_eq!(leader.acceptable(over - Duration::from_millis(1)), None);
    assert_eq!(leader.acceptable(over), Some(leader.state.position()));
    assert!(over < now + ACK_MAX);
}

/// Guards against changes that wait for nodes that have left as planned, although nodes may confirm
/// one another for hours, and against a new leader that doesn't know of their departure.
#[test]
fn departed_majority() {
    let mut leader = Leader::new(OFFLINE_TIME);
    let left = START + Duration::from_secs(10);
    for member in members() {
        let ack = ProbeAck {
            started: left,
            member,
        };
        leader.tracker.record_probe(left, ack);
    }
    for node in 0..5 {
        leader.request(left, node, node >= 2);
    }
    leader.commit_change(left);
    assert_eq!(leader.state.registry().leaving(), [3, 4, 5].map(NodeId));
    leader.request(left, 0, false);
    leader.request(left, 1, false);
    let expired = left + PROOF_LIFETIME_MAX;
    assert_eq!(leader.acceptable(expired - Duration::from_millis(1)), None);
    assert_eq!(leader.acceptable(expired), Some(leader.state.position()));
    leader.tracker = MembershipTracker::new(OFFLINE_TIME);
    leader.tracker.apply_registries(expired, &leader.state);
    assert_eq!(leader.acceptable(expired), None);
    let later = expired + PROOF_LIFETIME_MAX;
    assert_eq!(leader.acceptable(later), Some(leader.state.position()));
}
