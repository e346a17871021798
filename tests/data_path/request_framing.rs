//! Requests with more than one reading are refused before anything runs.

use std::time::Duration;

use laburnumtide::node::Limits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::site::{KEY, PATIENCE, Site};

fn head(lines: &str) -> String {
    format!("POST /bake HTTP/1.1\r\nhost: front\r\nauthorization: Bearer {KEY}\r\n{lines}")
}

fn assert_refused(answer: &str, status: &str, reason: &str, case: &str) {
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{case}: {answer}"
    );
    let reason = format!("laburnum-reason: {reason}\r\n");
    assert!(answer.contains(&reason), "{case}: {answer}");
    assert!(
        answer.contains("laburnum-outcome: not-run\r\n"),
        "{case}: {answer}"
    );
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{case}: {answer}");
}

/// Guards against request smuggling: each form has been used to hide a second request.
#[tokio::test]
async fn smuggling_forms_are_refused() {
    let site = Site::open().await;
    let hidden = "GET /bake/hidden HTTP/1.1\r\nhost: front\r\n\r\n";
    let forms = [
        "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n",
        "content-length: 3\r\ncontent-length: 4\r\n\r\nabc",
        "content-length: 3, 4\r\n\r\nabc",
        "content-length: +3\r\n\r\nabc",
        "content-length: 0x3\r\n\r\nabc",
        "content-length: 99999999999999999999\r\n\r\nabc",
        "content-length: -1\r\n\r\nabc",
        "transfer-encoding: identity\r\n\r\nabc",
        "transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: \x0bchunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding : chunked\r\n\r\n0\r\n\r\n",
        "content-length : 3\r\n\r\nabc",
        "x-a: b\r\n folded\r\n\r\n",
        " x-first: folded\r\n\r\n",
        "x-a: b\ncontent-length: 3\r\n\r\nabc",
        "x-a: b\rc\r\n\r\n",
        "x-a: b\0c\r\n\r\n",
        "x a: b\r\n\r\n",
        "x-a\r\n\r\n",
        ": b\r\n\r\n",
        "host: other\r\n\r\n",
    ];
    for form in forms {
        let answer = site.raw(format!("{}{hidden}", head(form)).as_bytes()).await;
        assert_refused(&answer, "400", "bad-request", form);
    }
    assert_eq!(site.runs().len(), 0);
}

#[tokio::test]
async fn malformed_lines_are_refused() {
    let site = Site::open().await;
    for (text, status, reason) in [
        ("GET /bake HTTP/1.1\r\n\r\n", "400", "bad-request"),
        (
            "GET /bake HTTP/1.0\r\nhost: a\r\n\r\n",
            "400",
            "bad-request",
        ),
        (
            "GET /bake HTTP/2.0\r\nhost: a\r\n\r\n",
            "400",
            "bad-request",
        ),
        (
            "GET  /bake HTTP/1.1\r\nhost: a\r\n\r\n",
            "400",
            "bad-request",
        ),
        (
            "GET /ba ke HTTP/1.1\r\nhost: a\r\n\r\n",
            "400",
            "bad-request",
        ),
        ("GET bake HTTP/1.1\r\nhost: a\r\n\r\n", "400", "bad-request"),
        (
            "OPTIONS * HTTP/1.1\r\nhost: a\r\n\r\n",
            "400",
            "bad-request",
        ),
        (
            "LABURNUM-FAULT /rate HTTP/1.1\r\nhost: a\r\n\r\n",
            "400",
            "bad-request",
        ),
        (
            "CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\n\r\n",
            "405",
            "method-not-allowed",
        ),
        ("\x16\x03\x01\x02\r\n\r\n", "400", "bad-request"),
    ] {
        let answer = site.raw(text.as_bytes()).await;
        assert_refused(&answer, status, reason, text);
    }
}

#[tokio::test]
async fn header_limits_hold() {
    let site = Site::open().await;
    let many: String = (0..101).map(|i| format!("x-{i}: 1\r\n")).collect();
    let long = format!("x-long: {}\r\n", "a".repeat(40_000));
    for lines in [many, long] {
        let answer = site.raw(head(&format!("{lines}\r\n")).as_bytes()).await;
        assert_refused(&answer, "431", "headers-too-large", &lines[..20]);
    }
    assert_eq!(site.runs().len(), 0);
}

/// Guards against a refusal that overtakes the answer to an earlier request on the connection.
#[tokio::test]
async fn refusal_keeps_its_turn() {
    let site = Site::open().await;
    let good = head("content-length: 0\r\n\r\n");
    let bad = head("content-length: x\r\n\r\n");
    let answer = site
        .raw(format!("{good}{good}{bad}{good}").as_bytes())
        .await;
    let statuses: Vec<&str> = answer.matches("HTTP/1.1 200").collect();
    assert_eq!(statuses.len(), 2, "{answer}");
    let last = answer.rfind("HTTP/1.1 ").unwrap();
    assert_refused(&answer[last..], "400", "bad-request", "third");
    assert_eq!(site.runs().len(), 2);
}

/// Guards against a caller that holds a connection by sending its head a byte at a time.
#[tokio::test]
async fn slow_head_times_out() {
    let limits = Limits {
        header_time: Duration::from_millis(200),
        ..Limits::default()
    };
    let site = Site::with(limits, 7, Duration::ZERO).await;
    let mut stream = TcpStream::connect(site.front.caller_addr()).await.unwrap();
    stream
        .write_all(b"GET /bake HTTP/1.1\r\nhost:")
        .await
        .unwrap();
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    tokio::time::timeout(PATIENCE, read).await.unwrap().unwrap();
    assert_refused(&answer, "400", "bad-request", "slow head");
}

/// Guards against broken chunks that end a body for the node but not for the target.
#[tokio::test]
async fn broken_chunks_never_finish() {
    let site = Site::open().await;
    let chunked = head("transfer-encoding: chunked\r\nconnection: close\r\n\r\n");
    for (body, whole) in [
        ("3\r\nabc\r\n0\r\n\r\n", true),
        ("3;name=value\r\nabc\r\n0\r\nx-trailer: 1\r\n\r\n", true),
        ("3\nabc\r\n0\r\n\r\n", false),
        ("3\r\nabcd\r\n0\r\n\r\n", false),
        ("g\r\nabc\r\n0\r\n\r\n", false),
        ("-3\r\nabc\r\n0\r\n\r\n", false),
        ("3 \r\nabc\r\n0\r\n\r\n", false),
        ("11111111111111111\r\nabc\r\n0\r\n\r\n", false),
    ] {
        let before = site.runs().len();
        let answer = site.raw(format!("{chunked}{body}").as_bytes()).await;
        assert_eq!(
            answer.starts_with("HTTP/1.1 200"),
            whole,
            "{body:?}: {answer}"
        );
        let finished = site.runs()[before..]
            .iter()
            .filter(|run| run.finished)
            .count();
        assert_eq!(finished, usize::from(whole), "{body:?}");
    }
}

#[tokio::test]
async fn expect_continue_is_answered() {
    let site = Site::open().await;
    let mut stream = TcpStream::connect(site.front.caller_addr()).await.unwrap();
    let lines = "expect: 100-continue\r\ncontent-length: 3\r\nconnection: close\r\n\r\n";
    stream.write_all(head(lines).as_bytes()).await.unwrap();
    let mut first = [0; 25];
    stream.read_exact(&mut first).await.unwrap();
    assert_eq!(&first, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"abc").await.unwrap();
    let mut rest = String::new();
    stream.read_to_string(&mut rest).await.unwrap();
    assert!(rest.starts_with("HTTP/1.1 200"), "{rest}");
    assert_eq!(site.runs()[0].bytes, 3);
}

/// Guards against a body that is asked for although its request is refused anyway.
#[tokio::test]
async fn refused_expectation_gets_no_continue() {
    let site = Site::open().await;
    let lines = "expect: 100-continue\r\ncontent-length: 100001\r\n\r\n";
    let answer = site.raw(head(lines).as_bytes()).await;
    assert_refused(&answer, "413", "body-too-large", lines);
}
