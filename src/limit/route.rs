//! The nodes to which credit requests for a shard are sent.

use std::time::Duration;

use crate::ids::NodeId;
use crate::limit::{LEASE, Placement, REQUEST_TIMEOUT, Shard};
use crate::time::Time;

/// Number of times that the timeout of a credit request doubles while a lost owner is replaced, so
/// that it is at most 50 ms with [`REQUEST_TIMEOUT`].
const DOUBLINGS: u32 = 1;

/// Number of timeouts in a row, some 1 s, after which the timeout doubles further.
const TIMEOUTS_MANY: u32 = 20;

/// The same for a longer absence of an owner; the timeout is at most 800 ms then.
const DOUBLINGS_MAX: u32 = 5;

/// Number of timeouts in a row after which both candidates count as out of reach, so that another
/// node relays the requests.
const TIMEOUTS_OF_CANDIDATES: u32 = 4;

/// Where credit requests for a shard are sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Route {
    /// The owner according to another node.
    pub hint: Option<NodeId>,
    /// The node to try; the next one is tried after a timeout.
    candidate: Candidate,
    /// Number of timeouts of relays, which selects the next relay.
    relay_turn: u32,
    /// Credit requests without a response since the last grant.
    timeouts: u32,
    last_timeout: Time,
}

/// The node to which a credit request is sent while no other node has named the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Candidate {
    /// The probable owner.
    #[default]
    First,
    /// The node that would own the shard in its place, which may know the owner.
    Second,
    /// Any other node, as the paths to both may be cut.
    Relay,
}

impl Route {
    /// Returns the number of timeouts in a row, or zero if the last one is long past.
    fn timeouts(&self, now: Time) -> u32 {
        match now.since(self.last_timeout) < LEASE {
            true => self.timeouts,
            false => 0,
        }
    }

    /// Returns the time after which a credit request is sent again.
    pub fn request_timeout(&self, now: Time) -> Duration {
        let timeouts = self.timeouts(now);
        let doublings = match timeouts < TIMEOUTS_MANY {
            true => timeouts.min(DOUBLINGS),
            false => (DOUBLINGS + 1 + timeouts - TIMEOUTS_MANY).min(DOUBLINGS_MAX),
        };
        REQUEST_TIMEOUT * 2u32.pow(doublings)
    }

    /// Returns to the probable owner some time after the last timeout.
    pub fn expire_detour(&mut self, now: Time) {
        if now.since(self.last_timeout) >= LEASE {
            self.candidate = Candidate::First;
        }
    }

    /// Records a credit request without a response and selects the next node to try.
    pub fn record_timeout(&mut self, now: Time) {
        self.timeouts = self.timeouts(now).saturating_add(1);
        self.last_timeout = now;
        self.candidate = match (self.hint.take(), self.candidate) {
            (Some(_), Candidate::Relay) => Candidate::Relay,
            (Some(_), _) => Candidate::First,
            (None, Candidate::First) => Candidate::Second,
            (None, Candidate::Second) if self.timeouts >= TIMEOUTS_OF_CANDIDATES => {
                Candidate::Relay
            }
            (None, Candidate::Second | Candidate::Relay) => Candidate::First,
        };
        if self.candidate == Candidate::Relay {
            self.relay_turn = self.relay_turn.wrapping_add(1);
        }
    }

    /// Records a grant, which ends a series of timeouts.
    pub fn record_grant(&mut self) {
        self.timeouts = 0;
    }

    /// Returns true if the receiver of a credit request should relay it to the owner.
    pub fn needs_relay(&self, now: Time) -> bool {
        self.timeouts(now) > 0 || self.candidate != Candidate::First
    }

    /// Returns the node to which credit requests for `shard` are sent.
    pub fn node(&self, placement: &Placement, shard: Shard) -> Option<NodeId> {
        let [first, second] = placement.probable_owners(shard);
        let candidate = match self.candidate {
            Candidate::First => first,
            Candidate::Second => second,
            Candidate::Relay => placement.relay(shard, self.relay_turn),
        };
        self.hint
            .filter(|node| placement.is_live(*node))
            .or(candidate)
            .or(first)
    }
}
