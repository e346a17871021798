//! Counts what runs, so that a drain can wait for it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// A counter of running requests.
#[derive(Clone, Debug, Default)]
pub struct Flight {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    running: AtomicUsize,
    idle: Notify,
}

/// Counts one running request until it is dropped.
#[derive(Debug)]
pub struct Ticket {
    inner: Arc<Inner>,
}

impl Flight {
    /// Counts one more running request.
    pub fn enter(&self) -> Ticket {
        self.inner.running.fetch_add(1, Ordering::SeqCst);
        Ticket {
            inner: self.inner.clone(),
        }
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.inner.running.load(Ordering::SeqCst)
    }

    /// Waits until nothing runs.
    pub async fn idle(&self) {
        loop {
            let notified = self.inner.idle.notified();
            if self.running() == 0 {
                return;
            }
            notified.await;
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.inner.running.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.inner.idle.notify_waiters();
        }
    }
}
