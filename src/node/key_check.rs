//! The check of a request's key just before its dispatch.

use std::sync::Arc;
use std::time::Duration;

use crate::ids::{AccountName, KeyDigest};
use crate::node::components::{ActiveConfig, Freshness};
use crate::outcome::{Reason, Refusal};

/// Longest time from the arrival of a request with a key to its dispatch for which the check of its
/// ingress holds.
const INGRESS_CHECK_MAX: Duration = Duration::from_millis(1_800);

/// Retry delay of refusals for a configuration that isn't proved current.
const RETRY_LATER: Duration = Duration::from_secs(1);

/// Checks that the key of a request can't have been withdrawn long before its dispatch.
///
/// The ingress checks the key and ends its requests when the key is withdrawn, but the ingress may
/// be paused or partitioned. The age of its freshness proof at sending and a short wait at the
/// egress together stay below the 5 s within which a withdrawn key stops working. After a longer
/// wait, the egress needs to find the key in its own configuration. After a pause of this process
/// its own proof has expired.
#[derive(Debug)]
pub struct KeyCheck<F> {
    config: Arc<ActiveConfig>,
    freshness: Arc<F>,
}

impl<F: Freshness> KeyCheck<F> {
    /// Creates a check against the configuration in force on this node.
    pub fn new(config: Arc<ActiveConfig>, freshness: Arc<F>) -> KeyCheck<F> {
        KeyCheck { config, freshness }
    }

    /// Checks the key with `digest` of `account` after a request has waited for `waited`; the digest
    /// is missing if the ingress has an older version. `was_known` is what [`KeyCheck::is_known`]
    /// returned when the request arrived.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a key that may have been withdrawn.
    pub fn check(
        &self,
        account: &AccountName,
        digest: Option<&KeyDigest>,
        waited: Duration,
        was_known: bool,
    ) -> Result<(), Refusal> {
        // A key that this node doesn't know yet may be new.
        let is_recent = waited <= INGRESS_CHECK_MAX && !was_known;
        if self.freshness.is_fresh() && (is_recent || self.is_known(account, digest)) {
            return Ok(());
        }
        Err(Refusal::after(Reason::StaleConfig, RETRY_LATER))
    }

    /// Waits until a key that was known is withdrawn in this node's configuration.
    pub async fn withdrawn(&self, account: &AccountName, digest: Option<&KeyDigest>) -> Refusal {
        let mut changes = self.config.changes();
        while self.is_known(account, digest) {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
        Refusal::after(Reason::StaleConfig, RETRY_LATER)
    }

    /// Returns true if this node's configuration has the key with `digest` for `account`.
    pub fn is_known(&self, account: &AccountName, digest: Option<&KeyDigest>) -> bool {
        let config = self.config.load();
        let holder = digest.and_then(|digest| config.as_ref()?.account_of(digest));
        holder.is_some_and(|holder| holder.name == *account)
    }
}
