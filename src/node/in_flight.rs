//! Tracking of requests in flight and of the stages of a drain.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Stage of a node's drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStage {
    /// The node is not draining.
    Serving,
    /// The node announces that it leaves but still accepts requests.
    Leaving,
    /// The node refuses new requests.
    Refusing,
}

/// A counter of requests in flight, shared with the drain stage of the node.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    running: AtomicUsize,
    idle: Notify,
    stage: AtomicU8,
    ended: CancellationToken,
}

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    inner: Arc<Inner>,
}

impl InFlight {
    /// Counts one more request in flight.
    pub fn enter(&self) -> InFlightGuard {
        self.inner.running.fetch_add(1, Ordering::SeqCst);
        InFlightGuard {
            inner: self.inner.clone(),
        }
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> usize {
        self.inner.running.load(Ordering::SeqCst)
    }

    /// Returns the stage of the drain.
    ///
    /// A request must enter before it checks the stage. Otherwise a drain that found no request in
    /// flight could miss one that is still accepted.
    pub fn stage(&self) -> DrainStage {
        match self.inner.stage.load(Ordering::SeqCst) {
            0 => DrainStage::Serving,
            1 => DrainStage::Leaving,
            _ => DrainStage::Refusing,
        }
    }

    /// Advances to `stage`; returns false if the drain had reached it before.
    pub fn advance(&self, stage: DrainStage) -> bool {
        let stage = stage as u8;
        self.inner.stage.fetch_max(stage, Ordering::SeqCst) < stage
    }

    /// Ends the requests that are still in flight at the limit of a drain.
    pub fn end_requests(&self) {
        self.inner.ended.cancel();
    }

    /// Waits until [`InFlight::end_requests`] is called.
    pub async fn ended(&self) {
        self.inner.ended.cancelled().await;
    }

    /// Waits until no request is in flight.
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
