//! Gossip messages between nodes.

use std::sync::Arc;

use bytes::Bytes;
use prost::{Message, Oneof};

use crate::error::{Error, Result};
use crate::fleet::{
    Answer, Ask, Health, KindHealth, Known, LATENCY_BANDS, NodeRecord, Published, Push, Question,
    Relayed, TargetRecord, TargetState, Window,
};
use crate::freshness::Ages;
use crate::ids::NodeId;
use crate::time::Time;
use crate::units::{Position, Slots};

/// A message of a gossip exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipMessage {
    /// Begins an exchange.
    Ask(Ask),
    /// Answers it.
    Answer(Answer),
    /// Brings the records that the answer wanted.
    Push(Push),
}

#[derive(Clone, PartialEq, Message)]
struct MessageRecord {
    #[prost(oneof = "Body", tags = "1, 2, 3")]
    body: Option<Body>,
}

#[derive(Clone, PartialEq, Oneof)]
enum Body {
    #[prost(message, tag = "1")]
    Ask(AskRecord),
    #[prost(message, tag = "2")]
    Answer(AnswerRecord),
    #[prost(message, tag = "3")]
    Push(PushRecord),
}

#[derive(Clone, PartialEq, Message)]
struct AskRecord {
    #[prost(fixed64, tag = "1")]
    from: u64,
    #[prost(uint64, tag = "2")]
    sent: u64,
    #[prost(uint64, tag = "3")]
    position: u64,
    #[prost(fixed64, tag = "4")]
    hash: u64,
    #[prost(message, repeated, tag = "5")]
    records: Vec<PublishedRecord>,
    #[prost(message, optional, tag = "6")]
    digest: Option<DigestRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct DigestRecord {
    #[prost(fixed64, repeated, tag = "1")]
    nodes: Vec<u64>,
    #[prost(uint64, repeated, tag = "2")]
    versions: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct AnswerRecord {
    #[prost(fixed64, tag = "1")]
    from: u64,
    #[prost(uint64, tag = "2")]
    sent: u64,
    #[prost(fixed64, tag = "3")]
    node: u64,
    #[prost(uint64, tag = "4")]
    position: u64,
    #[prost(uint64, tag = "5")]
    registry: u64,
    #[prost(bytes = "vec", tag = "6")]
    ages: Vec<u8>,
    #[prost(uint32, tag = "7")]
    group: u32,
    #[prost(fixed64, tag = "8")]
    hash: u64,
    #[prost(message, repeated, tag = "9")]
    records: Vec<PublishedRecord>,
    #[prost(fixed64, repeated, tag = "10")]
    wanted: Vec<u64>,
    #[prost(message, repeated, tag = "11")]
    entries: Vec<EntryRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct EntryRecord {
    #[prost(uint64, tag = "1")]
    position: u64,
    #[prost(bytes = "bytes", tag = "2")]
    entry: Bytes,
}

#[derive(Clone, PartialEq, Message)]
struct PushRecord {
    #[prost(message, repeated, tag = "1")]
    records: Vec<PublishedRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct PublishedRecord {
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
}

#[derive(Clone, PartialEq, Message)]
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
    recent: Option<WindowRecord>,
    #[prost(message, optional, tag = "8")]
    long: Option<WindowRecord>,
    #[prost(message, optional, tag = "9")]
    worst: Option<KindRecord>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
enum StateKind {
    Cold = 0,
    Ready = 1,
    Draining = 2,
}

#[derive(Clone, PartialEq, Message)]
struct WindowRecord {
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

#[derive(Clone, PartialEq, Message)]
struct KindRecord {
    #[prost(string, tag = "1")]
    kind: String,
    #[prost(uint32, tag = "2")]
    requests: u32,
    #[prost(uint32, tag = "3")]
    bad: u32,
}

fn malformed() -> Error {
    Error::invalid("malformed gossip message")
}

impl GossipMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Bytes {
        let body = match self {
            GossipMessage::Ask(ask) => Body::Ask(ask.into()),
            GossipMessage::Answer(answer) => Body::Answer(answer.into()),
            GossipMessage::Push(push) => Body::Push(PushRecord {
                records: publish_all(&push.records),
            }),
        };
        let record = MessageRecord { body: Some(body) };
        record.encode_to_vec().into()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed.
    pub fn decode(bytes: Bytes) -> Result<GossipMessage> {
        let record = MessageRecord::decode(bytes).map_err(|_| malformed())?;
        Ok(match record.body.ok_or_else(malformed)? {
            Body::Ask(ask) => GossipMessage::Ask(read_ask(ask)?),
            Body::Answer(answer) => GossipMessage::Answer(read_answer(answer)?),
            Body::Push(push) => GossipMessage::Push(Push {
                records: read_all(push.records)?,
            }),
        })
    }
}

impl From<&Ask> for AskRecord {
    fn from(ask: &Ask) -> AskRecord {
        let digest = ask.digest.as_ref().map(|known| DigestRecord {
            nodes: known.iter().map(|k| k.node.0).collect(),
            versions: known.iter().map(|k| k.version).collect(),
        });
        AskRecord {
            from: ask.question.from.0,
            sent: ask.question.sent.0,
            position: ask.position.0,
            hash: ask.hash,
            records: publish_all(&ask.records),
            digest,
        }
    }
}

fn read_ask(r: AskRecord) -> Result<Ask> {
    Ok(Ask {
        question: read_question(r.from, r.sent),
        position: Position(r.position),
        hash: r.hash,
        records: read_all(r.records)?,
        digest: r.digest.map(read_digest).transpose()?,
    })
}

fn read_question(from: u64, sent: u64) -> Question {
    Question {
        from: NodeId(from),
        sent: Time(sent),
    }
}

fn read_digest(r: DigestRecord) -> Result<Vec<Known>> {
    if r.nodes.len() != r.versions.len() {
        return Err(malformed());
    }
    let pairs = r.nodes.into_iter().zip(r.versions);
    let mut known: Vec<Known> = pairs
        .map(|(node, version)| Known {
            node: NodeId(node),
            version,
        })
        .collect();
    known.sort_by_key(|k| k.node);
    Ok(known)
}

impl From<&Answer> for AnswerRecord {
    fn from(answer: &Answer) -> AnswerRecord {
        let entries = answer.entries.iter().map(|e| EntryRecord {
            position: e.position.0,
            entry: e.entry.clone(),
        });
        AnswerRecord {
            from: answer.question.from.0,
            sent: answer.question.sent.0,
            node: answer.node.0,
            position: answer.ages.position.0,
            registry: answer.ages.registry.0,
            ages: answer.ages.bytes.clone(),
            group: answer.group.into(),
            hash: answer.hash,
            records: publish_all(&answer.records),
            wanted: answer.wanted.iter().map(|n| n.0).collect(),
            entries: entries.collect(),
        }
    }
}

fn read_answer(r: AnswerRecord) -> Result<Answer> {
    let entries = r.entries.into_iter().map(|e| Relayed {
        position: Position(e.position),
        entry: e.entry,
    });
    Ok(Answer {
        question: read_question(r.from, r.sent),
        node: NodeId(r.node),
        ages: Ages {
            position: Position(r.position),
            registry: Position(r.registry),
            bytes: r.ages,
        },
        group: u8::try_from(r.group).map_err(|_| malformed())?,
        hash: r.hash,
        records: read_all(r.records)?,
        wanted: r.wanted.into_iter().map(NodeId).collect(),
        entries: entries.collect(),
    })
}

fn publish_all(records: &[Arc<Published>]) -> Vec<PublishedRecord> {
    records.iter().map(|p| publish(p)).collect()
}

fn publish(p: &Published) -> PublishedRecord {
    PublishedRecord {
        addr: p.addr.to_string(),
        started: p.started,
        node: p.record.node.0,
        version: p.record.version,
        zone: p.record.zone.to_string(),
        leaving: p.record.leaving,
        targets: p.record.targets.iter().map(Into::into).collect(),
    }
}

fn read_all(records: Vec<PublishedRecord>) -> Result<Vec<Arc<Published>>> {
    records
        .into_iter()
        .map(|r| read_published(r).map(Arc::new))
        .collect()
}

fn read_published(r: PublishedRecord) -> Result<Published> {
    let targets = r.targets.into_iter().map(read_target);
    Ok(Published {
        addr: r.addr.parse().map_err(|_| malformed())?,
        started: r.started,
        record: NodeRecord {
            node: NodeId(r.node),
            version: r.version,
            zone: r.zone.parse()?,
            leaving: r.leaving,
            targets: targets.collect::<Result<_>>()?,
        },
    })
}

impl From<&TargetRecord> for TargetMessage {
    fn from(t: &TargetRecord) -> TargetMessage {
        let state = match t.state {
            TargetState::Cold => StateKind::Cold,
            TargetState::Ready => StateKind::Ready,
            TargetState::Draining => StateKind::Draining,
        };
        let worst = t.health.worst.as_ref().map(|w| KindRecord {
            kind: w.kind.clone(),
            requests: w.requests,
            bad: w.bad,
        });
        TargetMessage {
            name: t.name.to_string(),
            service: t.service.to_string(),
            addr: t.addr.to_string(),
            slots: t.slots.0,
            connections: t.connections,
            state: state as i32,
            recent: Some((&t.health.recent).into()),
            long: Some((&t.health.long).into()),
            worst,
        }
    }
}

fn read_target(r: TargetMessage) -> Result<TargetRecord> {
    let state = match r.state() {
        StateKind::Cold => TargetState::Cold,
        StateKind::Ready => TargetState::Ready,
        StateKind::Draining => TargetState::Draining,
    };
    let worst = r.worst.map(|w| KindHealth {
        kind: w.kind,
        requests: w.requests,
        bad: w.bad,
    });
    Ok(TargetRecord {
        name: r.name.parse()?,
        service: r.service.parse()?,
        addr: r.addr.parse().map_err(|_| malformed())?,
        slots: Slots(r.slots),
        connections: r.connections,
        state,
        health: Health {
            recent: read_window(r.recent.unwrap_or_default())?,
            long: read_window(r.long.unwrap_or_default())?,
            worst,
        },
    })
}

impl From<&Window> for WindowRecord {
    fn from(w: &Window) -> WindowRecord {
        WindowRecord {
            span_ms: w.span_ms,
            requests: w.requests,
            failures: w.failures,
            timeouts: w.timeouts,
            cuts: w.cuts,
            latency: w.latency.clone(),
        }
    }
}

fn read_window(r: WindowRecord) -> Result<Window> {
    if r.latency.len() > LATENCY_BANDS {
        return Err(malformed());
    }
    Ok(Window {
        span_ms: r.span_ms,
        requests: r.requests,
        failures: r.failures,
        timeouts: r.timeouts,
        cuts: r.cuts,
        latency: r.latency,
    })
}
