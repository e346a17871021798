//! The claim of a key for one request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{AccountName, NodeId, RequestId};
use crate::limit::{Placement, Shard};
use crate::outcome::FirstOutcome;
use crate::repeat::{Answer, Claim, End, Ending, Held, IdempotencyKey, Terms};
use crate::time::Time;

/// Collects the answers of the seats to one claim.
#[derive(Clone, Debug)]
pub struct Claimant {
    claim: Claim,
    until: Time,
    sets: Vec<Vec<SocketAddr>>,
    seats: Vec<SocketAddr>,
    /// Answers by seat; none for a seat that can't be reached.
    answers: BTreeMap<SocketAddr, Option<Answer>>,
}

/// The right to run a request that is the first with its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    claim: Claim,
    seats: Vec<SocketAddr>,
    until: Time,
}

/// What the seats say of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
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
    pub fn end(&self, ending: Ending) -> (&[SocketAddr], End) {
        (&self.seats, end_of(&self.claim, ending))
    }
}

fn end_of(claim: &Claim, ending: Ending) -> End {
    End {
        request: claim.request,
        node: claim.node,
        account: claim.account.clone(),
        key: claim.key.clone(),
        ending,
    }
}

impl Claimant {
    /// Creates the claim of `request`, to be sent to each of [`Claimant::seats`] at once.
    pub fn new(
        now: Time,
        terms: Terms,
        placement: &Placement,
        account: &AccountName,
        key: &IdempotencyKey,
        request: RequestId,
    ) -> Claimant {
        let shard = Shard::of(account);
        Claimant {
            claim: Claim {
                node: placement.me(),
                request,
                layouts: placement.layouts(),
                account: account.clone(),
                key: key.clone(),
            },
            until: now + terms.permit(),
            sets: placement.seat_sets(shard).map(<[_]>::to_vec).collect(),
            seats: placement.seats(shard),
            answers: BTreeMap::new(),
        }
    }

    /// Returns the claim to send.
    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Returns the seats to ask.
    pub fn seats(&self) -> &[SocketAddr] {
        &self.seats
    }

    /// Returns what to tell the seats if the request does not run.
    pub fn release(&self) -> End {
        end_of(&self.claim, Ending::NotRun)
    }

    /// Books the answer of a seat, none if it can't be reached; the first answer counts.
    pub fn hear(&mut self, seat: SocketAddr, answer: Option<Answer>) {
        self.answers.entry(seat).or_insert(answer);
    }

    /// Returns the verdict once no further answer can change it.
    pub fn verdict(&self) -> Option<Verdict> {
        if self.is_new() {
            return Some(Verdict::Run(Permit {
                claim: self.claim.clone(),
                seats: self.seats.clone(),
                until: self.until,
            }));
        }
        let held = || self.answers.values().flatten().filter_map(held_of);
        if let Some((request, end)) = held().find_map(|h| Some((h.request, h.end?))) {
            return Some(Verdict::Ended { request, end });
        }
        if let Some(first) = held().find(|h| self.has_majority(h.request)) {
            let (request, node) = (first.request, first.node);
            return Some(Verdict::Running { request, node });
        }
        let may_be_new = self
            .sets
            .iter()
            .all(|set| self.may_reach(set, |a| *a == Answer::New));
        let may_be_held = held().any(|h| {
            let is_same = |a: &Answer| held_of(a).is_some_and(|other| other.request == h.request);
            self.sets.iter().any(|set| self.may_reach(set, is_same))
        });
        let undecided = !self.sets.is_empty() && (may_be_new || may_be_held);
        (!undecided).then(|| self.give_up())
    }

    /// Returns the verdict if the answers that are missing don't come.
    pub fn give_up(&self) -> Verdict {
        let wait = |answer: &Answer| match answer {
            Answer::Abstains { wait } => *wait,
            Answer::New | Answer::Held(_) => None,
        };
        let wait = self.answers.values().flatten().filter_map(wait).min();
        Verdict::Unknown { wait }
    }

    fn is_new(&self) -> bool {
        let is_new = |a: &Answer| *a == Answer::New;
        let has_majority = |set: &Vec<SocketAddr>| self.count(set, is_new) >= majority(set);
        !self.sets.is_empty() && self.sets.iter().all(has_majority)
    }

    /// Returns true if a majority of a set holds the record of `request`.
    ///
    /// A record on fewer seats may be left over from a claim that was refused itself.
    fn has_majority(&self, request: RequestId) -> bool {
        let is_held = |a: &Answer| held_of(a).is_some_and(|h| h.request == request);
        self.sets
            .iter()
            .any(|set| self.count(set, is_held) >= majority(set))
    }

    fn may_reach(&self, set: &[SocketAddr], is_meant: impl Fn(&Answer) -> bool) -> bool {
        let missing = set.iter().filter(|s| !self.answers.contains_key(s)).count();
        self.count(set, is_meant) + missing >= majority(set)
    }

    fn count(&self, set: &[SocketAddr], is_meant: impl Fn(&Answer) -> bool) -> usize {
        let answers = set
            .iter()
            .filter_map(|seat| self.answers.get(seat)?.as_ref());
        answers.filter(|answer| is_meant(answer)).count()
    }
}

fn majority(set: &[SocketAddr]) -> usize {
    set.len() / 2 + 1
}

fn held_of(answer: &Answer) -> Option<&Held> {
    match answer {
        Answer::Held(held) => Some(held),
        Answer::New | Answer::Abstains { .. } => None,
    }
}
