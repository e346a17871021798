//! Joins a node to its fleet: configuration, gossip and limits.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::config::Account;
use crate::error::{Error, Result};
use crate::fleet::{Member, NodeRecord};
use crate::ids::NodeId;
use crate::node::links::Links;
use crate::node::plug::{Admission, Parts, Policy};
use crate::node::settings::Settings;
use crate::node::sync::{Controls, Gossiper, serve_gossip};
use crate::node::targets::Targets;
use crate::node::view::View;
use crate::node::{Handle, spawn_with};
use crate::outcome::Refusal;
use crate::time::Monotonic;
use crate::wire::{Channel, Handler, Hello, Protocol, Role};

/// Shortest time between two updates of the request path from the view.
///
/// Gossip changes the view many times a second; the request path needs a change only this often.
const SPREAD_INTERVAL: Duration = Duration::from_millis(50);

/// Admits every request; stands in until limits are connected.
#[derive(Debug, Default)]
pub struct Unlimited;

impl Admission for Unlimited {
    async fn admit(&self, _: &Account, _: Duration) -> std::result::Result<(), Refusal> {
        Ok(())
    }
}

/// Answers frames of other nodes.
#[derive(Debug)]
struct Frames {
    view: Arc<View>,
}

impl Handler for Frames {
    async fn handle(&self, _: Hello, channel: Channel, payload: Bytes) -> Result<Bytes> {
        match channel {
            Channel::Gossip => serve_gossip(&self.view, payload),
            _ => Err(Error::unavailable(format!("{channel:?} is not served"))),
        }
    }
}

/// Starts a node that follows its control processes and gossips with the other nodes.
///
/// # Errors
///
/// Fails if a setting breaks a rule or an address can't be bound.
pub async fn spawn(settings: Settings) -> Result<Handle> {
    let me = NodeId::random();
    let hello = Hello {
        role: Role::Node,
        id: me.0,
        protocol: Protocol::Frames,
    };
    let member = Member {
        id: me,
        addr: settings.link_public.unwrap_or(settings.link_listen),
        zone: settings.zone.clone(),
    };
    let policy = Arc::new(Policy::new());
    let view = Arc::new(View::new(member, Monotonic::new(), policy.clone()));
    let parts = Parts {
        policy,
        freshness: view.clone(),
        admission: Arc::new(Unlimited),
    };
    let frames = Arc::new(Frames { view: view.clone() });
    let (addrs, secret) = (settings.control.clone(), settings.secret.clone());
    let handle = spawn_with(settings, me, parts, frames).await?;
    let controls = Arc::new(Controls::new(view.clone(), &addrs, &secret, hello));
    let waiting = controls.clone();
    handle.watch(async move { controls.prove().await });
    handle.watch(async move { waiting.wait_for_changes().await });
    let gossiper = Arc::new(Gossiper::new(view.clone(), secret, hello));
    handle.watch(gossiper.run());
    handle.watch(publish_own(view.clone(), handle.records()));
    let (targets, links) = (handle.targets.clone(), handle.links.clone());
    handle.watch(spread(view, targets, links));
    Ok(handle)
}

/// Publishes each change of the node's own record.
async fn publish_own(view: Arc<View>, mut records: watch::Receiver<NodeRecord>) {
    let started = SystemTime::now().duration_since(UNIX_EPOCH);
    let started = started.map_or(0, |t| t.as_millis() as u64);
    loop {
        let record = records.borrow_and_update().clone();
        view.publish(record, started);
        if records.changed().await.is_err() {
            return;
        }
    }
}

/// Passes changed records of other nodes to the request path.
async fn spread(view: Arc<View>, targets: Arc<Targets>, links: Arc<Links>) {
    let mut changes = view.changes();
    let mut known: Vec<(NodeId, u64)> = Vec::new();
    loop {
        let records = view.records();
        let mut present = Vec::with_capacity(records.len());
        for published in records {
            let entry = (published.record.node, published.record.version);
            if known.binary_search(&entry).is_err() {
                targets.learn(published.addr, &published.record);
            }
            present.push(entry);
        }
        for (node, _) in known {
            if present.binary_search_by_key(&node, |p| p.0).is_err() {
                targets.forget(node);
                links.forget(node);
            }
        }
        known = present;
        if changes.changed().await.is_err() {
            return;
        }
        sleep(SPREAD_INTERVAL).await;
        changes.mark_unchanged();
    }
}
