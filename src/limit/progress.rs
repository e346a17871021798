//! When the seats of earlier layouts follow a newer registry.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::limit::{Placement, stretch};
use crate::time::Time;
use crate::units::Position;

/// The registries that seats follow, as their ballots say.
///
/// A seat never returns to an earlier registry: its process only moves forward, and one that has
/// restarted votes again only once its registry is proved current. So seats that have moved need not
/// be there any more when a layout is dropped, and a fleet of which most nodes are replaced within
/// seconds keeps its owners.
#[derive(Clone, Debug, Default)]
pub struct VoterProgress {
    /// For each seat the registries that it said it follows, growing, and when that was heard first.
    voters: BTreeMap<SocketAddr, Vec<(Position, Time)>>,
}

impl VoterProgress {
    /// Takes in that `voter` said in a ballot, which arrives at `now`, that it follows `registry`.
    pub fn record(&mut self, now: Time, voter: SocketAddr, registry: Position) {
        let progress = self.voters.entry(voter).or_default();
        if progress.last().is_none_or(|(last, _)| *last < registry) {
            progress.push((registry, now));
        }
    }

    /// Returns the newest registry up to `accepted` that is settled by what the seats said, if it is
    /// newer than the last settled one.
    ///
    /// Only an accepted registry may be settled: a seat that restarts could otherwise be given an
    /// earlier one that still counts as current.
    pub fn newest_settled(
        &self,
        now: Time,
        placement: &Placement,
        accepted: Position,
    ) -> Option<Position> {
        // The seat counts its votes by its own clock.
        let vote = stretch(stretch(placement.longest_vote()));
        placement.newest_settled(accepted, |voter, position| {
            let progress = self.voters.get(&voter).into_iter().flatten();
            let mut later = progress.filter(|(registry, _)| *registry >= position);
            later
                .next()
                .is_some_and(|(_, heard)| now.since(*heard) > vote)
        })
    }

    /// Drops what is not needed any more with the layouts of `placement`.
    pub fn prune(&mut self, placement: &Placement) {
        self.voters.retain(|voter, progress| {
            progress.retain(|(registry, _)| *registry > placement.settled());
            placement.is_voter(*voter)
        });
    }
}
