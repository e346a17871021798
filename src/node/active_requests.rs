//! Active requests by key, so that the withdrawal of a key cancels those that it should end.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::ids::{AccountName, KeyDigest};

/// Number of stripes, each with its own lock, so that requests with different keys rarely contend.
const STRIPE_COUNT: usize = 64;

/// Grace period of active requests after the withdrawal of their key has taken effect here.
///
/// A withdrawn key stops working within 5 s; this leaves 2 s for the change to reach every node and
/// half a second for the request to end.
const WITHDRAWN_GRACE: Duration = Duration::from_millis(2_500);

/// Grace period of active requests after the freshness proof has expired, which is then 3 s old.
const STALE_GRACE: Duration = Duration::from_millis(1_500);

/// The active requests of a node.
#[derive(Debug)]
pub struct ActiveRequests {
    stripes: Vec<Mutex<Stripe>>,
    serial: AtomicU64,
}

type Stripe = HashMap<KeyDigest, Group>;

/// The active requests of one key under one account.
#[derive(Debug)]
struct Group {
    account: AccountName,
    count: usize,
    serial: u64,
    token: CancellationToken,
    /// Time since which the key is known to be withdrawn.
    withdrawn: Option<Instant>,
    /// Time since which it is unknown whether the key is withdrawn.
    stale: Option<Instant>,
}

/// One active request; it is removed when this is dropped.
#[derive(Debug)]
pub struct ActiveRequest {
    active_requests: Arc<ActiveRequests>,
    digest: KeyDigest,
    serial: u64,
    token: CancellationToken,
}

impl ActiveRequests {
    /// Creates an empty table.
    pub fn new() -> Arc<ActiveRequests> {
        Arc::new(ActiveRequests {
            stripes: (0..STRIPE_COUNT).map(|_| Mutex::default()).collect(),
            serial: AtomicU64::new(0),
        })
    }

    /// Registers a request.
    ///
    /// The key must be checked against the configuration after this call. A change that comes after
    /// that check marks this request too.
    pub fn register(self: &Arc<Self>, digest: KeyDigest, account: &AccountName) -> ActiveRequest {
        let mut stripe = self.stripe(&digest);
        let group = stripe.entry(digest).or_insert_with(|| self.group(account));
        if group.account != *account || group.token.is_cancelled() {
            group.token.cancel();
            *group = self.group(account);
        }
        group.count += 1;
        ActiveRequest {
            active_requests: self.clone(),
            digest,
            serial: group.serial,
            token: group.token.clone(),
        }
    }

    /// Marks the keys that `is_valid` rejects as withdrawn.
    ///
    /// New requests with such a key are refused. [`ActiveRequests::expire`] cancels the active ones
    /// after a grace period, so that a target's work on a request that began with a valid key isn't
    /// wasted.
    pub fn mark_withdrawn(
        &self,
        now: Instant,
        is_valid: impl Fn(&KeyDigest, &AccountName) -> bool,
    ) {
        self.for_each(|digest, group| {
            group.withdrawn = match is_valid(digest, &group.account) {
                true => None,
                false => group.withdrawn.or(Some(now)),
            };
        });
    }

    /// Sets whether a withdrawal could be unknown to this node.
    pub fn set_stale(&self, now: Instant, is_stale: bool) {
        self.for_each(|_, group| group.stale = is_stale.then(|| group.stale.unwrap_or(now)));
    }

    /// Cancels the tokens of the requests whose grace period is over.
    ///
    /// The ingress decides what that ends: requests that haven't been dispatched, and responses that
    /// nothing else ends.
    pub fn expire(&self, now: Instant) {
        let is_over = |since: Option<Instant>, grace| since.is_some_and(|t| now >= t + grace);
        self.for_each(|_, group| {
            if is_over(group.withdrawn, WITHDRAWN_GRACE) || is_over(group.stale, STALE_GRACE) {
                group.token.cancel();
            }
        });
    }

    fn for_each(&self, mut change: impl FnMut(&KeyDigest, &mut Group)) {
        for stripe in &self.stripes {
            let mut stripe = stripe.lock().unwrap_or_else(PoisonError::into_inner);
            for (digest, group) in stripe.iter_mut() {
                change(digest, group);
            }
        }
    }

    fn group(&self, account: &AccountName) -> Group {
        Group {
            account: account.clone(),
            count: 0,
            serial: self.serial.fetch_add(1, Ordering::Relaxed),
            token: CancellationToken::new(),
            withdrawn: None,
            stale: None,
        }
    }

    fn stripe(&self, digest: &KeyDigest) -> MutexGuard<'_, Stripe> {
        let index = usize::from(digest.as_bytes()[0]) % STRIPE_COUNT;
        self.stripes[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl ActiveRequest {
    /// Returns the token that is cancelled when the key is withdrawn.
    pub fn token(&self) -> &CancellationToken {
        &self.token
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut stripe = self.active_requests.stripe(&self.digest);
        let Some(group) = stripe.get_mut(&self.digest) else {
            return;
        };
        // The group that replaced this request's group doesn't count it.
        if group.serial != self.serial {
            return;
        }
        group.count -= 1;
        if group.count == 0 {
            stripe.remove(&self.digest);
        }
    }
}
