//! The idempotency records of one voter.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::idempotency::{
    Claim, ClaimResponse, ExistingClaim, IdempotencyKey, RecordState, RetentionPolicy, RunReport,
    RunResult,
};
use crate::ids::{AccountName, NodeId, RequestId};
use crate::limit::{Placement, SHARD_COUNT, Shard, layouts_match, stretch};
use crate::time::Time;

/// Largest number of records that a voter keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Records of all client accounts.
    pub records: usize,
    /// Records of one client account.
    pub records_per_account: usize,
}

impl Default for Capacity {
    /// 200,000 records with keys of 36 bytes take 27 MiB, well within the 128 MB of a node.
    fn default() -> Self {
        Capacity {
            records: 200_000,
            records_per_account: 50_000,
        }
    }
}

/// The idempotency records that a node keeps as a voter.
#[derive(Clone, Debug)]
pub struct RecordStore {
    policy: RetentionPolicy,
    capacity: Capacity,
    layouts: Vec<u64>,
    /// Since when this node has been a voter of each shard without interruption.
    since: Vec<Option<Time>>,
    /// When the registry was last proved current.
    confirmed: Time,
    accounts: BTreeMap<AccountName, BTreeMap<IdempotencyKey, Record>>,
    count: usize,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    request: RequestId,
    node: NodeId,
    state: RecordState,
    until: Time,
}

impl RecordStore {
    /// Creates the store of a process that starts at `now` and is not a voter yet.
    pub fn new(now: Time, policy: RetentionPolicy, capacity: Capacity) -> RecordStore {
        RecordStore {
            policy,
            capacity,
            layouts: Vec::new(),
            since: vec![None; usize::from(SHARD_COUNT)],
            confirmed: now,
            accounts: BTreeMap::new(),
            count: 0,
        }
    }

    /// Applies the voter layouts of `placement`.
    pub fn set_layouts(&mut self, now: Time, placement: &Placement) {
        let addr = placement.addr(placement.me());
        for (number, since) in self.since.iter_mut().enumerate() {
            let shard = Shard(number as u16);
            let is_voter =
                addr.is_some_and(|a| placement.voter_sets(shard).any(|set| set.contains(&a)));
            *since = is_voter.then(|| since.unwrap_or(now));
        }
        self.layouts = placement.layouts();
    }

    /// Records that the registry is proved current at `now`.
    pub fn confirm(&mut self, now: Time) {
        self.check_gap(now);
        self.confirmed = now;
    }

    /// Restarts the abstention after a long time without proof that the registry is current.
    ///
    /// The node may have missed a layout in which it was not a voter.
    fn check_gap(&mut self, now: Time) {
        if now.since(self.confirmed) > self.policy.max_gap() {
            let restart = |since: &mut Option<Time>| *since = since.map(|_| now);
            self.since.iter_mut().for_each(restart);
        }
    }

    /// Responds to a claim and records it if it is new.
    pub fn claim(&mut self, now: Time, claim: &Claim) -> ClaimResponse {
        self.check_gap(now);
        let unable = ClaimResponse::Abstains { wait: None };
        if !layouts_match(&claim.layouts, &self.layouts) {
            return unable;
        }
        let found = self.find(now, &claim.account, &claim.key);
        match found {
            Some(record) if record.request == claim.request => match record.state {
                RecordState::Claimed => return ClaimResponse::New,
                RecordState::Ended(_) | RecordState::Released => return unable,
            },
            Some(record) if record.state != RecordState::Released => {
                return ClaimResponse::Held(ExistingClaim {
                    request: record.request,
                    node: record.node,
                    outcome: match record.state {
                        RecordState::Ended(outcome) => Some(outcome),
                        RecordState::Claimed | RecordState::Released => None,
                    },
                });
            }
            _ => {}
        }
        if let Some(wait) = self.abstains(now, Shard::of(&claim.account)) {
            return ClaimResponse::Abstains { wait: Some(wait) };
        }
        let record = Record {
            request: claim.request,
            node: claim.node,
            state: RecordState::Claimed,
            until: now + stretch(self.policy.record_lifetime()),
        };
        match self.insert(&claim.account, &claim.key, record) {
            true => ClaimResponse::New,
            false => unable,
        }
    }

    /// Records how a request ended.
    ///
    /// The report that a request did not run may arrive before the claim of that request.
    pub fn record_result(&mut self, now: Time, report: &RunReport) {
        let until = now + self.policy.permit_lifetime();
        let found = self.find(now, &report.account, &report.key);
        let record = match (found, report.result) {
            (Some(found), _) if found.request != report.request => return,
            (Some(found), _) if found.state != RecordState::Claimed => return,
            (Some(found), RunResult::Ran(outcome)) => Record {
                state: RecordState::Ended(outcome),
                ..found
            },
            (None, RunResult::Ran(_)) => return,
            (_, RunResult::NotRun) => Record {
                request: report.request,
                node: report.node,
                state: RecordState::Released,
                until,
            },
        };
        // If the store is at its capacity, a release that precedes its claim is lost. Only that
        // claim, if it still arrives, could then block the key.
        let _ = self.insert(&report.account, &report.key, record);
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: Time) {
        for records in self.accounts.values_mut() {
            records.retain(|_, record| record.until > now);
        }
        self.accounts.retain(|_, records| !records.is_empty());
        self.count = self.accounts.values().map(BTreeMap::len).sum();
    }

    /// Returns the number of records.
    pub fn record_count(&self) -> usize {
        self.count
    }

    /// Returns the number of shards of which this node is a voter that still abstains.
    pub fn abstaining_count(&self, now: Time) -> usize {
        let lifetime = stretch(self.policy.record_lifetime());
        let voters = self.since.iter().flatten();
        voters.filter(|since| **since + lifetime > now).count()
    }

    /// Returns how long the voter still abstains on a shard, if it does.
    fn abstains(&self, now: Time, shard: Shard) -> Option<Duration> {
        let lifetime = stretch(self.policy.record_lifetime());
        match self.since[usize::from(shard.0)] {
            None => Some(lifetime),
            Some(since) => {
                let remaining = (since + lifetime).since(now);
                (!remaining.is_zero()).then_some(remaining)
            }
        }
    }

    fn find(&self, now: Time, account: &AccountName, key: &IdempotencyKey) -> Option<Record> {
        let record = self.accounts.get(account)?.get(key)?;
        (record.until > now).then_some(*record)
    }

    /// Inserts a record or replaces that of the same key; returns false if the store
    /// is at its capacity.
    fn insert(&mut self, account: &AccountName, key: &IdempotencyKey, record: Record) -> bool {
        if let Some(slot) = self.accounts.get_mut(account).and_then(|a| a.get_mut(key)) {
            *slot = record;
            return true;
        }
        let count = self.accounts.get(account).map_or(0, BTreeMap::len);
        if self.count >= self.capacity.records || count >= self.capacity.records_per_account {
            return false;
        }
        let records = self.accounts.entry(account.clone()).or_default();
        records.insert(key.clone(), record);
        self.count += 1;
        true
    }
}
