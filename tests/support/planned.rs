//! A configuration of the planned size: 33,000 accounts with keys, 410 services, 4,500 routes.

use std::fmt::Write;

use laburnumtide::config::{Config, Note};
use laburnumtide::ids::KeyDigest;

fn apply(config: &mut Config, text: &str) {
    let note = Note::parse(text).expect("the text is valid");
    config.apply(&note).expect("the note applies");
}

/// Builds a configuration of the planned size from several notes.
pub fn config() -> Config {
    let mut config = Config::new();
    for part in 0..11 {
        let mut text = format!("number = {}\n", part + 1);
        for i in part * 3_000..(part + 1) * 3_000 {
            let digest = KeyDigest::of(format!("key {i}").as_bytes());
            write!(
                text,
                "[[added.accounts]]\nname=\"account-{i:05}\"\nrate=\"20/s\"\nburst=40\n\
                 [[added.keys]]\nname=\"key-{i:05}\"\naccount=\"account-{i:05}\"\ndigest=\"{digest}\"\n"
            )
            .unwrap();
        }
        apply(&mut config, &text);
    }
    let mut text = "number = 12\n".to_owned();
    for i in 0..410 {
        write!(text, "[[added.services]]\nname=\"service-{i:03}\"\n").unwrap();
    }
    for i in 0..4_500 {
        let service = i % 410;
        write!(
            text,
            "[[added.routes]]\nname=\"route-{i:04}\"\npath=\"/api/v1/part-{service}/item-{i}\"\n\
             service=\"service-{service:03}\"\n"
        )
        .unwrap();
    }
    apply(&mut config, &text);
    config
}
