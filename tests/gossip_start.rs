//! How a node that starts learns the records of a large fleet.

use laburnumtide::fleet::gossip::GOSSIP_INTERVAL;
use laburnumtide::fleet::{Gossip, NodeRecord, Published, Push};
use laburnumtide::prelude::*;

/// Nodes of the planned size.
const NODES: u64 = 560;

fn published(node: u64) -> Published {
    Published {
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

/// Guards against a start that takes minutes, and against the whole table being pushed once more.
#[test]
fn whole_table_at_start() {
    let mut old = Gossip::new(NodeId(1));
    old.publish(published(1));
    let records = (2..NODES).map(|n| published(n).into()).collect();
    old.take(&Push { records });
    let mut new = Gossip::new(NodeId(NODES));
    new.publish(published(NODES));

    let mut now = Time::from_millis(3_600_000);
    for _ in 0..13 {
        let ask = new.ask(now);
        let answer = old.answer(now, &ask);
        new.hear(now, &answer);
        now = now + GOSSIP_INTERVAL;
    }
    assert_eq!(new.records().hash(), old.records().hash());
    let rest: usize = (0..100).map(|_| new.ask(now).records.len()).sum();
    assert!(rest <= 12, "{rest} records were pushed");
}
