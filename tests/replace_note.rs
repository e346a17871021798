//! Notes that replace the whole configuration: only one note per base is applied, and completely.

use std::time::Duration;

use bytes::Bytes;
use laburnumtide::config::{
    ANY_METHOD, Account, Config, Key, Note, Replacement, Route, RouteMatch, Service,
    WeightedService,
};
use laburnumtide::prelude::*;

fn account(name: &str) -> Account {
    Account {
        name: name.parse().unwrap(),
        rate: Rate::per_sec(5),
        burst: Burst(5),
        priority: None,
    }
}

fn key(account: &str, text: &str) -> Key {
    Key {
        name: format!("key-{text}").parse().unwrap(),
        account: account.parse().unwrap(),
        digest: KeyDigest::of(text.as_bytes()),
    }
}

fn service(name: &str) -> Service {
    Service {
        name: name.parse().unwrap(),
        floor: 70,
        open_rate: Rate::default(),
        open_burst: Burst::default(),
    }
}

fn route(name: &str, host: &str, path: &str, service: &str) -> Route {
    Route {
        name: name.parse().unwrap(),
        host: host.to_owned(),
        path: path.to_owned(),
        methods: vec![ANY_METHOD.to_owned()],
        service: service.parse().unwrap(),
        split: Vec::new(),
        open: false,
        deadline: Duration::from_secs(2),
        body_max: ByteSize(1_000),
        idempotent: Vec::new(),
        attempts: 2,
        priority: 1,
        objective: Duration::from_secs(1),
    }
}

fn content(number: u64, base: u64) -> Replacement {
    Replacement {
        number: NoteNumber(number),
        base: NoteNumber(base),
        accounts: vec![account("bank")],
        keys: vec![key("bank", "one"), key("bank", "two")],
        services: vec![service("left"), service("right")],
        routes: vec![
            route("a", "x.example", "/pay", "left"),
            route("b", "y.example", "/pay", "right"),
        ],
        document: Bytes::from(format!("document {number}")),
    }
}

fn config() -> Config {
    let mut config = Config::new();
    let note = Note::replace(content(7, 0)).unwrap();
    config.apply(&note).unwrap();
    config
}

fn service_at<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a str> {
    match config.match_route(host, "POST", path) {
        RouteMatch::Found(route) => Some(route.service.as_str()),
        _ => None,
    }
}

/// Guards against two notes with the same base that are both applied, and against an older note
/// that is applied again.
#[test]
fn one_replacement_per_base() {
    let mut config = config();
    let first = Note::replace(content(9, 7)).unwrap();
    let second = Note::replace(content(12, 7)).unwrap();
    config.apply(&first).unwrap();
    assert!(config.apply(&second).is_err());
    assert!(config.apply(&first).is_err());
    let stale = Note::replace(content(8, 9)).unwrap();
    assert!(config.apply(&stale).is_err());
    assert_eq!(config.number(), NoteNumber(9));
}

/// Guards against items of an earlier configuration that remain after a replacement.
#[test]
fn replaces_whole_config() {
    let mut config = config();
    let mut next = content(9, 7);
    next.keys.remove(0);
    next.routes.remove(0);
    config.apply(&Note::replace(next).unwrap()).unwrap();
    assert!(config.account_of(&KeyDigest::of(b"one")).is_none());
    assert!(config.account_of(&KeyDigest::of(b"two")).is_some());
    assert_eq!(service_at(&config, "x.example", "/pay/1"), None);
    assert_eq!(service_at(&config, "y.example", "/pay/1"), Some("right"));
}

/// Guards against a request that is routed to the service of another host.
#[test]
fn hosts_are_separate() {
    let config = config();
    assert_eq!(service_at(&config, "x.example", "/pay/1"), Some("left"));
    assert_eq!(service_at(&config, "Y.Example:8080", "/pay"), Some("right"));
    assert_eq!(service_at(&config, "z.example", "/pay"), None);
    assert_eq!(service_at(&config, "x.example", "/payment"), None);
}

/// Guards against accepting content that breaks a rule.
#[test]
fn rules_are_checked() {
    let broken: [fn(&mut Replacement); 7] = [
        |c| c.routes[0].service = "absent".parse().unwrap(),
        |c| c.routes[1] = route("c", "x.example", "/pay", "left"),
        |c| c.routes[0].deadline = Duration::ZERO,
        |c| c.routes[0].deadline = Duration::from_secs(601),
        |c| c.routes[0].objective = Duration::from_secs(62),
        |c| c.keys.push(key("absent", "three")),
        |c| {
            let parts = [("left", 0), ("right", 1)];
            let share = |(name, weight): (&str, u32)| WeightedService {
                service: name.parse().unwrap(),
                weight,
            };
            c.routes[0].split = parts.map(share).to_vec();
        },
    ];
    for (i, break_rule) in broken.iter().enumerate() {
        let mut content = content(9, 7);
        break_rule(&mut content);
        let rejected = match Note::replace(content) {
            Ok(note) => config().apply(&note).is_err(),
            Err(_) => true,
        };
        assert!(rejected, "content {i} was accepted");
    }
}

/// Guards against a split whose shares do not match the weights.
#[test]
fn split_shares() {
    let mut route = route("a", "x.example", "/pay", "left");
    let share = |(name, weight): (&str, u32)| WeightedService {
        service: name.parse().unwrap(),
        weight,
    };
    route.split = [("left", 90), ("right", 10)].map(share).to_vec();
    let draws = 100_000u64;
    let draw = |n: u64| (n * u64::from(u32::MAX) / draws) as u32;
    let drawn = (0..draws).filter(|n| route.service_for(draw(*n)).as_str() == "right");
    let share = drawn.count() as f64 / draws as f64;
    assert!((share - 0.1).abs() < 0.001, "{share}");
}

/// Guards against sending the operator's text, which contains keys, to nodes.
#[test]
fn document_is_not_sent_to_nodes() {
    let note = Note::replace(content(9, 7)).unwrap();
    let bytes = note.encode();
    assert_eq!(
        Note::decode(&bytes).unwrap().document(),
        Some(&Bytes::from("document 9"))
    );
    let public = note.without_document().encode();
    assert!(!public.windows(8).any(|w| w == b"document"));
    let mut config = config();
    config.apply(&Note::decode(&public).unwrap()).unwrap();
    assert_eq!(config.number(), NoteNumber(9));
}

/// Guards against a replacement after which a note with edits can't be applied.
#[test]
fn edits_follow_replacement() {
    let mut config = config();
    let text = "number = 8\n[[changed.accounts]]\nname = \"bank\"\nrate = \"9/s\"\n";
    config.apply(&Note::parse(text).unwrap()).unwrap();
    assert_eq!(config.number(), NoteNumber(8));
}
