//! Applying notes completely or not at all, and lookups in the result.

#[path = "support/planned.rs"]
mod planned;

use std::time::Instant;

use laburnumtide::config::{Config, Note, NoteError, RouteMatch};
use laburnumtide::ids::KeyDigest;
use laburnumtide::units::Burst;
use proptest::prelude::*;

const BASE: &str = r#"
number = 1
[[added.accounts]]
name = "bakery"
rate = "50/s"
burst = 100
[[added.accounts]]
name = "mill"
rate = "5/s"
burst = 10
[[added.keys]]
name = "bakery-1"
account = "bakery"
digest = "sha256:e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
[[added.services]]
name = "ovens"
[[added.services]]
name = "stones"
[[added.routes]]
name = "bake"
path = "/a"
service = "ovens"
methods = ["GET", "POST"]
[[added.routes]]
name = "bake-put"
path = "/a"
service = "ovens"
methods = ["PUT"]
[[added.routes]]
name = "deep"
path = "/a/b/c"
service = "stones"
open = true
methods = ["GET"]
"#;

fn base() -> Config {
    let mut config = Config::new();
    config.apply(&Note::parse(BASE).unwrap()).unwrap();
    config
}

fn try_apply(config: &mut Config, text: &str) -> Result<(), Vec<NoteError>> {
    config.apply(&Note::parse(text).expect("the text is valid"))
}

fn name_of(found: RouteMatch<'_>) -> Option<&str> {
    match found {
        RouteMatch::Found(route) => Some(route.name.as_str()),
        _ => None,
    }
}

/// Guards against prefix matches inside a segment and against a shorter prefix that wins.
#[test]
fn longest_prefix_wins() {
    let config = base();
    let route = |method, path| name_of(config.match_route_without_host(method, path));
    assert_eq!(route("GET", "/a"), Some("bake"));
    assert_eq!(route("GET", "/a/"), Some("bake"));
    assert_eq!(route("GET", "/a?x=/a/b/c"), Some("bake"));
    assert_eq!(route("PUT", "/a/b"), Some("bake-put"));
    assert_eq!(route("GET", "/a/b/c/d"), Some("deep"));
    assert_eq!(route("GET", "/a/b/cc"), Some("bake"));
    assert_eq!(
        config.match_route_without_host("GET", "/ab"),
        RouteMatch::NoRoute
    );
    assert_eq!(
        config.match_route_without_host("GET", "a"),
        RouteMatch::NoRoute
    );
    assert_eq!(
        config.match_route_without_host("GET", "/a/%2e%2E/x"),
        RouteMatch::NoRoute
    );
    assert_eq!(
        config.match_route_without_host("PUT", "/a/b/c"),
        RouteMatch::MethodNotAllowed
    );
    let long = format!("/a/b/c{}", "/x".repeat(5_000));
    assert_eq!(route("GET", &long), Some("deep"));
}

/// Guards against a note that is applied in part, and against errors reported one at a time.
#[test]
fn invalid_note_changes_nothing() {
    let mut config = base();
    let before = config.encode();
    let text = r#"
number = 4
[[added.accounts]]
name = "mill"
rate = "1/s"
burst = 1
[[added.keys]]
name = "k"
account = "nobody"
digest = "sha256:e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
[[changed.routes]]
name = "deep"
path = "/a"
service = "gone"
[[changed.accounts]]
name = "absent"
burst = 2
[withdrawn]
accounts = ["bakery"]
services = ["ovens"]
"#;
    let errors = try_apply(&mut config, text).unwrap_err();
    let locations: Vec<_> = errors.iter().map(|e| (e.line, e.column)).collect();
    let expected = [
        (2, 10),  // Number is not the next one.
        (4, 8),   // Account exists.
        (9, 11),  // Account of the key is absent.
        (10, 10), // Digest is in use.
        (13, 8),  // Path and method are in use.
        (14, 11), // Service is absent.
        (16, 8),  // Account is absent.
        (19, 13), // The account still has a key.
        (20, 13), // Two routes lead to the service.
        (20, 13),
    ];
    assert_eq!(locations, expected, "{errors:#?}");
    assert_eq!(config.encode(), before);
}

/// Guards against references that are checked before the whole note is applied.
#[test]
fn references_use_whole_note() {
    let mut config = base();
    let text = r#"
number = 2
[withdrawn]
accounts = ["bakery"]
keys = ["bakery-1"]
[[added.keys]]
name = "smith-1"
account = "smith"
digest = "sha256:e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
[[added.accounts]]
name = "smith"
rate = "1/s"
burst = 3
"#;
    try_apply(&mut config, text).unwrap();
    let account = config
        .account_of(&KeyDigest::of(b""))
        .expect("the key moved");
    assert_eq!(account.name.as_str(), "smith");
    assert!(config.account(&"bakery".parse().unwrap()).is_none());
}

/// Guards against a change that resets fields which it does not contain.
#[test]
fn change_keeps_other_fields() {
    let mut config = base();
    let text = "number = 2\n[[changed.accounts]]\nname = \"mill\"\nburst = 11\n\
                [[changed.routes]]\nname = \"deep\"\ndeadline = \"1s\"\n";
    try_apply(&mut config, text).unwrap();
    let mill = config.account(&"mill".parse().unwrap()).unwrap();
    assert_eq!((mill.rate.as_millis(), mill.burst), (5_000, Burst(11)));
    let route = config.route(&"deep".parse().unwrap()).unwrap();
    assert!(route.open);
    assert_eq!(route.deadline.as_secs(), 1);
}

/// Guards against a retry of a method that the route no longer has.
#[test]
fn idempotent_methods_are_allowed() {
    let mut config = base();
    let text = "number = 2\n[[changed.routes]]\nname = \"bake\"\nmethods = [\"POST\"]\n";
    let errors = try_apply(&mut config, text).unwrap_err();
    assert!(
        errors[0].message.contains("\"GET\" is not in methods"),
        "{errors:?}"
    );
}

/// Guards against a configuration that changes while a request uses it.
#[test]
fn clones_are_independent() {
    let old = base();
    let mut new = old.clone();
    try_apply(&mut new, "number = 2\n[withdrawn]\nkeys = [\"bakery-1\"]\n").unwrap();
    assert!(old.account_of(&KeyDigest::of(b"")).is_some());
    assert!(new.account_of(&KeyDigest::of(b"")).is_none());
    assert!(new.account_of(&KeyDigest::of(b"other")).is_none());
}

/// Guards against decoding truncated bytes, or a note that is not a whole configuration.
#[test]
fn damaged_config_is_rejected() {
    let bytes = base().encode();
    assert_eq!(Config::decode(&bytes).unwrap().encode(), bytes);
    assert!(Config::decode(&bytes[..bytes.len() - 1]).is_err());
    let note = Note::parse("number = 1\n[withdrawn]\nkeys = [\"k\"]\n").unwrap();
    assert!(Config::decode(&note.encode()).is_err());
}

/// Guards against a slow application that blocks a node; the limit is 10 ms in a release build.
#[test]
fn planned_size_applies_fast() {
    let mut config = planned::config();
    println!("encoded: {} bytes", config.encode().len());
    let kept = config.clone();
    let change = "number = 13\n[[changed.accounts]]\nname = \"account-20000\"\nburst = 41\n";
    let withdraw = "number = 14\n[withdrawn]\nkeys = [\"key-20000\"]\n";
    let route = "number = 15\n[[changed.routes]]\nname = \"route-0001\"\nopen = true\n";
    for text in [change, withdraw, route] {
        let note = Note::parse(text).unwrap();
        let start = Instant::now();
        config.apply(&note).unwrap();
        let spent = start.elapsed();
        println!("apply: {spent:?}");
        let limit = if cfg!(debug_assertions) { 100 } else { 10 };
        assert!(spent.as_millis() < limit, "{spent:?}");
    }
    let digest = KeyDigest::of(b"key 20000");
    assert!(kept.account_of(&digest).is_some());
    assert!(config.account_of(&digest).is_none());
    let found = config.match_route_without_host("GET", "/api/v1/part-1/item-1/x");
    assert_eq!(name_of(found), Some("route-0001"));
}

/// One of a few names, so that notes often refer to existing items.
fn account() -> impl Strategy<Value = String> {
    (0u8..4).prop_map(|i| format!("a{i}"))
}

fn line() -> impl Strategy<Value = (u8, String, u32)> {
    (0u8..5, account(), 1u32..5)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    /// Guards against replicas with different encodings of one configuration, and against rules
    /// that are checked only for the items in a note.
    #[test]
    fn decoded_config_is_same(notes in prop::collection::vec(prop::collection::vec(line(), 1..4), 1..20)) {
        let mut config = Config::new();
        for lines in notes {
            let mut text = format!("number = {}\n", config.number().next());
            for (i, (kind, name, n)) in lines.iter().enumerate() {
                let digest = KeyDigest::of(&[*n as u8]);
                let part = match kind {
                    0 => format!("[[added.accounts]]\nname=\"{name}\"\nrate=\"{n}/s\"\nburst={n}\n"),
                    1 => format!("[[changed.accounts]]\nname=\"{name}\"\nburst={n}\n"),
                    2 => format!("[[added.keys]]\nname=\"k{n}\"\naccount=\"{name}\"\ndigest=\"{digest}\"\n"),
                    3 if i == 0 => format!("[withdrawn]\naccounts=[\"{name}\"]\n"),
                    _ if i == 0 => format!("[withdrawn]\nkeys=[\"k{n}\"]\n"),
                    _ => String::new(),
                };
                text.push_str(&part);
            }
            let Ok(note) = Note::parse(&text) else { continue };
            let before = config.encode();
            if config.apply(&note).is_err() {
                prop_assert_eq!(config.encode(), before);
            }
            let bytes = config.encode();
            let decoded = Config::decode(&bytes).expect("an applied configuration keeps every rule");
            prop_assert_eq!(decoded.encode(), bytes);
            for key in config.keys() {
                let owner = decoded.account_of(&key.digest).expect("the account exists");
                prop_assert_eq!(&owner.name, &key.account);
            }
        }
    }
}
