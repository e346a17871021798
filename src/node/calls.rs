//! Calls that the targets on this VM make through the fleet while they run requests.
//!
//! A call carries no key and nothing of its own that a caller couldn't set, so the node tells calls
//! from other requests without a key by what it knows itself: a target on its VM runs a request.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time within which a target responds with an error after a call of its run has failed.
const FAILURE_AGE_MAX: Duration = Duration::from_millis(50);

/// The runs of the targets on this VM, with the calls that they make.
#[derive(Debug, Default)]
pub struct Calls {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    runs: usize,
    in_flight: usize,
    /// When calls failed whose run has not ended since.
    failed: VecDeque<Instant>,
}

/// A request that a target runs; it counts until this is dropped.
#[derive(Debug)]
pub struct RunGuard(Arc<Calls>);

/// A call in flight; it counts until this is dropped.
#[derive(Debug)]
pub struct CallGuard(Arc<Calls>);

impl Calls {
    /// Counts a request that a target on this VM starts to run.
    pub fn begin_run(self: &Arc<Self>) -> RunGuard {
        self.lock().runs += 1;
        RunGuard(self.clone())
    }

    /// Counts a request without a key as a call of a run, unless each run has one in flight.
    pub fn begin_call(self: &Arc<Self>) -> Option<CallGuard> {
        let mut state = self.lock();
        let is_call = state.in_flight < state.runs;
        state.in_flight += usize::from(is_call);
        is_call.then(|| CallGuard(self.clone()))
    }

    /// Returns true if a run that has just failed probably failed by one of its calls; each failed
    /// call explains one run.
    pub fn take_failure(&self) -> bool {
        let mut state = self.lock();
        state.failed.retain(|at| at.elapsed() <= FAILURE_AGE_MAX);
        state.failed.pop_front().is_some()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallGuard {
    /// Ends the call without success.
    pub fn fail(self) {
        let mut state = self.0.lock();
        // Only as many failures as there are runs can explain an error.
        if state.failed.len() >= state.runs {
            state.failed.pop_front();
        }
        state.failed.push_back(Instant::now());
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.lock().in_flight -= 1;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.lock().runs -= 1;
    }
}
