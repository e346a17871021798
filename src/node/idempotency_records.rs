//! The idempotency records of a node: those it stores as a voter, and the claims of its requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::error::{Error, Result};
use crate::fleet::{Member, Registry};
use crate::freshness::PROOF_LIFETIME;
use crate::idempotency::{
    Capacity, Claim, ClaimCoordinator, ClaimResponse, ClaimResult, IdempotencyKey, Permit,
    RecordStore, RetentionPolicy, RunReport, RunResult,
};
use crate::ids::{AccountName, NodeId, RequestId};
use crate::limit::{NodeInfo, Placement, stretch};
use crate::metrics::Metrics;
use crate::node::components::Idempotency;
use crate::outcome::{FirstOutcome, FirstRequest, Reason, Refusal};
use crate::time::{Clock, Monotonic};
use crate::units::Position;
use crate::wire::{Channel, Hello, IdempotencyRequest, IdempotencyResponse, Peer, Role, Secret};

/// Longest time that a request waits for the votes on its claim; one round trip, with a margin for
/// opening a link.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of a run report, and delay before it is sent again.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of times that a run report is sent to a voter; the key stays claimed if all are lost.
const REPORT_TRIES: u32 = 3;

/// Default and shortest retry delay of refusals.
const RETRY_LATER: Duration = Duration::from_secs(1);

/// Time between two removals of expired records.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// The idempotency records and claims of one node.
#[derive(Debug)]
pub struct IdempotencyRecords {
    policy: RetentionPolicy,
    clock: Monotonic,
    secret: Secret,
    hello: Hello,
    metrics: Metrics,
    placement: ArcSwap<Placement>,
    store: Mutex<RecordStore>,
    peers: Mutex<BTreeMap<SocketAddr, Peer>>,
}

impl IdempotencyRecords {
    /// Creates the records of the node `hello`, which has just started.
    pub fn new(
        policy: RetentionPolicy,
        secret: Secret,
        hello: Hello,
        metrics: Metrics,
    ) -> IdempotencyRecords {
        let clock = Monotonic::new();
        IdempotencyRecords {
            policy,
            clock,
            secret,
            hello,
            metrics,
            placement: ArcSwap::from_pointee(Placement::new(NodeId(hello.id))),
            store: Mutex::new(RecordStore::new(clock.now(), policy, Capacity::default())),
            peers: Mutex::default(),
        }
    }

    /// Returns how long a registry must have been accepted before the earlier voters are dropped.
    ///
    /// By then all records that only earlier voters store have expired.
    pub fn settle_time(&self) -> Duration {
        PROOF_LIFETIME * 2 + stretch(self.policy.record_lifetime())
    }

    /// Applies the registry at `position`.
    ///
    /// `is_next` is true if no registry between it and the last one was skipped.
    pub fn set_registry(&self, position: Position, is_next: bool, registry: &Registry) {
        let node_info = |m: &Member| NodeInfo {
            id: m.id,
            addr: m.addr,
            zone: m.zone.clone(),
        };
        let nodes: Vec<NodeInfo> = registry.members().iter().map(node_info).collect();
        // A change of voters affects claims for the whole retention period, so nodes that are only
        // demoted remain voters here.
        self.change_placement(|p| p.set_registry(position, is_next, &nodes, &[]));
        self.lock_peers()
            .retain(|addr, _| nodes.iter().any(|node| node.addr == *addr));
    }

    /// Sets which nodes are alive in this node's view.
    pub fn set_live(&self, live: impl Fn(NodeId) -> bool) {
        self.change_placement(|p| p.set_live(&live));
    }

    /// Drops the voters of registries before the one at `position`; see
    /// [`IdempotencyRecords::settle_time`].
    pub fn settle(&self, position: Position) {
        if position > self.placement.load().settled() {
            self.change_placement(|p| {
                p.settle_at(position);
            });
        }
    }

    /// Records that the node's registry is proved current.
    pub fn confirm(&self) {
        let mut store = self.lock_store();
        let now = self.clock.now();
        store.confirm(now);
    }

    fn change_placement(&self, change: impl Fn(&mut Placement)) {
        let old = self.placement.load_full();
        let mut placement = Placement::clone(&old);
        change(&mut placement);
        let me = placement.me();
        let is_same = placement.layouts() == old.layouts() && placement.addr(me) == old.addr(me);
        // The store is updated first, so that it never votes by layouts that this node's claims no
        // longer use.
        if !is_same {
            let mut store = self.lock_store();
            let now = self.clock.now();
            store.set_layouts(now, &placement);
        }
        self.placement.store(Arc::new(placement));
    }

    /// Removes expired records periodically until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = interval(SWEEP_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let mut store = self.lock_store();
            let now = self.clock.now();
            store.expire(now);
            let (records, abstaining) = (store.record_count(), store.abstaining_count(now));
            drop(store);
            self.metrics.gauge("repeat.records", records as u64);
            self.metrics.gauge("repeat.abstaining", abstaining as u64);
            let layouts = self.placement.load().layouts().len();
            self.metrics.gauge("repeat.layouts", layouts as u64);
        }
    }

    /// Serves a request of another node on [`Channel::Idempotency`].
    ///
    /// # Errors
    ///
    /// Fails if the payload is malformed or its sender is not a node.
    pub fn serve(&self, peer: Hello, payload: Bytes) -> Result<Bytes> {
        if peer.role != Role::Node {
            return Err(Error::invalid("repeat messages come from nodes only"));
        }
        let node = NodeId(peer.id);
        let response = match IdempotencyRequest::decode(payload)? {
            IdempotencyRequest::Claim(claim) => {
                IdempotencyResponse::Claim(self.serve_claim(&Claim { node, ..claim }))
            }
            IdempotencyRequest::Report(report) => {
                self.record_report(&RunReport { node, ..report });
                IdempotencyResponse::Recorded
            }
        };
        Ok(response.encode())
    }

    fn serve_claim(&self, claim: &Claim) -> ClaimResponse {
        let mut store = self.lock_store();
        // Read under the lock, so that waiting for the lock doesn't make a claim look earlier.
        let now = self.clock.now();
        store.claim(now, claim)
    }

    fn record_report(&self, report: &RunReport) {
        let mut store = self.lock_store();
        let now = self.clock.now();
        store.record_result(now, report);
    }

    /// Sends a claim to the voters and returns the result after at most one bounded round trip.
    async fn claim_key(self: &Arc<Self>, mut coordinator: ClaimCoordinator) -> ClaimResult {
        let claim_one = |voter: SocketAddr| {
            let claim = coordinator.claim().clone();
            async move { (voter, self.claim_at(voter, claim).await.ok()) }
        };
        let mut responses: FuturesUnordered<_> = coordinator
            .voters()
            .iter()
            .copied()
            .map(claim_one)
            .collect();
        let collect = async {
            loop {
                if let Some(result) = coordinator.result() {
                    return result;
                }
                match responses.next().await {
                    Some((voter, response)) => coordinator.record_response(voter, response),
                    None => return coordinator.result_at_timeout(),
                }
            }
        };
        let collected = timeout(CLAIM_TIMEOUT, collect).await;
        let result = collected.unwrap_or_else(|_| coordinator.result_at_timeout());
        if !matches!(result, ClaimResult::Run(_)) {
            self.send_report(coordinator.voters(), coordinator.release());
        }
        result
    }

    async fn claim_at(&self, voter: SocketAddr, claim: Claim) -> Result<ClaimResponse> {
        if self.is_own(voter) {
            return Ok(self.serve_claim(&claim));
        }
        let request = IdempotencyRequest::Claim(claim);
        match self.call(voter, &request, CLAIM_TIMEOUT).await? {
            IdempotencyResponse::Claim(response) => Ok(response),
            IdempotencyResponse::Recorded => Err(Error::invalid(
                "unexpected response to an idempotency claim",
            )),
        }
    }

    /// Sends the result of a run to the voters, without waiting for their responses.
    fn send_report(self: &Arc<Self>, voters: &[SocketAddr], report: RunReport) {
        for &voter in voters {
            if self.is_own(voter) {
                self.record_report(&report);
                continue;
            }
            let (this, request) = (self.clone(), IdempotencyRequest::Report(report.clone()));
            tokio::spawn(async move {
                for _ in 0..REPORT_TRIES {
                    if this.call(voter, &request, REPORT_TIMEOUT).await.is_ok() {
                        return;
                    }
                    sleep(REPORT_TIMEOUT).await;
                }
                this.metrics.count("repeat.lost_ends");
            });
        }
    }

    fn is_own(&self, voter: SocketAddr) -> bool {
        let placement = self.placement.load();
        placement.addr(placement.me()) == Some(voter)
    }

    async fn call(
        &self,
        addr: SocketAddr,
        request: &IdempotencyRequest,
        limit: Duration,
    ) -> Result<IdempotencyResponse> {
        let peer = self.peer(addr);
        let response = peer
            .call(Channel::Idempotency, request.encode(), limit)
            .await?;
        IdempotencyResponse::decode(response)
    }

    fn peer(&self, addr: SocketAddr) -> Peer {
        self.lock_peers()
            .entry(addr)
            .or_insert_with(|| Peer::new(addr, self.secret.clone(), self.hello))
            .clone()
    }

    fn lock_peers(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_store(&self) -> MutexGuard<'_, RecordStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn refusal(&self, result: ClaimResult) -> std::result::Result<Permit, Refusal> {
        let (refusal, request, outcome) = match result {
            ClaimResult::Run(permit) => return Ok(permit),
            ClaimResult::Unknown { wait } => {
                let wait = wait.unwrap_or(RETRY_LATER).max(RETRY_LATER);
                return Err(Refusal::after(Reason::RepeatUnknown, wait));
            }
            ClaimResult::Ended { request, outcome } => {
                (Refusal::new(Reason::Repeat), request, Some(outcome))
            }
            ClaimResult::Running { request, node } => match self.placement.load().is_live(node) {
                true => {
                    let refusal = Refusal::after(Reason::RepeatRunning, RETRY_LATER);
                    (refusal, request, None)
                }
                // The node that could report the outcome is no longer live.
                false => {
                    let refusal = Refusal::new(Reason::Repeat);
                    (refusal, request, Some(FirstOutcome::Unknown))
                }
            },
        };
        Err(refusal.with_first(FirstRequest { request, outcome }))
    }
}

impl Idempotency for Arc<IdempotencyRecords> {
    type Permit = Permit;

    async fn claim(
        &self,
        account: &AccountName,
        key: &IdempotencyKey,
        request: RequestId,
    ) -> std::result::Result<Permit, Refusal> {
        let coordinator = {
            let placement = self.placement.load();
            let now = self.clock.now();
            ClaimCoordinator::new(now, self.policy, &placement, account, key, request)
        };
        let (sender, receiver) = oneshot::channel();
        let this = self.clone();
        // A separate task releases the key if the caller disconnects during the claim.
        tokio::spawn(async move {
            let result = this.claim_key(coordinator).await;
            if let Err(ClaimResult::Run(permit)) = sender.send(result) {
                this.report(&permit, RunResult::NotRun);
            }
        });
        let result = receiver
            .await
            .unwrap_or(ClaimResult::Unknown { wait: None });
        self.refusal(result)
    }

    fn is_valid(&self, permit: &Permit) -> bool {
        permit.is_valid(self.clock.now())
    }

    fn report(&self, permit: &Permit, result: RunResult) {
        let (voters, report) = permit.report(result);
        self.send_report(voters, report);
    }
}
