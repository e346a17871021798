//! One target as one ingress sees it.

use std::time::Duration;

use super::ejection::Record;
use super::kinds::KindBans;
use super::outlier::Exhibit;
use super::path::Path;
use crate::admission::{Load, WARM_UP};
use crate::fleet::{Health, TargetRecord, TargetState};
use crate::ids::{TargetId, ZoneName};
use crate::time::Time;

/// Evidence older than this no longer counts.
const EVIDENCE_LIFE: Duration = Duration::from_secs(150);

/// Weight of the newest report in the backlog of other ingresses.
const BACKLOG_GAIN: f64 = 0.3;

/// Extra cost of a target that fails every request, as a multiple of its expected wait.
const FAILURE_COST: f64 = 10.0;

/// Share of its usual work with which a cold target starts.
const COLD_SHARE: f64 = 0.1;

/// A target as one ingress sees it.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub id: TargetId,
    pub zone: ZoneName,
    pub record: TargetRecord,
    pub leaving: bool,
    pub standing: Record,
    pub path: Path,
    pub bans: KindBans,
    /// When the health was received.
    pub health_at: Time,
    cold_since: Time,
    /// Requests of other ingresses at the target, smoothed.
    backlog: f64,
    service: Option<Duration>,
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
            standing: Record::new(),
            path: Path::default(),
            bans: KindBans::default(),
            health_at: now,
            cold_since: now,
            backlog: 0.0,
            service: None,
        }
    }

    /// Takes over a newer record and keeps what this ingress learned itself.
    pub fn renew(&mut self, now: Time, zone: &ZoneName, record: &TargetRecord, leaving: bool) {
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

    /// Takes over the load, and perhaps the health, that came with an answer.
    pub fn observe(&mut self, now: Time, load: Load, health: Option<&Health>) {
        let present = f64::from(load.running + load.queued);
        let others = (present - f64::from(self.path.outstanding)).max(0.0);
        self.backlog += (others - self.backlog) * BACKLOG_GAIN;
        self.service = Some(load.service_time);
        if let Some(health) = health {
            self.record.health = health.clone();
            self.health_at = now;
        }
    }

    /// Returns true if the target accepts new work.
    pub fn is_open(&self) -> bool {
        !self.leaving && self.record.state != TargetState::Draining
    }

    /// Returns true if the target counts as capacity, apart from ejection.
    pub fn is_ready(&self) -> bool {
        !self.leaving && self.record.state == TargetState::Ready
    }

    pub fn slots(&self) -> f64 {
        f64::from(self.record.slots.0.max(1))
    }

    pub fn is_in_use(&self, now: Time) -> bool {
        self.is_open() && self.share(now) > 0.0
    }

    /// Returns the share of its usual work that the target gets.
    pub fn share(&self, now: Time) -> f64 {
        let cold = match self.record.state {
            TargetState::Cold => {
                let warmth = now.since(self.cold_since).as_secs_f64() / WARM_UP.as_secs_f64();
                (COLD_SHARE + (1.0 - COLD_SHARE) * warmth).min(1.0)
            }
            _ => 1.0,
        };
        cold * self.standing.share(now)
    }

    pub fn use_of_slots(&self) -> f64 {
        (f64::from(self.path.outstanding) + self.backlog) / self.slots()
    }

    /// Returns the expected cost of a request in seconds: wait, service and likely failure.
    pub fn cost(&self, usual: Duration) -> f64 {
        let service = self.service.unwrap_or(usual).as_secs_f64();
        let wait = self.use_of_slots() * service;
        let window = &self.record.health.recent;
        let failing = f64::from(window.bad()) / f64::from(window.requests.max(1));
        (wait + service) * (1.0 + FAILURE_COST * failing)
    }

    pub fn exhibit(&self, now: Time) -> Exhibit<'_> {
        if let Some(charge) = &self.standing.charge {
            return Exhibit {
                health: charge,
                use_recent: true,
                use_long: true,
                suspect: true,
                is_charge: true,
            };
        }
        let health = &self.record.health;
        let from = self.standing.fresh_from;
        let recent = self.health_at - health.recent.span() >= from;
        let long = self.health_at - health.long.span() >= from;
        let alive = now.since(self.health_at) < EVIDENCE_LIFE;
        Exhibit {
            health,
            use_recent: alive && recent,
            use_long: alive && long,
            suspect: self.standing.is_suspect(),
            is_charge: false,
        }
    }

    /// Returns true if the probes of the ejection that ends now went badly.
    pub fn probes_failed(&self, now: Time, usual: Duration) -> bool {
        let window = &self.record.health.recent;
        let is_new = self.health_at - window.span() >= self.standing.fresh_from;
        let failed = window.requests > 0 && window.bad() * 2 >= window.requests;
        self.path.is_bad(now, usual) || (is_new && failed)
    }
}
