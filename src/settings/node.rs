//! Settings of `laburnum-node`.

use std::net::SocketAddr;

use argh::FromArgs;

use super::{Checker, DurationSetting, Errors};
use crate::idempotency::RETENTION;
use crate::ids::ZoneName;
use crate::node::{Limits, Settings};

/// The node of a VM: accepts requests of callers and dispatches requests to the targets on its VM.
#[derive(FromArgs, Clone, Debug, Default)]
#[argh(
    note = "Every option --some-name can also be given as LABURNUM_SOME_NAME.",
    error_code(0, "ended by SIGTERM or SIGINT after a drain"),
    error_code(1, "could not start, or failed while running"),
    error_code(2, "invalid options or settings; all errors are listed")
)]
pub struct NodeArgs {
    /// address for callers (required)
    #[argh(option)]
    pub caller_listen: Option<String>,

    /// address for links from other nodes (required)
    #[argh(option)]
    pub link_listen: Option<String>,

    /// address that others use for links, if it is not --link-listen
    #[argh(option)]
    pub link_public: Option<String>,

    /// address for targets on this VM, probes and metrics (default 127.0.0.1:7202)
    #[argh(option)]
    pub admin_listen: Option<String>,

    /// allow an admin address that is not on loopback: true or false (default false)
    #[argh(option)]
    pub admin_public: Option<String>,

    /// link addresses of the control processes, separated by commas (required)
    #[argh(option)]
    pub controls: Option<String>,

    /// availability zone of this VM (required)
    #[argh(option)]
    pub zone: Option<String>,

    /// file with the fleet secret (else LABURNUM_FLEET_SECRET)
    #[argh(option)]
    pub fleet_secret_file: Option<String>,

    /// address for metrics as statsd lines by UDP
    #[argh(option)]
    pub statsd: Option<String>,

    /// log filter (default info)
    #[argh(option)]
    pub log: Option<String>,

    /// maximum number of headers of a request (default 100)
    #[argh(option)]
    pub header_count: Option<String>,

    /// maximum size of a request line with its headers in bytes (default 32768)
    #[argh(option)]
    pub header_bytes: Option<String>,
    /// maximum size of a target's response body in bytes (default 1073741824)
    #[argh(option)]
    pub response_bytes: Option<String>,

    /// maximum number of caller connections (default 20000)
    #[argh(option)]
    pub connections: Option<String>,

    /// time for a request line with its headers (default 10s)
    #[argh(option)]
    pub header_time: Option<String>,

    /// longest wait for more of a caller's body (default 20s)
    #[argh(option)]
    pub body_time: Option<String>,

    /// longest wait for more of a target's response body (default 60s)
    #[argh(option)]
    pub answer_time: Option<String>,

    /// longest time without progress in sending a response to a caller (default 30s)
    #[argh(option)]
    pub write_time: Option<String>,

    /// longest idle time between two requests on a connection (default 75s)
    #[argh(option)]
    pub idle_time: Option<String>,

    /// time for connecting to a target or another node (default 1s)
    #[argh(option)]
    pub connect_time: Option<String>,

    /// time during which a draining node still accepts requests (default 2s)
    #[argh(option)]
    pub drain_grace: Option<String>,

    /// longest time for requests in flight to finish; after it they are aborted (default 10m)
    #[argh(option)]
    pub drain_max: Option<String>,

    /// time during which a duplicate of a request with an idempotency key is refused; the same on
    /// every node, at least 30s (default 10m)
    #[argh(option)]
    pub retention: Option<String>,

    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
}

/// Validated settings of a node process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Settings of the node itself.
    pub node: Settings,
    /// The log filter.
    pub log: String,
}

impl NodeArgs {
    /// Validates the settings as a whole.
    ///
    /// # Errors
    ///
    /// Returns every validation error.
    pub fn check<E>(self, mut checker: Checker<E>) -> Result<NodeSettings, Errors>
    where
        E: Fn(&str) -> Option<String>,
    {
        let log = checker.default("log", self.log.clone(), "info".to_owned());
        let limits = self.limits(&mut checker);
        let DurationSetting(retention) = checker.default(
            "retention",
            self.retention.clone(),
            DurationSetting(RETENTION),
        );
        let admin: SocketAddr = ([127, 0, 0, 1], 7202).into();
        let caller = checker.required("caller-listen", self.caller_listen);
        let link = checker.required("link-listen", self.link_listen);
        let link_public = checker.optional("link-public", self.link_public);
        let admin_listen = checker.default("admin-listen", self.admin_listen, admin);
        let admin_public = checker.default("admin-public", self.admin_public, false);
        let controls = checker.list("controls", self.controls);
        if controls.is_empty() {
            checker.reject("--controls or LABURNUM_CONTROLS must name at least one address");
        }
        let zone = checker.required::<ZoneName>("zone", self.zone);
        let secret = checker.secret("fleet-secret", self.fleet_secret_file);
        let statsd = checker.optional("statsd", self.statsd);
        let (Some(caller), Some(link), Some(zone), Some(secret)) = (caller, link, zone, secret)
        else {
            return Err(checker.into_errors());
        };
        let node = Settings {
            caller_listen: caller,
            link_listen: link,
            link_public,
            admin_listen,
            admin_public,
            announce: true,
            control: controls,
            zone,
            secret,
            statsd,
            retention,
            retries: None,
            limits,
        };
        if let Err(e) = node.check() {
            checker.reject(e.to_string());
        }
        checker.finish().map(|()| NodeSettings { node, log })
    }

    fn limits<E>(&self, checker: &mut Checker<E>) -> Limits
    where
        E: Fn(&str) -> Option<String>,
    {
        let base = Limits::default();
        let mut duration = |name, flag: &Option<String>, default| {
            let DurationSetting(time) =
                checker.default(name, flag.clone(), DurationSetting(default));
            time
        };
        let mut limits = Limits {
            header_time: duration("header-time", &self.header_time, base.header_time),
            body_time: duration("body-time", &self.body_time, base.body_time),
            response_time: duration("answer-time", &self.answer_time, base.response_time),
            write_time: duration("write-time", &self.write_time, base.write_time),
            idle_time: duration("idle-time", &self.idle_time, base.idle_time),
            connect_time: duration("connect-time", &self.connect_time, base.connect_time),
            drain_grace: duration("drain-grace", &self.drain_grace, base.drain_grace),
            drain_max: duration("drain-max", &self.drain_max, base.drain_max),
            ..base
        };
        let mut count =
            |name, flag: &Option<String>, default| checker.default(name, flag.clone(), default);
        limits.header_count = count("header-count", &self.header_count, limits.header_count);
        limits.header_bytes = count("header-bytes", &self.header_bytes, limits.header_bytes);
        limits.connections = count("connections", &self.connections, limits.connections);
        limits.response_bytes = checker.default(
            "response-bytes",
            self.response_bytes.clone(),
            limits.response_bytes,
        );
        limits
    }
}
