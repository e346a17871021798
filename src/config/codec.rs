//! The canonical encoding of notes and configurations.
//!
//! Each note has exactly one encoding: lists are sorted by name, names are unique and nothing else
//! is stored. The decoder encodes the result again and compares the bytes, so that two replicas
//! never decode the same bytes to different content, even with different program versions.

use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use super::edit::{AccountEdit, Edits, Item, KeyEdit, Located, Location, RouteEdit, ServiceEdit};
use super::model::WeightedService;
use super::note::{Note, NoteError};
use super::routes::{check_methods, check_path};
use super::{BODY_MAX_BYTES, BURST_MAX, DEADLINE_MAX_SECS};
use crate::error::{Error, Result};
use crate::ids::KeyDigest;
use crate::units::{Burst, ByteSize, NoteNumber, Rate};

#[derive(Clone, PartialEq, Message)]
struct NoteMessage {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(string, optional, tag = "2")]
    title: Option<String>,
    #[prost(message, optional, tag = "3")]
    added: Option<ItemsMessage>,
    #[prost(message, optional, tag = "4")]
    changed: Option<ItemsMessage>,
    #[prost(message, optional, tag = "5")]
    withdrawn: Option<NamesMessage>,
    #[prost(uint64, optional, tag = "6")]
    base: Option<u64>,
    #[prost(bytes = "bytes", optional, tag = "7")]
    document: Option<Bytes>,
}

#[derive(Clone, PartialEq, Message)]
struct ItemsMessage {
    #[prost(message, repeated, tag = "1")]
    accounts: Vec<AccountMessage>,
    #[prost(message, repeated, tag = "2")]
    keys: Vec<KeyMessage>,
    #[prost(message, repeated, tag = "3")]
    services: Vec<ServiceMessage>,
    #[prost(message, repeated, tag = "4")]
    routes: Vec<RouteMessage>,
}

#[derive(Clone, PartialEq, Message)]
struct NamesMessage {
    #[prost(string, repeated, tag = "1")]
    accounts: Vec<String>,
    #[prost(string, repeated, tag = "2")]
    keys: Vec<String>,
    #[prost(string, repeated, tag = "3")]
    services: Vec<String>,
    #[prost(string, repeated, tag = "4")]
    routes: Vec<String>,
}

#[derive(Clone, PartialEq, Message)]
struct AccountMessage {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, optional, tag = "2")]
    rate_millis: Option<u64>,
    #[prost(uint32, optional, tag = "3")]
    burst: Option<u32>,
    #[prost(uint32, optional, tag = "4")]
    priority: Option<u32>,
}

#[derive(Clone, PartialEq, Message)]
struct KeyMessage {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, optional, tag = "2")]
    account: Option<String>,
    #[prost(bytes = "vec", optional, tag = "3")]
    digest: Option<Vec<u8>>,
}

#[derive(Clone, PartialEq, Message)]
struct ServiceMessage {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint32, optional, tag = "2")]
    floor_percent: Option<u32>,
    #[prost(uint64, optional, tag = "3")]
    open_rate_millis: Option<u64>,
    #[prost(uint32, optional, tag = "4")]
    open_burst: Option<u32>,
}

#[derive(Clone, PartialEq, Message)]
struct RouteMessage {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, optional, tag = "2")]
    path: Option<String>,
    #[prost(message, optional, tag = "3")]
    methods: Option<MethodsMessage>,
    #[prost(string, optional, tag = "4")]
    service: Option<String>,
    #[prost(bool, optional, tag = "5")]
    open: Option<bool>,
    #[prost(uint64, optional, tag = "6")]
    deadline_millis: Option<u64>,
    #[prost(uint64, optional, tag = "7")]
    body_max_bytes: Option<u64>,
    #[prost(message, optional, tag = "8")]
    idempotent: Option<MethodsMessage>,
    #[prost(string, optional, tag = "9")]
    host: Option<String>,
    #[prost(message, repeated, tag = "10")]
    split: Vec<ShareMessage>,
    #[prost(uint32, optional, tag = "11")]
    attempts: Option<u32>,
    #[prost(uint32, optional, tag = "12")]
    priority: Option<u32>,
    #[prost(uint64, optional, tag = "13")]
    objective_millis: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct ShareMessage {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint32, tag = "2")]
    weight: u32,
}

#[derive(Clone, PartialEq, Message)]
struct MethodsMessage {
    #[prost(string, repeated, tag = "1")]
    methods: Vec<String>,
}

/// Encodes a note.
pub(super) fn encode_note(note: &Note) -> Vec<u8> {
    let message = NoteMessage {
        number: note.number.0,
        title: note.title.clone(),
        added: Some(ItemsMessage {
            accounts: note.accounts.added.iter().map(pack_account).collect(),
            keys: note.keys.added.iter().map(pack_key).collect(),
            services: note.services.added.iter().map(pack_service).collect(),
            routes: note.routes.added.iter().map(pack_route).collect(),
        }),
        changed: Some(ItemsMessage {
            accounts: note.accounts.changed.iter().map(pack_account).collect(),
            keys: note.keys.changed.iter().map(pack_key).collect(),
            services: note.services.changed.iter().map(pack_service).collect(),
            routes: note.routes.changed.iter().map(pack_route).collect(),
        }),
        withdrawn: Some(NamesMessage {
            accounts: pack_names(&note.accounts),
            keys: pack_names(&note.keys),
            services: pack_names(&note.services),
            routes: pack_names(&note.routes),
        }),
        base: note.base.map(|n| n.0),
        document: note.document.clone(),
    };
    message.encode_to_vec()
}

/// Decodes a note.
pub(super) fn decode_note(bytes: &[u8]) -> Result<Note> {
    let message = NoteMessage::decode(bytes).map_err(corrupt)?;
    let added = message.added.unwrap_or_default();
    let changed = message.changed.unwrap_or_default();
    let withdrawn = message.withdrawn.unwrap_or_default();
    let mut note = Note {
        number: NoteNumber(message.number),
        base: message.base.map(NoteNumber),
        document: message.document,
        location: Location::default(),
        title: message.title,
        accounts: Edits {
            added: unpack(added.accounts, unpack_account)?,
            changed: unpack(changed.accounts, unpack_account)?,
            withdrawn: unpack(withdrawn.accounts, unpack_name)?,
        },
        keys: Edits {
            added: unpack(added.keys, unpack_key)?,
            changed: unpack(changed.keys, unpack_key)?,
            withdrawn: unpack(withdrawn.keys, unpack_name)?,
        },
        services: Edits {
            added: unpack(added.services, unpack_service)?,
            changed: unpack(changed.services, unpack_service)?,
            withdrawn: unpack(withdrawn.services, unpack_name)?,
        },
        routes: Edits {
            added: unpack(added.routes, unpack_route)?,
            changed: unpack(changed.routes, unpack_route)?,
            withdrawn: unpack(withdrawn.routes, unpack_name)?,
        },
    };
    let mut errors: Vec<NoteError> = Vec::new();
    note.sort_and_check(&mut errors);
    if let Some(error) = errors.first() {
        return Err(corrupt(&error.message));
    }
    if note.encode() != bytes {
        return Err(corrupt("the encoding is not canonical"));
    }
    Ok(note)
}

fn corrupt(what: impl std::fmt::Display) -> Error {
    Error::corrupt(format!("encoded note or configuration: {what}"))
}

fn unpack<M, T>(messages: Vec<M>, f: fn(M) -> Result<T>) -> Result<Vec<T>> {
    messages.into_iter().map(f).collect()
}

fn pack_names<T: Item>(edits: &Edits<T>) -> Vec<String> {
    edits
        .withdrawn
        .iter()
        .map(|n| n.value.to_string())
        .collect()
}

fn unpack_name<T: TryFrom<String, Error = Error>>(name: String) -> Result<Located<T>> {
    Ok(Located::without_location(name.try_into().map_err(corrupt)?))
}

fn unpack_rate(millis: Option<u64>) -> Result<Option<Rate>> {
    // Zero means no limit.
    let range = 0..=Rate::MAX_PER_SEC * 1_000;
    in_range(millis, range, "rate").map(|m| m.map(Rate::from_millis))
}

fn unpack_burst(burst: Option<u32>) -> Result<Option<Burst>> {
    in_range(burst, 0..=BURST_MAX, "burst").map(|b| b.map(Burst))
}

fn in_range<T: PartialOrd>(
    value: Option<T>,
    range: RangeInclusive<T>,
    name: &str,
) -> Result<Option<T>> {
    match value {
        Some(n) if !range.contains(&n) => Err(corrupt(format!("{name} out of range"))),
        n => Ok(n),
    }
}

fn pack_account(edit: &AccountEdit) -> AccountMessage {
    AccountMessage {
        name: edit.name.value.to_string(),
        rate_millis: edit.rate.map(Rate::as_millis),
        burst: edit.burst.map(|b| b.0),
        priority: edit.priority.map(u32::from),
    }
}

fn unpack_account(message: AccountMessage) -> Result<AccountEdit> {
    Ok(AccountEdit {
        name: unpack_name(message.name)?,
        rate: unpack_rate(message.rate_millis)?,
        burst: unpack_burst(message.burst)?,
        priority: unpack_priority(message.priority)?,
    })
}

fn unpack_priority(priority: Option<u32>) -> Result<Option<u8>> {
    let priority = in_range(priority, 0..=u8::MAX.into(), "priority")?;
    Ok(priority.map(|n| n as u8))
}

fn pack_key(edit: &KeyEdit) -> KeyMessage {
    KeyMessage {
        name: edit.name.value.to_string(),
        account: edit.account.as_ref().map(|a| a.value.to_string()),
        digest: edit.digest.as_ref().map(|d| d.value.as_bytes().to_vec()),
    }
}

fn unpack_key(message: KeyMessage) -> Result<KeyEdit> {
    let digest = message.digest.as_deref().map(unpack_digest);
    Ok(KeyEdit {
        name: unpack_name(message.name)?,
        account: message.account.map(unpack_name).transpose()?,
        digest: digest.transpose()?,
    })
}

fn unpack_digest(bytes: &[u8]) -> Result<Located<KeyDigest>> {
    let mut text = String::with_capacity(2 * bytes.len() + 7);
    text.push_str("sha256:");
    for byte in bytes {
        let digits = [byte >> 4, byte & 15].map(|n| char::from_digit(u32::from(n), 16));
        text.extend(digits.into_iter().flatten());
    }
    let digest = text.parse().map_err(corrupt)?;
    Ok(Located::without_location(digest))
}

fn pack_service(edit: &ServiceEdit) -> ServiceMessage {
    ServiceMessage {
        name: edit.name.value.to_string(),
        floor_percent: edit.floor.map(u32::from),
        open_rate_millis: edit.open_rate.map(Rate::as_millis),
        open_burst: edit.open_burst.map(|b| b.0),
    }
}

fn unpack_service(message: ServiceMessage) -> Result<ServiceEdit> {
    let floor = in_range(message.floor_percent, 0..=100, "floor")?;
    Ok(ServiceEdit {
        name: unpack_name(message.name)?,
        floor: floor.map(|n| n as u8),
        open_rate: unpack_rate(message.open_rate_millis)?,
        open_burst: unpack_burst(message.open_burst)?,
    })
}

fn pack_methods(methods: &Option<Vec<String>>) -> Option<MethodsMessage> {
    methods.clone().map(|methods| MethodsMessage { methods })
}

fn unpack_methods(message: Option<MethodsMessage>) -> Result<Option<Vec<String>>> {
    let Some(MethodsMessage { methods }) = message else {
        return Ok(None);
    };
    check_methods(&methods).map_err(corrupt)?;
    match methods.is_sorted_by(|a, b| a < b) {
        true => Ok(Some(methods)),
        false => Err(corrupt("methods are not sorted")),
    }
}

fn pack_route(edit: &RouteEdit) -> RouteMessage {
    RouteMessage {
        name: edit.name.value.to_string(),
        path: edit.path.as_ref().map(|p| p.value.clone()),
        methods: pack_methods(&edit.methods),
        service: edit.service.as_ref().map(|s| s.value.to_string()),
        open: edit.open,
        deadline_millis: edit.deadline.map(|d| d.as_millis() as u64),
        body_max_bytes: edit.body_max.map(|b| b.0),
        idempotent: pack_methods(&edit.idempotent),
        host: edit.host.clone(),
        split: edit.split.iter().flatten().map(pack_share).collect(),
        attempts: edit.attempts,
        priority: edit.priority.map(u32::from),
        objective_millis: edit.objective.map(|d| d.as_millis() as u64),
    }
}

fn pack_share(share: &Located<WeightedService>) -> ShareMessage {
    ShareMessage {
        service: share.value.service.to_string(),
        weight: share.value.weight,
    }
}

fn unpack_share(message: ShareMessage) -> Result<Located<WeightedService>> {
    Ok(Located::without_location(WeightedService {
        service: message.service.try_into().map_err(corrupt)?,
        weight: message.weight,
    }))
}

fn unpack_route(message: RouteMessage) -> Result<RouteEdit> {
    if let Some(path) = &message.path {
        check_path(path).map_err(corrupt)?;
    }
    let deadline = in_range(
        message.deadline_millis,
        1..=DEADLINE_MAX_SECS * 1_000,
        "deadline",
    )?;
    let body_max = in_range(message.body_max_bytes, 0..=BODY_MAX_BYTES, "body_max")?;
    Ok(RouteEdit {
        name: unpack_name(message.name)?,
        path: message.path.map(Located::without_location),
        methods: unpack_methods(message.methods)?,
        service: message.service.map(unpack_name).transpose()?,
        open: message.open,
        deadline: deadline.map(Duration::from_millis),
        body_max: body_max.map(ByteSize),
        idempotent: unpack_methods(message.idempotent)?,
        host: message.host,
        split: (!message.split.is_empty())
            .then(|| unpack(message.split, unpack_share))
            .transpose()?,
        attempts: message.attempts,
        priority: unpack_priority(message.priority)?,
        objective: message.objective_millis.map(Duration::from_millis),
    })
}

/// Returns edits that add every item of `items`.
pub(super) fn as_added<'a, T: Item + 'a>(items: impl Iterator<Item = &'a T>) -> Edits<T> {
    Edits {
        added: items.map(T::to_edit).collect(),
        changed: Vec::new(),
        withdrawn: Vec::new(),
    }
}
