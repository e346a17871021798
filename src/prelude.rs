//! The types that most modules use.

pub use crate::error::{Category, Error, Result};
pub use crate::ids::{
    AccountName, AttemptId, KeyDigest, KeyName, NodeId, ReplicaId, RequestId, RouteName,
    ServiceName, TargetId, TargetName, ZoneName,
};
pub use crate::outcome::{Outcome, Reason};
pub use crate::time::{Clock, Monotonic, Time};
pub use crate::units::{Burst, ByteSize, NoteNumber, Position, Rate, Slots, Term};
