//! Settings of a node process.

use std::net::SocketAddr;
use std::time::Duration;

use crate::drain::DrainTimes;
use crate::error::{Error, Result};
use crate::http::GuardLimits;
use crate::http::framing::HEADER_COUNT_MAX;
use crate::idempotency::RETENTION_MIN;
use crate::ids::ZoneName;
use crate::route::RetryLimits;
use crate::wire::Secret;

/// Settings of a node, checked by [`Settings::check`] before anything is opened.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the caller listener.
    pub caller_listen: SocketAddr,
    /// Address of the link listener, for other nodes and control processes.
    pub link_listen: SocketAddr,
    /// Address under which others reach the link listener, if it isn't the bound address.
    pub link_public: Option<SocketAddr>,
    /// Address of the admin listener, for targets on this VM and operators.
    pub admin_listen: SocketAddr,
    /// Permits an admin listener that is not on loopback.
    pub admin_public: bool,
    /// True if targets on this VM announce themselves on the admin listener.
    pub announce: bool,
    /// Link addresses of some or all control processes.
    pub control: Vec<SocketAddr>,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Secret of the fleet.
    pub secret: Secret,
    /// UDP address to which metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// Time during which a duplicate of a request with an idempotency key is refused; the same on
    /// every node.
    pub retention: Duration,
    /// Fleet-wide limits on retries; `None` for the default budget of each node.
    pub retries: Option<RetryLimits>,
    /// Limits on callers, links and targets.
    pub limits: Limits,
}

/// Limits on what one caller, link or target may use.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of headers of a request.
    pub header_count: usize,
    /// Maximum size of a request line with its headers.
    pub header_bytes: usize,
    /// Maximum number of caller connections.
    pub connections: usize,
    /// Time for a request line with its headers, from the first byte.
    pub header_time: Duration,
    /// Longest wait for more of a caller's body.
    pub body_time: Duration,
    /// Longest wait for more of a target's response body.
    pub response_time: Duration,
    /// Maximum size of a target's response body in bytes, so that one without an end doesn't take the
    /// links of two VMs for as long as its caller reads.
    pub response_bytes: u64,
    /// Longest time without progress in sending a response to a caller.
    pub write_time: Duration,
    /// Longest idle time between two requests on a connection.
    pub idle_time: Duration,
    /// Time for connecting to a target or another node.
    pub connect_time: Duration,
    /// Time during which a draining node still accepts requests.
    pub drain_grace: Duration,
    /// Longest time for requests in flight to finish; after it they are ended.
    pub drain_max: Duration,
    /// Time after that for responses that are on their way; after it they are broken off.
    pub drain_flush: Duration,
    /// Time after that for connections to close.
    pub drain_close: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            header_count: 100,
            header_bytes: 32 * 1024,
            connections: 20_000,
            header_time: Duration::from_secs(10),
            body_time: Duration::from_secs(20),
            response_time: Duration::from_secs(60),
            response_bytes: 1 << 30,
            write_time: Duration::from_secs(30),
            idle_time: Duration::from_secs(75),
            connect_time: Duration::from_secs(1),
            drain_grace: Duration::from_secs(2),
            drain_max: Duration::from_secs(600),
            drain_flush: Duration::from_millis(100),
            drain_close: Duration::from_millis(100),
        }
    }
}

impl Settings {
    /// Checks the settings as a whole.
    ///
    /// # Errors
    ///
    /// Fails if the admin listener is reachable from other VMs without permission, if there are
    /// too many control processes, if the retention is too short, or if a limit is zero.
    pub fn check(&self) -> Result<()> {
        if !self.admin_listen.ip().is_loopback() && !self.admin_public {
            return Err(Error::invalid(format!(
                "admin address {} is not on loopback",
                self.admin_listen
            )));
        }
        if self.control.len() > CONTROL_MAX {
            return Err(Error::invalid(format!(
                "at most {CONTROL_MAX} control addresses, not {}",
                self.control.len()
            )));
        }
        if self.retention < RETENTION_MIN {
            return Err(Error::invalid(format!(
                "retention must be at least {RETENTION_MIN:?}"
            )));
        }
        self.limits.check()
    }
}

/// Maximum number of control processes of a fleet.
const CONTROL_MAX: usize = 7;

/// Connect timeout within one site, some hundred times the latency between its zones.
///
/// A request that encounters a partition is sent to another node after this time.
const SITE_CONNECT_TIME: Duration = Duration::from_millis(300);

impl Limits {
    /// Returns the limits of a node within one site that is killed `grace` after its stop signal.
    pub fn for_grace(grace: Duration) -> Limits {
        let times = DrainTimes::for_grace(grace);
        Limits {
            connect_time: SITE_CONNECT_TIME,
            drain_grace: times.take,
            drain_max: times.end - times.take,
            drain_flush: times.flush - times.end,
            drain_close: times.close - times.flush,
            ..Limits::default()
        }
    }

    /// Returns the times of a drain.
    pub fn drain_times(&self) -> DrainTimes {
        let end = self.drain_grace + self.drain_max;
        let flush = end + self.drain_flush;
        DrainTimes {
            take: self.drain_grace,
            end,
            flush,
            close: flush + self.drain_close,
        }
    }

    /// Returns the limits on a connection of a caller.
    pub fn guard_limits(&self) -> GuardLimits {
        GuardLimits {
            header_count: self.header_count,
            header_bytes: self.header_bytes,
            header_time: self.header_time,
            write_time: self.write_time,
        }
    }

    fn check(&self) -> Result<()> {
        let times = [
            ("header time", self.header_time),
            ("body time", self.body_time),
            ("answer time", self.response_time),
            ("write time", self.write_time),
            ("idle time", self.idle_time),
            ("connect time", self.connect_time),
        ];
        let counts = [
            ("header count", self.header_count),
            ("header bytes", self.header_bytes),
            ("connections", self.connections),
        ];
        let zero_time = times.iter().find(|(_, t)| t.is_zero()).map(|(n, _)| n);
        if self.response_bytes == 0 {
            return Err(Error::invalid("response bytes must not be zero"));
        }
        let zero_count = counts.iter().find(|(_, c)| *c == 0).map(|(n, _)| n);
        if self.header_count > HEADER_COUNT_MAX {
            return Err(Error::invalid(format!(
                "header count must be at most {HEADER_COUNT_MAX}"
            )));
        }
        match zero_time.or(zero_count) {
            Some(name) => Err(Error::invalid(format!("{name} must not be zero"))),
            None => Ok(()),
        }
    }
}
