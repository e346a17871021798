//! The state machine of the replicated log; replicas and nodes apply the same entries.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use prost::Message;

use crate::config::{Config, Note};
use crate::error::{Error, Result};
use crate::fleet::Registry;
use crate::ids::ReplicaId;
use crate::replica::{Entry, LogEntry};
use crate::units::{NoteNumber, Position};
use crate::wire::registry::{decode_change, decode_registry, encode_registry};

/// Notes whose digest is kept, so that resubmitting one is idempotent.
const NOTES_KEPT: usize = 1_024;

/// Metadata of a note in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoteMetadata {
    /// The number.
    pub number: NoteNumber,
    /// The title.
    pub title: Option<String>,
    /// The SHA-256 digest of the note's encoding.
    pub digest: [u8; 32],
    /// The note's position in the log.
    pub position: Position,
}

/// Configuration, node registry and accepted position after applying the entry at a position.
#[derive(Clone, Debug, Default)]
pub struct State {
    position: Position,
    config: Config,
    accepted: Position,
    /// Registries with the positions of their entries; the last is in force, and the first was in
    /// force at `accepted`.
    registries: Vec<(Position, Arc<Registry>)>,
    /// Positions after `accepted` that are not yet held by a majority of the registered nodes.
    waiting: VecDeque<Position>,
    notes: VecDeque<Arc<NoteMetadata>>,
    voters: Vec<ReplicaId>,
    /// Link addresses of the control processes, sorted.
    links: Vec<SocketAddr>,
    /// The operator's source text of the configuration in force; absent on nodes.
    document: Option<Bytes>,
}

impl State {
    /// Creates the state before the first entry.
    pub fn new() -> State {
        State::default()
    }

    /// Returns the position of the last applied entry.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the last accepted position in the log.
    pub fn accepted(&self) -> Position {
        self.accepted
    }

    /// Returns the registry in force.
    pub fn registry(&self) -> Arc<Registry> {
        self.registries
            .last()
            .map_or_else(Arc::default, |(_, r)| r.clone())
    }

    /// Returns the registries in force since the last accepted position, oldest first, each with the
    /// position of its entry.
    pub fn registries(&self) -> impl Iterator<Item = (Position, &Registry)> {
        self.registries.iter().map(|(p, r)| (*p, &**r))
    }

    /// Like [`State::registries`], with shared ownership.
    pub fn shared_registries(&self) -> impl Iterator<Item = (Position, Arc<Registry>)> {
        self.registries.iter().cloned()
    }

    /// Returns the position of the entry that created the registry in force.
    pub fn registry_position(&self) -> Position {
        self.registries.last().map_or(Position(0), |(p, _)| *p)
    }

    /// Returns the voting replicas, sorted; a commit needs a majority of them.
    pub fn voters(&self) -> &[ReplicaId] {
        &self.voters
    }

    /// Returns the link addresses of the control processes, sorted.
    pub fn links(&self) -> &[SocketAddr] {
        &self.links
    }

    /// Returns the operator's source text of the configuration, if the last note replaced the whole
    /// configuration and this process stores source texts.
    pub fn document(&self) -> Option<&Bytes> {
        self.document.as_ref()
    }

    /// Returns the note with this number, unless it is unknown or no longer kept.
    pub fn note(&self, number: NoteNumber) -> Option<&NoteMetadata> {
        let i = self
            .notes
            .binary_search_by_key(&number, |n| n.number)
            .ok()?;
        self.notes.get(i).map(|n| &**n)
    }

    /// Applies the next entry.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Corrupt`](crate::error::Category::Corrupt), without changes, if the
    /// entry isn't the next one or can't be applied. Entries were validated before they were
    /// proposed.
    pub fn apply(&mut self, logged: &LogEntry) -> Result<()> {
        if logged.position != self.position.next() {
            let message = format!("entry {} can't follow {}", logged.position, self.position);
            return Err(Error::corrupt(message));
        }
        match &logged.entry {
            Entry::Empty => {}
            Entry::Note(bytes) => self.apply_note(logged.position, bytes)?,
            Entry::Nodes(bytes) => {
                let change = decode_change(bytes)?;
                // A change that was proposed against an older registry may no longer apply. Every
                // replica and node then ignores it.
                if let Ok(next) = self.registry().with_change(&change) {
                    self.registries.push((logged.position, Arc::new(next)));
                    self.waiting.push_back(logged.position);
                }
            }
            Entry::Replicas(group) => {
                self.voters = group.voters().collect();
                self.links = group.members().iter().map(|m| m.link).collect();
                self.links.sort_unstable();
            }
            Entry::Accepted(position) => self.accept(*position),
        }
        self.position = logged.position;
        Ok(())
    }

    fn apply_note(&mut self, position: Position, bytes: &[u8]) -> Result<()> {
        let note = Note::decode(bytes)?;
        self.config.apply(&note).map_err(|errors| {
            let first = errors.first().map_or("", |e| e.message.as_str());
            Error::corrupt(format!("note {} can't be applied: {first}", note.number()))
        })?;
        self.document = note.document().cloned();
        self.notes.push_back(Arc::new(NoteMetadata {
            number: note.number(),
            title: note.title().map(str::to_owned),
            digest: note.digest(),
            position,
        }));
        if self.notes.len() > NOTES_KEPT {
            self.notes.pop_front();
        }
        self.waiting.push_back(position);
        Ok(())
    }

    fn accept(&mut self, position: Position) {
        self.accepted = self.accepted.max(position);
        let accepted = self.accepted;
        self.waiting.retain(|p| *p > accepted);
        while self.registries.get(1).is_some_and(|(p, _)| *p <= accepted) {
            self.registries.remove(0);
        }
    }

    /// Returns the last position that can be accepted; `holds` returns true if a majority of a
    /// registry holds a position.
    ///
    /// A position needs a majority of every registry that was in force since the last accepted
    /// position, so that any majority that a node relies on includes a node that holds the position.
    pub fn acceptable(&self, holds: impl Fn(&Registry, Position) -> bool) -> Option<Position> {
        let all_hold = |position: &Position| {
            let mut in_force = self.registries.iter().filter(|(from, _)| from <= position);
            in_force.all(|(_, registry)| holds(registry, *position))
        };
        self.waiting.iter().rev().find(|p| all_hold(p)).copied()
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Bytes {
        self.encode_with(self.document.clone())
    }

    /// Encodes the state for a node, without the operator's source text, which may contain keys.
    pub fn encode_for_node(&self) -> Bytes {
        self.encode_with(None)
    }

    fn encode_with(&self, document: Option<Bytes>) -> Bytes {
        let registries = self
            .registries
            .iter()
            .map(|(position, registry)| RegistryRecord {
                position: position.0,
                members: encode_registry(registry).into(),
            });
        let notes = self.notes.iter().map(|n| NoteRecord {
            number: n.number.0,
            title: n.title.clone(),
            digest: Bytes::copy_from_slice(&n.digest),
            position: n.position.0,
        });
        let record = StateRecord {
            position: self.position.0,
            config: self.config.encode().into(),
            accepted: self.accepted.0,
            registries: registries.collect(),
            waiting: self.waiting.iter().map(|p| p.0).collect(),
            notes: notes.collect(),
            voters: self.voters.iter().map(|v| v.0).collect(),
            links: self.links.iter().map(SocketAddr::to_string).collect(),
            document,
        };
        record.encode_to_vec().into()
    }

    /// Decodes the state of a snapshot.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Corrupt`](crate::error::Category::Corrupt) for malformed bytes.
    pub fn decode(bytes: Bytes) -> Result<State> {
        let malformed = || Error::corrupt("malformed snapshot of the configuration log");
        let record = StateRecord::decode(bytes).map_err(|_| malformed())?;
        let mut registries = Vec::with_capacity(record.registries.len());
        for r in record.registries {
            let registry = decode_registry(&r.members)?;
            registries.push((Position(r.position), Arc::new(registry)));
        }
        let mut notes = VecDeque::with_capacity(record.notes.len());
        for n in record.notes {
            notes.push_back(Arc::new(NoteMetadata {
                number: NoteNumber(n.number),
                title: n.title,
                digest: n.digest.as_ref().try_into().map_err(|_| malformed())?,
                position: Position(n.position),
            }));
        }
        let links = record
            .links
            .iter()
            .map(|l| l.parse().map_err(|_| malformed()));
        Ok(State {
            links: links.collect::<Result<_>>()?,
            document: record.document,
            position: Position(record.position),
            config: Config::decode(&record.config)?,
            accepted: Position(record.accepted),
            registries,
            waiting: record.waiting.into_iter().map(Position).collect(),
            notes,
            voters: record.voters.into_iter().map(ReplicaId).collect(),
        })
    }
}

#[derive(Clone, PartialEq, Message)]
struct RegistryRecord {
    #[prost(uint64, tag = "1")]
    position: u64,
    #[prost(bytes = "bytes", tag = "2")]
    members: Bytes,
}

#[derive(Clone, PartialEq, Message)]
struct NoteRecord {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(string, optional, tag = "2")]
    title: Option<String>,
    #[prost(bytes = "bytes", tag = "3")]
    digest: Bytes,
    #[prost(uint64, tag = "4")]
    position: u64,
}

#[derive(Clone, PartialEq, Message)]
struct StateRecord {
    #[prost(uint64, tag = "1")]
    position: u64,
    #[prost(bytes = "bytes", tag = "2")]
    config: Bytes,
    #[prost(uint64, tag = "3")]
    accepted: u64,
    #[prost(message, repeated, tag = "4")]
    registries: Vec<RegistryRecord>,
    #[prost(uint64, repeated, tag = "5")]
    waiting: Vec<u64>,
    #[prost(message, repeated, tag = "6")]
    notes: Vec<NoteRecord>,
    #[prost(fixed64, repeated, tag = "7")]
    voters: Vec<u64>,
    #[prost(string, repeated, tag = "8")]
    links: Vec<String>,
    #[prost(bytes = "bytes", optional, tag = "9")]
    document: Option<Bytes>,
}
