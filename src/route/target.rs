//! The state that one ingress keeps about one target.

use std::time::Duration;

use super::ejection::Ejection;
use super::hold::Hold;
use super::kinds::KindBans;
use super::outlier::Observation;
use super::path::Path;
use crate::admission::{Load, WARM_UP};
use crate::fleet::{Health, TargetRecord, TargetState};
use crate::ids::{TargetId, ZoneName};
use crate::time::Time;

/// Health older than this is ignored in outlier detection.
const HEALTH_MAX_AGE: Duration = Duration::from_secs(150);

/// Weight of the newest report in the moving average of the backlog.
const BACKLOG_GAIN: f64 = 0.3;

/// Extra cost of a target that fails every request, as a multiple of the expected wait and service
/// time.
const FAILURE_COST: f64 = 10.0;

/// Shortest service time in the cost of a target, the resolution of a [`Load`]; costs are never zero.
const SERVICE_TIME_MIN: Duration = Duration::from_micros(1);

/// Share of its full load with which a cold target starts.
const INITIAL_SHARE: f64 = 0.1;

/// The state that one ingress keeps about one target.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub id: TargetId,
    pub zone: ZoneName,
    pub record: TargetRecord,
    pub leaving: bool,
    pub ejection: Ejection,
    pub path: Path,
    pub bans: KindBans,
    pub hold: Hold,
    /// When the health was received.
    pub health_at: Time,
    cold_since: Time,
    /// Moving average of the requests of other ingresses at the target.
    backlog: f64,
    service_time: Option<Duration>,
}

impl Target {
    pub fn new(
        now: Time,
        id: TargetId,
        zone: ZoneName,
        record: TargetRecord,
        leaving: bool,
    ) -> Target {
        Target {
            id,
            zone,
            record,
            leaving,
            ejection: Ejection::new(),
            path: Path::default(),
            bans: KindBans::default(),
            hold: Hold::default(),
            health_at: now,
            cold_since: now,
            backlog: 0.0,
            service_time: None,
        }
    }

    /// Applies a newer record and keeps the observations of this ingress.
    pub fn update(&mut self, now: Time, zone: &ZoneName, record: &TargetRecord, leaving: bool) {
        if self.record.health != record.health {
            self.health_at = now;
        }
        if self.record.state != TargetState::Cold && record.state == TargetState::Cold {
            self.cold_since = now;
        }
        self.zone = zone.clone();
        self.record = record.clone();
        self.leaving = leaving;
    }

    /// Records the load, and possibly the health, that came with a response.
    pub fn observe(&mut self, now: Time, load: Load, health: Option<&Health>) {
        let total = f64::from(load.running + load.queued);
        let others = (total - f64::from(self.path.outstanding)).max(0.0);
        self.backlog += (others - self.backlog) * BACKLOG_GAIN;
        self.service_time = Some(load.service_time);
        if let Some(health) = health {
            self.record.health = health.clone();
            self.health_at = now;
        }
    }

    /// Returns true if the target accepts new requests.
    pub fn is_accepting(&self) -> bool {
        !self.leaving && self.record.state != TargetState::Draining
    }

    /// Returns true if the target counts as capacity while it is not ejected.
    pub fn is_ready(&self) -> bool {
        !self.leaving && self.record.state == TargetState::Ready
    }

    pub fn slots(&self) -> f64 {
        f64::from(self.record.slots.0.max(1))
    }

    pub fn is_in_use(&self, now: Time) -> bool {
        self.is_accepting() && self.share(now) > 0.0
    }

    /// Returns the share of its full load that the target receives.
    pub fn share(&self, now: Time) -> f64 {
        let warm_up = match self.record.state {
            TargetState::Cold => {
                let done = now.since(self.cold_since).as_secs_f64() / WARM_UP.as_secs_f64();
                (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * done).min(1.0)
            }
            _ => 1.0,
        };
        warm_up * self.ejection.share(now)
    }

    pub fn utilization(&self) -> f64 {
        (f64::from(self.path.outstanding) + self.backlog) / self.slots()
    }

    /// Returns the expected cost of a request in seconds: wait and service time, raised by the
    /// failure rate.
    pub fn cost(&self, typical: Duration) -> f64 {
        let service_time = self.service_time.unwrap_or(typical).max(SERVICE_TIME_MIN);
        let service_time = service_time.as_secs_f64();
        let wait = self.utilization() * service_time;
        let window = &self.record.health.recent;
        let failure_rate = f64::from(window.errors()) / f64::from(window.requests.max(1));
        (wait + service_time) * (1.0 + FAILURE_COST * failure_rate)
    }

    /// Returns what outlier detection may use about the target.
    pub fn observation(&self, now: Time) -> Observation<'_> {
        if let Some(health) = &self.ejection.trigger {
            return Observation {
                health,
                use_recent: true,
                use_long: true,
                recently_ejected: true,
                is_trigger: true,
            };
        }
        let health = &self.record.health;
        let from = self.ejection.fresh_from;
        let recent = self.health_at - health.recent.span() >= from;
        let long = self.health_at - health.long.span() >= from;
        let current = now.since(self.health_at) < HEALTH_MAX_AGE;
        Observation {
            health,
            use_recent: current && recent,
            use_long: current && long,
            recently_ejected: self.ejection.in_slow_start(),
            is_trigger: false,
        }
    }

    /// Returns true if the path fails or at least half of the probes of the ending ejection failed.
    pub fn probes_failed(&self, now: Time, typical: Duration) -> bool {
        let window = &self.record.health.recent;
        let is_new = self.health_at - window.span() >= self.ejection.fresh_from;
        let failed = window.requests > 0 && window.errors() * 2 >= window.requests;
        self.path.is_failing(now, typical) || (is_new && failed)
    }
}
