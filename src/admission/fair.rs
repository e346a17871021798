//! Start-time fair queueing between client accounts, and between the priorities of their requests.
//!
//! Start-time fair queueing is preferred to deficit round robin for two reasons. The rates of
//! accounts differ by a factor of more than a thousand, so one round with a quantum for the
//! smallest account gives a long run of slots to the largest. And the cost of a request, its slot
//! time, is known only when it ends; a tag can be corrected afterwards, a spent quantum can't.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::{AccountName, AttemptId};
use crate::time::Time;
use crate::units::Rate;

/// The requests of one client account and one priority, which are served in order of arrival.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FlowId {
    pub account: AccountName,
    pub priority: u8,
}

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub attempt: AttemptId,
    pub deadline: Time,
    /// When the request goes elsewhere unless it has got a slot.
    pub leaves: Time,
    pub kind: String,
}

impl Waiting {
    /// Returns when the request must leave the queue.
    pub fn expiry(&self) -> Time {
        self.deadline.min(self.leaves)
    }
}

/// The charge for a request that has started, to be settled when it ends.
#[derive(Clone, Debug)]
pub(super) struct Charge {
    pub flow: FlowId,
    pub weight: Rate,
    start: f64,
    cost: Duration,
}

#[derive(Clone, Debug)]
struct Flow {
    id: FlowId,
    weight: Rate,
    /// Finish tag of the last request: the virtual time up to which the share is used.
    finish: f64,
    waiting: VecDeque<Waiting>,
}

impl Flow {
    /// Returns the start tag of the next request.
    fn start(&self, virtual_now: f64) -> f64 {
        self.finish.max(virtual_now)
    }

    /// Returns the virtual time that `cost` takes at the weight of this flow.
    fn step(&self, cost: Duration) -> f64 {
        virtual_time(cost, self.weight)
    }
}

fn virtual_time(cost: Duration, weight: Rate) -> f64 {
    cost.as_secs_f64() / weight.as_f64().max(f64::MIN_POSITIVE)
}

/// The queues of all flows, ordered by virtual time.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    /// Sorted by account and priority.
    flows: Vec<Flow>,
    virtual_now: f64,
    len: usize,
}

impl FairQueue {
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of waiting requests of `account`.
    pub fn account_len(&self, account: &AccountName) -> usize {
        let own = self.flows.iter().filter(|f| f.id.account == *account);
        own.map(|f| f.waiting.len()).sum()
    }

    /// Returns the number of waiting requests that would start before a new one of `flow`.
    ///
    /// The start tag of the k-th request of a flow is k steps after that of its head, so the
    /// requests with tags up to the new one are ahead.
    pub fn ahead_of(&self, flow: &FlowId, weight: Rate, cost: Duration) -> usize {
        let cost = cost.max(MIN_COST);
        let (start, own) = match self.find(flow) {
            Ok(at) => {
                let known = &self.flows[at];
                (known.start(self.virtual_now), known.waiting.len())
            }
            Err(_) => (self.virtual_now, 0),
        };
        let tag = start + own as f64 * virtual_time(cost, weight);
        let others = self.flows.iter().filter(|f| f.id != *flow);
        let before = |f: &Flow| {
            let steps = (tag - f.start(self.virtual_now)) / f.step(cost);
            (steps.floor().max(-1.0) as i64 + 1).clamp(0, f.waiting.len() as i64) as usize
        };
        own + others.map(before).sum::<usize>()
    }

    pub fn push(&mut self, flow: &FlowId, weight: Rate, waiting: Waiting) {
        self.flow(flow, weight).waiting.push_back(waiting);
        self.len += 1;
    }

    /// Takes the request with the lowest start tag and charges its flow with `cost`.
    pub fn pop(&mut self, cost: Duration) -> Option<(Waiting, Charge)> {
        let virtual_now = self.virtual_now;
        let next = self
            .flows
            .iter_mut()
            .filter(|f| !f.waiting.is_empty())
            .min_by(|a, b| a.start(virtual_now).total_cmp(&b.start(virtual_now)))?;
        let waiting = next.waiting.pop_front()?;
        let (flow, weight) = (next.id.clone(), next.weight);
        self.len -= 1;
        Some((waiting, self.charge(&flow, weight, cost)))
    }

    /// Charges a flow for a request that starts now, whether it waited or not.
    pub fn charge(&mut self, id: &FlowId, weight: Rate, cost: Duration) -> Charge {
        let virtual_now = self.virtual_now;
        let cost = cost.max(MIN_COST);
        let flow = self.flow(id, weight);
        let start = flow.start(virtual_now);
        flow.finish = start + flow.step(cost);
        self.virtual_now = start;
        self.drop_idle();
        Charge {
            flow: id.clone(),
            weight,
            start,
            cost,
        }
    }

    /// Replaces the assumed cost of a request with its real slot time.
    pub fn settle(&mut self, charge: &Charge, real: Duration) {
        let real = real.max(MIN_COST);
        let virtual_now = self.virtual_now;
        let end = charge.start + virtual_time(real, charge.weight);
        match self.find(&charge.flow) {
            Ok(at) => {
                let flow = &mut self.flows[at];
                flow.finish += flow.step(real) - flow.step(charge.cost);
            }
            Err(_) if end > virtual_now => self.flow(&charge.flow, charge.weight).finish = end,
            Err(_) => {}
        }
    }

    /// Removes a waiting request; returns false if it does not wait.
    pub fn remove(&mut self, attempt: AttemptId) -> bool {
        let before = self.len;
        self.retain(|w| w.attempt != attempt);
        self.len < before
    }

    /// Keeps the waiting requests that `keep` accepts.
    pub fn retain(&mut self, mut keep: impl FnMut(&Waiting) -> bool) {
        for flow in &mut self.flows {
            flow.waiting.retain(&mut keep);
        }
        self.len = self.flows.iter().map(|f| f.waiting.len()).sum();
    }

    /// Returns the earliest expiry of a waiting request.
    pub fn first_expiry(&self) -> Option<Time> {
        let waiting = self.flows.iter().flat_map(|f| &f.waiting);
        waiting.map(Waiting::expiry).min()
    }

    /// Resets all tags and the virtual time; called when the target is idle.
    pub fn reset(&mut self) {
        self.flows.retain(|f| !f.waiting.is_empty());
        for flow in &mut self.flows {
            flow.finish = 0.0;
        }
        self.virtual_now = 0.0;
    }

    fn find(&self, id: &FlowId) -> Result<usize, usize> {
        self.flows.binary_search_by(|f| f.id.cmp(id))
    }

    fn flow(&mut self, id: &FlowId, weight: Rate) -> &mut Flow {
        let at = match self.find(id) {
            Ok(at) => at,
            Err(at) => {
                let flow = Flow {
                    id: id.clone(),
                    weight,
                    finish: self.virtual_now,
                    waiting: VecDeque::new(),
                };
                self.flows.insert(at, flow);
                at
            }
        };
        let flow = &mut self.flows[at];
        flow.weight = weight;
        flow
    }

    /// Drops flows without waiting requests that have used no more than their share.
    fn drop_idle(&mut self) {
        let virtual_now = self.virtual_now;
        self.flows
            .retain(|f| !f.waiting.is_empty() || f.finish > virtual_now);
    }
}

/// Minimum cost of a request, so that requests that fail at once are not free.
const MIN_COST: Duration = Duration::from_micros(100);
