//! Parsing of release notes: all errors at once with their locations, and one canonical encoding.

use laburnumtide::config::{NOTE_MAX_BYTES, Note};
use laburnumtide::error::Category;
use proptest::prelude::*;

const FULL: &str = r#"
number = 7
title = "Move the bakery"

[[added.accounts]]
name = "bakery"
rate = "50/s"
burst = 100

[[added.keys]]
name = "bakery-2"
account = "bakery"
digest = "sha256:e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

[[added.services]]
name = "ovens"
floor = 60

[[added.routes]]
name = "bake"
path = "/bake"
methods = ["POST", "GET"]
service = "ovens"
deadline = "1s 500ms"
body_max = 2048

[[changed.accounts]]
name = "mill"
burst = 7

[withdrawn]
keys = ["bakery-1", "bakery-0"]
"#;

/// Returns the locations and messages of the errors in `text`.
fn errors(text: &str) -> Vec<(usize, usize, String)> {
    let errors = Note::parse(text).expect_err("the note has errors");
    let parts = |e: laburnumtide::config::NoteError| (e.line, e.column, e.message);
    errors.into_iter().map(parts).collect()
}

/// Guards against the rejection of a valid note that has items of every kind.
#[test]
fn whole_note_parses() {
    let note = Note::parse(FULL).unwrap();
    assert_eq!(note.number().0, 7);
    assert_eq!(note.title(), Some("Move the bakery"));
}

/// Guards against a parser that stops at the first error, so that operators fix one error per run.
#[test]
fn all_errors_at_once() {
    let text = "number = 0\ncolour = 1\n[[added.accounts]]\nname = \"A\"\nrate = \"fast\"\n\
                [[added.keys]]\nname = \"k\"\naccount = 3\ndigest = \"sha256:00\"\n\
                [[changed.routes]]\nname = \"r\"\n[withdrawn]\nkeys = [\"k\", 5]\n";
    let found = errors(text);
    let locations: Vec<_> = found
        .iter()
        .map(|(line, column, _)| (*line, *column))
        .collect();
    let expected = [
        (1, 10),  // Number out of range.
        (2, 1),   // Unknown field.
        (3, 1),   // No burst.
        (4, 8),   // Name with a capital.
        (5, 8),   // Rate.
        (8, 11),  // Account is not a string.
        (9, 10),  // Digest.
        (10, 1),  // Change without new values.
        (13, 9),  // Key "k" is added and withdrawn.
        (13, 14), // Name is not a string.
    ];
    assert_eq!(locations, expected, "{found:#?}");
}

/// Guards against error columns that count bytes instead of characters.
#[test]
fn columns_count_characters() {
    let found = errors("number = 1\ntitle = \"größer\" colour = 1\n");
    assert_eq!(found[0].0, 2);
    assert_eq!(found[0].1, 18, "{found:?}");
}

/// Guards against a misspelled field that is ignored, so that the default applies.
#[test]
fn unknown_fields_are_errors() {
    for (text, line) in [
        ("number = 1\n[added]\nacounts = []\n", 3),
        ("number = 1\n[withdrawn]\nkey = []\n", 3),
        (
            "number = 1\n[[added.services]]\nname = \"s\"\nflor = 1\n",
            4,
        ),
        (
            "number = 1\n[[changed.accounts]]\nname = \"s\"\nbrust = 1\n",
            4,
        ),
    ] {
        let found = errors(text);
        assert_eq!(found.len(), 1, "{found:?}");
        assert_eq!(found[0].0, line, "{found:?}");
        assert!(found[0].2.contains("has no field"), "{found:?}");
    }
}

/// Guards against accepting values that are out of range or malformed, and against an error without
/// the line of the value.
#[test]
fn values_have_limits() {
    let account = |rest: &str| format!("number = 1\n[[changed.accounts]]\nname = \"a\"\n{rest}\n");
    let service = |rest: &str| format!("number = 1\n[[changed.services]]\nname = \"a\"\n{rest}\n");
    let route = |rest: &str| format!("number = 1\n[[changed.routes]]\nname = \"a\"\n{rest}\n");
    let long = format!("path = \"/{}\"", "a".repeat(300));
    let deep = format!("path = \"{}\"", "/a".repeat(17));
    for text in [
        account("burst = 0"),
        account("burst = 10000001"),
        account("burst = -1"),
        account("rate = \"0/s\""),
        account("rate = \"99999999/s\""),
        service("floor = 101"),
        route("path = \"a\""),
        route("path = \"/a/\""),
        route("path = \"/a//b\""),
        route("path = \"/a/../b\""),
        route("path = \"/a/%2E%2e/b\""),
        route("path = \"/a?b\""),
        route("path = \"/ä\""),
        route(&long),
        route(&deep),
        route("methods = [\"get\"]"),
        route("methods = [\"GET\", \"GET\"]"),
        route("methods = [\"CONNECT\"]"),
        route("deadline = \"0s\""),
        route("deadline = \"11m\""),
        route("deadline = \"1us\""),
        route("deadline = 5"),
        route("body_max = 1073741825"),
        route("open = 1"),
    ] {
        let found = errors(&text);
        assert_eq!(found.len(), 1, "{text}: {found:?}");
        assert_eq!(found[0].0, 4, "{text}: {found:?}");
    }
    assert_eq!(errors(&"#".repeat(NOTE_MAX_BYTES + 1)).len(), 1);
}

/// Guards against two digests for the same content, with which an operator's retry would be refused.
#[test]
fn digest_ignores_formatting() {
    let one = "number = 1\n[withdrawn]\nkeys = [\"a\", \"b\"]\naccounts = [\"c\"]\n";
    let two = "withdrawn.accounts = [\"c\"] # Same.\nwithdrawn.keys = [ \"b\", \"a\" ]\nnumber = 1";
    let other = "number = 1\n[withdrawn]\nkeys = [\"a\"]\naccounts = [\"c\"]\n";
    let digest = |text| Note::parse(text).unwrap().digest();
    assert_eq!(digest(one), digest(two));
    assert_ne!(digest(one), digest(other));
}

/// Guards against content that is lost or changed when a note is encoded and decoded.
#[test]
fn encoding_round_trips() {
    let note = Note::parse(FULL).unwrap();
    let bytes = note.encode();
    assert_eq!(Note::decode(&bytes).unwrap().encode(), bytes);
}

/// Guards against key digests in error messages and debug output.
#[test]
fn digests_stay_hidden() {
    let hex = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    let debug = format!("{:?}", Note::parse(FULL).unwrap());
    assert!(!debug.contains(hex));
    let bad = FULL.replace("b855", "b85x");
    let found = format!("{:?}", errors(&bad));
    assert!(!found.contains(&hex[..32]), "{found}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    /// Guards against a panic on operator input and against errors without a location.
    #[test]
    fn arbitrary_text_does_not_panic(cut in 0..FULL.len(), insert in "[\\[\\]\"=a-z0-9.\n ]{0,8}") {
        let mut text = FULL.to_owned();
        text.insert_str(cut, &insert);
        if let Err(found) = Note::parse(&text) {
            prop_assert!(found.iter().all(|e| e.line >= 1 && e.column >= 1));
        }
    }

    /// Guards against damaged bytes that decode to other content or crash the node.
    #[test]
    fn damaged_bytes_are_detected(at in 0usize..200, bit in 0u8..8) {
        let bytes = Note::parse(FULL).unwrap().encode();
        let mut damaged = bytes.clone();
        let at = at % bytes.len();
        damaged[at] ^= 1 << bit;
        match Note::decode(&damaged) {
            Ok(note) => prop_assert_eq!(note.encode(), damaged),
            Err(e) => prop_assert_eq!(e.category(), Category::Corrupt),
        }
    }
}
