//! Departures: the runs of targets that leave or have left.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::TargetName;
use crate::time::Time;

/// Time for which a departure is kept after the target last stated it; longer than any announcement
/// is delayed.
pub const DEPARTURE_TTL: Duration = Duration::from_secs(600);

/// Time for which a departure also covers earlier runs of its target.
///
/// It is shorter, because a clock that was set back gives a new run a lower number.
const EARLIER_RUN_TTL: Duration = Duration::from_secs(60);

/// Maximum number of departures that a node keeps; the oldest ones are dropped.
pub const DEPARTURES_MAX: usize = 4_096;

/// Time for which gossip announces a new departure, as long as that of a changed record.
pub const ANNOUNCE_PERIOD: Duration = Duration::from_millis(2_400);

/// Maximum number of departures in one message.
pub const DEPARTURES_PER_MESSAGE: usize = 64;

/// One run of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetRun {
    /// Link address of the node on the target's VM, the same for each process of the node.
    pub vm: SocketAddr,
    /// Name, unique on the VM.
    pub name: TargetName,
    /// Identifies the run.
    pub incarnation: u64,
}

/// The fact that a run of a target leaves, which never becomes false again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The run.
    pub run: TargetRun,
    /// Time since the target last stated it, by which the fact expires.
    pub age: Duration,
}

/// The departures that one node knows.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// Sorted by run.
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    run: TargetRun,
    stated: Time,
    /// Start of the time in which gossip announces the departure.
    announced: Time,
    /// True once another node is known to hold the departure.
    is_replicated: bool,
}

impl Entry {
    fn departure(&self, now: Time) -> Departure {
        Departure {
            run: self.run.clone(),
            age: now.since(self.stated),
        }
    }
}

impl Departures {
    /// Creates an empty table.
    pub fn new() -> Departures {
        Departures::default()
    }

    /// Returns the number of departures.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no departure is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns true if the run is known to leave or to have left, also as one before a later run that
    /// leaves.
    pub fn contains(&self, now: Time, run: &TargetRun) -> bool {
        let from = self.position(run).unwrap_or_else(|at| at);
        let is_same_target = |e: &&Entry| e.run.vm == run.vm && e.run.name == run.name;
        let mut later = self.entries[from..].iter().take_while(is_same_target);
        later.any(|e| e.run == *run || now.since(e.stated) < EARLIER_RUN_TTL)
    }

    /// Records what a target of this VM states; returns true if it is new.
    pub fn record(&mut self, now: Time, run: &TargetRun) -> bool {
        let is_new = self.find(run).is_none();
        let entry = self.entry(now, run);
        if now.since(entry.stated) > DEPARTURE_TTL / 2 {
            entry.announced = now;
        }
        entry.stated = now;
        self.prune(now);
        is_new
    }

    /// Merges what another node holds; returns true if any of it is new.
    pub fn merge(&mut self, now: Time, departures: &[Departure]) -> bool {
        let mut is_changed = false;
        for departure in departures.iter().filter(|d| d.age < DEPARTURE_TTL) {
            let stated = now - departure.age;
            let known = self.find(&departure.run).map(|entry| entry.stated);
            is_changed |= known.is_none();
            let entry = self.entry(now, &departure.run);
            entry.stated = known.map_or(stated, |known| known.max(stated));
            if known.is_none() {
                // An older departure has been announced to all nodes.
                entry.announced = stated;
            }
            entry.is_replicated = true;
        }
        self.prune(now);
        is_changed
    }

    /// Returns true if another node is known to hold the departure.
    pub fn is_replicated(&self, run: &TargetRun) -> bool {
        self.find(run).is_some_and(|entry| entry.is_replicated)
    }

    /// Records that another node holds the departure.
    pub fn set_replicated(&mut self, run: &TargetRun) {
        if let Ok(at) = self.position(run) {
            self.entries[at].is_replicated = true;
        }
    }

    /// Returns the departures that no other node is known to hold.
    pub fn unreplicated(&self, now: Time) -> Vec<Departure> {
        let entries = self.entries.iter().filter(|e| !e.is_replicated);
        self.list(entries, now)
    }

    /// Returns the departures that gossip announces now.
    pub fn recent(&self, now: Time) -> Vec<Departure> {
        let is_recent = |e: &&Entry| now.since(e.announced) < ANNOUNCE_PERIOD;
        self.list(self.entries.iter().filter(is_recent), now)
    }

    /// Returns the departures for a node that starts on `vm`: first those of its targets, then others,
    /// which it holds in place of the process before it.
    pub fn known_for(&self, now: Time, vm: SocketAddr) -> Vec<Departure> {
        let (mut known, mut others): (Vec<&Entry>, Vec<&Entry>) =
            self.entries.iter().partition(|e| e.run.vm == vm);
        let latest_first = |entry: &&Entry| std::cmp::Reverse(entry.stated);
        known.sort_by_key(latest_first);
        others.sort_by_key(latest_first);
        known.extend(others);
        known.truncate(DEPARTURES_PER_MESSAGE);
        known.into_iter().map(|e| e.departure(now)).collect()
    }

    /// Lists the latest of the given departures, as many as a message takes.
    fn list<'a>(&self, entries: impl Iterator<Item = &'a Entry>, now: Time) -> Vec<Departure> {
        let mut found: Vec<&Entry> = entries.collect();
        found.sort_by_key(|entry| std::cmp::Reverse(entry.stated));
        found.truncate(DEPARTURES_PER_MESSAGE);
        found.into_iter().map(|e| e.departure(now)).collect()
    }

    fn find(&self, run: &TargetRun) -> Option<&Entry> {
        self.position(run).ok().map(|at| &self.entries[at])
    }

    fn position(&self, run: &TargetRun) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.run.cmp(run))
    }

    fn entry(&mut self, now: Time, run: &TargetRun) -> &mut Entry {
        let at = match self.position(run) {
            Ok(at) => at,
            Err(at) => {
                let entry = Entry {
                    run: run.clone(),
                    stated: now,
                    announced: now,
                    is_replicated: false,
                };
                self.entries.insert(at, entry);
                at
            }
        };
        &mut self.entries[at]
    }

    /// Drops expired departures, and the oldest ones beyond the maximum number.
    fn prune(&mut self, now: Time) {
        self.entries.retain(|e| now.since(e.stated) < DEPARTURE_TTL);
        while self.entries.len() > DEPARTURES_MAX {
            let oldest = (0..self.entries.len()).min_by_key(|at| self.entries[*at].stated);
            self.entries.remove(oldest.expect("the table isn't empty"));
        }
    }
}
