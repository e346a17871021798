//! Which headers pass between callers and targets.

use http::{HeaderMap, HeaderValue, Request};
use laburnumtide::http::{strip_request, strip_response};

use crate::site::{Site, echoed, header};

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

/// Guards against headers of one connection that steer the next one.
#[test]
fn hop_headers_go() {
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
    let mut answer = map.clone();
    strip_request(&mut map);
    assert_eq!(names(&map), ["accept"]);
    strip_response(&mut answer);
    assert_eq!(names(&answer), ["accept"]);
}

/// Guards against a body whose length the next hop no longer knows.
#[test]
fn length_stays_when_named_as_hop() {
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

/// Guards against internal headers of the fleet that leave it in either direction.
#[tokio::test]
async fn own_headers_stay_inside() {
    let site = Site::open().await;
    let response = site.get("/bake?echo=1").await;
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

/// Guards against an upgrade or expectation that the target would answer to the wrong hop.
#[tokio::test]
async fn upgrade_is_not_passed_on() {
    let site = Site::open().await;
    let request = Request::get("/bake?echo=1")
        .header("connection", "upgrade")
        .header("upgrade", "websocket")
        .header("te", "trailers");
    let response = site.send(request).await;
    let seen = echoed(response.body());
    assert!(!seen.contains_key("upgrade") && !seen.contains_key("te"));
    assert_eq!(header(response.headers(), "laburnum-outcome"), "answer");
}
