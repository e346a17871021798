//! A proxy fleet for targets with gray failures: targets that look healthy while they fail.
//!
//! Every caller gets the complete response to its own request or a refusal that says whether the
//! request may have run. No client account can starve another, and operators configure the fleet
//! only through release notes. `docs/design.md` describes the architecture; the daemons in `src/bin`
//! only read their settings and start the library.
//!
//! A *node* runs on each VM with targets. A caller connects to any node, whose *ingress*
//! authenticates the request, checks the rate limit of its client account, picks a target and
//! forwards the request to the *egress* of the node on the target's VM. The egress waits for one of
//! the target's slots and dispatches the request. A few *control processes* replicate a log of
//! release notes and registered nodes with Raft. Nodes apply the log, and accept keys only while
//! they can prove that they have missed no accepted entry. They exchange freshness proofs and the
//! health of their targets by gossip.
//!
//! The modules with the decision logic take time, randomness and messages as arguments and use no
//! sockets, files or clocks: [`config`], [`replica`], [`fleet`], [`freshness`], [`limit`],
//! [`idempotency`], [`route`], [`admission`] and [`drain`].
//! The I/O layer connects them: [`storage`], [`wire`], [`http`], [`node`], [`control`] and [`ctl`].
//! Both use the types in [`error`], [`ids`], [`outcome`], [`time`] and [`units`]; the daemons also
//! use [`settings`], [`logging`] and [`metrics`].

pub mod admission;
pub mod config;
pub mod control;
pub mod ctl;
pub mod drain;
pub mod error;
pub mod fleet;
pub mod freshness;
pub mod http;
pub mod idempotency;
pub mod ids;
pub mod limit;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod outcome;
pub mod prelude;
pub mod replica;
pub mod route;
pub mod settings;
pub mod storage;
pub mod time;
pub mod units;
pub mod wire;

pub use config::{Config, Note};
pub use error::{Category, Error, Result};
pub use outcome::{Outcome, Reason, Refusal};
