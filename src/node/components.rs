//! Interfaces through which the request path asks for decisions.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::watch;

use crate::config::{Account, Config};
use crate::idempotency::{IdempotencyKey, RunResult};
use crate::ids::{AccountName, RequestId};
use crate::outcome::Refusal;

/// Proof that the configuration is current.
pub trait Freshness: Send + Sync + 'static {
    /// Returns true while keys may be honoured.
    fn is_fresh(&self) -> bool;
}

/// The rate limit of client accounts.
pub trait Admission: Send + Sync + 'static {
    /// Admits one request of `account` or refuses it; waits no longer than `deadline`.
    fn admit(
        &self,
        account: &Account,
        deadline: Duration,
    ) -> impl Future<Output = Result<(), Refusal>> + Send;
}

/// The record of idempotency keys.
pub trait Idempotency: Send + Sync + 'static {
    /// The right to run a request that is the first with its key.
    type Permit: Send + Sync;

    /// Claims `key` for `request`, or refuses a request that may be a repeat.
    ///
    /// Waits for a bounded time; a claim that is dropped meanwhile frees the key.
    fn claim(
        &self,
        account: &AccountName,
        key: &IdempotencyKey,
        request: RequestId,
    ) -> impl Future<Output = Result<Self::Permit, Refusal>> + Send;

    /// Returns true while the request may be handed over.
    fn is_valid(&self, permit: &Self::Permit) -> bool;

    /// Reports how the request ended.
    fn report(&self, permit: &Self::Permit, result: RunResult);
}

/// The configuration in force, with a signal at each change.
///
/// It is empty until the first configuration has arrived; requests are refused as `starting` then.
#[derive(Debug)]
pub struct ActiveConfig {
    current: ArcSwapOption<Config>,
    changes: watch::Sender<u64>,
}

impl ActiveConfig {
    /// Creates a config without configuration.
    pub fn new() -> ActiveConfig {
        ActiveConfig {
            current: ArcSwapOption::empty(),
            changes: watch::Sender::new(0),
        }
    }

    /// Puts `config` in force unless a later one is in force already.
    ///
    /// Two tasks that learn of changes at the same time may come here in the wrong order.
    pub fn store(&self, config: Config) {
        let number = config.number();
        let config = Arc::new(config);
        self.current.rcu(|current| match current {
            Some(current) if current.number() > number => Some(current.clone()),
            _ => Some(config.clone()),
        });
        self.changes.send_modify(|n| *n += 1);
    }

    /// Returns the configuration in force.
    pub fn load(&self) -> Option<Arc<Config>> {
        self.current.load_full()
    }

    /// Returns a receiver that is notified at each change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

impl Default for ActiveConfig {
    fn default() -> Self {
        ActiveConfig::new()
    }
}

/// What the request path of one node is built from.
pub struct Components<F, A, R> {
    /// The configuration, also written by the sync task.
    pub config: Arc<ActiveConfig>,
    /// Proof that the configuration is current.
    pub freshness: Arc<F>,
    /// The rate limit of client accounts.
    pub admission: Arc<A>,
    /// The record of idempotency keys.
    pub idempotency: Arc<R>,
}
