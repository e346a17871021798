//! Open requests by key, so that a withdrawn key ends them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::ids::{AccountName, KeyDigest};

/// Number of shards, so that requests of different keys rarely wait for one lock.
const SHARD_COUNT: usize = 64;

/// Time for requests under way after the withdrawal of their key has come into force here.
///
/// A withdrawn key stops working within 5 s; this leaves 2 s for the change to reach every node and
/// half a second for the end of the request.
const WITHDRAWN_GRACE: Duration = Duration::from_millis(2_500);

/// Time for requests under way after the evidence has run out, which is 3 s old then.
const STALE_GRACE: Duration = Duration::from_millis(1_500);

/// The open requests of a node.
#[derive(Debug)]
pub struct ActiveRequests {
    shards: Vec<Mutex<Shard>>,
    serial: AtomicU64,
}

type Shard = HashMap<KeyDigest, Group>;

/// The open requests of one key under one account.
#[derive(Debug)]
struct Group {
    account: AccountName,
    open: usize,
    serial: u64,
    token: CancellationToken,
    /// Since when the key is known to be withdrawn.
    withdrawn: Option<Instant>,
    /// Since when it is unknown whether the key is withdrawn.
    stale: Option<Instant>,
}

/// One open request.
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
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
            serial: AtomicU64::new(0),
        })
    }

    /// Registers a request.
    ///
    /// The caller checks the key against the configuration after this call; a change that it does
    /// not see then is one whose sweep sees this request.
    pub fn enter(self: &Arc<Self>, digest: KeyDigest, account: &AccountName) -> ActiveRequest {
        let mut shard = self.shard(&digest);
        let group = shard.entry(digest).or_insert_with(|| self.group(account));
        if group.account != *account || group.token.is_cancelled() {
            group.token.cancel();
            *group = self.group(account);
        }
        group.open += 1;
        ActiveRequest {
            active_requests: self.clone(),
            digest,
            serial: group.serial,
            token: group.token.clone(),
        }
    }

    /// Takes in that the keys that `is_valid` rejects are withdrawn.
    ///
    /// New requests are refused from now on. Those that are under way are ended by
    /// [`ActiveRequests::expire`] after a grace, so that a target does not work in vain on what began with
    /// a good key.
    pub fn withdraw(&self, now: Instant, is_valid: impl Fn(&KeyDigest, &AccountName) -> bool) {
        self.each(|digest, group| {
            group.withdrawn = match is_valid(digest, &group.account) {
                true => None,
                false => group.withdrawn.or(Some(now)),
            };
        });
    }

    /// Takes in whether a withdrawal could be unknown to this node.
    pub fn set_stale(&self, now: Instant, is_stale: bool) {
        self.each(|_, group| group.stale = is_stale.then(|| group.stale.unwrap_or(now)));
    }

    /// Ends the requests whose grace is over.
    pub fn expire(&self, now: Instant) {
        let is_over = |since: Option<Instant>, grace| since.is_some_and(|t| now >= t + grace);
        self.each(|_, group| {
            if is_over(group.withdrawn, WITHDRAWN_GRACE) || is_over(group.stale, STALE_GRACE) {
                group.token.cancel();
            }
        });
    }

    fn each(&self, mut change: impl FnMut(&KeyDigest, &mut Group)) {
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for (digest, group) in shard.iter_mut() {
                change(digest, group);
            }
        }
    }

    fn group(&self, account: &AccountName) -> Group {
        Group {
            account: account.clone(),
            open: 0,
            serial: self.serial.fetch_add(1, Ordering::Relaxed),
            token: CancellationToken::new(),
            withdrawn: None,
            stale: None,
        }
    }

    fn shard(&self, digest: &KeyDigest) -> MutexGuard<'_, Shard> {
        let index = usize::from(digest.as_bytes()[0]) % SHARD_COUNT;
        self.shards[index]
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
        let mut shard = self.active_requests.shard(&self.digest);
        let Some(group) = shard.get_mut(&self.digest) else {
            return;
        };
        // A replaced group counts only its own requests.
        if group.serial != self.serial {
            return;
        }
        group.open -= 1;
        if group.open == 0 {
            shard.remove(&self.digest);
        }
    }
}
