//! Counts what runs, and says how far a drain has come.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// How far a drain has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// The node works.
    Stay,
    /// It still takes new work but says that it leaves.
    Leaving,
    /// It takes no new work.
    Gone,
}

/// A counter of running requests.
#[derive(Clone, Debug, Default)]
pub struct Flight {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    running: AtomicUsize,
    idle: Notify,
    step: AtomicU8,
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

    /// Returns how far a drain has come.
    ///
    /// A request is counted before it asks, so that a drain which has seen no request can't miss
    /// one that is still taken.
    pub fn step(&self) -> Step {
        match self.inner.step.load(Ordering::SeqCst) {
            0 => Step::Stay,
            1 => Step::Leaving,
            _ => Step::Gone,
        }
    }

    /// Goes on to `step`; returns false if the drain has come that far already.
    pub fn advance(&self, step: Step) -> bool {
        let step = step as u8;
        self.inner.step.fetch_max(step, Ordering::SeqCst) < step
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
