//! Gossip, node records, registry changes and sync between nodes and control, as `prost` messages.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use prost::Message as _;

use crate::error::{Error, Result};
use crate::fleet::registry::MEMBERS_MAX;
use crate::fleet::table::RECORDS_MAX;
use crate::fleet::{
    Answer, Ask, Known, Member, Published, Push, Question, Registry, RegistryChange, Relayed,
    SyncAnswer, SyncAsk,
};
use crate::freshness::Ages;
use crate::ids::{NodeId, ReplicaId};
use crate::replica::Vouch;
use crate::time::Time;
use crate::units::Position;

use super::records::PublishedRecord;

/// Most versions in a digest.
const DIGEST_MAX: usize = 4_096;

#[derive(Clone, PartialEq, prost::Message)]
struct MemberRecord {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(string, tag = "2")]
    addr: String,
    #[prost(string, tag = "3")]
    zone: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ChangeRecord {
    #[prost(message, repeated, tag = "1")]
    joined: Vec<MemberRecord>,
    #[prost(fixed64, repeated, tag = "2")]
    left: Vec<u64>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct QuestionRecord {
    #[prost(fixed64, tag = "1")]
    from: u64,
    #[prost(uint64, tag = "2")]
    sent: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RelayedRecord {
    #[prost(uint64, tag = "1")]
    position: u64,
    #[prost(bytes = "bytes", tag = "2")]
    entry: Bytes,
}

/// Versions by node, in two lists, since a message for each would take more room.
#[derive(Clone, PartialEq, prost::Message)]
struct DigestRecord {
    #[prost(fixed64, repeated, tag = "1")]
    nodes: Vec<u64>,
    #[prost(uint64, repeated, tag = "2")]
    versions: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct AskRecord {
    #[prost(message, optional, tag = "1")]
    question: Option<QuestionRecord>,
    #[prost(uint64, tag = "2")]
    position: u64,
    #[prost(fixed64, tag = "3")]
    hash: u64,
    #[prost(message, optional, tag = "4")]
    news: Option<DigestRecord>,
    #[prost(message, optional, tag = "5")]
    digest: Option<DigestRecord>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct PushRecord {
    #[prost(message, repeated, tag = "1")]
    records: Vec<PublishedRecord>,
    #[prost(fixed64, repeated, tag = "2")]
    wanted: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum GossipKind {
    #[prost(message, tag = "1")]
    Ask(AskRecord),
    #[prost(message, tag = "2")]
    Push(PushRecord),
}

#[derive(Clone, PartialEq, prost::Message)]
struct GossipRecord {
    #[prost(oneof = "GossipKind", tags = "1, 2")]
    kind: Option<GossipKind>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct AnswerRecord {
    #[prost(message, optional, tag = "1")]
    question: Option<QuestionRecord>,
    #[prost(fixed64, tag = "2")]
    node: u64,
    #[prost(uint64, tag = "3")]
    position: u64,
    #[prost(uint64, tag = "4")]
    registry: u64,
    #[prost(bytes = "vec", tag = "5")]
    ages: Vec<u8>,
    #[prost(uint32, tag = "6")]
    group: u32,
    #[prost(fixed64, tag = "7")]
    hash: u64,
    #[prost(message, repeated, tag = "8")]
    records: Vec<PublishedRecord>,
    #[prost(fixed64, repeated, tag = "9")]
    wanted: Vec<u64>,
    #[prost(message, repeated, tag = "10")]
    entries: Vec<RelayedRecord>,
    #[prost(message, optional, tag = "11")]
    news: Option<DigestRecord>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SyncAskRecord {
    #[prost(message, optional, tag = "1")]
    question: Option<QuestionRecord>,
    #[prost(uint64, tag = "2")]
    position: u64,
    #[prost(message, optional, tag = "3")]
    published: Option<PublishedRecord>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
enum VouchKind {
    None = 0,
    Voter = 1,
    Group = 2,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SyncAnswerRecord {
    #[prost(message, optional, tag = "1")]
    question: Option<QuestionRecord>,
    #[prost(fixed64, tag = "2")]
    replica: u64,
    #[prost(uint64, tag = "3")]
    position: u64,
    #[prost(enumeration = "VouchKind", tag = "4")]
    vouch: i32,
    #[prost(message, repeated, tag = "5")]
    entries: Vec<RelayedRecord>,
    #[prost(bytes = "bytes", optional, tag = "6")]
    snapshot: Option<Bytes>,
}

/// What a node sends to another on the gossip channel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Gossiped {
    /// Begins an exchange; the answer is an [`Answer`].
    Ask(Ask),
    /// Brings records that were wanted; the answer is another push.
    Push(Push),
}

/// Encodes a message of the gossip channel.
pub fn encode_gossip(message: &Gossiped) -> Vec<u8> {
    let kind = match message {
        Gossiped::Ask(ask) => GossipKind::Ask(AskRecord {
            question: Some(ask.question.into()),
            position: ask.position.0,
            hash: ask.hash,
            news: pack_known(&ask.news),
            digest: ask.digest.as_ref().and_then(|d| pack_known(d)),
        }),
        Gossiped::Push(push) => GossipKind::Push(PushRecord {
            records: pack(&push.records),
            wanted: push.wanted.iter().map(|n| n.0).collect(),
        }),
    };
    GossipRecord { kind: Some(kind) }.encode_to_vec()
}

/// Decodes a message of the gossip channel.
pub fn decode_gossip(bytes: &[u8]) -> Result<Gossiped> {
    let record = GossipRecord::decode(bytes).map_err(malformed)?;
    match record.kind.ok_or_else(missing)? {
        GossipKind::Ask(ask) => Ok(Gossiped::Ask(Ask {
            question: ask.question.ok_or_else(missing)?.into(),
            position: Position(ask.position),
            hash: ask.hash,
            news: ask.news.map_or(Ok(Vec::new()), unpack_known)?,
            digest: ask.digest.map(unpack_known).transpose()?,
        })),
        GossipKind::Push(push) => Ok(Gossiped::Push(Push {
            records: unpack(push.records)?,
            wanted: unpack_wanted(push.wanted)?,
        })),
    }
}

/// Packs versions; an empty list takes no room.
fn pack_known(known: &[Known]) -> Option<DigestRecord> {
    (!known.is_empty()).then(|| DigestRecord {
        nodes: known.iter().map(|k| k.node.0).collect(),
        versions: known.iter().map(|k| k.version).collect(),
    })
}

fn unpack_wanted(wanted: Vec<u64>) -> Result<Vec<NodeId>> {
    check_count(wanted.len(), RECORDS_MAX)?;
    Ok(wanted.into_iter().map(NodeId).collect())
}

fn unpack_known(digest: DigestRecord) -> Result<Vec<Known>> {
    check_count(digest.nodes.len(), DIGEST_MAX)?;
    if digest.nodes.len() != digest.versions.len() {
        return Err(Error::invalid("digest lists differ in length"));
    }
    let pairs = digest.nodes.into_iter().zip(digest.versions);
    let known = |(node, version)| Known {
        node: NodeId(node),
        version,
    };
    Ok(pairs.map(known).collect())
}

/// Encodes the answer to a gossip question.
pub fn encode_answer(answer: &Answer) -> Vec<u8> {
    let record = AnswerRecord {
        question: Some(answer.question.into()),
        node: answer.node.0,
        position: answer.ages.position.0,
        registry: answer.ages.registry.0,
        ages: answer.ages.bytes.clone(),
        group: answer.group.into(),
        hash: answer.hash,
        news: pack_known(&answer.news),
        records: pack(&answer.records),
        wanted: answer.wanted.iter().map(|n| n.0).collect(),
        entries: pack_entries(&answer.entries),
    };
    record.encode_to_vec()
}

/// Decodes the answer to a gossip question.
pub fn decode_answer(bytes: Bytes) -> Result<Answer> {
    let record = AnswerRecord::decode(bytes).map_err(malformed)?;
    check_count(record.ages.len(), MEMBERS_MAX)?;
    let group = u8::try_from(record.group);
    Ok(Answer {
        question: record.question.ok_or_else(missing)?.into(),
        node: NodeId(record.node),
        ages: Ages {
            position: Position(record.position),
            registry: Position(record.registry),
            bytes: record.ages,
        },
        group: group.map_err(|_| Error::invalid("age does not fit a byte"))?,
        hash: record.hash,
        news: record.news.map_or(Ok(Vec::new()), unpack_known)?,
        records: unpack(record.records)?,
        wanted: unpack_wanted(record.wanted)?,
        entries: unpack_entries(record.entries),
    })
}

/// Encodes a registry change for the log.
pub fn encode_change(change: &RegistryChange) -> Vec<u8> {
    let record = ChangeRecord {
        joined: change.joined.iter().map(MemberRecord::from).collect(),
        left: change.left.iter().map(|n| n.0).collect(),
    };
    record.encode_to_vec()
}

/// Decodes a registry change from the log.
pub fn decode_change(bytes: &[u8]) -> Result<RegistryChange> {
    let record = ChangeRecord::decode(bytes).map_err(malformed)?;
    check_count(record.joined.len(), MEMBERS_MAX)?;
    check_count(record.left.len(), MEMBERS_MAX)?;
    let joined = record.joined.into_iter().map(Member::try_from);
    Ok(RegistryChange {
        joined: joined.collect::<Result<_>>()?,
        left: record.left.into_iter().map(NodeId).collect(),
    })
}

/// Encodes a whole registry for a snapshot.
pub fn encode_registry(registry: &Registry) -> Vec<u8> {
    encode_change(&RegistryChange {
        joined: registry.members().to_vec(),
        left: Vec::new(),
    })
}

/// Decodes a registry from a snapshot.
pub fn decode_registry(bytes: &[u8]) -> Result<Registry> {
    Registry::new().changed(&decode_change(bytes)?)
}

/// Encodes a node's question to a control replica.
pub fn encode_sync(ask: &SyncAsk) -> Vec<u8> {
    let record = SyncAskRecord {
        question: Some(ask.question.into()),
        position: ask.position.0,
        published: ask.published.as_deref().map(PublishedRecord::from),
    };
    record.encode_to_vec()
}

/// Decodes a node's question to a control replica.
pub fn decode_sync(bytes: &[u8]) -> Result<SyncAsk> {
    let record = SyncAskRecord::decode(bytes).map_err(malformed)?;
    let published = record.published.map(Published::try_from).transpose()?;
    Ok(SyncAsk {
        question: record.question.ok_or_else(missing)?.into(),
        position: Position(record.position),
        published: published.map(Arc::new),
    })
}

/// Encodes the answer of a control replica.
pub fn encode_sync_answer(answer: &SyncAnswer) -> Vec<u8> {
    let vouch = match answer.vouch {
        Vouch::None => VouchKind::None,
        Vouch::Voter => VouchKind::Voter,
        Vouch::Group => VouchKind::Group,
    };
    let record = SyncAnswerRecord {
        question: Some(answer.question.into()),
        replica: answer.replica.0,
        position: answer.position.0,
        vouch: vouch.into(),
        entries: pack_entries(&answer.entries),
        snapshot: answer.snapshot.clone(),
    };
    record.encode_to_vec()
}

/// Decodes the answer of a control replica; an unknown statement counts as none.
pub fn decode_sync_answer(bytes: Bytes) -> Result<SyncAnswer> {
    let record = SyncAnswerRecord::decode(bytes).map_err(malformed)?;
    let vouch = match record.vouch() {
        VouchKind::None => Vouch::None,
        VouchKind::Voter => Vouch::Voter,
        VouchKind::Group => Vouch::Group,
    };
    Ok(SyncAnswer {
        question: record.question.ok_or_else(missing)?.into(),
        replica: ReplicaId(record.replica),
        position: Position(record.position),
        vouch,
        entries: unpack_entries(record.entries),
        snapshot: record.snapshot,
    })
}

fn pack(records: &[Arc<Published>]) -> Vec<PublishedRecord> {
    let records = records.iter();
    records.map(|p| PublishedRecord::from(&**p)).collect()
}

fn unpack(records: Vec<PublishedRecord>) -> Result<Vec<Arc<Published>>> {
    check_count(records.len(), RECORDS_MAX)?;
    let records = records.into_iter().map(Published::try_from);
    records.map(|p| p.map(Arc::new)).collect()
}

fn pack_entries(entries: &[Relayed]) -> Vec<RelayedRecord> {
    let record = |e: &Relayed| RelayedRecord {
        position: e.position.0,
        entry: e.entry.clone(),
    };
    entries.iter().map(record).collect()
}

fn unpack_entries(entries: Vec<RelayedRecord>) -> Vec<Relayed> {
    let entry = |e: RelayedRecord| Relayed {
        position: Position(e.position),
        entry: e.entry,
    };
    entries.into_iter().map(entry).collect()
}

pub(super) fn check_count(count: usize, most: usize) -> Result<()> {
    match count > most {
        true => Err(Error::invalid(format!("{count} items in a list of {most}"))),
        false => Ok(()),
    }
}

fn malformed(e: prost::DecodeError) -> Error {
    Error::invalid(format!("malformed fleet message: {e}"))
}

fn missing() -> Error {
    Error::invalid("fleet message lacks a field")
}

pub(super) fn parse_addr(text: &str) -> Result<SocketAddr> {
    text.parse()
        .map_err(|_| Error::invalid("address is not numeric"))
}

impl From<Question> for QuestionRecord {
    fn from(question: Question) -> Self {
        QuestionRecord {
            from: question.from.0,
            sent: question.sent.0,
        }
    }
}

impl From<QuestionRecord> for Question {
    fn from(record: QuestionRecord) -> Self {
        Question {
            from: NodeId(record.from),
            sent: Time(record.sent),
        }
    }
}

impl From<&Member> for MemberRecord {
    fn from(member: &Member) -> Self {
        MemberRecord {
            id: member.id.0,
            addr: member.addr.to_string(),
            zone: member.zone.to_string(),
        }
    }
}

impl TryFrom<MemberRecord> for Member {
    type Error = Error;

    fn try_from(record: MemberRecord) -> Result<Self> {
        Ok(Member {
            id: NodeId(record.id),
            addr: parse_addr(&record.addr)?,
            zone: record.zone.parse()?,
        })
    }
}
