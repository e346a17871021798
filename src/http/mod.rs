//! HTTP handling: request validation, headers, streaming bodies and refusal responses.

pub mod body;
pub mod chunks;
pub mod framing;
pub mod guard;
pub mod headers;
pub mod path;
pub mod refusal;

pub use body::{BodyError, Upload, UploadBuffer};
pub use guard::{FAULT_METHOD, GuardLimits, GuardedStream};
pub use headers::{strip_request, strip_response};
pub use refusal::refusal_response;
