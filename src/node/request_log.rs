//! The log lines of requests that end without a response of a target.

use std::fmt::Display;

use tokio::time::Instant;

use crate::ids::{AccountName, RequestId, RouteName};
use crate::metrics::Metrics;
use crate::outcome::Outcome;

/// Logs and counts a request that ends without a response of a target; one whose caller disconnected
/// is recorded when this is dropped.
pub(super) struct RequestLogGuard<'a> {
    pub id: RequestId,
    pub route: Option<RouteName>,
    pub account: Option<AccountName>,
    pub metrics: &'a Metrics,
    pub ended: bool,
    pub arrived: Instant,
}

impl<'a> RequestLogGuard<'a> {
    pub fn start(id: RequestId, metrics: &'a Metrics) -> RequestLogGuard<'a> {
        RequestLogGuard {
            id,
            route: None,
            account: None,
            metrics,
            ended: false,
            arrived: Instant::now(),
        }
    }

    pub fn log_refusal(&self, outcome: &Outcome) {
        let Some(reason) = outcome.reason() else {
            return;
        };
        self.metrics.refused(reason);
        let latency = self.arrived.elapsed();
        self.metrics.time("refusal", latency);
        let retry_ms = outcome.retry_after().map(|d| d.as_millis() as u64);
        log::info!(
            event = "refused", request:% = self.id, outcome = outcome.name(), reason:% = reason,
            route:% = label(&self.route), account:% = label(&self.account),
            ms = latency.as_millis() as u64, retry_ms;
            "request refused"
        );
    }
}

impl Drop for RequestLogGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.metrics.count("cancelled");
            log::info!(
                event = "cancelled", request:% = self.id, route:% = label(&self.route),
                account:% = label(&self.account),
                ms = self.arrived.elapsed().as_millis() as u64; "caller disconnected"
            );
        }
    }
}

/// Returns a name for log records; a dash if it is not known.
fn label<T: Display>(name: &Option<T>) -> String {
    name.as_ref().map_or_else(|| "-".to_owned(), T::to_string)
}
