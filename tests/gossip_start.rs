//! The transfer of the record table of a large fleet to a node that starts.

use std::time::Duration;

use laburnumtide::fleet::gossip::GOSSIP_INTERVAL;
use laburnumtide::fleet::{Advertisement, Gossip, Member, NodeRecord, Push, Scope};
use laburnumtide::prelude::*;

/// The planned number of nodes.
const NODES: u64 = 560;

fn member(node: u64) -> Member {
    Member {
        id: NodeId(node),
        addr: published(node).addr,
        zone: published(node).record.zone,
    }
}

fn published(node: u64) -> Advertisement {
    Advertisement {
        addr: format!("10.0.0.1:{node}").parse().unwrap(),
        started: 1,
        record: NodeRecord {
            node: NodeId(node),
            version: 1,
            health_version: 1,
            zone: "zone-1".parse().unwrap(),
            leaving: false,
            targets: Vec::new(),
        },
    }
}

/// Guards against a transfer that takes minutes, and against a new node that announces the whole
/// table to peers which hold it.
#[test]
fn whole_table_at_start() {
    let mut old = Gossip::new(NodeId(1));
    old.publish(published(1));
    let records = (2..NODES).map(|n| published(n).into()).collect();
    old.receive_push(&Push { records });
    let mut new = Gossip::new(NodeId(NODES));
    new.publish(published(NODES));

    // The updates of the old node expire.
    let mut now = Time::from_millis(3_600_000);
    old.request(now, &member(NODES));
    now = now + Duration::from_secs(60);
    for _ in 0..13 {
        let request = new.request(now, &member(1));
        let response = old.respond(now, &request);
        if let Some(push) = new.receive(now, &response) {
            old.receive_push(&push);
        }
        now = now + GOSSIP_INTERVAL;
    }
    let scope = Scope::WithHealth;
    assert_eq!(new.records().hash(scope), old.records().hash(scope));
    let announced = new.request(now, &member(1)).updates;
    assert!(
        announced.len() <= 1,
        "{} records were announced",
        announced.len()
    );
}
