//! Requests that wait for a token of their account.

use std::time::Duration;

use laburnumtide::limit::{
    AdmitResult, CreditRequest, CreditResponse, CreditResult, Grant, LocalLimiter, TOKEN_WAIT_MAX,
    WaitResult,
};
use laburnumtide::outcome::Refusal;
use laburnumtide::prelude::*;

fn ms(n: u64) -> Time {
    Time::from_millis(n)
}

/// Starts `count` requests at the time zero and gives them one token, granted at `granted` and
/// minted `ready_in` later; returns the results of those that end until `end`.
fn results(count: usize, granted: u64, ready_in: u64, end: u64) -> Vec<(u64, WaitResult)> {
    let mut limiter = LocalLimiter::new(1);
    let account: AccountName = "yard".parse().unwrap();
    for _ in 0..count {
        let admitted = limiter.admit(ms(0), &account, TOKEN_WAIT_MAX);
        assert!(matches!(admitted, AdmitResult::Waiting(_)));
    }
    let request = limiter.take_due(ms(0)).pop().unwrap();
    let mut results = Vec::new();
    for now in 0..=end {
        if now == granted {
            let grant = Grant {
                serial: 7,
                total: 1,
                valid_for: Duration::from_secs(1),
                spendable: 0,
                ready_in: Duration::from_millis(ready_in),
                target_reserve: 0,
                retry: None,
                pace: Duration::ZERO,
                report_promptly: false,
            };
            let response = CreditResponse {
                account: account.clone(),
                credit: request.credit,
                sent: request.sent,
                result: CreditResult::Grant(grant),
            };
            limiter.receive(ms(now), &response);
        }
        limiter.poll(ms(now));
        limiter.take_due(ms(now));
        results.extend(limiter.take_results().into_iter().map(|r| (now, r)));
    }
    results
}

/// Guards against a refusal of a request whose token is minted later than the longest wait for an
/// owner.
#[test]
fn granted_token_unused() {
    let wait = TOKEN_WAIT_MAX.as_millis() as u64;
    let results = results(1, wait / 2, wait - 1, 3 * wait);
    let [(at, result)] = results[..] else {
        panic!("{results:?}");
    };
    assert_eq!(result.result, Ok(()));
    assert!((wait..2 * wait).contains(&at), "admitted at {at} ms");
}

/// Guards against a request without a token that waits for that of another.
#[test]
fn uncovered_request_waits() {
    let wait = TOKEN_WAIT_MAX.as_millis() as u64;
    let results = results(2, wait / 2, wait - 1, 3 * wait);
    let admitted = results.iter().filter(|(_, r)| r.result.is_ok()).count();
    assert_eq!((results.len(), admitted), (2, 1));
    let refused = results.iter().find(|(_, r)| r.result.is_err());
    assert!(refused.is_some_and(|(at, _)| *at <= wait), "{results:?}");
}

/// Wait that a request allows, well above that of one without a latency objective.
const WAIT: Duration = Duration::from_millis(600);

/// Time between two requests that an exhausted owner can serve for this node.
const PACE: Duration = Duration::from_millis(100);

/// An owner that has no token before `empty_until`, and answers nothing before `silent_until`.
struct TestOwner {
    silent_until: u64,
    empty_until: u64,
    total: u64,
    requests: u32,
}

impl TestOwner {
    fn new(silent_until: u64, empty_until: u64) -> TestOwner {
        TestOwner {
            silent_until,
            empty_until,
            total: 0,
            requests: 0,
        }
    }

    fn respond(&mut self, now: u64, request: &CreditRequest) -> Option<CreditResponse> {
        self.requests += 1;
        if now < self.silent_until {
            return None;
        }
        let is_empty = now < self.empty_until;
        if !is_empty {
            self.total += u64::from(request.waiting.min(1));
        }
        let retry = match is_empty {
            true => Some(Duration::from_millis(self.empty_until - now)),
            false => (request.waiting > 1).then_some(PACE),
        };
        Some(CreditResponse {
            account: request.account.clone(),
            credit: request.credit,
            sent: request.sent,
            result: CreditResult::Grant(Grant {
                serial: 7,
                total: self.total,
                valid_for: Duration::from_secs(2),
                spendable: self.total,
                ready_in: Duration::ZERO,
                target_reserve: 0,
                retry,
                pace: PACE,
                report_promptly: false,
            }),
        })
    }
}

/// Starts `count` requests at the time zero and plays 2 s; returns the times and results of all that
/// waited, and the refusals at once.
fn play(owner: &mut TestOwner, count: usize) -> (Vec<(u64, WaitResult)>, Vec<Refusal>) {
    let mut limiter = LocalLimiter::new(1);
    let account: AccountName = "yard".parse().unwrap();
    let (mut results, mut refused) = (Vec::new(), Vec::new());
    let mut admit = |limiter: &mut LocalLimiter, now| match limiter.admit(ms(now), &account, WAIT) {
        AdmitResult::Refused(refusal) => refused.push(refusal),
        AdmitResult::Waiting(_) => {}
        AdmitResult::Granted => panic!("no token was granted before"),
    };
    admit(&mut limiter, 0);
    for now in 0..2_000 {
        if now == 2 {
            (1..count).for_each(|_| admit(&mut limiter, now));
        }
        limiter.poll(ms(now));
        for request in limiter.take_due(ms(now)) {
            if let Some(response) = owner.respond(now, &request) {
                limiter.receive(ms(now), &response);
            }
        }
        results.extend(limiter.take_results().into_iter().map(|r| (now, r)));
    }
    (results, refused)
}

/// Guards against a refusal of a request whose token comes within its latency objective.
#[test]
fn token_within_objective() {
    let mut owner = TestOwner::new(0, 300);
    let (results, refused) = play(&mut owner, 1);
    assert_eq!(refused, []);
    assert!(
        matches!(
            results[..],
            [(300..=310, WaitResult { result: Ok(()), .. })]
        ),
        "{results:?}"
    );
    assert!(owner.requests <= 4, "{} credit requests", owner.requests);
}

/// Guards against a request that waits for a token which can't come in time.
#[test]
fn late_token_refused_at_once() {
    let mut owner = TestOwner::new(0, 700);
    let (results, refused) = play(&mut owner, 2);
    let [
        (
            0..=2,
            WaitResult {
                result: Err(first), ..
            },
        ),
    ] = results[..]
    else {
        panic!("{results:?}");
    };
    for refusal in [first, refused[0]] {
        assert_eq!(refusal.reason, Reason::Rate);
        let retry = refusal.retry_after.unwrap_or_default();
        assert!(retry >= Duration::from_millis(600), "{retry:?}");
    }
}

/// Guards against a queue for tokens that is longer than its requests can wait.
#[test]
fn queue_for_tokens_bounded() {
    let mut owner = TestOwner::new(0, 200);
    let (results, refused) = play(&mut owner, 20);
    let served = results.iter().filter(|(_, r)| r.result.is_ok()).count();
    // The first token comes after 200 ms, then one in each pace.
    assert!((4..=5).contains(&served), "{served} served: {results:?}");
    assert!(refused.len() >= 15, "{} refused at once", refused.len());
    assert!(owner.requests <= 12, "{} credit requests", owner.requests);
}

/// Guards against refusals of requests whose owner answers late but within their objective, as after
/// a cut path or a change of the owner.
#[test]
fn late_owner_serves() {
    let mut owner = TestOwner::new(400, 0);
    let (results, refused) = play(&mut owner, 1);
    assert_eq!(refused, []);
    assert!(
        matches!(
            results[..],
            [(400..=500, WaitResult { result: Ok(()), .. })]
        ),
        "{results:?}"
    );
}

/// Guards against an owner that counts as silent while its response is on the way, so that all other
/// requests of the account are refused at once.
#[test]
fn owner_on_its_way() {
    let mut limiter = LocalLimiter::new(1);
    let account: AccountName = "yard".parse().unwrap();
    let mut owner = TestOwner::new(0, 99);
    limiter.admit(ms(0), &account, TOKEN_WAIT_MAX);
    let request = limiter.take_due(ms(0)).pop().unwrap();
    limiter.receive(ms(10), &owner.respond(0, &request).unwrap());
    limiter.take_results();
    // The owner has a token at 109 ms, and its response arrives after the end of the wait.
    let waiting = limiter.admit(ms(15), &account, TOKEN_WAIT_MAX);
    assert!(matches!(waiting, AdmitResult::Waiting(_)), "{waiting:?}");
    limiter.poll(ms(109));
    assert_eq!(limiter.take_due(ms(109)).len(), 1);
    limiter.poll(ms(115));
    let results = limiter.take_results();
    let reason = results[0].result.err().map(|refusal| refusal.reason);
    assert_eq!(reason, Some(Reason::Rate));
    let next = limiter.admit(ms(116), &account, TOKEN_WAIT_MAX);
    assert!(matches!(next, AdmitResult::Waiting(_)), "{next:?}");
}
