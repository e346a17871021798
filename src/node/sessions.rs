//! Open requests by key, so that a withdrawn key ends them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio_util::sync::CancellationToken;

use crate::ids::{AccountName, KeyDigest};

/// Number of shards, so that requests of different keys rarely wait for one lock.
const SHARD_COUNT: usize = 64;

/// The open requests of a node.
#[derive(Debug)]
pub struct Sessions {
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
}

/// One open request.
#[derive(Debug)]
pub struct Session {
    sessions: Arc<Sessions>,
    digest: KeyDigest,
    serial: u64,
    token: CancellationToken,
}

impl Sessions {
    /// Creates an empty table.
    pub fn new() -> Arc<Sessions> {
        Arc::new(Sessions {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
            serial: AtomicU64::new(0),
        })
    }

    /// Registers a request.
    ///
    /// The caller checks the key against the configuration after this call; a change that it does
    /// not see then is one whose sweep sees this request.
    pub fn enter(self: &Arc<Self>, digest: KeyDigest, account: &AccountName) -> Session {
        let mut shard = self.shard(&digest);
        let group = shard.entry(digest).or_insert_with(|| self.group(account));
        if group.account != *account || group.token.is_cancelled() {
            group.token.cancel();
            *group = self.group(account);
        }
        group.open += 1;
        Session {
            sessions: self.clone(),
            digest,
            serial: group.serial,
            token: group.token.clone(),
        }
    }

    /// Ends every request whose key `is_valid` rejects.
    pub fn sweep(&self, is_valid: impl Fn(&KeyDigest, &AccountName) -> bool) {
        for shard in &self.shards {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for (digest, group) in shard.iter() {
                if !is_valid(digest, &group.account) {
                    group.token.cancel();
                }
            }
        }
    }

    fn group(&self, account: &AccountName) -> Group {
        Group {
            account: account.clone(),
            open: 0,
            serial: self.serial.fetch_add(1, Ordering::Relaxed),
            token: CancellationToken::new(),
        }
    }

    fn shard(&self, digest: &KeyDigest) -> MutexGuard<'_, Shard> {
        let index = usize::from(digest.as_bytes()[0]) % SHARD_COUNT;
        self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Session {
    /// Returns the token that is cancelled when the key is withdrawn.
    pub fn token(&self) -> &CancellationToken {
        &self.token
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        let mut shard = self.sessions.shard(&self.digest);
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
