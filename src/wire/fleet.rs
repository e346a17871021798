//! Gossip messages between nodes.

use std::sync::Arc;

use bytes::Bytes;
use prost::{Message, Oneof};

use crate::error::{Error, Result};
use crate::fleet::registry::MEMBERS_MAX;
use crate::fleet::table::{RECORDS_MAX, TABLE_MAX};
use crate::fleet::{
    Advertisement, GossipRequest, GossipResponse, Push, RecordVersion, RelayedEntry, RequestStamp,
};
use crate::freshness::ProofAges;
use crate::ids::NodeId;
use crate::time::Time;
use crate::units::Position;
use crate::wire::records::{PublishedRecord, check_count};

/// A message of a gossip exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipMessage {
    /// Begins an exchange.
    Request(GossipRequest),
    /// Answers it.
    Response(GossipResponse),
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
    #[prost(message, optional, tag = "5")]
    news: Option<DigestRecord>,
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

fn malformed() -> Error {
    Error::invalid("malformed gossip message")
}

impl GossipMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Bytes {
        let body = match self {
            GossipMessage::Request(ask) => Body::Ask(ask.into()),
            GossipMessage::Response(answer) => Body::Answer(answer.into()),
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
            Body::Ask(ask) => GossipMessage::Request(read_ask(ask)?),
            Body::Answer(answer) => GossipMessage::Response(read_answer(answer)?),
            Body::Push(push) => GossipMessage::Push(Push {
                records: read_all(push.records)?,
            }),
        })
    }
}

impl From<&GossipRequest> for AskRecord {
    fn from(ask: &GossipRequest) -> AskRecord {
        let news = (!ask.updates.is_empty()).then(|| pack_known(&ask.updates));
        AskRecord {
            from: ask.stamp.from.0,
            sent: ask.stamp.sent.0,
            position: ask.position.0,
            hash: ask.hash,
            news,
            digest: ask.digest.as_ref().map(|known| pack_known(known)),
        }
    }
}

fn read_ask(r: AskRecord) -> Result<GossipRequest> {
    Ok(GossipRequest {
        stamp: read_question(r.from, r.sent),
        position: Position(r.position),
        hash: r.hash,
        updates: r.news.map_or(Ok(Vec::new()), read_known)?,
        digest: r.digest.map(read_known).transpose()?,
    })
}

fn read_question(from: u64, sent: u64) -> RequestStamp {
    RequestStamp {
        from: NodeId(from),
        sent: Time(sent),
    }
}

fn pack_known(known: &[RecordVersion]) -> DigestRecord {
    DigestRecord {
        nodes: known.iter().map(|k| k.node.0).collect(),
        versions: known.iter().map(|k| k.version).collect(),
    }
}

fn read_known(r: DigestRecord) -> Result<Vec<RecordVersion>> {
    check_count(r.nodes.len(), TABLE_MAX)?;
    if r.nodes.len() != r.versions.len() {
        return Err(malformed());
    }
    let pairs = r.nodes.into_iter().zip(r.versions);
    let mut known: Vec<RecordVersion> = pairs
        .map(|(node, version)| RecordVersion {
            node: NodeId(node),
            version,
        })
        .collect();
    known.sort_by_key(|k| k.node);
    Ok(known)
}

impl From<&GossipResponse> for AnswerRecord {
    fn from(answer: &GossipResponse) -> AnswerRecord {
        let entries = answer.entries.iter().map(|e| EntryRecord {
            position: e.position.0,
            entry: e.entry.clone(),
        });
        AnswerRecord {
            from: answer.stamp.from.0,
            sent: answer.stamp.sent.0,
            node: answer.node.0,
            position: answer.ages.position.0,
            registry: answer.ages.registry.0,
            ages: answer.ages.bytes.clone(),
            group: answer.group.into(),
            hash: answer.hash,
            records: publish_all(&answer.records),
            wanted: answer.requested.iter().map(|n| n.0).collect(),
            entries: entries.collect(),
        }
    }
}

fn read_answer(r: AnswerRecord) -> Result<GossipResponse> {
    check_count(r.ages.len(), MEMBERS_MAX)?;
    check_count(r.wanted.len(), RECORDS_MAX)?;
    let entries = r.entries.into_iter().map(|e| RelayedEntry {
        position: Position(e.position),
        entry: e.entry,
    });
    Ok(GossipResponse {
        stamp: read_question(r.from, r.sent),
        node: NodeId(r.node),
        ages: ProofAges {
            position: Position(r.position),
            registry: Position(r.registry),
            bytes: r.ages,
        },
        group: u8::try_from(r.group).map_err(|_| malformed())?,
        hash: r.hash,
        records: read_all(r.records)?,
        requested: r.wanted.into_iter().map(NodeId).collect(),
        entries: entries.collect(),
    })
}

fn publish_all(records: &[Arc<Advertisement>]) -> Vec<PublishedRecord> {
    let records = records.iter();
    records.map(|p| PublishedRecord::from(&**p)).collect()
}

fn read_all(records: Vec<PublishedRecord>) -> Result<Vec<Arc<Advertisement>>> {
    check_count(records.len(), RECORDS_MAX)?;
    let records = records.into_iter().map(Advertisement::try_from);
    records.map(|p| p.map(Arc::new)).collect()
}
