//! HTTP edge cases over both hops of real processes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::caller::call;
use crate::end_to_end::ready_fleet;
use crate::fleet::{Fleet, eventually};
use crate::notes::YARD_KEY;

/// Size of a large response in bytes, far more than any buffer on the path.
const LARGE_BYTES: usize = 64 * 1024 * 1024;

/// Size of an upload in bytes, just below the body limit of the sample route.
const UPLOAD_BYTES: usize = 1_000_000;

fn open(addr: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    let timeout = Some(Duration::from_secs(30));
    stream.set_read_timeout(timeout).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

fn response_to(addr: SocketAddr, request: &str) -> String {
    let mut text = Vec::new();
    // A connection reset after the response counts as its end.
    let _ = open(addr, request).read_to_end(&mut text);
    String::from_utf8_lossy(&text).to_lowercase()
}

fn keyed(method: &str, path: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\n\
         authorization: Bearer {YARD_KEY}\r\n{more}\r\n"
    )
}

fn metric(fleet: &Fleet, node: usize, name: &str) -> f64 {
    let text = call(fleet.admin_addr(node), "GET", "/metrics", &[])
        .unwrap()
        .body;
    let line = text.lines().find(|l| l.starts_with(name));
    line.and_then(|l| l.rsplit(' ').next()?.parse().ok())
        .unwrap_or(0.0)
}

/// Guards against bodies that are truncated, modified or refused on the way over both hops.
#[test]
fn large_bodies() {
    let fleet = ready_fleet();
    let path = format!("/records/large?bytes={LARGE_BYTES}");
    let mut stream = open(fleet.caller_addr(0), &keyed("GET", &path, ""));
    let mut response = Vec::new();
    stream.read_to_end(&mut response).unwrap();
    let head = response.windows(4).position(|w| w == b"\r\n\r\n").unwrap();
    assert!(response.starts_with(b"HTTP/1.1 200"));
    assert_eq!(response.len() - head - 4, LARGE_BYTES);

    let more = format!("content-length: {UPLOAD_BYTES}\r\n");
    let mut stream = open(
        fleet.caller_addr(0),
        &keyed("POST", "/records/upload", &more),
    );
    stream.write_all(&vec![b'x'; UPLOAD_BYTES]).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");

    let more = "content-length: 99000000\r\n";
    let response = response_to(
        fleet.caller_addr(0),
        &keyed("POST", "/records/upload", more),
    );
    assert!(
        response.contains("laburnum-reason: body-too-large"),
        "{response}"
    );
}

/// Guards against request smuggling, where two parsers read the same bytes as different requests, and
/// against callers that gain anything by sending the fleet's internal headers.
#[test]
fn hostile_requests() {
    let fleet = ready_fleet();
    let addr = fleet.caller_addr(1);
    for more in [
        "content-length: 5\r\ntransfer-encoding: chunked\r\n",
        "content-length: 5\r\ncontent-length: 6\r\n",
        "folded: a\r\n b\r\n",
        "bad name: a\r\n",
    ] {
        let response = response_to(addr, &keyed("POST", "/records/1", more));
        assert!(response.starts_with("http/1.1 400"), "{more}: {response}");
        assert!(
            response.contains("laburnum-outcome: not-run"),
            "{more}: {response}"
        );
    }
    let long = format!("filler: {}\r\n", "x".repeat(100_000));
    let response = response_to(addr, &keyed("GET", "/records/1", &long));
    assert!(response.starts_with("http/1.1 431"), "{response}");

    let own = [("laburnum-account", "yard"), ("laburnum-weight", "9")];
    let response = call(addr, "GET", "/records/1", &own).unwrap();
    assert_eq!(response.reason(), "no-key", "{response:?}");
    let more = "laburnum-account: office\r\nlaburnum-target: other\r\nlaburnum-deadline-ms: 1\r\n";
    let response = response_to(addr, &keyed("GET", "/records/1?echo=1", more));
    assert!(response.starts_with("http/1.1 200"), "{response}");
    assert!(
        !response.contains("office") && !response.contains("laburnum-target"),
        "{response}"
    );
}

/// Guards against requests that keep running after their caller has disconnected.
#[test]
fn disconnected_caller() {
    let fleet = ready_fleet();
    let before = metric(&fleet, 0, "laburnum.cancelled");
    let request = keyed("GET", "/records/vanished?delay_ms=4000", "");
    let stream = open(fleet.caller_addr(0), &request);
    eventually("the target runs the request", || {
        let runs = call(fleet.target_addr(0), "GET", "/runs", &[]);
        runs.is_ok_and(|r| r.body.contains("/records/vanished"))
    });
    drop(stream);
    eventually("the request is cancelled", || {
        metric(&fleet, 0, "laburnum.cancelled") > before
    });
}
