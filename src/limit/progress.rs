//! Tracks which registry each voter has reached.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::limit::{Placement, stretch};
use crate::time::Time;
use crate::units::Position;

/// The registries that voters have reached, as reported in their votes.
///
/// A voter never returns to an earlier registry: a running process only applies later ones, and
/// after a restart it votes only once its registry is proved current. A voter's report therefore
/// remains valid after the voter has left the fleet, and a fleet that replaces most of its nodes
/// within seconds keeps its owners.
#[derive(Clone, Debug, Default)]
pub struct VoterProgress {
    /// For each voter the registries that it reported, in rising order, with the time of the first
    /// report.
    voters: BTreeMap<SocketAddr, Vec<(Position, Time)>>,
}

impl VoterProgress {
    /// Records a vote that arrives at `now` and states that `voter` has reached `registry`.
    pub fn record(&mut self, now: Time, voter: SocketAddr, registry: Position) {
        let progress = self.voters.entry(voter).or_default();
        if progress.last().is_none_or(|(last, _)| *last < registry) {
            progress.push((registry, now));
        }
    }

    /// Returns the newest registry up to `accepted` that the voters' reports show to be settled, if
    /// it is newer than the last settled one.
    ///
    /// Only an accepted registry may be settled: otherwise a restarted voter could get an earlier
    /// one that still counts as current.
    pub fn newest_settled(
        &self,
        now: Time,
        placement: &Placement,
        accepted: Position,
    ) -> Option<Position> {
        // The voter stretches the duration of its votes and measures it by its own clock.
        let vote = stretch(stretch(placement.longest_vote()));
        placement.newest_settled(accepted, |voter, position| {
            let progress = self.voters.get(&voter).into_iter().flatten();
            let mut later = progress.filter(|(registry, _)| *registry >= position);
            later
                .next()
                .is_some_and(|(_, reported)| now.since(*reported) > vote)
        })
    }

    /// Drops the reports that the layouts of `placement` no longer need.
    pub fn prune(&mut self, placement: &Placement) {
        self.voters.retain(|voter, progress| {
            progress.retain(|(registry, _)| *registry > placement.settled());
            placement.is_voter(*voter)
        });
    }
}
