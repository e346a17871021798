//! Encoding of node records.

use std::time::Duration;

use crate::error::{Error, Result};
use crate::fleet::{
    Advertisement, CONNECTIONS_MAX, Health, KindHealth, LATENCY_BANDS, NodeRecord, SLOTS_MAX,
    TARGETS_MAX, TargetRecord, TargetState, Window,
};
use crate::ids::{NAME_MAX_BYTES, NodeId};
use crate::logging::LogInterval;
use crate::units::Slots;

/// Limits the log lines about unreadable records.
static UNREADABLE: LogInterval = LogInterval::new(Duration::from_secs(1));

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct AdvertisementRecord {
    #[prost(string, tag = "1")]
    addr: String,
    #[prost(uint64, tag = "2")]
    started: u64,
    #[prost(fixed64, tag = "3")]
    node: u64,
    #[prost(uint64, tag = "4")]
    version: u64,
    #[prost(string, tag = "5")]
    zone: String,
    #[prost(bool, tag = "6")]
    leaving: bool,
    #[prost(message, repeated, tag = "7")]
    targets: Vec<TargetMessage>,
    #[prost(uint64, tag = "8")]
    health_version: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
enum StateKind {
    Cold = 0,
    Ready = 1,
    Draining = 2,
}

#[derive(Clone, PartialEq, prost::Message)]
struct TargetMessage {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    addr: String,
    #[prost(uint32, tag = "4")]
    slots: u32,
    #[prost(uint32, tag = "5")]
    connections: u32,
    #[prost(enumeration = "StateKind", tag = "6")]
    state: i32,
    #[prost(message, optional, tag = "7")]
    recent: Option<WindowMessage>,
    #[prost(message, optional, tag = "8")]
    long: Option<WindowMessage>,
    #[prost(message, optional, tag = "9")]
    worst: Option<KindMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WindowMessage {
    #[prost(uint32, tag = "1")]
    span_ms: u32,
    #[prost(uint32, tag = "2")]
    requests: u32,
    #[prost(uint32, tag = "3")]
    failures: u32,
    #[prost(uint32, tag = "4")]
    timeouts: u32,
    #[prost(uint32, tag = "5")]
    cuts: u32,
    #[prost(uint32, repeated, tag = "6")]
    latency: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KindMessage {
    #[prost(string, tag = "1")]
    kind: String,
    #[prost(uint32, tag = "2")]
    requests: u32,
    #[prost(uint32, tag = "3")]
    bad: u32,
}

impl From<&Advertisement> for AdvertisementRecord {
    fn from(advertisement: &Advertisement) -> Self {
        let record = &advertisement.record;
        AdvertisementRecord {
            addr: advertisement.addr.to_string(),
            started: advertisement.started,
            node: record.node.0,
            version: record.version,
            health_version: record.health_version,
            zone: record.zone.to_string(),
            leaving: record.leaving,
            targets: record.targets.iter().map(TargetMessage::from).collect(),
        }
    }
}

impl TryFrom<AdvertisementRecord> for Advertisement {
    type Error = Error;

    fn try_from(message: AdvertisementRecord) -> Result<Self> {
        check_count(message.targets.len(), TARGETS_MAX)?;
        Ok(Advertisement {
            addr: parse_addr(&message.addr)?,
            started: message.started,
            record: NodeRecord {
                node: NodeId(message.node),
                version: message.version,
                health_version: message.health_version,
                zone: message.zone.parse()?,
                leaving: message.leaving,
                targets: decode_readable(message.targets),
            },
        })
    }
}

impl From<&TargetRecord> for TargetMessage {
    fn from(target: &TargetRecord) -> Self {
        let state = match target.state {
            TargetState::Cold => StateKind::Cold,
            TargetState::Ready => StateKind::Ready,
            TargetState::Draining => StateKind::Draining,
        };
        TargetMessage {
            name: target.name.to_string(),
            service: target.service.to_string(),
            addr: target.addr.to_string(),
            slots: target.slots.0,
            connections: target.connections,
            state: state.into(),
            recent: encode_window(&target.health.recent),
            long: encode_window(&target.health.long),
            worst: target.health.worst.as_ref().map(KindMessage::from),
        }
    }
}

impl TryFrom<TargetMessage> for TargetRecord {
    type Error = Error;

    fn try_from(message: TargetMessage) -> Result<Self> {
        let state = match StateKind::try_from(message.state) {
            Ok(StateKind::Cold) => TargetState::Cold,
            Ok(StateKind::Ready) => TargetState::Ready,
            Ok(StateKind::Draining) => TargetState::Draining,
            Err(_) => return Err(Error::invalid("unknown state of a target")),
        };
        if message.slots > SLOTS_MAX || message.connections > CONNECTIONS_MAX {
            return Err(Error::invalid(
                "slots or connections of a target out of range",
            ));
        }
        Ok(TargetRecord {
            name: message.name.parse()?,
            service: message.service.parse()?,
            addr: parse_addr(&message.addr)?,
            slots: Slots(message.slots),
            connections: message.connections,
            state,
            health: Health {
                recent: decode_window(message.recent)?,
                long: decode_window(message.long)?,
                worst: message.worst.map(KindHealth::try_from).transpose()?,
            },
        })
    }
}

/// Encodes a window; an empty one is omitted.
fn encode_window(window: &Window) -> Option<WindowMessage> {
    (*window != Window::default()).then(|| WindowMessage {
        span_ms: window.span_ms,
        requests: window.requests,
        failures: window.failures,
        timeouts: window.timeouts,
        cuts: window.truncated,
        latency: window.latency.clone(),
    })
}

fn decode_window(message: Option<WindowMessage>) -> Result<Window> {
    let Some(message) = message else {
        return Ok(Window::default());
    };
    check_count(message.latency.len(), LATENCY_BANDS)?;
    Ok(Window {
        span_ms: message.span_ms,
        requests: message.requests,
        failures: message.failures,
        timeouts: message.timeouts,
        truncated: message.cuts,
        latency: message.latency,
    })
}

impl From<&KindHealth> for KindMessage {
    fn from(kind: &KindHealth) -> Self {
        KindMessage {
            kind: kind.kind.clone(),
            requests: kind.requests,
            bad: kind.errors,
        }
    }
}

impl TryFrom<KindMessage> for KindHealth {
    type Error = Error;

    fn try_from(message: KindMessage) -> Result<Self> {
        check_count(message.kind.len(), NAME_MAX_BYTES)?;
        Ok(KindHealth {
            kind: message.kind,
            requests: message.requests,
            errors: message.bad,
        })
    }
}

/// Decodes records and skips those that can't be read, so that one of them doesn't hide the others.
pub(super) fn decode_readable<M, T>(messages: Vec<M>) -> Vec<T>
where
    T: TryFrom<M, Error = Error>,
{
    let mut decoded = Vec::with_capacity(messages.len());
    for message in messages {
        match T::try_from(message) {
            Ok(record) => decoded.push(record),
            Err(e) if UNREADABLE.is_due() => {
                log::warn!(event = "record-skipped", error:% = e; "unreadable record skipped");
            }
            Err(_) => {}
        }
    }
    decoded
}

/// Rejects a list that is longer than any valid message contains.
pub(super) fn check_count(count: usize, max: usize) -> Result<()> {
    match count > max {
        true => Err(Error::invalid(format!("{count} items in a list of {max}"))),
        false => Ok(()),
    }
}

/// Parses a numeric socket address.
pub(super) fn parse_addr(text: &str) -> Result<std::net::SocketAddr> {
    let invalid = |_| Error::invalid("address is not numeric");
    text.parse().map_err(invalid)
}
