//! Requests that wait for a token which their node has already been granted.

use std::time::Duration;

use laburnumtide::limit::{
    AdmitResult, CreditResponse, CreditResult, Grant, LocalLimiter, TOKEN_WAIT_MAX, WaitResult,
};
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
        let admitted = limiter.admit(ms(0), &account);
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
