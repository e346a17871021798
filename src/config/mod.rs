//! Release notes and the configuration that they build.
//!
//! An operator submits a [`Note`]: a TOML file with a number and the accounts, keys, services and
//! routes that it adds, changes or withdraws. A [`Config`] is the result of applying all notes in
//! order. A note is applied completely or not at all, and every error has a line and a column.
//!
//! ```
//! use laburnumtide::config::{Config, Note};
//!
//! let text = r#"
//! number = 1
//! title = "First account"
//!
//! [[added.accounts]]
//! name = "bakery"
//! rate = "50/s"
//! burst = 100
//! "#;
//! let note = Note::parse(text).unwrap();
//! let mut config = Config::new();
//! config.apply(&note).unwrap();
//! assert!(config.account(&"bakery".parse().unwrap()).is_some());
//! ```

mod aggregate;
mod codec;
mod edit;
mod keys;
mod model;
mod note;
mod reader;
mod routes;
mod table;

pub use aggregate::Config;
pub use model::{ANY_METHOD, Account, Key, Route, RouteMatch, Service, WeightedService};
pub use note::{Note, NoteError, Replacement};

/// Largest number of client accounts; the planned size is 33,000.
pub const ACCOUNTS_MAX: usize = 40_000;

/// Largest number of keys: two for each account, so that any key can be rotated without a gap.
pub const KEYS_MAX: usize = 80_000;

/// Largest number of services; the planned size is 410.
pub const SERVICES_MAX: usize = 1_000;

/// Largest number of routes; the planned size is 4,500.
pub const ROUTES_MAX: usize = 5_000;

/// Largest size of a release note in bytes, as text and encoded.
pub const NOTE_MAX_BYTES: usize = 1 << 20;

/// Largest length of the title of a release note in bytes.
pub const TITLE_MAX_BYTES: usize = 200;

/// Largest length of the path prefix of a route in bytes.
pub const PATH_MAX_BYTES: usize = 256;

/// Largest number of segments in a path prefix; it bounds the number of lookups for one request.
pub const PATH_MAX_SEGMENTS: usize = 16;

/// Largest number of methods of a route.
pub const METHODS_MAX: usize = 16;

/// Largest length of a method in bytes.
pub const METHOD_MAX_BYTES: usize = 16;

/// Largest burst of an account or of a service's open routes.
pub const BURST_MAX: u32 = 10_000_000;

/// Largest request body that a route may allow, in bytes.
pub const BODY_MAX_BYTES: u64 = 1 << 30;

/// Largest deadline of a route in seconds.
pub const DEADLINE_MAX_SECS: u64 = 600;
