//! How a node that starts learns the records of a large fleet.

use std::time::Duration;

use laburnumtide::fleet::gossip::GOSSIP_INTERVAL;
use laburnumtide::fleet::{Advertisement, Gossip, NodeRecord, Push};
use laburnumtide::prelude::*;

/// Nodes of the planned size.
const NODES: u64 = 560;

fn published(node: u64) -> Advertisement {
    Advertisement {
        addr: format!("10.0.0.1:{node}").parse().unwrap(),
        started: 1,
        record: NodeRecord {
            node: NodeId(node),
            version: 1,
            zone: "zone-1".parse().unwrap(),
            leaving: false,
            targets: Vec::new(),
        },
    }
}

/// Guards against a start that takes minutes, and against the whole table being named once more.
#[test]
fn whole_table_at_start() {
    let mut old = Gossip::new(NodeId(1));
    old.publish(published(1));
    let records = (2..NODES).map(|n| published(n).into()).collect();
    old.receive_push(&Push { records });
    let mut new = Gossip::new(NodeId(NODES));
    new.publish(published(NODES));

    // The table of the old node is no news any more.
    let mut now = Time::from_millis(3_600_000);
    old.request(now);
    now = now + Duration::from_secs(60);
    for _ in 0..13 {
        let ask = new.request(now);
        let answer = old.respond(now, &ask);
        if let Some(push) = new.receive(now, &answer) {
            old.receive_push(&push);
        }
        now = now + GOSSIP_INTERVAL;
    }
    assert_eq!(new.records().hash(), old.records().hash());
    let named = new.request(now).updates;
    assert!(named.len() <= 1, "{} records were named", named.len());
}
