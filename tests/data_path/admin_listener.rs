//! The admin listener: target announcements and health checks.

use std::time::Duration;

use laburnumtide::fleet::TargetState;
use laburnumtide::node::{self, Limits};

use crate::cluster::{Cluster, raw, settings};
use crate::standin::client::post;

fn announcement() -> serde_json::Value {
    serde_json::json!({
        "name": "oven-9", "service": "ovens", "address": "127.0.0.1:9", "slots": 3,
        "connections": 10, "started_ms_ago": 60_000, "draining": false, "load": 0.5,
    })
}

#[tokio::test]
async fn silent_target_is_removed() {
    let cluster = Cluster::open().await;
    let admin = cluster.back.admin_addr();
    let response = post(admin, "/announce", announcement().to_string())
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
    let mut records = cluster.back.records();
    let limit = Duration::from_secs(20);
    let wait = records.wait_for(|r| r.targets.len() == 2);
    let version = tokio::time::timeout(limit, wait)
        .await
        .unwrap()
        .unwrap()
        .version;
    let wait = records.wait_for(|r| r.targets.len() == 1);
    let record = tokio::time::timeout(limit, wait).await.unwrap().unwrap();
    assert!(record.version > version);
    assert_eq!(record.targets[0].name.as_str(), "oven-1");
}

#[tokio::test]
async fn announced_changes_are_applied() {
    let cluster = Cluster::open().await;
    let admin = cluster.back.admin_addr();
    let mut body = announcement();
    for (slots, draining, state) in [
        (3, false, TargetState::Ready),
        (5, false, TargetState::Ready),
        (5, true, TargetState::Draining),
    ] {
        body["slots"] = slots.into();
        body["draining"] = draining.into();
        post(admin, "/announce", body.to_string()).await.unwrap();
        let record = cluster.back.records().borrow().clone();
        let target = record.targets.iter().find(|t| t.name.as_str() == "oven-9");
        let target = target.unwrap();
        assert_eq!((target.slots.0, target.state), (slots, state));
    }
}

#[tokio::test]
async fn malformed_announcements_are_refused() {
    let cluster = Cluster::open().await;
    let admin = cluster.back.admin_addr();
    for (name, value) in [
        ("slots", serde_json::json!(0)),
        ("slots", serde_json::json!(-1)),
        ("connections", serde_json::json!(0)),
        ("address", serde_json::json!("somewhere")),
        ("name", serde_json::json!("Oven 9")),
        ("unknown", serde_json::json!(1)),
    ] {
        let mut body = announcement();
        body[name] = value;
        let response = post(admin, "/announce", body.to_string()).await.unwrap();
        assert_eq!(response.status(), 400, "{name}");
    }
    let long = "x".repeat(20_000);
    let response = post(admin, "/announce", long).await.unwrap();
    assert_eq!(response.status(), 413);
    assert_eq!(cluster.back.records().borrow().targets.len(), 1);
}

/// Guards against a node that reports ready and accepts requests before it has a configuration.
#[tokio::test]
async fn unsynced_node_is_not_ready() {
    let node = node::spawn_unsynced(settings(&Limits::default()))
        .await
        .unwrap();
    let get = "GET /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let response = raw(node.admin_addr(), get.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    let response = raw(node.caller_addr(), get.as_bytes()).await;
    assert!(response.contains("laburnum-reason: starting"), "{response}");
    let other = "GET /other HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let response = raw(node.admin_addr(), other.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 404"), "{response}");
}

/// Guards against an admin listener that other VMs can reach although the settings don't permit it.
#[test]
fn admin_stays_on_loopback() {
    let mut settings = settings(&Limits::default());
    settings.admin_listen = "0.0.0.0:0".parse().unwrap();
    assert!(settings.check().is_err());
    settings.admin_public = true;
    settings.check().unwrap();
}
