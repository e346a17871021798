//! Node records: what a node tells the fleet about itself and the targets on its VM.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{NodeId, ServiceName, TargetName, ZoneName};
use crate::units::Slots;

/// How ready a target is for work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetState {
    /// Started a short time ago; it receives a growing share of work.
    #[default]
    Cold,
    /// Receives its full share of work.
    Ready,
    /// Receives no new work and finishes what runs.
    Draining,
}

/// Number of latency bands in a [`Window`].
pub const LATENCY_BANDS: usize = 32;

/// Results of the requests to one target over a span of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// Length of the window in milliseconds.
    pub span_ms: u32,
    /// Requests that ended in the window, however they ended.
    pub requests: u32,
    /// Requests that ended with an error answer, a broken answer or a lost connection.
    pub failures: u32,
    /// Requests that ended without an answer by their deadline.
    pub timeouts: u32,
    /// Requests whose answer ended before it was complete.
    pub cuts: u32,
    /// Requests by service time, in bands of half an octave; trailing zeros are left out.
    ///
    /// A running request that is already slower than usual counts in the band of its present age.
    pub latency: Vec<u32>,
}

impl Window {
    /// Returns every request that did not end with a whole answer.
    pub fn bad(&self) -> u32 {
        self.failures + self.timeouts + self.cuts
    }

    /// Returns the length of the window.
    pub fn span(&self) -> Duration {
        Duration::from_millis(self.span_ms.into())
    }
}

/// A kind of request that fails at a target which serves other kinds well.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindHealth {
    /// The kind, usually the name of a route.
    pub kind: String,
    /// Requests of this kind that ended.
    pub requests: u32,
    /// Requests of this kind that did not end with a whole answer.
    pub bad: u32,
}

/// What the egress measured of one target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// A short window, which a past fault leaves soon.
    pub recent: Window,
    /// A window long enough for a useful number of requests.
    pub long: Window,
    /// The kind of request that fails most beyond the others, if one stands out.
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
    /// How many requests it serves at the same time.
    pub slots: Slots,
    /// How many connections it accepts.
    pub connections: u32,
    /// How ready it is for work.
    pub state: TargetState,
    /// What the egress measured.
    pub health: Health,
}

/// What one node tells the fleet; a higher version replaces a lower one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeRecord {
    /// The node.
    pub node: NodeId,
    /// Grows with each change.
    pub version: u64,
    /// The node's availability zone.
    pub zone: ZoneName,
    /// True once the node takes no new work.
    pub leaving: bool,
    /// The targets on the node's VM.
    pub targets: Vec<TargetRecord>,
}
