//! Credit requests for accounts whose owner does not respond.

use laburnumtide::limit::{AdmitResult, CreditResponse, CreditResult, LocalLimiter};
use laburnumtide::prelude::*;

/// Time between two ticks.
const TICK_MS: u64 = 5;

/// Credit requests of one node for one account that has no owner, per second.
const REQUESTS_PER_SECOND: u64 = 2;

fn account() -> AccountName {
    "yard".parse().unwrap()
}

/// Plays 10 s in which a request of the account comes every 100 ms and returns the number of credit
/// requests; `respond` answers them.
fn requests_in_10_s(respond: impl Fn(u64) -> Option<CreditResult>) -> u64 {
    let mut limiter = LocalLimiter::new(1);
    let mut sent = 0;
    for at in (0..10_000).step_by(TICK_MS as usize) {
        let now = Time::from_millis(1_000 + at);
        if at % 100 == 0 {
            let admitted = limiter.admit(now, &account());
            assert!(!matches!(admitted, AdmitResult::Granted));
            limiter.tick(now);
        }
        limiter.poll(now);
        for request in limiter.take_due(now) {
            sent += 1;
            if let Some(result) = respond(sent) {
                let response = CreditResponse {
                    account: account(),
                    credit: request.credit,
                    sent: request.sent,
                    result,
                };
                limiter.receive(now, &response);
            }
        }
    }
    sent
}

/// Guards against credit requests that fill the link of an owner which responds late.
#[test]
fn requests_back_off() {
    let sent = requests_in_10_s(|_| None);
    assert!(sent >= 10, "an owner that is back must be found: {sent}");
    assert!(sent <= 10 * REQUESTS_PER_SECOND, "{sent} requests in 10 s");
}

/// Guards against nodes that send a request back and forth between candidates without a lease.
#[test]
fn redirects_back_off() {
    let hint = |n| Some(CreditResult::NotOwner(Some(NodeId(n % 2))));
    let sent = requests_in_10_s(hint);
    assert!(
        sent <= 3 * 10 * REQUESTS_PER_SECOND,
        "{sent} requests in 10 s"
    );
}
