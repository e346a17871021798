//! Filtering of headers between callers and targets.

use http::{HeaderMap, HeaderValue, Request};
use laburnumtide::http::{strip_request, strip_response};

use crate::cluster::{Cluster, echoed, header};

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in pairs {
        map.append(*name, HeaderValue::from_static(value));
    }
    map
}

fn names(map: &HeaderMap) -> Vec<&str> {
    let mut names: Vec<&str> = map.keys().map(|n| n.as_str()).collect();
    names.sort();
    names
}

/// Guards against hop-by-hop headers that reach the next connection.
#[test]
fn hop_by_hop_headers_are_removed() {
    let mut map = headers(&[
        ("connection", "close, X-Hop"),
        ("connection", "x-other"),
        ("x-hop", "1"),
        ("x-other", "1"),
        ("keep-alive", "timeout=5"),
        ("te", "trailers"),
        ("trailer", "x-sum"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "websocket"),
        ("proxy-connection", "close"),
        ("accept", "text/plain"),
    ]);
    let mut response = map.clone();
    strip_request(&mut map);
    assert_eq!(names(&map), ["accept"]);
    strip_response(&mut response);
    assert_eq!(names(&response), ["accept"]);
}

/// Guards against a caller that removes the length of a body by listing it as a hop-by-hop header.
#[test]
fn content_length_listed_in_connection_stays() {
    let mut map = headers(&[("connection", "content-length"), ("content-length", "3")]);
    strip_request(&mut map);
    assert_eq!(names(&map), ["content-length"]);
}

#[test]
fn repeated_headers_keep_their_order() {
    let mut map = headers(&[("cookie", "a"), ("x", "1"), ("cookie", "b")]);
    strip_request(&mut map);
    let cookies: Vec<_> = map.get_all("cookie").iter().collect();
    assert_eq!(cookies, ["a", "b"]);
}

/// Guards against internal headers that reach callers or targets.
#[tokio::test]
async fn internal_headers_are_not_exposed() {
    let cluster = Cluster::open().await;
    let response = cluster.get("/bake?echo=1").await;
    let own = |names: Vec<&str>| -> Vec<String> {
        let own = names.into_iter().filter(|n| n.starts_with("laburnum-"));
        own.map(str::to_owned).collect()
    };
    assert_eq!(
        own(names(response.headers())),
        ["laburnum-outcome", "laburnum-request-id"]
    );
    let seen = echoed(response.body());
    let mut seen = own(seen.keys().map(String::as_str).collect());
    seen.sort();
    let expected = [
        "laburnum-attempt",
        "laburnum-deadline-ms",
        "laburnum-request-id",
    ];
    assert_eq!(seen, expected);
}

/// Guards against an upgrade request that reaches the target, whose response applies to another
/// hop.
#[tokio::test]
async fn upgrade_is_not_passed_on() {
    let cluster = Cluster::open().await;
    let request = Request::get("/bake?echo=1")
        .header("connection", "upgrade")
        .header("upgrade", "websocket")
        .header("te", "trailers");
    let response = cluster.send(request).await;
    let seen = echoed(response.body());
    assert!(!seen.contains_key("upgrade") && !seen.contains_key("te"));
    assert_eq!(header(response.headers(), "laburnum-outcome"), "answer");
}
