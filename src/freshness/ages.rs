//! Ages of evidence in the form that nodes exchange.

use std::time::Duration;

use crate::units::Position;

/// The unit of an age; one byte then covers 5 s.
pub const AGE_UNIT: Duration = Duration::from_millis(20);

/// The byte for evidence that is missing or too old to state.
const NONE: u8 = u8::MAX;

/// How old the sender's evidence from each registered node is.
///
/// The ages say that a node held nothing after `position` that long before the sender answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProofAges {
    /// The last entry that any of the nodes held.
    pub position: Position,
    /// The position of the registry by whose order the nodes are listed.
    pub registry: Position,
    /// One byte for each registered node, in units of [`AGE_UNIT`]; 255 for none.
    pub bytes: Vec<u8>,
}

/// Encodes an age, rounded up.
pub(super) fn encode(age: Duration) -> u8 {
    let units = age.as_micros().div_ceil(AGE_UNIT.as_micros());
    u8::try_from(units).unwrap_or(NONE)
}

/// Decodes an age; `None` if there is no evidence.
pub(super) fn decode(byte: u8) -> Option<Duration> {
    (byte != NONE).then(|| AGE_UNIT * u32::from(byte))
}
