//! Counts what runs, and says how far a drain has come.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// How far a drain has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStage {
    /// The node works.
    Serving,
    /// It still takes new work but says that it leaves.
    Leaving,
    /// It takes no new work.
    Refusing,
}

/// A counter of running requests.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    running: AtomicUsize,
    idle: Notify,
    stage: AtomicU8,
}

/// Counts one running request until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    inner: Arc<Inner>,
}

impl InFlight {
    /// Counts one more running request.
    pub fn enter(&self) -> InFlightGuard {
        self.inner.running.fetch_add(1, Ordering::SeqCst);
        InFlightGuard {
            inner: self.inner.clone(),
        }
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.inner.running.load(Ordering::SeqCst)
    }

    /// Returns how far a drain has come.
    ///
    /// A request is counted before it asks, so that a drain which has seen no request can't miss
    /// one that is still taken.
    pub fn stage(&self) -> DrainStage {
        match self.inner.stage.load(Ordering::SeqCst) {
            0 => DrainStage::Serving,
            1 => DrainStage::Leaving,
            _ => DrainStage::Refusing,
        }
    }

    /// Goes on to `stage`; returns false if the drain has come that far already.
    pub fn advance(&self, stage: DrainStage) -> bool {
        let stage = stage as u8;
        self.inner.stage.fetch_max(stage, Ordering::SeqCst) < stage
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

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.inner.running.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.inner.idle.notify_waiters();
        }
    }
}
