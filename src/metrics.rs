//! Counters, gauges and timers, sent as statsd lines with `cadence` and served over HTTP.
//!
//! The HTTP endpoint serves the values of counters and gauges, and quantiles of the timers from
//! histograms.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, MetricSink, StatsdClient};
use hdrhistogram::Histogram;

use crate::error::{Error, Result};
use crate::outcome::Reason;

/// Prefix of all metric names.
pub const PREFIX: &str = "laburnum";

/// Largest duration in a histogram; longer ones are recorded as this value.
const TIME_MAX: Duration = Duration::from_secs(600);

/// Significant digits of a histogram; two keep each at some tens of kilobytes.
const TIME_DIGITS: u8 = 2;

/// Quantiles in the rendered metrics.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Values of counters and gauges by metric name and tags.
type Values = BTreeMap<String, f64>;

/// Histograms of durations by timer name.
type Histograms = Vec<(String, Histogram<u64>)>;

/// The metrics of one process; clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    values: Arc<Mutex<Values>>,
    /// Durations in microseconds, sorted by timer name.
    histograms: Arc<Mutex<Histograms>>,
}

impl Metrics {
    /// Creates metrics that are kept in memory and, if `statsd` is given, sent there by UDP.
    ///
    /// # Errors
    ///
    /// Fails if the UDP socket can't be opened.
    pub fn open(statsd: Option<SocketAddr>) -> Result<Metrics> {
        let udp = statsd.map(open_udp).transpose()?;
        let values = Arc::new(Mutex::new(Values::new()));
        let sink = ValuesSink {
            values: values.clone(),
            udp,
        };
        Ok(Metrics {
            client: Arc::new(StatsdClient::from_sink(PREFIX, sink)),
            values,
            histograms: Arc::default(),
        })
    }

    /// Returns the `cadence` client.
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

    /// Counts a retry by the failure reason of the previous attempt.
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

    /// Adds `amount` to the counter `name`.
    pub fn add(&self, name: &str, amount: u64) {
        use cadence::prelude::*;
        self.client.count_with_tags(name, amount).send();
    }

    /// Sets the gauge `name`.
    pub fn gauge(&self, name: &str, value: u64) {
        use cadence::prelude::*;
        self.client.gauge_with_tags(name, value).send();
    }

    /// Records a duration in the timer `name`.
    pub fn time(&self, name: &str, time: Duration) {
        use cadence::prelude::*;
        self.client.time_with_tags(name, time).send();
        let mut histograms = self
            .histograms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let at = match histograms.binary_search_by(|(n, _)| n.as_str().cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                let max = TIME_MAX.as_micros() as u64;
                let histogram = Histogram::new_with_max(max, TIME_DIGITS);
                let histogram = histogram.expect("the histogram bounds are valid");
                histograms.insert(at, (name.to_owned(), histogram));
                at
            }
        };
        histograms[at].1.saturating_record(time.as_micros() as u64);
    }

    /// Renders counters and gauges as lines of `name value`, sorted by name, followed by the
    /// quantiles, counts and sums of the timers in seconds.
    pub fn render(&self) -> String {
        let values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (name, value) in values.iter() {
            text.push_str(&format!("{name} {value}\n"));
        }
        drop(values);
        let histograms = self
            .histograms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (name, histogram) in histograms.iter() {
            text.push_str(&quantiles(name, histogram));
        }
        text
    }
}

fn quantiles(name: &str, histogram: &Histogram<u64>) -> String {
    let seconds = |micros: f64| micros / 1e6;
    let mut text = String::new();
    for q in QUANTILES {
        let value = seconds(histogram.value_at_quantile(q) as f64);
        text.push_str(&format!(
            "{PREFIX}.{name}.seconds{{quantile=\"{q}\"}} {value}\n"
        ));
    }
    let count = histogram.len();
    let sum = seconds(histogram.mean() * count as f64);
    text.push_str(&format!("{PREFIX}.{name}.seconds_count {count}\n"));
    text.push_str(&format!("{PREFIX}.{name}.seconds_sum {sum}\n"));
    text
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

struct ValuesSink {
    values: Arc<Mutex<Values>>,
    udp: Option<BufferedUdpMetricSink>,
}

impl MetricSink for ValuesSink {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        if let Some(line) = Line::parse(metric).filter(|line| line.kind != "ms") {
            let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
            let value = values.entry(line.name()).or_default();
            *value = if line.kind == "g" {
                line.value
            } else {
                *value + line.value
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
