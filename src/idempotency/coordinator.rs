//! The claim of a key for one request.

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

/// Collects the answers of the seats to one claim.
#[derive(Clone, Debug)]
pub struct ClaimCoordinator {
    claim: Claim,
    until: Time,
    sets: Vec<Vec<SocketAddr>>,
    voters: Vec<SocketAddr>,
    /// Answers by seat; none for a seat that can't be reached.
    responses: BTreeMap<SocketAddr, Option<ClaimResponse>>,
}

/// The right to run a request that is the first with its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    claim: Claim,
    voters: Vec<SocketAddr>,
    until: Time,
}

/// What the seats say of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// It is the first with its key and may run.
    Run(Permit),
    /// An earlier request holds the key and has not ended.
    Running {
        /// The earlier request.
        request: RequestId,
        /// Its ingress.
        node: NodeId,
    },
    /// An earlier request ended.
    Ended {
        /// The earlier request.
        request: RequestId,
        /// How it ended.
        end: FirstOutcome,
    },
    /// Too few seats can tell.
    Unknown {
        /// Time after which they may be able to, if that is known.
        wait: Option<Duration>,
    },
}

impl Permit {
    /// Returns true while the request may be handed over.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns the seats to tell how the request ended, and what to tell them.
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

    /// Returns the seats to ask.
    pub fn voters(&self) -> &[SocketAddr] {
        &self.voters
    }

    /// Returns what to tell the seats if the request does not run.
    pub fn release(&self) -> RunReport {
        report_of(&self.claim, RunResult::NotRun)
    }

    /// Books the answer of a seat, none if it can't be reached; the first answer counts.
    pub fn record_response(&mut self, voter: SocketAddr, response: Option<ClaimResponse>) {
        self.responses.entry(voter).or_insert(response);
    }

    /// Returns the verdict once no further answer can change it.
    pub fn result(&self) -> Option<ClaimResult> {
        if self.is_new() {
            return Some(ClaimResult::Run(Permit {
                claim: self.claim.clone(),
                voters: self.voters.clone(),
                until: self.until,
            }));
        }
        let held = || self.responses.values().flatten().filter_map(held_of);
        if let Some((request, end)) = held().find_map(|h| Some((h.request, h.end?))) {
            return Some(ClaimResult::Ended { request, end });
        }
        if let Some(first) = held().find(|h| self.has_majority(h.request)) {
            let (request, node) = (first.request, first.node);
            return Some(ClaimResult::Running { request, node });
        }
        let may_be_new = self
            .sets
            .iter()
            .all(|set| self.may_reach(set, |a| *a == ClaimResponse::New));
        let may_be_held = held().any(|h| {
            let is_same =
                |a: &ClaimResponse| held_of(a).is_some_and(|other| other.request == h.request);
            self.sets.iter().any(|set| self.may_reach(set, is_same))
        });
        let undecided = !self.sets.is_empty() && (may_be_new || may_be_held);
        (!undecided).then(|| self.result_at_timeout())
    }

    /// Returns the verdict if the answers that are missing don't come.
    pub fn result_at_timeout(&self) -> ClaimResult {
        let wait = |response: &ClaimResponse| match response {
            ClaimResponse::Abstains { wait } => *wait,
            ClaimResponse::New | ClaimResponse::Held(_) => None,
        };
        let wait = self.responses.values().flatten().filter_map(wait).min();
        ClaimResult::Unknown { wait }
    }

    fn is_new(&self) -> bool {
        let is_new = |a: &ClaimResponse| *a == ClaimResponse::New;
        let has_majority = |set: &Vec<SocketAddr>| self.count(set, is_new) >= majority(set);
        !self.sets.is_empty() && self.sets.iter().all(has_majority)
    }

    /// Returns true if a majority of a set holds the record of `request`.
    ///
    /// A record on fewer seats may be left over from a claim that was refused itself.
    fn has_majority(&self, request: RequestId) -> bool {
        let is_held = |a: &ClaimResponse| held_of(a).is_some_and(|h| h.request == request);
        self.sets
            .iter()
            .any(|set| self.count(set, is_held) >= majority(set))
    }

    fn may_reach(&self, set: &[SocketAddr], is_meant: impl Fn(&ClaimResponse) -> bool) -> bool {
        let missing = set
            .iter()
            .filter(|s| !self.responses.contains_key(s))
            .count();
        self.count(set, is_meant) + missing >= majority(set)
    }

    fn count(&self, set: &[SocketAddr], is_meant: impl Fn(&ClaimResponse) -> bool) -> usize {
        let responses = set
            .iter()
            .filter_map(|voter| self.responses.get(voter)?.as_ref());
        responses.filter(|response| is_meant(response)).count()
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
