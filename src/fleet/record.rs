//! Node records: the data that a node publishes about itself and the targets on its VM.

use std::net::SocketAddr;
use std::time::Duration;

use super::table::RecordVersion;
use crate::ids::{NodeId, ServiceName, TargetName, ZoneName};
use crate::units::Slots;

/// The readiness of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetState {
    /// Started recently; it is warming up and receives a growing share of the requests.
    #[default]
    Cold,
    /// Receives its full share of the requests.
    Ready,
    /// Receives no new requests and finishes the running ones.
    Draining,
}

/// Maximum number of targets on one VM.
pub const TARGETS_MAX: usize = 256;

/// Maximum number of slots of one target.
pub const SLOTS_MAX: u32 = 16_384;

/// Maximum number of connections to one target.
pub const CONNECTIONS_MAX: u32 = 65_536;

/// Number of latency bands in a [`Window`].
pub const LATENCY_BANDS: usize = 32;

/// Counts of the requests to one target in a time window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// Length of the window in milliseconds.
    pub span_ms: u32,
    /// Requests that ended in the window, with any result.
    pub requests: u32,
    /// Requests that ended with an error response, a malformed response or a lost connection.
    pub failures: u32,
    /// Requests without a response by their deadline.
    pub timeouts: u32,
    /// Requests whose response was truncated.
    pub truncated: u32,
    /// Histogram of service times, in bands of half an octave; trailing zeros are left out.
    ///
    /// A running request that is already slower than typical counts in the band of its current age.
    pub latency: Vec<u32>,
}

impl Window {
    /// Returns the number of requests that failed, timed out or had a truncated response.
    pub fn errors(&self) -> u32 {
        self.failures + self.timeouts + self.truncated
    }

    /// Returns the length of the window.
    pub fn span(&self) -> Duration {
        Duration::from_millis(self.span_ms.into())
    }
}

/// A kind of request that fails on a target which serves other kinds well.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindHealth {
    /// The kind, usually the name of a route.
    pub kind: String,
    /// Requests of this kind that ended.
    pub requests: u32,
    /// Requests of this kind that failed, timed out or had a truncated response.
    pub errors: u32,
}

/// The request statistics of one target, as measured by its egress.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// A short window, which past failures leave soon.
    pub recent: Window,
    /// A window long enough for a significant number of requests.
    pub long: Window,
    /// The kind of request with the most excess failures, if one is an outlier.
    pub worst: Option<KindHealth>,
}

/// One target on a node's VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// The name that the target announced.
    pub name: TargetName,
    /// The service that it offers.
    pub service: ServiceName,
    /// Its address.
    pub addr: SocketAddr,
    /// The number of requests that it serves concurrently.
    pub slots: Slots,
    /// The number of connections that it accepts.
    pub connections: u32,
    /// The readiness of the target.
    pub state: TargetState,
    /// The statistics measured by the egress.
    pub health: Health,
}

/// The record that one node publishes.
///
/// A record with a higher version replaces one with a lower version, and of two with the same version
/// the one with the higher health version counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeRecord {
    /// The node.
    pub node: NodeId,
    /// Increases with each change other than of health.
    pub version: u64,
    /// Increases with each change of health; zero in a record without health.
    pub health_version: u64,
    /// The node's availability zone.
    pub zone: ZoneName,
    /// True once the node accepts no new requests.
    pub leaving: bool,
    /// The targets on the node's VM.
    pub targets: Vec<TargetRecord>,
}

impl NodeRecord {
    /// Returns the versions of the record.
    pub fn full_version(&self) -> RecordVersion {
        RecordVersion {
            node: self.node,
            version: self.version,
            health_version: self.health_version,
        }
    }

    /// Returns true if `targets` differ from those of the record in more than health.
    pub fn differs_beyond_health(&self, targets: &[TargetRecord]) -> bool {
        let pairs = self.targets.iter().zip(targets);
        let mut pairs = pairs.map(|(a, b)| a.has_same_capacity(b));
        self.targets.len() != targets.len() || pairs.any(|same| !same)
    }

    /// Returns the record without the health of its targets.
    pub fn without_health(&self) -> NodeRecord {
        let mut record = self.clone();
        record.health_version = 0;
        for target in &mut record.targets {
            target.health = Health::default();
        }
        record
    }
}

impl TargetRecord {
    /// Returns true if the records are equal but for health.
    fn has_same_capacity(&self, other: &TargetRecord) -> bool {
        let key = |t: &TargetRecord| (t.addr, t.slots, t.connections, t.state);
        self.name == other.name && self.service == other.service && key(self) == key(other)
    }
}
