//! Encoding of messages between replicas and of stored log records.

use std::net::SocketAddr;

use bytes::Bytes;
use prost::Message as _;

use crate::error::{Error, Result};
use crate::ids::ReplicaId;
use crate::replica::{
    AppendEntries, AppendEntriesResponse, Entry, HardState, InstallSnapshot,
    InstallSnapshotResponse, LogEntry, Member, Message, Replicas, RequestVote, RequestVoteResponse,
    Snapshot, SnapshotMetadata,
};
use crate::time::Time;
use crate::units::{Position, Term};

#[derive(Clone, PartialEq, prost::Message)]
struct MemberRecord {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(string, tag = "2")]
    link: String,
    #[prost(string, tag = "3")]
    operator: String,
    #[prost(bool, tag = "4")]
    voter: bool,
    #[prost(fixed64, optional, tag = "5")]
    replaces: Option<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct GroupRecord {
    #[prost(message, repeated, tag = "1")]
    members: Vec<MemberRecord>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum EntryKind {
    #[prost(bool, tag = "3")]
    Empty(bool),
    #[prost(bytes = "bytes", tag = "4")]
    Note(Bytes),
    #[prost(bytes = "bytes", tag = "5")]
    Nodes(Bytes),
    #[prost(message, tag = "6")]
    Replicas(GroupRecord),
    #[prost(uint64, tag = "7")]
    Accepted(u64),
}

#[derive(Clone, PartialEq, prost::Message)]
struct EntryRecord {
    #[prost(uint64, tag = "1")]
    position: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(oneof = "EntryKind", tags = "3, 4, 5, 6, 7")]
    kind: Option<EntryKind>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct HardStateRecord {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(fixed64, optional, tag = "3")]
    vote: Option<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct HeadRecord {
    #[prost(uint64, tag = "1")]
    position: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(message, optional, tag = "3")]
    group: Option<GroupRecord>,
    #[prost(uint64, tag = "4")]
    size: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SnapshotRecord {
    #[prost(message, optional, tag = "1")]
    head: Option<HeadRecord>,
    #[prost(bytes = "bytes", tag = "2")]
    data: Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RequestVoteRecord {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(uint64, tag = "2")]
    last_term: u64,
    #[prost(uint64, tag = "3")]
    last: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RequestVoteResponseRecord {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(bool, tag = "2")]
    granted: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct AppendEntriesRecord {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(uint64, tag = "2")]
    previous: u64,
    #[prost(uint64, tag = "3")]
    previous_term: u64,
    #[prost(message, repeated, tag = "4")]
    entries: Vec<EntryRecord>,
    #[prost(uint64, tag = "5")]
    committed: u64,
    #[prost(uint64, tag = "6")]
    sent: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct AppendEntriesResponseRecord {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(uint64, tag = "2")]
    sent: u64,
    #[prost(uint64, tag = "3")]
    previous: u64,
    #[prost(bool, tag = "4")]
    agreed: bool,
    #[prost(uint64, tag = "5")]
    position: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct InstallSnapshotRecord {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(uint64, tag = "2")]
    sent: u64,
    #[prost(message, optional, tag = "3")]
    head: Option<HeadRecord>,
    #[prost(uint64, tag = "4")]
    offset: u64,
    #[prost(bytes = "bytes", tag = "5")]
    bytes: Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
struct InstallSnapshotResponseRecord {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(uint64, tag = "2")]
    sent: u64,
    #[prost(uint64, tag = "3")]
    position: u64,
    #[prost(uint64, tag = "4")]
    received: u64,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum MessageKind {
    #[prost(message, tag = "1")]
    PreVote(RequestVoteRecord),
    #[prost(message, tag = "2")]
    PreVoteAnswer(RequestVoteResponseRecord),
    #[prost(message, tag = "3")]
    Vote(RequestVoteRecord),
    #[prost(message, tag = "4")]
    VoteAnswer(RequestVoteResponseRecord),
    #[prost(message, tag = "5")]
    Append(AppendEntriesRecord),
    #[prost(message, tag = "6")]
    AppendAnswer(AppendEntriesResponseRecord),
    #[prost(message, tag = "7")]
    Chunk(InstallSnapshotRecord),
    #[prost(message, tag = "8")]
    ChunkAnswer(InstallSnapshotResponseRecord),
}

#[derive(Clone, PartialEq, prost::Message)]
struct MessageRecord {
    #[prost(oneof = "MessageKind", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    kind: Option<MessageKind>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EnvelopeRecord {
    #[prost(message, optional, tag = "1")]
    from: Option<MemberRecord>,
    #[prost(bool, tag = "2")]
    founded: bool,
    #[prost(fixed64, tag = "3")]
    to: u64,
    #[prost(message, repeated, tag = "4")]
    messages: Vec<MessageRecord>,
    #[prost(string, repeated, tag = "5")]
    links: Vec<String>,
}

/// A request or response on the replica channel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The sender, described as a member of a group.
    pub from: Member,
    /// True if the sender knows a group.
    pub has_group: bool,
    /// The recipient of the messages; absent in an introduction.
    pub to: Option<ReplicaId>,
    /// The messages in the order in which they were created.
    pub messages: Vec<Message>,
    /// Link addresses of the group that the sender knows; only in introductions.
    pub links: Vec<SocketAddr>,
}

impl Envelope {
    /// Encodes the envelope.
    pub fn encode(&self) -> Bytes {
        let record = EnvelopeRecord {
            from: Some(MemberRecord::from(&self.from)),
            founded: self.has_group,
            to: self.to.map_or(0, |id| id.0),
            messages: self.messages.iter().map(MessageRecord::from).collect(),
            links: self.links.iter().map(SocketAddr::to_string).collect(),
        };
        record.encode_to_vec().into()
    }

    /// Decodes an envelope.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed.
    pub fn decode(bytes: Bytes) -> Result<Envelope> {
        let record = EnvelopeRecord::decode(bytes).map_err(malformed)?;
        let messages = record.messages.into_iter().map(Message::try_from);
        let links = record
            .links
            .iter()
            .map(|l| l.parse().map_err(|_| missing()));
        Ok(Envelope {
            links: links.collect::<Result<_>>()?,
            from: record.from.ok_or_else(missing)?.try_into()?,
            has_group: record.founded,
            to: (record.to != 0).then_some(ReplicaId(record.to)),
            messages: messages.collect::<Result<_>>()?,
        })
    }
}

/// Encodes one entry as a log record.
pub fn encode_entry(entry: &LogEntry) -> Vec<u8> {
    EntryRecord::from(entry).encode_to_vec()
}

/// Decodes a log record.
///
/// # Errors
///
/// Fails if the bytes are malformed.
pub fn decode_entry(bytes: Bytes) -> Result<LogEntry> {
    EntryRecord::decode(bytes).map_err(malformed)?.try_into()
}

/// Encodes the hard state.
pub fn encode_hard_state(hard_state: &HardState) -> Vec<u8> {
    let record = HardStateRecord {
        id: hard_state.id.0,
        term: hard_state.term.0,
        vote: hard_state.vote.map(|v| v.0),
    };
    record.encode_to_vec()
}

/// Decodes the hard state.
///
/// # Errors
///
/// Fails if the bytes are malformed or hold no identity.
pub fn decode_hard_state(bytes: &[u8]) -> Result<HardState> {
    let record = HardStateRecord::decode(bytes).map_err(malformed)?;
    if record.id == 0 {
        return Err(missing());
    }
    Ok(HardState {
        id: ReplicaId(record.id),
        term: Term(record.term),
        vote: record.vote.map(ReplicaId),
    })
}

/// Encodes a snapshot.
pub fn encode_snapshot(snapshot: &Snapshot) -> Vec<u8> {
    let head = HeadRecord {
        position: snapshot.position.0,
        term: snapshot.term.0,
        group: Some(GroupRecord::from(&snapshot.replicas)),
        size: snapshot.data.len() as u64,
    };
    let record = SnapshotRecord {
        head: Some(head),
        data: snapshot.data.clone(),
    };
    record.encode_to_vec()
}

/// Decodes a snapshot.
///
/// # Errors
///
/// Fails if the bytes are malformed.
pub fn decode_snapshot(bytes: Bytes) -> Result<Snapshot> {
    let record = SnapshotRecord::decode(bytes).map_err(malformed)?;
    let metadata: SnapshotMetadata = record.head.ok_or_else(missing)?.try_into()?;
    Ok(Snapshot {
        position: metadata.position,
        term: metadata.term,
        replicas: metadata.replicas,
        data: record.data,
    })
}

fn malformed(e: prost::DecodeError) -> Error {
    Error::invalid(format!("malformed replica message: {e}"))
}

fn missing() -> Error {
    Error::invalid("replica message lacks a field")
}

fn parse_addr(text: &str) -> Result<SocketAddr> {
    text.parse()
        .map_err(|_| Error::invalid("replica message has a bad address"))
}

impl From<&Member> for MemberRecord {
    fn from(m: &Member) -> Self {
        MemberRecord {
            id: m.id.0,
            link: m.link.to_string(),
            operator: m.operator.to_string(),
            voter: m.voter,
            replaces: m.replaces.map(|r| r.0),
        }
    }
}

impl TryFrom<MemberRecord> for Member {
    type Error = Error;

    fn try_from(m: MemberRecord) -> Result<Self> {
        Ok(Member {
            id: ReplicaId(m.id),
            link: parse_addr(&m.link)?,
            operator: parse_addr(&m.operator)?,
            voter: m.voter,
            replaces: m.replaces.map(ReplicaId),
        })
    }
}

impl From<&Replicas> for GroupRecord {
    fn from(group: &Replicas) -> Self {
        let members = group.members().iter().map(MemberRecord::from).collect();
        GroupRecord { members }
    }
}

impl TryFrom<GroupRecord> for Replicas {
    type Error = Error;

    fn try_from(group: GroupRecord) -> Result<Self> {
        let members = group.members.into_iter().map(Member::try_from);
        Ok(Replicas::new(members.collect::<Result<_>>()?))
    }
}

impl From<&LogEntry> for EntryRecord {
    fn from(e: &LogEntry) -> Self {
        let kind = match &e.entry {
            Entry::Empty => EntryKind::Empty(true),
            Entry::Note(bytes) => EntryKind::Note(bytes.clone()),
            Entry::Nodes(bytes) => EntryKind::Nodes(bytes.clone()),
            Entry::Replicas(group) => EntryKind::Replicas(group.into()),
            Entry::Accepted(position) => EntryKind::Accepted(position.0),
        };
        EntryRecord {
            position: e.position.0,
            term: e.term.0,
            kind: Some(kind),
        }
    }
}

impl TryFrom<EntryRecord> for LogEntry {
    type Error = Error;

    fn try_from(e: EntryRecord) -> Result<Self> {
        let entry = match e.kind.ok_or_else(missing)? {
            EntryKind::Empty(_) => Entry::Empty,
            EntryKind::Note(bytes) => Entry::Note(bytes),
            EntryKind::Nodes(bytes) => Entry::Nodes(bytes),
            EntryKind::Replicas(group) => Entry::Replicas(group.try_into()?),
            EntryKind::Accepted(position) => Entry::Accepted(Position(position)),
        };
        Ok(LogEntry {
            position: Position(e.position),
            term: Term(e.term),
            entry,
        })
    }
}

impl TryFrom<HeadRecord> for SnapshotMetadata {
    type Error = Error;

    fn try_from(h: HeadRecord) -> Result<Self> {
        Ok(SnapshotMetadata {
            position: Position(h.position),
            term: Term(h.term),
            replicas: h.group.unwrap_or_default().try_into()?,
            size: h.size,
        })
    }
}

impl From<&RequestVote> for RequestVoteRecord {
    fn from(v: &RequestVote) -> Self {
        RequestVoteRecord {
            term: v.term.0,
            last_term: v.last_term.0,
            last: v.last_position.0,
        }
    }
}

impl From<RequestVoteRecord> for RequestVote {
    fn from(v: RequestVoteRecord) -> Self {
        RequestVote {
            term: Term(v.term),
            last_term: Term(v.last_term),
            last_position: Position(v.last),
        }
    }
}

impl From<&RequestVoteResponse> for RequestVoteResponseRecord {
    fn from(r: &RequestVoteResponse) -> Self {
        RequestVoteResponseRecord {
            term: r.term.0,
            granted: r.granted,
        }
    }
}

impl From<RequestVoteResponseRecord> for RequestVoteResponse {
    fn from(r: RequestVoteResponseRecord) -> Self {
        RequestVoteResponse {
            term: Term(r.term),
            granted: r.granted,
        }
    }
}

impl From<&Message> for MessageRecord {
    fn from(message: &Message) -> Self {
        let kind = match message {
            Message::PreVote(v) => MessageKind::PreVote(v.into()),
            Message::PreVoteResponse(r) => MessageKind::PreVoteAnswer(r.into()),
            Message::RequestVote(v) => MessageKind::Vote(v.into()),
            Message::RequestVoteResponse(r) => MessageKind::VoteAnswer(r.into()),
            Message::AppendEntries(a) => MessageKind::Append(AppendEntriesRecord {
                term: a.term.0,
                previous: a.previous.0,
                previous_term: a.previous_term.0,
                entries: a.entries.iter().map(EntryRecord::from).collect(),
                committed: a.committed.0,
                sent: a.sent.0,
            }),
            Message::AppendEntriesResponse(r) => {
                MessageKind::AppendAnswer(AppendEntriesResponseRecord {
                    term: r.term.0,
                    sent: r.sent.0,
                    previous: r.previous.0,
                    agreed: r.agreed,
                    position: r.position.0,
                })
            }
            Message::InstallSnapshot(c) => MessageKind::Chunk(InstallSnapshotRecord {
                term: c.term.0,
                sent: c.sent.0,
                head: Some(HeadRecord {
                    position: c.metadata.position.0,
                    term: c.metadata.term.0,
                    group: Some(GroupRecord::from(&c.metadata.replicas)),
                    size: c.metadata.size,
                }),
                offset: c.offset,
                bytes: c.bytes.clone(),
            }),
            Message::InstallSnapshotResponse(r) => {
                MessageKind::ChunkAnswer(InstallSnapshotResponseRecord {
                    term: r.term.0,
                    sent: r.sent.0,
                    position: r.position.0,
                    received: r.received,
                })
            }
        };
        MessageRecord { kind: Some(kind) }
    }
}

impl TryFrom<MessageRecord> for Message {
    type Error = Error;

    fn try_from(record: MessageRecord) -> Result<Self> {
        Ok(match record.kind.ok_or_else(missing)? {
            MessageKind::PreVote(v) => Message::PreVote(v.into()),
            MessageKind::PreVoteAnswer(r) => Message::PreVoteResponse(r.into()),
            MessageKind::Vote(v) => Message::RequestVote(v.into()),
            MessageKind::VoteAnswer(r) => Message::RequestVoteResponse(r.into()),
            MessageKind::Append(a) => Message::AppendEntries(a.try_into()?),
            MessageKind::AppendAnswer(r) => Message::AppendEntriesResponse(AppendEntriesResponse {
                term: Term(r.term),
                sent: Time(r.sent),
                previous: Position(r.previous),
                agreed: r.agreed,
                position: Position(r.position),
            }),
            MessageKind::Chunk(c) => Message::InstallSnapshot(InstallSnapshot {
                term: Term(c.term),
                sent: Time(c.sent),
                metadata: c.head.ok_or_else(missing)?.try_into()?,
                offset: c.offset,
                bytes: c.bytes,
            }),
            MessageKind::ChunkAnswer(r) => {
                Message::InstallSnapshotResponse(InstallSnapshotResponse {
                    term: Term(r.term),
                    sent: Time(r.sent),
                    position: Position(r.position),
                    received: r.received,
                })
            }
        })
    }
}

impl TryFrom<AppendEntriesRecord> for AppendEntries {
    type Error = Error;

    fn try_from(a: AppendEntriesRecord) -> Result<Self> {
        let entries: Vec<LogEntry> = a
            .entries
            .into_iter()
            .map(LogEntry::try_from)
            .collect::<Result<_>>()?;
        let mut expected = Position(a.previous);
        for entry in &entries {
            expected = expected.next();
            if entry.position != expected {
                return Err(Error::invalid("entries of an append leave a gap"));
            }
        }
        Ok(AppendEntries {
            term: Term(a.term),
            previous: Position(a.previous),
            previous_term: Term(a.previous_term),
            entries,
            committed: Position(a.committed),
            sent: Time(a.sent),
        })
    }
}
