//! Counters, gauges and timers by `cadence`, sent as statsd lines and shown on the admin listener.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

use cadence::{BufferedUdpMetricSink, MetricSink, StatsdClient};

use crate::error::{Error, Result};
use crate::outcome::Reason;

/// Prefix of every metric.
pub const PREFIX: &str = "laburnum";

/// Totals by metric name and tags, as the admin listener shows them.
type Table = BTreeMap<String, f64>;

/// The metrics of one process; clones share their totals.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    table: Arc<Mutex<Table>>,
}

impl Metrics {
    /// Opens metrics that are kept in memory and, if `statsd` is given, sent there by UDP.
    ///
    /// # Errors
    ///
    /// Fails if the UDP socket can't be opened.
    pub fn open(statsd: Option<SocketAddr>) -> Result<Metrics> {
        let udp = statsd.map(open_udp).transpose()?;
        let table = Arc::new(Mutex::new(Table::new()));
        let sink = TableSink {
            table: table.clone(),
            udp,
        };
        Ok(Metrics {
            client: Arc::new(StatsdClient::from_sink(PREFIX, sink)),
            table,
        })
    }

    /// Returns the client for counters, gauges and timers.
    pub fn client(&self) -> &StatsdClient {
        &self.client
    }

    /// Counts a refusal by its reason.
    pub fn refused(&self, reason: Reason) {
        use cadence::prelude::*;
        self.client
            .count_with_tags("refused", 1)
            .with_tag("reason", reason.code())
            .send();
    }

    /// Counts a retry by the reason of the attempt that failed.
    pub fn retried(&self, reason: Reason) {
        use cadence::prelude::*;
        self.client
            .count_with_tags("retried", 1)
            .with_tag("reason", reason.code())
            .send();
    }

    /// Adds one to the counter `name`.
    pub fn count(&self, name: &str) {
        use cadence::prelude::*;
        self.client.count_with_tags(name, 1).send();
    }

    /// Sets the gauge `name`.
    pub fn gauge(&self, name: &str, value: u64) {
        use cadence::prelude::*;
        self.client.gauge_with_tags(name, value).send();
    }

    /// Returns all totals as lines of `name value`, sorted by name.
    pub fn render(&self) -> String {
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (name, value) in table.iter() {
            text.push_str(&format!("{name} {value}\n"));
        }
        text
    }
}

fn open_udp(addr: SocketAddr) -> Result<BufferedUdpMetricSink> {
    let local = if addr.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local).map_err(|e| Error::io("statsd socket", e))?;
    BufferedUdpMetricSink::from(addr, socket)
        .map_err(|e| Error::invalid(format!("statsd address {addr}: {e}")))
}

struct TableSink {
    table: Arc<Mutex<Table>>,
    udp: Option<BufferedUdpMetricSink>,
}

impl MetricSink for TableSink {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        if let Some(line) = Line::parse(metric) {
            let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
            let total = table.entry(line.name()).or_default();
            *total = if line.kind == "g" {
                line.value
            } else {
                *total + line.value
            };
        }
        match &self.udp {
            Some(udp) => udp.emit(metric),
            None => Ok(metric.len()),
        }
    }
}

/// One statsd line: `name:value|kind|#tags`.
struct Line<'a> {
    name: &'a str,
    value: f64,
    kind: &'a str,
    tags: &'a str,
}

impl<'a> Line<'a> {
    fn parse(text: &'a str) -> Option<Line<'a>> {
        let (name, rest) = text.split_once(':')?;
        let mut parts = rest.split('|');
        let value = parts.next()?.parse().ok()?;
        let kind = parts.next()?;
        let tags = parts.next().and_then(|t| t.strip_prefix('#')).unwrap_or("");
        Some(Line {
            name,
            value,
            kind,
            tags,
        })
    }

    fn name(&self) -> String {
        if self.tags.is_empty() {
            self.name.to_owned()
        } else {
            format!("{}{{{}}}", self.name, self.tags)
        }
    }
}
