//! Requests with ambiguous framing are refused before they run.

use std::time::Duration;

use laburnumtide::node::Limits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::cluster::{Cluster, KEY, TEST_TIMEOUT};

fn head(lines: &str) -> String {
    format!("POST /bake HTTP/1.1\r\nhost: front\r\nauthorization: Bearer {KEY}\r\n{lines}")
}

fn assert_refused(response: &str, status: &str, reason: &str, case: &str) {
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status}")),
        "{case}: {response}"
    );
    let reason = format!("laburnum-reason: {reason}\r\n");
    assert!(response.contains(&reason), "{case}: {response}");
    assert!(
        response.contains("laburnum-outcome: not-run\r\n"),
        "{case}: {response}"
    );
    assert_eq!(
        response.matches("HTTP/1.1 ").count(),
        1,
        "{case}: {response}"
    );
}

/// Guards against request smuggling: each of these forms can hide a second request.
#[tokio::test]
async fn smuggling_forms_are_refused() {
    let cluster = Cluster::open().await;
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
        let response = cluster
            .raw(format!("{}{hidden}", head(form)).as_bytes())
            .await;
        assert_refused(&response, "400", "bad-request", form);
    }
    assert_eq!(cluster.runs().len(), 0);
}

#[tokio::test]
async fn malformed_lines_are_refused() {
    let cluster = Cluster::open().await;
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
        let response = cluster.raw(text.as_bytes()).await;
        assert_refused(&response, status, reason, text);
    }
}

#[tokio::test]
async fn header_limits_hold() {
    let cluster = Cluster::open().await;
    let many: String = (0..101).map(|i| format!("x-{i}: 1\r\n")).collect();
    let long = format!("x-long: {}\r\n", "a".repeat(40_000));
    for lines in [many, long] {
        let response = cluster.raw(head(&format!("{lines}\r\n")).as_bytes()).await;
        assert_refused(&response, "431", "headers-too-large", &lines[..20]);
    }
    assert_eq!(cluster.runs().len(), 0);
}

/// Guards against a refusal that is sent before the response to an earlier pipelined request.
#[tokio::test]
async fn refusal_is_sent_in_order() {
    let cluster = Cluster::open().await;
    let good = head("content-length: 0\r\n\r\n");
    let bad = head("content-length: x\r\n\r\n");
    let response = cluster
        .raw(format!("{good}{good}{bad}{good}").as_bytes())
        .await;
    let statuses: Vec<&str> = response.matches("HTTP/1.1 200").collect();
    assert_eq!(statuses.len(), 2, "{response}");
    let last = response.rfind("HTTP/1.1 ").unwrap();
    assert_refused(&response[last..], "400", "bad-request", "third");
    assert_eq!(cluster.runs().len(), 2);
}

/// Guards against a caller that occupies a connection by not completing its request head.
#[tokio::test]
async fn slow_head_times_out() {
    let limits = Limits {
        header_time: Duration::from_millis(200),
        ..Limits::default()
    };
    let cluster = Cluster::with(limits, 7, Duration::ZERO).await;
    let mut stream = TcpStream::connect(cluster.front.caller_addr())
        .await
        .unwrap();
    stream
        .write_all(b"GET /bake HTTP/1.1\r\nhost:")
        .await
        .unwrap();
    let mut response = String::new();
    let read = stream.read_to_string(&mut response);
    tokio::time::timeout(TEST_TIMEOUT, read)
        .await
        .unwrap()
        .unwrap();
    assert_refused(&response, "400", "bad-request", "slow head");
}

/// Guards against malformed chunks that end a body for the node but not for the target.
#[tokio::test]
async fn malformed_chunks_never_finish() {
    let cluster = Cluster::open().await;
    let chunked = head("transfer-encoding: chunked\r\nconnection: close\r\n\r\n");
    for (body, complete) in [
        ("3\r\nabc\r\n0\r\n\r\n", true),
        ("3;name=value\r\nabc\r\n0\r\nx-trailer: 1\r\n\r\n", true),
        ("3\nabc\r\n0\r\n\r\n", false),
        ("3\r\nabcd\r\n0\r\n\r\n", false),
        ("g\r\nabc\r\n0\r\n\r\n", false),
        ("-3\r\nabc\r\n0\r\n\r\n", false),
        ("3 \r\nabc\r\n0\r\n\r\n", false),
        ("11111111111111111\r\nabc\r\n0\r\n\r\n", false),
    ] {
        let before = cluster.runs().len();
        let response = cluster.raw(format!("{chunked}{body}").as_bytes()).await;
        assert_eq!(
            response.starts_with("HTTP/1.1 200"),
            complete,
            "{body:?}: {response}"
        );
        let finished = cluster.runs()[before..]
            .iter()
            .filter(|run| run.finished)
            .count();
        assert_eq!(finished, usize::from(complete), "{body:?}");
    }
}

#[tokio::test]
async fn expect_continue_is_answered() {
    let cluster = Cluster::open().await;
    let mut stream = TcpStream::connect(cluster.front.caller_addr())
        .await
        .unwrap();
    let lines = "expect: 100-continue\r\ncontent-length: 3\r\nconnection: close\r\n\r\n";
    stream.write_all(head(lines).as_bytes()).await.unwrap();
    let mut first = [0; 25];
    stream.read_exact(&mut first).await.unwrap();
    assert_eq!(&first, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"abc").await.unwrap();
    let mut rest = String::new();
    stream.read_to_string(&mut rest).await.unwrap();
    assert!(rest.starts_with("HTTP/1.1 200"), "{rest}");
    assert_eq!(cluster.runs()[0].bytes, 3);
}

/// Guards against "100 Continue" for a request that is refused.
#[tokio::test]
async fn refused_expectation_gets_no_continue() {
    let cluster = Cluster::open().await;
    let lines = "expect: 100-continue\r\ncontent-length: 100001\r\n\r\n";
    let response = cluster.raw(head(lines).as_bytes()).await;
    assert_refused(&response, "413", "body-too-large", lines);
}
