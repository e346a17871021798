//! Configuration sync between nodes and control processes.
//!
//! A node sends a [`Request`] and applies the [`Response`] through a [`Client`]. Without `wait` the
//! response is sent immediately and proves how current the node is. With `wait` (long polling) it is
//! held until a newer entry is committed, so that a node learns of a commit without delay. A response
//! carries data only as far as `data_max` allows, so that a node receives data in one call at a time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use prost::Message;

use crate::control::state::State;
use crate::error::{Error, Result};
use crate::fleet::Member;
use crate::ids::{NodeId, ReplicaId};
use crate::replica::Confirmation;
use crate::time::Time;
use crate::units::Position;
use crate::wire::replica::decode_entry;

/// Maximum time that a response is held back.
pub const WAIT_MAX: Duration = Duration::from_secs(10);

/// Maximum size of the data in one response in bytes.
///
/// A response must arrive within the timeout of a call, also on a link of 2 Mbit/s that carries
/// requests too; 32 KiB take 0.13 s on it.
pub const DATA_MAX_BYTES: usize = 32 * 1024;

/// Time between two requests of a node without `wait`.
pub const SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// A sync request of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The requesting node.
    pub node: Member,
    /// The position that it holds.
    pub position: Position,
    /// When the request was sent, by the node's clock; echoed in the response.
    pub sent: Time,
    /// How long the response may be held back until a newer entry is committed.
    pub wait: Duration,
    /// The snapshot that the node is receiving, if any.
    pub partial: Option<Partial>,
    /// True if the node is leaving the fleet.
    pub leaving: bool,
    /// Maximum size of the data in the response in bytes; zero for a response without data.
    pub data_max: usize,
}

/// A partially received snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Partial {
    /// The snapshot's position.
    pub position: Position,
    /// The number of bytes received so far.
    pub received: u64,
}

/// The response of a control process to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The responding replica.
    pub replica: ReplicaId,
    /// The request's `sent`, by the node's clock.
    pub sent: Time,
    /// The last committed position that this replica has applied.
    pub committed: Position,
    /// How the replica confirms that nothing after `committed` was accepted before the response.
    pub confirmation: Confirmation,
    /// The link address of the leader, if it is known.
    pub leader: Option<SocketAddr>,
    /// The data that follows the node's position.
    pub update: Update,
}

/// The data that advances a node's position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// Encoded committed entries in log order; empty if the node is current.
    Entries(Vec<Bytes>),
    /// A snapshot chunk, for a node that is behind the retained entries.
    Chunk(Chunk),
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The snapshot's position.
    pub position: Position,
    /// The size of the whole snapshot in bytes.
    pub size: u64,
    /// The offset of the chunk in the snapshot.
    pub offset: u64,
    /// The content of the chunk.
    pub bytes: Bytes,
}

/// The client side of the sync protocol; builds the configuration from responses.
///
/// # Example
///
/// ```
/// use laburnumtide::units::Position;
/// use laburnumtide::wire::sync::Client;
///
/// let client = Client::new();
/// assert_eq!(client.state().position(), Position(0));
/// ```
#[derive(Debug, Default)]
pub struct Client {
    state: State,
    incoming: Option<IncomingSnapshot>,
}

#[derive(Debug)]
struct IncomingSnapshot {
    position: Position,
    size: u64,
    data: BytesMut,
}

/// The effect of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// True if the position has advanced.
    pub changed: bool,
    /// True if there is more to fetch, so that the node should send the next request immediately.
    pub more: bool,
}

impl Client {
    /// Creates a client with an empty state.
    pub fn new() -> Client {
        Client::default()
    }

    /// Returns the configuration, registry and position.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the next request to send.
    pub fn request(&self, now: Time, node: Member, wait: Duration) -> Request {
        let partial = self.incoming.as_ref().map(|i| Partial {
            position: i.position,
            received: i.data.len() as u64,
        });
        Request {
            node,
            position: self.state.position(),
            sent: now,
            wait,
            partial,
            leaving: false,
            data_max: DATA_MAX_BYTES,
        }
    }

    /// Applies a response; entries that are already applied are skipped.
    ///
    /// # Errors
    ///
    /// Fails if the response is malformed; entries before the malformed one stay applied.
    pub fn apply(&mut self, response: &Response) -> Result<Applied> {
        let before = self.state.position();
        match &response.update {
            Update::Entries(entries) => self.apply_entries(entries)?,
            Update::Chunk(chunk) => self.apply_chunk(chunk)?,
        }
        let position = self.state.position();
        Ok(Applied {
            changed: position > before,
            more: position < response.committed,
        })
    }

    /// Applies encoded committed entries, from a control process or relayed by another node.
    ///
    /// # Errors
    ///
    /// Fails if an entry is malformed or not consecutive.
    pub fn apply_entries(&mut self, entries: &[Bytes]) -> Result<()> {
        for bytes in entries {
            let logged = decode_entry(bytes.clone())?;
            if logged.position > self.state.position() {
                self.state.apply(&logged)?;
            }
        }
        let position = self.state.position();
        self.incoming.take_if(|i| i.position <= position);
        Ok(())
    }

    fn apply_chunk(&mut self, chunk: &Chunk) -> Result<()> {
        if chunk.position <= self.state.position() {
            return Ok(());
        }
        let same = |i: &IncomingSnapshot| i.position == chunk.position && i.size == chunk.size;
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = Some(IncomingSnapshot {
                position: chunk.position,
                size: chunk.size,
                data: BytesMut::new(),
            });
        }
        let incoming = self.incoming.as_mut().expect("set above");
        if chunk.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk.bytes);
        }
        if (incoming.data.len() as u64) < incoming.size {
            return Ok(());
        }
        let incoming = self.incoming.take().expect("set above");
        let state = State::decode(incoming.data.freeze())?;
        if state.position() != incoming.position {
            return Err(Error::corrupt(
                "snapshot position differs from the announced one",
            ));
        }
        self.state = state;
        Ok(())
    }
}

#[derive(Clone, PartialEq, Message)]
struct RequestRecord {
    #[prost(fixed64, tag = "1")]
    node: u64,
    #[prost(string, tag = "2")]
    addr: String,
    #[prost(string, tag = "3")]
    zone: String,
    #[prost(uint64, tag = "4")]
    position: u64,
    #[prost(uint64, tag = "5")]
    asked: u64,
    #[prost(uint32, tag = "6")]
    wait_ms: u32,
    #[prost(uint64, tag = "7")]
    partial_position: u64,
    #[prost(uint64, tag = "8")]
    partial_received: u64,
    #[prost(bool, tag = "9")]
    leaving: bool,
    /// Absent in requests of earlier versions, whose responses had no such limit.
    #[prost(uint32, optional, tag = "10")]
    data_max: Option<u32>,
}

#[derive(Clone, PartialEq, Message)]
struct ChunkRecord {
    #[prost(uint64, tag = "1")]
    position: u64,
    #[prost(uint64, tag = "2")]
    size: u64,
    #[prost(uint64, tag = "3")]
    offset: u64,
    #[prost(bytes = "bytes", tag = "4")]
    bytes: Bytes,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, prost::Enumeration)]
#[repr(i32)]
enum VouchKind {
    None = 0,
    Voter = 1,
    Group = 2,
}

#[derive(Clone, PartialEq, Message)]
struct ResponseRecord {
    #[prost(fixed64, tag = "1")]
    replica: u64,
    #[prost(uint64, tag = "2")]
    asked: u64,
    #[prost(uint64, tag = "3")]
    committed: u64,
    #[prost(enumeration = "VouchKind", tag = "4")]
    vouch: i32,
    #[prost(string, tag = "5")]
    leader: String,
    #[prost(bytes = "bytes", repeated, tag = "6")]
    entries: Vec<Bytes>,
    #[prost(message, optional, tag = "7")]
    chunk: Option<ChunkRecord>,
}

fn malformed() -> Error {
    Error::invalid("malformed sync message")
}

impl Request {
    /// Encodes the request.
    pub fn encode(&self) -> Bytes {
        let partial = self.partial.unwrap_or(Partial {
            position: Position(0),
            received: 0,
        });
        let record = RequestRecord {
            node: self.node.id.0,
            addr: self.node.addr.to_string(),
            zone: self.node.zone.to_string(),
            position: self.position.0,
            asked: self.sent.0,
            wait_ms: self.wait.as_millis() as u32,
            partial_position: partial.position.0,
            partial_received: partial.received,
            leaving: self.leaving,
            data_max: Some(self.data_max.min(DATA_MAX_BYTES) as u32),
        };
        record.encode_to_vec().into()
    }

    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed.
    pub fn decode(bytes: Bytes) -> Result<Request> {
        let r = RequestRecord::decode(bytes).map_err(|_| malformed())?;
        let partial = Partial {
            position: Position(r.partial_position),
            received: r.partial_received,
        };
        Ok(Request {
            node: Member {
                id: NodeId(r.node),
                addr: r.addr.parse().map_err(|_| malformed())?,
                zone: r.zone.parse()?,
            },
            position: Position(r.position),
            sent: Time(r.asked),
            wait: Duration::from_millis(r.wait_ms.into()).min(WAIT_MAX),
            partial: (partial.position > Position(0)).then_some(partial),
            leaving: r.leaving,
            data_max: r
                .data_max
                .map_or(DATA_MAX_BYTES, |max| (max as usize).min(DATA_MAX_BYTES)),
        })
    }
}

impl Response {
    /// Encodes the response.
    pub fn encode(&self) -> Bytes {
        let confirmation = match self.confirmation {
            Confirmation::None => VouchKind::None,
            Confirmation::Voter => VouchKind::Voter,
            Confirmation::Leader => VouchKind::Group,
        };
        let (entries, chunk) = match &self.update {
            Update::Entries(entries) => (entries.clone(), None),
            Update::Chunk(c) => {
                let record = ChunkRecord {
                    position: c.position.0,
                    size: c.size,
                    offset: c.offset,
                    bytes: c.bytes.clone(),
                };
                (Vec::new(), Some(record))
            }
        };
        let record = ResponseRecord {
            replica: self.replica.0,
            asked: self.sent.0,
            committed: self.committed.0,
            vouch: confirmation as i32,
            leader: self.leader.map_or_else(String::new, |l| l.to_string()),
            entries,
            chunk,
        };
        record.encode_to_vec().into()
    }

    /// Decodes a response.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed.
    pub fn decode(bytes: Bytes) -> Result<Response> {
        let r = ResponseRecord::decode(bytes).map_err(|_| malformed())?;
        let confirmation = match r.vouch() {
            VouchKind::None => Confirmation::None,
            VouchKind::Voter => Confirmation::Voter,
            VouchKind::Group => Confirmation::Leader,
        };
        let leader = match r.leader.as_str() {
            "" => None,
            text => Some(text.parse().map_err(|_| malformed())?),
        };
        let update = match r.chunk {
            None => Update::Entries(r.entries),
            Some(c) => Update::Chunk(Chunk {
                position: Position(c.position),
                size: c.size,
                offset: c.offset,
                bytes: c.bytes,
            }),
        };
        Ok(Response {
            replica: ReplicaId(r.replica),
            sent: Time(r.asked),
            committed: Position(r.committed),
            confirmation,
            leader,
            update,
        })
    }
}
