//! One service as one ingress sees it.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::ejection::EjectionState;
use super::floor::{Capacity, Losses, floor_slots};
use super::outlier::{Cause, Exhibit, Finding, judge, usual_service};
use super::target::Target;
use super::{AttemptEvent, Event, PickArgs};
use crate::admission::Load;
use crate::fleet::Health;
use crate::ids::{TargetId, ZoneName};
use crate::time::Time;
use crate::units::Slots;

/// Floor of a service whose configuration is not known, in percent.
const DEFAULT_FLOOR: u8 = 50;

/// Time between reviews when nothing new is known.
const REVIEW: Duration = Duration::from_millis(100);

/// Longest use of a comparison when no evidence has changed; evidence also ages.
const JUDGE_GAP: Duration = Duration::from_secs(5);

/// Use of the slots from which requests spill over to other zones.
const SPILL_USE: f64 = 0.7;

/// Targets of the own zone that are asked for a free slot before those of other zones.
const NEAR_ASKED_MAX: usize = 2;

/// What a hop to another zone costs against a target in the own zone.
const ZONE_COST: Duration = Duration::from_millis(2);

/// Share of the idempotent requests that probe an ejected target.
///
/// A share of traffic, since a rate at each of 560 ingresses would be a flood at the target.
const PROBE_SHARE: f64 = 0.005;

/// Draws until a target with a reduced share is accepted; after them the next one is taken.
const DRAWS: usize = 8;

/// Power of the costs with which one of two targets is chosen.
const CHOICE_POWER: i32 = 4;

/// Service time that is assumed before anything is measured.
const ASSUMED_SERVICE: Duration = Duration::from_millis(25);

/// Severity must differ by this factor before an ejected target and a worse one change places.
const SWAP_FACTOR: f64 = 2.0;

/// The targets of one service and the decisions about them.
#[derive(Clone, Debug)]
pub(super) struct Service {
    floor: u8,
    /// Sorted by id.
    targets: Vec<Target>,
    losses: Losses,
    usual: Duration,
    next_review: Time,
    /// The last comparison of the targets, and when it was made; `None` once evidence is new.
    judged: Option<(Time, Vec<Finding>)>,
    near: Vec<usize>,
    all: Vec<usize>,
    ejected: Vec<usize>,
}

impl Service {
    pub fn new() -> Service {
        Service {
            floor: DEFAULT_FLOOR,
            targets: Vec::new(),
            losses: Losses::default(),
            usual: ASSUMED_SERVICE,
            next_review: Time::ZERO,
            judged: None,
            near: Vec::new(),
            all: Vec::new(),
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

    pub fn usual(&self) -> Duration {
        self.usual
    }

    /// Adds a target or renews the one with the same id.
    pub fn put(&mut self, now: Time, target: Target) {
        self.judged = None;
        self.losses.replaced(target.record.addr);
        match self.targets.binary_search_by(|t| t.id.cmp(&target.id)) {
            Ok(at) => {
                let old = &mut self.targets[at];
                old.renew(now, &target.zone, &target.record, target.leaving);
            }
            Err(at) => self.targets.insert(at, target),
        }
    }

    /// Removes a target; one that was neither draining nor leaving is remembered as lost.
    pub fn remove(&mut self, now: Time, id: &TargetId) {
        if let Ok(at) = self.targets.binary_search_by(|t| t.id.cmp(id)) {
            let target = self.targets.remove(at);
            self.judged = None;
            if target.is_open() {
                let record = &target.record;
                self.losses.add(now, record.addr, record.slots);
            }
        }
    }

    pub fn report(&mut self, now: Time, id: &TargetId, event: AttemptEvent) {
        let usual = self.usual;
        if let Ok(at) = self.targets.binary_search_by(|t| t.id.cmp(id)) {
            let path = &mut self.targets[at].path;
            path.report(now, event);
            if path.is_bad(now, usual) {
                self.next_review = self.next_review.min(now);
            }
        }
    }

    pub fn observe(&mut self, now: Time, id: &TargetId, load: Load, health: Option<&Health>) {
        if let Ok(at) = self.targets.binary_search_by(|t| t.id.cmp(id)) {
            self.targets[at].observe(now, load, health);
            if health.is_some() {
                self.judged = None;
            }
        }
    }

    /// Returns the capacity at `now`.
    pub fn capacity(&mut self, now: Time) -> Capacity {
        let slots = |keep: fn(&Target) -> bool| -> u32 {
            let kept = self.targets.iter().filter(|t| keep(t));
            kept.map(|t| t.record.slots.0).sum()
        };
        let announced = slots(|_| true) + self.losses.slots(now);
        Capacity {
            announced,
            healthy: slots(|t| t.is_ready() && t.standing.is_active()),
            floor: floor_slots(announced, self.floor),
        }
    }

    pub fn is_due(&self, now: Time) -> bool {
        now >= self.next_review
    }

    /// Judges the targets, keeps the floor and prepares the choice.
    pub fn review(&mut self, now: Time, zone: &ZoneName, events: &mut Vec<Event>) {
        self.next_review = now + REVIEW;
        self.advance(now, events);
        let findings = self.findings(now);
        self.acquit(&findings, events);
        self.eject(now, &findings, events);
        self.keep_floor(now, events);
        self.ban_kinds(now, events);
        self.prepare(now, zone);
    }

    /// Ends ejections and returns that are over.
    fn advance(&mut self, now: Time, events: &mut Vec<Event>) {
        let usual = self.usual;
        for target in &mut self.targets {
            if target.standing.is_due(now) {
                if target.probes_failed(now, usual) {
                    target.standing.prolong(now);
                } else {
                    target.standing.begin_return(now);
                }
                self.judged = None;
                target.path.restart();
            }
            if target.standing.advance(now) {
                events.push(Event::Returned(target.id.clone()));
                self.judged = None;
            }
        }
    }

    /// Compares the targets by what the egresses measured, then adds the paths of this ingress.
    fn findings(&mut self, now: Time) -> Vec<Finding> {
        let mut findings = self.judge(now);
        for (finding, target) in findings.iter_mut().zip(&self.targets) {
            if target.path.is_bad(now, self.usual) {
                finding.cause = Some(Cause::Path);
                finding.severity = 1.0;
            }
        }
        findings
    }

    /// Compares the targets, or returns the last comparison if nothing has changed since.
    fn judge(&mut self, now: Time) -> Vec<Finding> {
        match &self.judged {
            Some((at, findings)) if now.since(*at) < JUDGE_GAP => findings.clone(),
            _ => {
                let targets = self.targets.iter();
                let exhibits: Vec<Exhibit<'_>> = targets.map(|t| t.exhibit(now)).collect();
                let findings = judge(&exhibits);
                let healths = self.targets.iter().map(|t| &t.record.health);
                self.usual = usual_service(healths).unwrap_or(ASSUMED_SERVICE);
                self.judged = Some((now, findings.clone()));
                findings
            }
        }
    }

    /// Returns targets that no longer stand out, because the others have turned as bad.
    ///
    /// When a whole service turns bad, the reports arrive one after the other; the first ones look
    /// like outliers until the rest is known.
    fn acquit(&mut self, findings: &[Finding], events: &mut Vec<Event>) {
        for (target, finding) in self.targets.iter_mut().zip(findings) {
            if target.standing.charge.is_some() && finding.cause.is_none() {
                target.standing.acquit();
                self.judged = None;
                events.push(Event::Returned(target.id.clone()));
            }
        }
    }

    /// Ejects the worst targets as far as the floor allows.
    fn eject(&mut self, now: Time, findings: &[Finding], events: &mut Vec<Event>) {
        let mut accused: Vec<(usize, Cause, f64)> = (0..self.targets.len())
            .filter(|at| !self.targets[*at].standing.is_ejected())
            .filter_map(|at| Some((at, findings[at].cause?, findings[at].severity)))
            .collect();
        accused.sort_by(|a, b| b.2.total_cmp(&a.2));
        for (at, cause, severity) in accused {
            if !self.make_room(now, at, severity, events) {
                continue;
            }
            self.judged = None;
            let target = &mut self.targets[at];
            target.standing.eject(now, cause, severity);
            if cause != Cause::Path {
                target.standing.charge = Some(target.record.health.clone());
            }
            events.push(Event::Ejected {
                target: target.id.clone(),
                cause,
                severity,
            });
        }
    }

    /// Returns true if the target may be ejected, if need be after a less bad one has returned.
    fn make_room(&mut self, now: Time, at: usize, severity: f64, events: &mut Vec<Event>) -> bool {
        let target = &self.targets[at];
        let counts = target.is_ready() && target.standing.is_active();
        let slots = target.record.slots;
        let capacity = self.capacity(now);
        if !counts {
            return !capacity.is_short();
        }
        if capacity.can_spare(slots) {
            return true;
        }
        let Some(other) = self.least_bad() else {
            return false;
        };
        let mild = self.targets[other].standing.severity * SWAP_FACTOR < severity;
        let after = Capacity {
            healthy: capacity.healthy + self.targets[other].record.slots.0,
            ..capacity
        };
        if !mild || !after.can_spare(slots) {
            return false;
        }
        self.restore(other, events);
        true
    }

    /// Returns the least bad targets to rotation until the floor is kept.
    fn keep_floor(&mut self, now: Time, events: &mut Vec<Event>) {
        while self.capacity(now).is_short() {
            match self.least_bad() {
                Some(at) => self.restore(at, events),
                None => break,
            }
        }
    }

    /// Returns the target out of full rotation that would do least harm in it.
    fn least_bad(&self) -> Option<usize> {
        let out = |t: &Target| t.is_ready() && !t.standing.is_active();
        (0..self.targets.len())
            .filter(|at| out(&self.targets[*at]))
            .min_by(|a, b| {
                let (a, b) = (&self.targets[*a].standing, &self.targets[*b].standing);
                let by_standing = a.is_ejected().cmp(&b.is_ejected());
                by_standing.then(a.severity.total_cmp(&b.severity))
            })
    }

    fn restore(&mut self, at: usize, events: &mut Vec<Event>) {
        self.judged = None;
        let target = &mut self.targets[at];
        target.standing.restore();
        events.push(Event::KeptByFloor(target.id.clone()));
    }

    /// Keeps kinds of requests away from targets that fail only for them.
    fn ban_kinds(&mut self, now: Time, events: &mut Vec<Event>) {
        let worst_kind = |t: &Target| t.record.health.worst.as_ref().map(|w| w.kind.clone());
        let worst: Vec<Option<String>> = self.targets.iter().map(worst_kind).collect();
        for at in 0..self.targets.len() {
            let Some(kind) = &worst[at] else { continue };
            let same = worst.iter().filter(|w| w.as_ref() == Some(kind)).count();
            // A kind that fails at half of the targets fails by itself.
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

    /// Returns true if the floor is kept for `kind` without the target at `at`.
    fn can_ban(&mut self, now: Time, kind: &str, at: usize) -> bool {
        let mut capacity = self.capacity(now);
        let serves = |t: &Target| t.is_ready() && t.standing.is_active();
        let banned: u32 = self
            .targets
            .iter()
            .filter(|t| serves(t) && t.bans.contains(now, kind))
            .map(|t| t.record.slots.0)
            .sum();
        capacity.healthy = capacity.healthy.saturating_sub(banned);
        let target = &self.targets[at];
        let own = if serves(target) && !target.bans.contains(now, kind) {
            target.record.slots
        } else {
            Slots(0)
        };
        capacity.can_spare(own)
    }

    fn prepare(&mut self, now: Time, zone: &ZoneName) {
        let targets = &self.targets;
        let ids = 0..targets.len();
        self.all = ids.clone().filter(|i| targets[*i].is_in_use(now)).collect();
        self.near = self
            .all
            .iter()
            .copied()
            .filter(|i| targets[*i].zone == *zone)
            .collect();
        let out = |t: &Target| t.is_open() && t.standing.is_ejected();
        self.ejected = ids.filter(|i| out(&targets[*i])).collect();
    }

    /// Picks a target for a request.
    pub fn pick(&self, now: Time, request: &PickArgs<'_>, rng: &mut impl Rng) -> Option<TargetId> {
        if let Some(at) = self.probe(now, request, rng) {
            return Some(self.targets[at].id.clone());
        }
        let near = self.choose(now, &self.near, request, rng);
        let asks_near = request.fast_refusal && request.tried.len() < NEAR_ASKED_MAX;
        if let Some(at) = near
            && (asks_near || self.targets[at].use_of_slots() < SPILL_USE)
        {
            return Some(self.targets[at].id.clone());
        }
        let far = self.choose(now, &self.all, request, rng);
        let best = match (near, far) {
            (Some(a), Some(b)) => self.nearer(a, b),
            (a, b) => a.or(b).or_else(|| self.last_resort(request))?,
        };
        Some(self.targets[best].id.clone())
    }

    /// Returns an ejected target for a small share of the idempotent requests.
    fn probe(&self, now: Time, request: &PickArgs<'_>, rng: &mut impl Rng) -> Option<usize> {
        let may_probe = request.idempotent && request.tried.is_empty();
        if !may_probe || self.ejected.is_empty() {
            return None;
        }
        let share = PROBE_SHARE * self.ejected.len() as f64;
        let at = self.ejected[rng.random_range(0..self.ejected.len())];
        let is_due = self.targets[at].standing.is_probed(now);
        (is_due && rng.random_bool(share.min(1.0))).then_some(at)
    }

    /// Returns the better of two targets drawn at random.
    fn choose(
        &self,
        now: Time,
        among: &[usize],
        request: &PickArgs<'_>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let first = self.draw(now, among, request, None, rng)?;
        match self.draw(now, among, request, Some(first), rng) {
            Some(second) => Some(self.cheaper(first, second, rng)),
            None => Some(first),
        }
    }

    /// Draws a target that the request may go to, with the probability of its share.
    fn draw(
        &self,
        now: Time,
        among: &[usize],
        request: &PickArgs<'_>,
        besides: Option<usize>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let fits = |at: usize| {
            let target = &self.targets[at];
            Some(at) != besides
                && !request.tried.contains(&target.id)
                && !target.bans.contains(now, request.kind)
        };
        if among.is_empty() {
            return None;
        }
        let mut at = rng.random_range(0..among.len());
        for _ in 0..DRAWS {
            let share = self.targets[among[at]].share(now);
            if fits(among[at]) && (share >= 1.0 || rng.random_bool(share)) {
                return Some(among[at]);
            }
            at = rng.random_range(0..among.len());
        }
        let turned = among.iter().cycle().skip(at).take(among.len()).copied();
        let mut fitting = turned.filter(|i| fits(*i));
        let by_share = |a: &usize, b: &usize| {
            let (a, b) = (self.targets[*a].share(now), self.targets[*b].share(now));
            a.total_cmp(&b)
        };
        match besides {
            // A second choice with a reduced share would get more than its share.
            Some(_) => fitting.find(|i| self.targets[*i].share(now) >= 1.0),
            None => fitting.max_by(by_share),
        }
    }

    /// Returns the cheaper of two targets most of the time.
    ///
    /// If the dearer one were never taken, small differences would starve it at low load, and it
    /// would not be measured.
    fn cheaper(&self, a: usize, b: usize, rng: &mut impl Rng) -> usize {
        let weight = |at: usize| self.targets[at].cost(self.usual).powi(-CHOICE_POWER);
        let (first, second) = (weight(a), weight(b));
        let likely = first / (first + second);
        if rng.random_bool(likely.clamp(0.0, 1.0)) {
            a
        } else {
            b
        }
    }

    /// Returns `far` if it is cheaper than `near` in spite of the way to its zone.
    fn nearer(&self, near: usize, far: usize) -> usize {
        let cost = |at: usize| self.targets[at].cost(self.usual);
        if cost(far) + ZONE_COST.as_secs_f64() < cost(near) {
            far
        } else {
            near
        }
    }

    /// Returns an ejected or banned target if nothing else is left for a first attempt.
    fn last_resort(&self, request: &PickArgs<'_>) -> Option<usize> {
        if !request.tried.is_empty() {
            return None;
        }
        let usable = self.all.iter().chain(&self.ejected).copied();
        usable.min_by(|a, b| {
            let (a, b) = (&self.targets[*a].standing, &self.targets[*b].standing);
            a.severity.total_cmp(&b.severity)
        })
    }

    /// Returns the standing of a target.
    pub fn ejection_state(&self, id: &TargetId) -> Option<EjectionState> {
        let at = self.targets.binary_search_by(|t| t.id.cmp(id)).ok()?;
        Some(self.targets[at].standing.standing)
    }
}
