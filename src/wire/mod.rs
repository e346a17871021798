//! Wire protocol between the processes of a fleet: authenticated links, frames and messages.
//!
//! A link is a TCP connection on which both sides have proved knowledge of the fleet secret. It then
//! carries either frames ([`Peer`], [`serve_frames`]) or HTTP/2 requests.

pub mod frame;
pub mod gossip;
mod handover;
pub mod idempotency;
pub mod limit;
pub mod link;
mod records;
pub mod registry;
pub mod replica;
pub mod rpc;
pub mod sync;
pub mod traffic;

pub use frame::{Channel, Frame, FrameCodec};
pub use idempotency::{IdempotencyRequest, IdempotencyResponse};
pub use limit::{LimitRequest, LimitResponse, RelayRequest};
pub use link::{Hello, Link, Protocol, Role, Secret, accept, connect};
pub use rpc::{Handler, Peer, serve_frames};
