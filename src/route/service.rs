//! The targets of one service at one ingress: their regular review, which ejects outliers, and the
//! choice of a target for each request.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::ejection::EjectionState;
use super::floor::{Capacity, Losses, floor_slots, total_slots};
use super::outlier::{Cause, Deviation, Observation, detect_outliers, typical_service_time};
use super::target::Target;
use super::{AttemptEvent, Choice, Event, PickArgs};
use crate::admission::Load;
use crate::fleet::Health;
use crate::ids::{TargetId, ZoneName};
use crate::outcome::Refusal;
use crate::time::Time;
use crate::units::Slots;

/// Floor in percent of a service whose configuration is not known.
const DEFAULT_FLOOR: u8 = 50;

/// Time between regular reviews.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which an unchanged comparison is repeated, since observations age.
const COMPARISON_MAX_AGE: Duration = Duration::from_secs(5);

/// Utilization of the slots from which requests spill over to other zones.
const SPILLOVER_UTILIZATION: f64 = 0.7;

/// Targets of the local zone that are tried, whatever their load, before those of other zones.
const LOCAL_TRIES_MAX: usize = 2;

/// Extra cost of a target in another zone over one in the local zone.
const ZONE_COST: Duration = Duration::from_millis(2);

/// Share of the idempotent requests that probe one ejected target.
///
/// A fixed rate at each of 560 ingresses would overload the target.
const PROBE_SHARE: f64 = 0.005;

/// Random draws before a scan chooses among the eligible targets.
const DRAWS: usize = 8;

/// Exponent of the costs in the choice between two targets.
const CHOICE_POWER: i32 = 4;

/// Service time assumed before any is measured.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(25);

/// Minimum ratio of severities for an outlier to be ejected in place of a less severe one, which
/// then returns.
const SWAP_FACTOR: f64 = 2.0;

/// The targets of one service, with their ejections and the choice among them.
#[derive(Clone, Debug)]
pub(super) struct Service {
    floor: u8,
    /// Sorted by id.
    targets: Vec<Target>,
    losses: Losses,
    /// Typical service time.
    typical: Duration,
    next_review: Time,
    /// The last comparison of the targets and its time; `None` once there are new observations.
    comparison: Option<(Time, Vec<Deviation>)>,
    /// Usable targets in the zone of this ingress.
    local: Vec<usize>,
    /// Targets that receive requests.
    usable: Vec<usize>,
    ejected: Vec<usize>,
}

impl Service {
    pub fn new() -> Service {
        Service {
            floor: DEFAULT_FLOOR,
            targets: Vec::new(),
            losses: Losses::default(),
            typical: ASSUMED_SERVICE_TIME,
            next_review: Time::ZERO,
            comparison: None,
            local: Vec::new(),
            usable: Vec::new(),
            ejected: Vec::new(),
        }
    }

    pub fn set_floor(&mut self, percent: u8) {
        self.floor = percent.min(100);
        self.next_review = Time::ZERO;
    }

    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    pub fn typical_time(&self) -> Duration {
        self.typical
    }

    /// Adds a target or updates the one with the same id.
    pub fn put(&mut self, now: Time, target: Target) {
        self.comparison = None;
        self.losses.remove(target.record.addr);
        match self.targets.binary_search_by(|t| t.id.cmp(&target.id)) {
            Ok(at) => {
                let old = &mut self.targets[at];
                old.update(now, &target.zone, &target.record, target.leaving);
            }
            Err(at) => self.targets.insert(at, target),
        }
    }

    /// Removes a target; one that was neither draining nor leaving counts as lost.
    pub fn remove(&mut self, now: Time, id: &TargetId) {
        if let Ok(at) = self.targets.binary_search_by(|t| t.id.cmp(id)) {
            let target = self.targets.remove(at);
            self.comparison = None;
            if target.is_accepting() {
                let record = &target.record;
                self.losses.add(now, record.addr, record.slots);
            }
        }
    }

    pub fn report(&mut self, now: Time, id: &TargetId, event: AttemptEvent) {
        let typical = self.typical;
        if let Ok(at) = self.targets.binary_search_by(|t| t.id.cmp(id)) {
            let path = &mut self.targets[at].path;
            path.report(now, event);
            if path.is_failing(now, typical) {
                self.next_review = self.next_review.min(now);
            }
        }
    }

    pub fn observe(&mut self, now: Time, id: &TargetId, load: Load, health: Option<&Health>) {
        if let Ok(at) = self.targets.binary_search_by(|t| t.id.cmp(id)) {
            self.targets[at].observe(now, load, health);
            if health.is_some() {
                self.comparison = None;
            }
        }
    }

    pub fn refused(&mut self, now: Time, id: &TargetId, refusal: &Refusal) {
        if let Ok(at) = self.targets.binary_search_by(|t| t.id.cmp(id)) {
            self.targets[at].hold.record(now, refusal);
        }
    }

    pub fn served(&mut self, id: &TargetId) {
        if let Ok(at) = self.targets.binary_search_by(|t| t.id.cmp(id)) {
            self.targets[at].hold.clear();
        }
    }

    /// Returns the capacity at `now`.
    pub fn capacity(&mut self, now: Time) -> Capacity {
        let slots = |keep: fn(&Target) -> bool| -> u32 {
            let kept = self.targets.iter().filter(|t| keep(t));
            total_slots(kept.map(|t| t.record.slots))
        };
        let announced = slots(|_| true).saturating_add(self.losses.slots(now));
        Capacity {
            announced,
            healthy: slots(|t| t.is_ready() && t.ejection.is_active()),
            floor: floor_slots(announced, self.floor),
        }
    }

    pub fn is_due(&self, now: Time) -> bool {
        now >= self.next_review
    }

    /// Detects outliers, updates ejections within the floor and prepares the choice of targets.
    pub fn review(&mut self, now: Time, zone: &ZoneName, events: &mut Vec<Event>) {
        self.next_review = now + REVIEW_INTERVAL;
        self.advance(now, events);
        let deviations = self.deviations(now);
        self.revoke(&deviations, events);
        self.eject(now, &deviations, events);
        self.keep_floor(now, events);
        self.ban_kinds(now, events);
        self.index_targets(now, zone);
    }

    /// Ends the ejections and slow starts whose time has passed.
    fn advance(&mut self, now: Time, events: &mut Vec<Event>) {
        let typical = self.typical;
        for target in &mut self.targets {
            if target.ejection.is_due(now) {
                if target.probes_failed(now, typical) {
                    target.ejection.prolong(now);
                } else {
                    target.ejection.begin_slow_start(now);
                }
                self.comparison = None;
                target.path.reset();
            }
            if target.ejection.advance(now) {
                events.push(Event::Returned(target.id.clone()));
                self.comparison = None;
            }
        }
    }

    /// Compares the health of the targets, then adds the failures on paths from this ingress.
    fn deviations(&mut self, now: Time) -> Vec<Deviation> {
        let mut deviations = self.compare(now);
        for (deviation, target) in deviations.iter_mut().zip(&self.targets) {
            if target.path.is_failing(now, self.typical) {
                deviation.cause = Some(Cause::Path);
                deviation.severity = 1.0;
            }
        }
        deviations
    }

    /// Compares the health of the targets, or returns the last comparison if it still holds.
    fn compare(&mut self, now: Time) -> Vec<Deviation> {
        match &self.comparison {
            Some((at, deviations)) if now.since(*at) < COMPARISON_MAX_AGE => deviations.clone(),
            _ => {
                let targets = self.targets.iter();
                let observations: Vec<Observation<'_>> =
                    targets.map(|t| t.observation(now)).collect();
                let deviations = detect_outliers(&observations);
                let healths = self.targets.iter().map(|t| &t.record.health);
                self.typical = typical_service_time(healths).unwrap_or(ASSUMED_SERVICE_TIME);
                self.comparison = Some((now, deviations.clone()));
                deviations
            }
        }
    }

    /// Revokes the ejections of targets that are no longer outliers, since the others have become as
    /// bad.
    ///
    /// When a whole service fails, the health records arrive one by one, and the first ones look
    /// like outliers until the rest arrive.
    fn revoke(&mut self, deviations: &[Deviation], events: &mut Vec<Event>) {
        for (target, deviation) in self.targets.iter_mut().zip(deviations) {
            if target.ejection.trigger.is_some() && deviation.cause.is_none() {
                target.ejection.revoke();
                self.comparison = None;
                events.push(Event::Returned(target.id.clone()));
            }
        }
    }

    /// Ejects the worst outliers as far as the floor allows.
    fn eject(&mut self, now: Time, deviations: &[Deviation], events: &mut Vec<Event>) {
        let mut outliers: Vec<(usize, Cause, f64)> = (0..self.targets.len())
            .filter(|at| !self.targets[*at].ejection.is_ejected())
            .filter_map(|at| Some((at, deviations[at].cause?, deviations[at].severity)))
            .collect();
        outliers.sort_by(|a, b| b.2.total_cmp(&a.2));
        for (at, cause, severity) in outliers {
            if !self.ensure_capacity(now, at, severity, events) {
                continue;
            }
            self.comparison = None;
            let target = &mut self.targets[at];
            target.ejection.eject(now, cause, severity);
            if cause != Cause::Path {
                target.ejection.trigger = Some(target.record.health.clone());
            }
            events.push(Event::Ejected {
                target: target.id.clone(),
                cause,
                severity,
            });
        }
    }

    /// Returns true if the floor allows the ejection of the target at `at`; restores a less severe
    /// outlier if that is necessary.
    fn ensure_capacity(
        &mut self,
        now: Time,
        at: usize,
        severity: f64,
        events: &mut Vec<Event>,
    ) -> bool {
        let target = &self.targets[at];
        let counts = target.is_ready() && target.ejection.is_active();
        let slots = target.record.slots;
        let capacity = self.capacity(now);
        if !counts {
            return !capacity.is_below_floor();
        }
        if capacity.can_spare(slots) {
            return true;
        }
        let Some(other) = self.least_severe() else {
            return false;
        };
        let is_less_severe = self.targets[other].ejection.severity * SWAP_FACTOR < severity;
        let after = Capacity {
            healthy: capacity
                .healthy
                .saturating_add(self.targets[other].record.slots.0),
            ..capacity
        };
        if !is_less_severe || !after.can_spare(slots) {
            return false;
        }
        self.restore(other, events);
        true
    }

    /// Restores the least severe outliers until the floor is met.
    fn keep_floor(&mut self, now: Time, events: &mut Vec<Event>) {
        while self.capacity(now).is_below_floor() {
            match self.least_severe() {
                Some(at) => self.restore(at, events),
                None => break,
            }
        }
    }

    /// Returns the ready target outside full rotation that would do the least harm in it.
    fn least_severe(&self) -> Option<usize> {
        let out = |t: &Target| t.is_ready() && !t.ejection.is_active();
        (0..self.targets.len())
            .filter(|at| out(&self.targets[*at]))
            .min_by(|a, b| {
                let (a, b) = (&self.targets[*a].ejection, &self.targets[*b].ejection);
                let by_state = a.is_ejected().cmp(&b.is_ejected());
                by_state.then(a.severity.total_cmp(&b.severity))
            })
    }

    fn restore(&mut self, at: usize, events: &mut Vec<Event>) {
        self.comparison = None;
        let target = &mut self.targets[at];
        target.ejection.restore();
        events.push(Event::KeptByFloor(target.id.clone()));
    }

    /// Bans kinds of requests from targets that fail only for them.
    fn ban_kinds(&mut self, now: Time, events: &mut Vec<Event>) {
        let worst_kind = |t: &Target| t.record.health.worst.as_ref().map(|w| w.kind.clone());
        let worst: Vec<Option<String>> = self.targets.iter().map(worst_kind).collect();
        for at in 0..self.targets.len() {
            let Some(kind) = &worst[at] else { continue };
            let same = worst.iter().filter(|w| w.as_ref() == Some(kind)).count();
            // If a kind fails at half of the targets or more, no single target is at fault.
            let is_common = same * 2 >= self.targets.len();
            if is_common || !self.can_ban(now, kind, at) {
                continue;
            }
            let target = &mut self.targets[at];
            if target.bans.add(now, kind, target.health_at) {
                events.push(Event::KindAvoided {
                    target: target.id.clone(),
                    kind: kind.clone(),
                });
            }
        }
    }

    /// Returns true if `kind` still meets the floor without the target at `at`.
    fn can_ban(&mut self, now: Time, kind: &str, at: usize) -> bool {
        let mut capacity = self.capacity(now);
        let serves = |t: &Target| t.is_ready() && t.ejection.is_active();
        let is_banned = |t: &&Target| serves(t) && t.bans.contains(now, kind);
        let banned = self.targets.iter().filter(is_banned);
        let banned = total_slots(banned.map(|t| t.record.slots));
        capacity.healthy = capacity.healthy.saturating_sub(banned);
        let target = &self.targets[at];
        let own = if serves(target) && !target.bans.contains(now, kind) {
            target.record.slots
        } else {
            Slots(0)
        };
        capacity.can_spare(own)
    }

    fn index_targets(&mut self, now: Time, zone: &ZoneName) {
        let targets = &self.targets;
        let ids = 0..targets.len();
        self.usable = ids.clone().filter(|i| targets[*i].is_in_use(now)).collect();
        self.local = self
            .usable
            .iter()
            .copied()
            .filter(|i| targets[*i].zone == *zone)
            .collect();
        let out = |t: &Target| t.is_accepting() && t.ejection.is_ejected();
        self.ejected = ids.filter(|i| out(&targets[*i])).collect();
    }

    /// Picks a target by power of two choices, in the local zone while it has spare capacity.
    ///
    /// If every target is known to refuse requests now, it is the one that takes them again first.
    pub fn pick(&self, now: Time, args: &PickArgs<'_>, rng: &mut impl Rng) -> Option<Choice> {
        let choice = |at: usize, queue| Choice {
            target: self.targets[at].id.clone(),
            queue,
        };
        if let Some(at) = self.probe(now, args, rng) {
            return Some(choice(at, false));
        }
        let local = self.choose(now, &self.local, args, rng);
        let try_local = args.fast_refusal && args.tried.len() < LOCAL_TRIES_MAX;
        if let Some(at) = local
            && (try_local || self.targets[at].utilization() < SPILLOVER_UTILIZATION)
        {
            return Some(choice(at, false));
        }
        let any = self.choose(now, &self.usable, args, rng);
        let best = match (local, any) {
            (Some(a), Some(b)) => Some(self.prefer_local(a, b)),
            (a, b) => a.or(b),
        };
        if let Some(at) = best {
            return Some(choice(at, false));
        }
        let held = self.first_available(now, args);
        let queue = held.is_some_and(|at| self.targets[at].hold.may_queue(now));
        let at = held.or_else(|| self.last_resort(args))?;
        Some(choice(at, queue))
    }

    /// Returns the held target that takes requests again first, one where they may wait before the
    /// others.
    fn first_available(&self, now: Time, args: &PickArgs<'_>) -> Option<usize> {
        let may_serve = |at: &usize| self.may_serve(now, *at, args);
        self.usable
            .iter()
            .copied()
            .filter(may_serve)
            .min_by_key(|at| {
                let hold = &self.targets[*at].hold;
                (!hold.may_queue(now), hold.until())
            })
    }

    /// Returns true if the request has not tried the target, and its kind is not banned there.
    fn may_serve(&self, now: Time, at: usize, args: &PickArgs<'_>) -> bool {
        let target = &self.targets[at];
        !args.tried.contains(&target.id) && !target.bans.contains(now, args.kind)
    }

    /// Returns an ejected target to probe, for a small share of the idempotent requests.
    fn probe(&self, now: Time, args: &PickArgs<'_>, rng: &mut impl Rng) -> Option<usize> {
        let may_probe = args.idempotent && args.tried.is_empty();
        if !may_probe || self.ejected.is_empty() {
            return None;
        }
        let share = PROBE_SHARE * self.ejected.len() as f64;
        let at = self.ejected[rng.random_range(0..self.ejected.len())];
        let is_due = self.targets[at].ejection.is_probed(now);
        (is_due && rng.random_bool(share.min(1.0))).then_some(at)
    }

    /// Returns one of two targets drawn at random, usually the cheaper one.
    fn choose(
        &self,
        now: Time,
        among: &[usize],
        args: &PickArgs<'_>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let first = self.draw(now, among, args, None, rng)?;
        match self.draw(now, among, args, Some(first), rng) {
            Some(second) => Some(self.choose_weighted(first, second, rng)),
            None => Some(first),
        }
    }

    /// Draws an eligible target with a probability in proportion to its share.
    fn draw(
        &self,
        now: Time,
        among: &[usize],
        args: &PickArgs<'_>,
        except: Option<usize>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let eligible = |at: usize| {
            Some(at) != except
                && !self.targets[at].hold.is_active(now)
                && self.may_serve(now, at, args)
        };
        if among.is_empty() {
            return None;
        }
        let mut at = rng.random_range(0..among.len());
        for _ in 0..DRAWS {
            let share = self.targets[among[at]].share(now);
            if eligible(among[at]) && (share >= 1.0 || rng.random_bool(share)) {
                return Some(among[at]);
            }
            at = rng.random_range(0..among.len());
        }
        let rotated = among.iter().cycle().skip(at).take(among.len()).copied();
        let mut scan = rotated.filter(|i| eligible(*i));
        let by_share = |a: &usize, b: &usize| {
            let (a, b) = (self.targets[*a].share(now), self.targets[*b].share(now));
            a.total_cmp(&b)
        };
        match except {
            // A target with a reduced share would receive too much if it were a second choice.
            Some(_) => scan.find(|i| self.targets[*i].share(now) >= 1.0),
            None => scan.max_by(by_share),
        }
    }

    /// Chooses one of two targets at random, the cheaper one with the higher probability.
    ///
    /// If the costlier one were never chosen, small differences would starve it at low load, and
    /// its health would not be measured.
    fn choose_weighted(&self, a: usize, b: usize, rng: &mut impl Rng) -> usize {
        let weight = |at: usize| self.targets[at].cost(self.typical).powi(-CHOICE_POWER);
        let (first, second) = (weight(a), weight(b));
        let probability = first / (first + second);
        if rng.random_bool(probability.clamp(0.0, 1.0)) {
            a
        } else {
            b
        }
    }

    /// Returns `any` if it is cheaper than `local` by more than the cost of another zone.
    fn prefer_local(&self, local: usize, any: usize) -> usize {
        let cost = |at: usize| self.targets[at].cost(self.typical);
        if cost(any) + ZONE_COST.as_secs_f64() < cost(local) {
            any
        } else {
            local
        }
    }

    /// Returns the least severe target, even ejected or banned, if a first attempt has no other.
    fn last_resort(&self, args: &PickArgs<'_>) -> Option<usize> {
        if !args.tried.is_empty() {
            return None;
        }
        let candidates = self.usable.iter().chain(&self.ejected).copied();
        candidates.min_by(|a, b| {
            let (a, b) = (&self.targets[*a].ejection, &self.targets[*b].ejection);
            a.severity.total_cmp(&b.severity)
        })
    }

    /// Returns the ejection state of a target.
    pub fn ejection_state(&self, id: &TargetId) -> Option<EjectionState> {
        let at = self.targets.binary_search_by(|t| t.id.cmp(id)).ok()?;
        Some(self.targets[at].ejection.state)
    }
}
