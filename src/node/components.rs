//! The components that the request path is built from, as traits.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::watch;

use crate::config::{Account, Config};
use crate::idempotency::{IdempotencyKey, RunResult};
use crate::ids::{AccountName, RequestId};
use crate::outcome::Refusal;

/// The freshness proof of the configuration.
pub trait Freshness: Send + Sync + 'static {
    /// Returns true while the configuration is proven current, so that keys may be accepted.
    fn is_fresh(&self) -> bool;
}

/// The rate limit of client accounts.
pub trait RateLimiter: Send + Sync + 'static {
    /// Admits one request of `account` or refuses it; it waits for a token for about `token_wait`, and
    /// never longer than `max_wait`.
    fn admit(
        &self,
        account: &Account,
        token_wait: Duration,
        max_wait: Duration,
    ) -> impl Future<Output = Result<(), Refusal>> + Send;
}

/// The fleet-wide record of idempotency keys.
pub trait Idempotency: Send + Sync + 'static {
    /// The permission to run the first request with a key.
    type Permit: Send + Sync;

    /// Claims `key` for `request`, or refuses a request that may be a duplicate.
    ///
    /// Waits for a bounded time; dropping the future releases the key.
    fn claim(
        &self,
        account: &AccountName,
        key: &IdempotencyKey,
        request: RequestId,
    ) -> impl Future<Output = Result<Self::Permit, Refusal>> + Send;

    /// Returns true while the request may be dispatched.
    fn is_valid(&self, permit: &Self::Permit) -> bool;

    /// Reports the result of the request.
    fn report(&self, permit: &Self::Permit, result: RunResult);
}

/// The configuration in force, with a notification of each change.
///
/// It is empty until the first configuration has arrived; until then requests are refused as
/// `starting`.
#[derive(Debug)]
pub struct ActiveConfig {
    current: ArcSwapOption<Config>,
    changes: watch::Sender<u64>,
}

impl ActiveConfig {
    /// Creates an empty instance.
    pub fn new() -> ActiveConfig {
        ActiveConfig {
            current: ArcSwapOption::empty(),
            changes: watch::Sender::new(0),
        }
    }

    /// Puts `config` in force unless a later one already is.
    ///
    /// Concurrent tasks may call this in the wrong order.
    pub fn store(&self, config: Config) {
        let number = config.number();
        let config = Arc::new(config);
        self.current.rcu(|current| match current {
            Some(current) if current.number() > number => Some(current.clone()),
            _ => Some(config.clone()),
        });
        self.changes.send_modify(|n| *n += 1);
    }

    /// Returns the configuration in force, if there is one.
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

/// The components of the request path of a node.
pub struct Components<F, L, I> {
    /// The configuration in force, stored by the sync task.
    pub config: Arc<ActiveConfig>,
    /// The freshness proof of the configuration.
    pub freshness: Arc<F>,
    /// The rate limit of client accounts.
    pub rate_limiter: Arc<L>,
    /// The fleet-wide record of idempotency keys.
    pub idempotency: Arc<I>,
}
