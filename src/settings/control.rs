//! Settings of `laburnum-control`.

use std::path::PathBuf;

use argh::FromArgs;

use super::{Checker, DurationSetting, Errors};
use crate::control::{OFFLINE_TIME, Settings};

/// A control process: keeps the replicated log of release notes and sends it to the nodes.
#[derive(FromArgs, Clone, Debug, Default)]
#[argh(
    note = "Every option --some-name can also be given as LABURNUM_SOME_NAME.",
    error_code(0, "ended by SIGTERM or SIGINT"),
    error_code(1, "could not start, or failed while running"),
    error_code(2, "invalid options or settings; all errors are listed")
)]
pub struct ControlArgs {
    /// address for links from nodes and other control processes (required)
    #[argh(option)]
    pub link_listen: Option<String>,

    /// address for operators, probes and metrics (required)
    #[argh(option)]
    pub operator_listen: Option<String>,

    /// link addresses of the other control processes, separated by commas
    #[argh(option)]
    pub peers: Option<String>,

    /// data folder (required)
    #[argh(option)]
    pub data: Option<String>,

    /// file with the fleet secret (else LABURNUM_FLEET_SECRET)
    #[argh(option)]
    pub fleet_secret_file: Option<String>,

    /// file with the operator secret (else LABURNUM_OPERATOR_SECRET)
    #[argh(option)]
    pub operator_secret_file: Option<String>,

    /// time for which nodes confirm one another's configuration without the control processes; at
    /// least 3s (default 12h)
    #[argh(option)]
    pub offline_time: Option<String>,

    /// address for metrics as statsd lines by UDP
    #[argh(option)]
    pub statsd: Option<String>,

    /// log filter (default info)
    #[argh(option)]
    pub log: Option<String>,

    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
}

/// Validated settings of a control process.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Settings of the control process itself.
    pub control: Settings,
    /// The log filter.
    pub log: String,
}

impl ControlArgs {
    /// Validates the settings as a whole.
    ///
    /// # Errors
    ///
    /// Returns every validation error.
    pub fn check<E>(self, mut checker: Checker<E>) -> Result<ControlSettings, Errors>
    where
        E: Fn(&str) -> Option<String>,
    {
        let log = checker.default("log", self.log, "info".to_owned());
        let link = checker.required("link-listen", self.link_listen);
        let operator = checker.required("operator-listen", self.operator_listen);
        let peers = checker.list("peers", self.peers);
        let data_dir = checker.required::<PathBuf>("data", self.data);
        let fleet_secret = checker.secret("fleet-secret", self.fleet_secret_file);
        let operator_secret = checker.secret("operator-secret", self.operator_secret_file);
        let statsd = checker.optional("statsd", self.statsd);
        let offline = checker.default(
            "offline-time",
            self.offline_time,
            DurationSetting(OFFLINE_TIME),
        );
        let (Some(link), Some(operator), Some(data_dir), Some(fleet_secret), Some(operator_secret)) =
            (link, operator, data_dir, fleet_secret, operator_secret)
        else {
            return Err(checker.into_errors());
        };
        if fleet_secret == operator_secret {
            checker.reject("the fleet secret and the operator secret must differ");
        }
        let control = Settings {
            link,
            operator,
            peers,
            bootstrap: true,
            voters: 0,
            offline: offline.0,
            data_dir,
            fleet_secret,
            operator_secret,
            statsd,
        };
        for error in control.check() {
            checker.reject(error);
        }
        checker.finish().map(|()| ControlSettings { control, log })
    }
}
