//! Ages of statements as exchanged between nodes.

use std::cmp::Ordering;
use std::time::Duration;

use crate::units::Position;

/// The unit of an age; one byte covers 5 s.
pub const AGE_UNIT: Duration = Duration::from_millis(20);

/// The byte for a statement that is missing or too old to encode.
pub(super) const NONE: u8 = u8::MAX;

/// Ages of the sender's statements from all registered nodes.
///
/// An age means that the node held no entry after `position` at that time before the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProofAges {
    /// Position of the last entry that any of the nodes held.
    pub position: Position,
    /// Position of the registry that determines the order of the nodes.
    pub registry: Position,
    /// One byte for each registered node, in units of [`AGE_UNIT`]; 255 for none.
    pub bytes: Vec<u8>,
}

/// Encodes an age, rounded up.
pub(super) fn encode(age: Duration) -> u8 {
    let units = age.as_micros().div_ceil(AGE_UNIT.as_micros());
    u8::try_from(units).unwrap_or(NONE)
}

/// Encodes an age without an upper limit, rounded up; 255 is left out, since it stands for none.
pub(super) fn encode_long(age: Duration) -> u32 {
    let units = age.as_micros().div_ceil(AGE_UNIT.as_micros());
    let units = u32::try_from(units).unwrap_or(u32::MAX);
    match units < u32::from(NONE) {
        true => units,
        false => units.saturating_add(1),
    }
}

/// Decodes an age of [`encode_long`]; `None` if there is no statement.
pub(super) fn decode_long(units: u32) -> Option<Duration> {
    match units.cmp(&NONE.into()) {
        Ordering::Less => Some(AGE_UNIT * units),
        Ordering::Equal => None,
        Ordering::Greater => Some(AGE_UNIT * (units - 1)),
    }
}

/// Decodes an age; `None` if there is no statement.
pub(super) fn decode(byte: u8) -> Option<Duration> {
    (byte != NONE).then(|| AGE_UNIT * u32::from(byte))
}
