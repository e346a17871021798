//! Credit requests for accounts whose owner does not respond.

use laburnumtide::limit::{
    AdmitResult, CreditResponse, CreditResult, LocalLimiter, TOKEN_WAIT_MAX,
};
use laburnumtide::prelude::*;

/// Time between two ticks.
const TICK_MS: u64 = 5;

/// Credit requests of one node for one account while a lost owner is replaced, per second.
const FIRST_RATE: u64 = 12;

/// The same afterwards.
const LATER_RATE: u64 = 2;

/// Time for which the first rate holds, in seconds.
const FIRST_SECONDS: u64 = 3;

fn account() -> AccountName {
    "yard".parse().unwrap()
}

/// Plays 13 s in which a request of the account comes every 100 ms and returns the number of credit
/// requests in the first [`FIRST_SECONDS`] and after them; `respond` answers them.
fn count_requests(respond: impl Fn(u64) -> Option<CreditResult>) -> (u64, u64) {
    let mut limiter = LocalLimiter::new(1);
    let (mut first, mut later) = (0, 0);
    for at in (0..13_000).step_by(TICK_MS as usize) {
        let now = Time::from_millis(10_000 + at);
        if at % 100 == 0 {
            let admitted = limiter.admit(now, &account(), TOKEN_WAIT_MAX);
            assert!(!matches!(admitted, AdmitResult::Granted));
            limiter.tick(now);
        }
        limiter.poll(now);
        for request in limiter.take_due(now) {
            match at < FIRST_SECONDS * 1_000 {
                true => first += 1,
                false => later += 1,
            }
            if let Some(result) = respond(first + later) {
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
    (first, later)
}

/// Guards against credit requests that fill the link of an owner which responds late.
#[test]
fn requests_back_off() {
    let (first, later) = count_requests(|_| None);
    assert!(first <= FIRST_SECONDS * FIRST_RATE, "{first} at first");
    assert!(later >= 10, "an owner that is back must be found: {later}");
    assert!(later <= 10 * LATER_RATE, "{later} requests in 10 s");
}

/// Guards against nodes that send a request back and forth between candidates without a lease.
#[test]
fn redirects_back_off() {
    let (first, later) = count_requests(|n| Some(CreditResult::NotOwner(Some(NodeId(n % 2)))));
    assert!(first <= 3 * FIRST_SECONDS * FIRST_RATE, "{first} at first");
    assert!(later <= 3 * 10 * LATER_RATE, "{later} requests in 10 s");
}
