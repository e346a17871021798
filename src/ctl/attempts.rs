//! An account of attempts by their fate, from the logs of nodes.

use std::collections::BTreeMap;
use std::fmt;
use std::io::BufRead;

use serde::Serialize;

use crate::error::{Error, Result};

/// Attempts of one request above which they are counted together.
const ATTEMPTS_MAX: usize = 7;

/// How many attempts the requests in some logs took, and how the attempts ended.
///
/// Nodes log a sample of the attempts above a rate of requests, so the numbers of a busy node are
/// lower than its metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AttemptReport {
    /// Requests with an attempt.
    pub requests: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Requests by their number of attempts; the last one counts those with more, too.
    pub by_count: Vec<u64>,
    /// Responses of targets.
    pub responses: u64,
    /// Responses of targets with a server error.
    pub errors: u64,
    /// Attempts that egresses refused, by reason.
    pub refused: BTreeMap<String, RefusedAttempts>,
    /// Requests that ended without a response of a target, by reason.
    pub ended: BTreeMap<String, u64>,
}

/// The attempts that egresses refused for one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RefusedAttempts {
    /// Their number.
    pub attempts: u64,
    /// Those at a target with a free slot and no queue.
    pub with_slot: u64,
}

impl AttemptReport {
    /// Reads the lines of a log; those without an event are skipped.
    ///
    /// # Errors
    ///
    /// Fails if the log can't be read.
    pub fn read(log: impl BufRead) -> Result<AttemptReport> {
        let mut report = AttemptReport::default();
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for line in log.split(b'\n') {
            let line = line.map_err(|e| Error::io("read the log", e))?;
            report.add(&String::from_utf8_lossy(&line), &mut counts);
        }
        report.requests = counts.len() as u64;
        report.by_count = vec![0; ATTEMPTS_MAX];
        for count in counts.into_values() {
            report.by_count[count.min(ATTEMPTS_MAX) - 1] += 1;
        }
        Ok(report)
    }

    fn add(&mut self, line: &str, counts: &mut BTreeMap<String, usize>) {
        match value(line, "event") {
            Some("attempt") => {
                let request = value(line, "request").unwrap_or_default();
                self.attempts += 1;
                *counts.entry(request.to_owned()).or_default() += 1;
            }
            Some("target-responded") => {
                let status = value(line, "status").unwrap_or_default();
                self.responses += 1;
                self.errors += u64::from(status.starts_with('5'));
            }
            Some("egress-refused") => {
                let number = |name| value(line, name)?.parse::<u32>().ok();
                let reason = value(line, "reason").unwrap_or_default();
                let refused = self.refused.entry(reason.to_owned()).or_default();
                let is_free = number("running") < number("slots") && number("queued") == Some(0);
                refused.attempts += 1;
                refused.with_slot += u64::from(is_free);
            }
            Some("refused") => {
                let reason = value(line, "reason").unwrap_or_default();
                *self.ended.entry(reason.to_owned()).or_default() += 1;
            }
            _ => {}
        }
    }

    /// Returns the attempts that egresses refused.
    pub fn refused_attempts(&self) -> u64 {
        self.refused.values().map(|r| r.attempts).sum()
    }
}

impl fmt::Display for AttemptReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let refused = self.refused_attempts();
        let per_request = self.attempts as f64 / self.requests.max(1) as f64;
        let share = refused as f64 * 100.0 / self.attempts.max(1) as f64;
        writeln!(f, "requests            {:>8}", self.requests)?;
        writeln!(
            f,
            "attempts            {:>8}  {per_request:.2} a request",
            self.attempts
        )?;
        writeln!(
            f,
            "refused by egresses {refused:>8}  {share:.0} % of the attempts"
        )?;
        writeln!(
            f,
            "target responses    {:>8}  {} errors",
            self.responses, self.errors
        )?;
        writeln!(
            f,
            "requests by attempts, 1 to {ATTEMPTS_MAX} or more: {:?}",
            self.by_count
        )?;
        writeln!(
            f,
            "\nrefused attempts by reason, with those at a target with a free slot"
        )?;
        for (reason, count) in &self.refused {
            writeln!(
                f,
                "  {reason:<16} {:>8} {:>8}",
                count.attempts, count.with_slot
            )?;
        }
        writeln!(f, "\nrequests without a response of a target by reason")?;
        for (reason, count) in &self.ended {
            writeln!(f, "  {reason:<16} {count:>8}")?;
        }
        Ok(())
    }
}

/// Returns the value of a key in a line of key=value pairs, without quotes.
fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    let found = pairs.into_iter().find(|(name, _)| *name == key);
    found.map(|(_, value)| value.trim_matches('"'))
}
