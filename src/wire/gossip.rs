//! Encoding of the gossip messages between nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::{Message, Oneof};

use crate::error::{Error, Result};
use crate::fleet::departures::DEPARTURES_PER_MESSAGE;
use crate::fleet::registry::MEMBERS_MAX;
use crate::fleet::table::{RECORDS_MAX, TABLE_MAX};
use crate::fleet::{
    Advertisement, Departure, GossipRequest, GossipResponse, Push, RecordVersion, RelayedEntry,
    RequestStamp, Scope, TargetRun,
};
use crate::freshness::ProofAges;
use crate::ids::NodeId;
use crate::time::Time;
use crate::units::Position;
use crate::wire::records::{AdvertisementRecord, check_count, decode_readable, parse_addr};

/// A message of a gossip exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipMessage {
    /// Starts an exchange.
    Request(GossipRequest),
    /// The response to a request.
    Response(GossipResponse),
    /// The records that the response requested.
    Push(Push),
    /// Requests the entries after a position.
    EntriesRequest(Position),
    /// The response to a request of entries.
    Entries(Vec<RelayedEntry>),
    /// Gives departures to a node and requests those of a VM.
    DepartureRequest(DepartureRequest),
    /// The departures that the receiver of the request holds.
    Departures(Vec<Departure>),
}

/// Departures for a node, which confirms that it holds them by responding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DepartureRequest {
    /// The departures.
    pub departures: Vec<Departure>,
    /// Link address of the VM whose departures are requested.
    pub vm: SocketAddr,
}

#[derive(Clone, PartialEq, Message)]
struct MessageRecord {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7")]
    body: Option<Body>,
}

#[derive(Clone, PartialEq, Oneof)]
enum Body {
    #[prost(message, tag = "1")]
    Ask(RequestRecord),
    #[prost(message, tag = "2")]
    Answer(ResponseRecord),
    #[prost(message, tag = "3")]
    Push(PushRecord),
    #[prost(uint64, tag = "4")]
    EntriesRequest(u64),
    #[prost(message, tag = "5")]
    Entries(EntriesRecord),
    #[prost(message, tag = "6")]
    DepartureRequest(DepartureRequestRecord),
    #[prost(message, tag = "7")]
    Departures(DeparturesRecord),
}

#[derive(Clone, PartialEq, Message)]
struct DepartureRecord {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(string, tag = "2")]
    name: String,
    #[prost(uint64, tag = "3")]
    incarnation: u64,
    #[prost(uint32, tag = "4")]
    age_ms: u32,
}

#[derive(Clone, PartialEq, Message)]
struct DepartureRequestRecord {
    #[prost(message, repeated, tag = "1")]
    departures: Vec<DepartureRecord>,
    #[prost(string, tag = "2")]
    vm: String,
}

#[derive(Clone, PartialEq, Message)]
struct DeparturesRecord {
    #[prost(message, repeated, tag = "1")]
    departures: Vec<DepartureRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct RequestRecord {
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
    #[prost(bool, tag = "7")]
    without_entries: bool,
    #[prost(bool, tag = "8")]
    with_health: bool,
    #[prost(bool, tag = "9")]
    without_updates: bool,
    #[prost(message, repeated, tag = "10")]
    departures: Vec<DepartureRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct DigestRecord {
    #[prost(fixed64, repeated, tag = "1")]
    nodes: Vec<u64>,
    #[prost(uint64, repeated, tag = "2")]
    versions: Vec<u64>,
    /// Empty if every health version is zero.
    #[prost(uint64, repeated, tag = "3")]
    health_versions: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct ResponseRecord {
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
    records: Vec<AdvertisementRecord>,
    #[prost(fixed64, repeated, tag = "10")]
    wanted: Vec<u64>,
    #[prost(message, repeated, tag = "11")]
    entries: Vec<EntryRecord>,
    #[prost(bool, tag = "12")]
    with_health: bool,
    #[prost(bool, tag = "13")]
    retired: bool,
}

#[derive(Clone, PartialEq, Message)]
struct EntryRecord {
    #[prost(uint64, tag = "1")]
    position: u64,
    #[prost(bytes = "bytes", tag = "2")]
    entry: Bytes,
}

#[derive(Clone, PartialEq, Message)]
struct EntriesRecord {
    #[prost(message, repeated, tag = "1")]
    entries: Vec<EntryRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct PushRecord {
    #[prost(message, repeated, tag = "1")]
    records: Vec<AdvertisementRecord>,
}

fn malformed() -> Error {
    Error::invalid("malformed gossip message")
}

impl GossipMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Bytes {
        let body = match self {
            GossipMessage::Request(request) => Body::Ask(request.into()),
            GossipMessage::Response(response) => Body::Answer(response.into()),
            GossipMessage::Push(push) => Body::Push(PushRecord {
                records: encode_all(&push.records),
            }),
            GossipMessage::EntriesRequest(position) => Body::EntriesRequest(position.0),
            GossipMessage::Entries(entries) => Body::Entries(EntriesRecord {
                entries: encode_entries(entries),
            }),
            GossipMessage::DepartureRequest(request) => {
                Body::DepartureRequest(DepartureRequestRecord {
                    departures: encode_departures(&request.departures),
                    vm: request.vm.to_string(),
                })
            }
            GossipMessage::Departures(departures) => Body::Departures(DeparturesRecord {
                departures: encode_departures(departures),
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
            Body::Ask(request) => GossipMessage::Request(decode_request(request)?),
            Body::Answer(response) => GossipMessage::Response(decode_response(response)?),
            Body::Push(push) => GossipMessage::Push(Push {
                records: decode_all(push.records)?,
            }),
            Body::EntriesRequest(position) => GossipMessage::EntriesRequest(Position(position)),
            Body::Entries(record) => GossipMessage::Entries(decode_entries(record.entries)),
            Body::DepartureRequest(record) => GossipMessage::DepartureRequest(DepartureRequest {
                departures: decode_departures(record.departures)?,
                vm: parse_addr(&record.vm)?,
            }),
            Body::Departures(record) => {
                GossipMessage::Departures(decode_departures(record.departures)?)
            }
        })
    }
}

impl From<&GossipRequest> for RequestRecord {
    fn from(request: &GossipRequest) -> RequestRecord {
        let news = (!request.updates.is_empty()).then(|| encode_versions(&request.updates));
        RequestRecord {
            from: request.stamp.from.0,
            sent: request.stamp.sent.0,
            position: request.position.0,
            hash: request.hash,
            news,
            digest: request
                .digest
                .as_ref()
                .map(|versions| encode_versions(versions)),
            without_entries: request.without_entries,
            with_health: request.scope == Scope::WithHealth,
            without_updates: request.without_updates,
            departures: encode_departures(&request.departures),
        }
    }
}

fn encode_departures(departures: &[Departure]) -> Vec<DepartureRecord> {
    let records = departures.iter().map(|d| DepartureRecord {
        vm: d.run.vm.to_string(),
        name: d.run.name.to_string(),
        incarnation: d.run.incarnation,
        age_ms: u32::try_from(d.age.as_millis()).unwrap_or(u32::MAX),
    });
    records.collect()
}

fn decode_departures(records: Vec<DepartureRecord>) -> Result<Vec<Departure>> {
    check_count(records.len(), DEPARTURES_PER_MESSAGE)?;
    records.into_iter().map(decode_departure).collect()
}

fn decode_departure(record: DepartureRecord) -> Result<Departure> {
    let run = TargetRun {
        vm: parse_addr(&record.vm)?,
        name: record.name.parse()?,
        incarnation: record.incarnation,
    };
    let age = Duration::from_millis(record.age_ms.into());
    Ok(Departure { run, age })
}

fn decode_request(r: RequestRecord) -> Result<GossipRequest> {
    Ok(GossipRequest {
        stamp: decode_stamp(r.from, r.sent),
        position: Position(r.position),
        hash: r.hash,
        updates: r.news.map_or(Ok(Vec::new()), decode_versions)?,
        digest: r.digest.map(decode_versions).transpose()?,
        without_entries: r.without_entries,
        scope: decode_scope(r.with_health),
        without_updates: r.without_updates,
        departures: decode_departures(r.departures)?,
    })
}

fn decode_scope(with_health: bool) -> Scope {
    match with_health {
        true => Scope::WithHealth,
        false => Scope::WithoutHealth,
    }
}

fn decode_stamp(from: u64, sent: u64) -> RequestStamp {
    RequestStamp {
        from: NodeId(from),
        sent: Time(sent),
    }
}

fn encode_versions(versions: &[RecordVersion]) -> DigestRecord {
    let mut health_versions: Vec<u64> = versions.iter().map(|v| v.health_version).collect();
    if health_versions.iter().all(|version| *version == 0) {
        health_versions.clear();
    }
    DigestRecord {
        nodes: versions.iter().map(|v| v.node.0).collect(),
        versions: versions.iter().map(|v| v.version).collect(),
        health_versions,
    }
}

fn decode_versions(mut r: DigestRecord) -> Result<Vec<RecordVersion>> {
    check_count(r.nodes.len(), TABLE_MAX)?;
    if r.health_versions.is_empty() {
        r.health_versions = vec![0; r.nodes.len()];
    }
    if r.nodes.len() != r.versions.len() || r.nodes.len() != r.health_versions.len() {
        return Err(malformed());
    }
    let pairs = r.nodes.into_iter().zip(r.versions).zip(r.health_versions);
    let mut versions: Vec<RecordVersion> = pairs
        .map(|((node, version), health_version)| RecordVersion {
            node: NodeId(node),
            version,
            health_version,
        })
        .collect();
    versions.sort_by_key(|v| v.node);
    Ok(versions)
}

impl From<&GossipResponse> for ResponseRecord {
    fn from(response: &GossipResponse) -> ResponseRecord {
        ResponseRecord {
            from: response.stamp.from.0,
            sent: response.stamp.sent.0,
            node: response.node.0,
            position: response.ages.position.0,
            registry: response.ages.registry.0,
            ages: response.ages.bytes.clone(),
            group: response.group_age,
            retired: response.retired,
            hash: response.hash,
            records: encode_all(&response.records),
            wanted: response.requested.iter().map(|n| n.0).collect(),
            entries: encode_entries(&response.entries),
            with_health: response.scope == Scope::WithHealth,
        }
    }
}

fn encode_entries(entries: &[RelayedEntry]) -> Vec<EntryRecord> {
    let entries = entries.iter().map(|e| EntryRecord {
        position: e.position.0,
        entry: e.entry.clone(),
    });
    entries.collect()
}

fn decode_entries(entries: Vec<EntryRecord>) -> Vec<RelayedEntry> {
    let entries = entries.into_iter().map(|e| RelayedEntry {
        position: Position(e.position),
        entry: e.entry,
    });
    entries.collect()
}

fn decode_response(r: ResponseRecord) -> Result<GossipResponse> {
    check_count(r.ages.len(), MEMBERS_MAX)?;
    check_count(r.wanted.len(), RECORDS_MAX)?;
    Ok(GossipResponse {
        stamp: decode_stamp(r.from, r.sent),
        node: NodeId(r.node),
        ages: ProofAges {
            position: Position(r.position),
            registry: Position(r.registry),
            bytes: r.ages,
        },
        group_age: r.group,
        retired: r.retired,
        hash: r.hash,
        scope: decode_scope(r.with_health),
        records: decode_all(r.records)?,
        requested: r.wanted.into_iter().map(NodeId).collect(),
        entries: decode_entries(r.entries),
    })
}

fn encode_all(records: &[Arc<Advertisement>]) -> Vec<AdvertisementRecord> {
    let records = records.iter();
    records.map(|a| AdvertisementRecord::from(&**a)).collect()
}

fn decode_all(records: Vec<AdvertisementRecord>) -> Result<Vec<Arc<Advertisement>>> {
    check_count(records.len(), RECORDS_MAX)?;
    let records: Vec<Advertisement> = decode_readable(records);
    Ok(records.into_iter().map(Arc::new).collect())
}
