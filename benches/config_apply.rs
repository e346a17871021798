//! Benchmarks of changes, lookups, encoding and decoding of a configuration of the planned size.
//!
//! Also prints the encoded size and the resident memory of one configuration.

#[path = "../tests/support/planned.rs"]
mod planned;

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use laburnumtide::config::{Config, Note};
use laburnumtide::ids::KeyDigest;

/// Number of configurations over which the memory of one is averaged.
const COPIES: usize = 16;

/// Returns the resident memory of this process in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn apply(c: &mut Criterion, config: &Config, name: &str, change: &str) {
    let note = Note::parse(&format!("number = 13\n{change}")).expect("the note is valid");
    c.bench_function(name, |b| {
        b.iter(|| {
            let mut next = config.clone();
            next.apply(&note).expect("the note has the next number");
            next
        });
    });
}

fn bench(c: &mut Criterion) {
    let bytes = planned::config().encode();
    let decode = || Config::decode(&bytes).expect("the encoding is valid");
    let config = decode();
    // Several copies are made, since the first ones fill memory that the allocator holds already.
    let before = resident_kb();
    let copies: Vec<Config> = (0..COPIES).map(|_| decode()).collect();
    let grown = resident_kb().saturating_sub(before) / copies.len() as u64;
    drop(copies);
    println!("encoded: {} bytes, resident: {grown} kB", bytes.len());

    let burst = "[[changed.accounts]]\nname = \"account-20000\"\nburst = 41\n";
    apply(c, &config, "apply/account", burst);
    apply(
        c,
        &config,
        "apply/key",
        "[withdrawn]\nkeys = [\"key-20000\"]\n",
    );
    let open = "[[changed.routes]]\nname = \"route-0001\"\nopen = true\n";
    apply(c, &config, "apply/route", open);

    let digests: Vec<_> = (0..33_000)
        .map(|i| KeyDigest::of(format!("key {i}").as_bytes()))
        .collect();
    let mut next = 0;
    c.bench_function("lookup/key", |b| {
        b.iter(|| {
            next = (next + 7_919) % digests.len();
            black_box(config.account_of(&digests[next])).is_some()
        });
    });
    c.bench_function("lookup/route", |b| {
        b.iter(|| {
            let path = black_box("/api/v1/part-20/item-2890/left/right");
            black_box(config.match_route_without_host("GET", path))
        });
    });
    c.bench_function("encode", |b| b.iter(|| config.encode()));
    c.bench_function("decode", |b| b.iter(|| Config::decode(&bytes)));
}

criterion_group!(benches, bench);
criterion_main!(benches);
