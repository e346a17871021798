//! Coordinates the claim of a key for one request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::idempotency::{
    Claim, ClaimResponse, ExistingClaim, IdempotencyKey, RetentionPolicy, RunReport, RunResult,
};
use crate::ids::{AccountName, NodeId, RequestId};
use crate::limit::{Placement, Shard};
use crate::outcome::FirstOutcome;
use crate::time::Time;

/// Collects the responses of the voters to one claim.
#[derive(Clone, Debug)]
pub struct ClaimCoordinator {
    claim: Claim,
    until: Time,
    /// Voters of the shard in each layout in force.
    sets: Vec<Vec<SocketAddr>>,
    /// The voters of all sets.
    voters: Vec<SocketAddr>,
    /// Responses by voter; `None` for an unreachable voter.
    responses: BTreeMap<SocketAddr, Option<ClaimResponse>>,
}

/// Permission to run a request that is the first with its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    claim: Claim,
    voters: Vec<SocketAddr>,
    until: Time,
}

/// The result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The request is the first with its key and may run.
    Run(Permit),
    /// An earlier request has claimed the key and has not ended.
    Running {
        /// The earlier request.
        request: RequestId,
        /// Its ingress.
        node: NodeId,
    },
    /// An earlier request has claimed the key and has ended.
    Ended {
        /// The earlier request.
        request: RequestId,
        /// How it ended.
        outcome: FirstOutcome,
    },
    /// Too few voters can decide.
    Unknown {
        /// Time after which they may be able to decide, if that is known.
        wait: Option<Duration>,
    },
}

impl Permit {
    /// Returns true while the request may be dispatched.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns the report of how the request ended, and the voters to which it is sent.
    pub fn report(&self, result: RunResult) -> (&[SocketAddr], RunReport) {
        (&self.voters, report_of(&self.claim, result))
    }
}

fn report_of(claim: &Claim, result: RunResult) -> RunReport {
    RunReport {
        request: claim.request,
        node: claim.node,
        account: claim.account.clone(),
        key: claim.key.clone(),
        result,
    }
}

impl ClaimCoordinator {
    /// Creates the claim of `request`, to be sent to each of [`ClaimCoordinator::voters`] at once.
    pub fn new(
        now: Time,
        policy: RetentionPolicy,
        placement: &Placement,
        account: &AccountName,
        key: &IdempotencyKey,
        request: RequestId,
    ) -> ClaimCoordinator {
        let shard = Shard::of(account);
        ClaimCoordinator {
            claim: Claim {
                node: placement.me(),
                request,
                layouts: placement.layouts(),
                account: account.clone(),
                key: key.clone(),
            },
            until: now + policy.permit_lifetime(),
            sets: placement.voter_sets(shard).map(<[_]>::to_vec).collect(),
            voters: placement.voters(shard),
            responses: BTreeMap::new(),
        }
    }

    /// Returns the claim to send.
    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Returns the voters to which the claim is sent.
    pub fn voters(&self) -> &[SocketAddr] {
        &self.voters
    }

    /// Returns the report to send to the voters if the request does not run.
    pub fn release(&self) -> RunReport {
        report_of(&self.claim, RunResult::NotRun)
    }

    /// Records a voter's response, or `None` if it is unreachable; only the first one counts.
    pub fn record_response(&mut self, voter: SocketAddr, response: Option<ClaimResponse>) {
        self.responses.entry(voter).or_insert(response);
    }

    /// Returns the result once no further response can change it.
    pub fn result(&self) -> Option<ClaimResult> {
        if self.is_new() {
            return Some(ClaimResult::Run(Permit {
                claim: self.claim.clone(),
                voters: self.voters.clone(),
                until: self.until,
            }));
        }
        let held = || self.responses.values().flatten().filter_map(held_of);
        if let Some((request, outcome)) = held().find_map(|h| Some((h.request, h.outcome?))) {
            return Some(ClaimResult::Ended { request, outcome });
        }
        if let Some(first) = held().find(|h| self.has_majority(h.request)) {
            let (request, node) = (first.request, first.node);
            return Some(ClaimResult::Running { request, node });
        }
        let may_be_new = self
            .sets
            .iter()
            .all(|set| self.may_reach_majority(set, |r| *r == ClaimResponse::New));
        let may_be_held = held().any(|h| {
            let is_same =
                |r: &ClaimResponse| held_of(r).is_some_and(|other| other.request == h.request);
            self.sets
                .iter()
                .any(|set| self.may_reach_majority(set, is_same))
        });
        let undecided = !self.sets.is_empty() && (may_be_new || may_be_held);
        (!undecided).then(|| self.result_at_timeout())
    }

    /// Returns the result if the missing responses never arrive.
    pub fn result_at_timeout(&self) -> ClaimResult {
        let wait = |response: &ClaimResponse| match response {
            ClaimResponse::Abstains { wait } => *wait,
            ClaimResponse::New | ClaimResponse::Held(_) => None,
        };
        let wait = self.responses.values().flatten().filter_map(wait).min();
        ClaimResult::Unknown { wait }
    }

    fn is_new(&self) -> bool {
        let is_new = |r: &ClaimResponse| *r == ClaimResponse::New;
        let has_majority = |set: &Vec<SocketAddr>| self.count(set, is_new) >= majority(set);
        !self.sets.is_empty() && self.sets.iter().all(has_majority)
    }

    /// Returns true if a majority of a set of voters has the record of `request`.
    ///
    /// A record on fewer voters may be left over from a claim that was itself refused.
    fn has_majority(&self, request: RequestId) -> bool {
        let is_held = |r: &ClaimResponse| held_of(r).is_some_and(|h| h.request == request);
        self.sets
            .iter()
            .any(|set| self.count(set, is_held) >= majority(set))
    }

    fn may_reach_majority(
        &self,
        set: &[SocketAddr],
        matches: impl Fn(&ClaimResponse) -> bool,
    ) -> bool {
        let missing = set
            .iter()
            .filter(|voter| !self.responses.contains_key(voter))
            .count();
        self.count(set, matches) + missing >= majority(set)
    }

    fn count(&self, set: &[SocketAddr], matches: impl Fn(&ClaimResponse) -> bool) -> usize {
        let responses = set
            .iter()
            .filter_map(|voter| self.responses.get(voter)?.as_ref());
        responses.filter(|response| matches(response)).count()
    }
}

fn majority(set: &[SocketAddr]) -> usize {
    set.len() / 2 + 1
}

fn held_of(response: &ClaimResponse) -> Option<&ExistingClaim> {
    match response {
        ClaimResponse::Held(held) => Some(held),
        ClaimResponse::New | ClaimResponse::Abstains { .. } => None,
    }
}
