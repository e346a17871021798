//! The account of attempts from the logs of nodes.

use laburnumtide::ctl::{AttemptReport, RefusedAttempts};

const LOG: &str = "\
timestamp=2026-12-04T10:00:00Z event=admitted request=a1 route=records
  0.1 b-6 event=attempt request=a1 attempt=01 target=n1/t1 may_queue=false
event=egress-refused request=a1 attempt=01 outcome=not-run reason=suspect running=0 queued=0 slots=5 ms=0
event=attempt request=a1 attempt=02 target=n2/t1 may_queue=false
event=egress-refused request=a1 attempt=02 outcome=not-run reason=busy running=5 queued=2 slots=5 ms=0
event=attempt request=a1 attempt=03 target=n3/t1 may_queue=false
event=target-responded request=a1 attempt=03 target=t1 status=200 ms=410
event=attempt request=b2 attempt=04 target=n3/t1 may_queue=false
event=target-responded request=b2 attempt=04 target=t1 status=500 ms=1
event=refused request=c3 outcome=not-run reason=rate route=records
message=\"no event at all\" request=d4
";

/// Guards against figures that don't match the log.
#[test]
fn counts_by_fate() {
    let report = AttemptReport::read(LOG.as_bytes()).unwrap();
    assert_eq!((report.requests, report.attempts), (2, 4));
    assert_eq!(report.by_count, [1, 0, 1, 0, 0, 0, 0]);
    assert_eq!((report.responses, report.errors), (2, 1));
    let refused = |reason| report.refused.get(reason).copied();
    let suspect = RefusedAttempts {
        attempts: 1,
        with_slot: 1,
    };
    let busy = RefusedAttempts {
        attempts: 1,
        with_slot: 0,
    };
    assert_eq!(refused("suspect"), Some(suspect));
    assert_eq!(refused("busy"), Some(busy));
    assert_eq!(report.ended.get("rate"), Some(&1));
    let text = report.to_string();
    assert!(text.contains("2.00 a request"), "{text}");
    assert!(text.contains("50 % of the attempts"), "{text}");
}

/// Guards against a report that fails on an empty log or on bytes that are no text.
#[test]
fn odd_logs() {
    let empty = AttemptReport::read(&b""[..]).unwrap();
    assert_eq!(empty.attempts, 0);
    assert!(empty.to_string().contains("0.00 a request"));
    let bytes = AttemptReport::read(&b"\xff\xfe event=attempt\n"[..]).unwrap();
    assert_eq!(bytes.attempts, 1);
}
