//! Memory, encoded size and update time of the configuration on a node.

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use laburnumtide::config::Note;
use laburnumtide::control::state::State;
use laburnumtide::ids::KeyDigest;
use laburnumtide::replica::{Entry, LogEntry};
use laburnumtide::units::{Position, Term};
use laburnumtide::wire::replica::encode_entry;
use laburnumtide::wire::sync::Client;

use crate::cost::{millis, resident_kb, thread_cpu, timed};

/// Numbers of accounts and routes in each row; the last row is the planned size.
pub const SIZES: [(usize, usize); 3] = [(1_000, 500), (10_000, 1_500), (33_000, 4_500)];

/// Number of services in each configuration.
const SERVICES: usize = 410;

/// Number of accounts in one note, which keeps it below the limit on the size of a note.
const NOTE_ACCOUNTS: usize = 3_000;

/// Number of copies over which the memory of one is averaged.
const COPIES: usize = 8;

/// Number of changes of each kind over which the time of one is averaged.
const CHANGES: usize = 20;

/// Returns the notes, without their numbers, that grow a configuration from one size to another.
pub fn growth_notes(from: (usize, usize), to: (usize, usize)) -> Vec<String> {
    let mut notes = Vec::new();
    let mut start = from.0;
    while start < to.0 {
        let end = (start + NOTE_ACCOUNTS).min(to.0);
        notes.push(accounts(start, end));
        start = end;
    }
    notes.push(routes(from.1, to.1));
    notes
}

fn accounts(start: usize, end: usize) -> String {
    let mut text = String::new();
    for i in start..end {
        let digest = KeyDigest::of(format!("key {i}").as_bytes());
        write!(
            text,
            "[[added.accounts]]\nname=\"account-{i:05}\"\nrate=\"20/s\"\nburst=40\n\
             [[added.keys]]\nname=\"key-{i:05}\"\naccount=\"account-{i:05}\"\ndigest=\"{digest}\"\n"
        )
        .expect("writing to a string succeeds");
    }
    text
}

fn routes(start: usize, end: usize) -> String {
    let mut text = String::new();
    for i in 0..if start == 0 { SERVICES } else { 0 } {
        write!(text, "[[added.services]]\nname=\"service-{i:03}\"\n")
            .expect("writing to a string succeeds");
    }
    for i in start..end {
        let service = i % SERVICES;
        write!(
            text,
            "[[added.routes]]\nname=\"route-{i:04}\"\npath=\"/api/v1/part-{service}/item-{i}\"\n\
             service=\"service-{service:03}\"\n"
        )
        .expect("writing to a string succeeds");
    }
    text
}

/// Encodes notes as log entries, as nodes receive them.
struct LogEncoder {
    next: u64,
}

impl LogEncoder {
    fn entry(&mut self, text: &str) -> Bytes {
        let note = Note::parse(&format!("number = {}\n{text}", self.next));
        let note = note.expect("the note is valid");
        let entry = LogEntry {
            position: Position(self.next),
            term: Term(1),
            entry: Entry::Note(note.encode().into()),
        };
        self.next += 1;
        encode_entry(&entry).into()
    }
}

/// Prints one row for each size.
pub fn print() -> anyhow::Result<()> {
    println!("\nconfiguration on one node, thread CPU time, {CHANGES} changes of each kind");
    println!(
        "{:>8} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "accounts",
        "routes",
        "bytes",
        "entries B",
        "kB",
        "acct ms",
        "key ms",
        "route ms",
        "decode ms",
        "encode ms"
    );
    for size in SIZES {
        row(size)?;
    }
    Ok(())
}

fn row((accounts, routes): (usize, usize)) -> anyhow::Result<()> {
    let mut log = LogEncoder { next: 1 };
    let texts = growth_notes((0, 0), (accounts, routes));
    let entries: Vec<Bytes> = texts.iter().map(|t| log.entry(t)).collect();
    let entry_bytes: usize = entries.iter().map(Bytes::len).sum();
    let mut client = Client::new();
    client.apply_entries(&entries)?;

    let mut encoding = Duration::ZERO;
    let bytes = timed(&mut encoding, || client.state().encode());
    // The first copies fill memory that the allocator holds already, so they are not counted.
    let warm: Vec<State> = (0..COPIES)
        .map(|_| State::decode(bytes.clone()))
        .collect::<Result<_, _>>()?;
    let before = resident_kb("self");
    let mut decoding = Duration::ZERO;
    let copies = timed(&mut decoding, || {
        (0..COPIES)
            .map(|_| State::decode(bytes.clone()))
            .collect::<Result<Vec<_>, _>>()
    })?;
    let grown = resident_kb("self").saturating_sub(before) / copies.len() as u64;
    drop((warm, copies));

    let account = |i: usize| {
        let name = (i * 997) % accounts;
        format!(
            "[[changed.accounts]]\nname=\"account-{name:05}\"\nburst={}\n",
            41 + i
        )
    };
    let key = |i: usize| format!("[withdrawn]\nkeys=[\"key-{:05}\"]\n", (i * 31) % accounts);
    let route = |i: usize| {
        let name = (i * 13) % routes;
        format!("[[changed.routes]]\nname=\"route-{name:04}\"\nopen=true\n")
    };
    let changes = [
        change_time(&mut client, &mut log, account)?,
        change_time(&mut client, &mut log, key)?,
        change_time(&mut client, &mut log, route)?,
    ];
    println!(
        "{accounts:>8} {routes:>7} {:>9} {entry_bytes:>9} {grown:>9} {:>9.2} {:>9.2} {:>9.2} {:>9.1} {:>9.1}",
        bytes.len(),
        millis(changes[0]),
        millis(changes[1]),
        millis(changes[2]),
        millis(decoding) / COPIES as f64,
        millis(encoding),
    );
    Ok(())
}

/// Returns the mean CPU time in which a node applies one entry.
fn change_time(
    client: &mut Client,
    log: &mut LogEncoder,
    text: impl Fn(usize) -> String,
) -> anyhow::Result<Duration> {
    let entries: Vec<Bytes> = (0..CHANGES).map(|i| log.entry(&text(i))).collect();
    let start = thread_cpu();
    for entry in &entries {
        // In a node, requests still read the old configuration while the next one is built.
        let old = client.state().config().clone();
        client.apply_entries(std::slice::from_ref(entry))?;
        drop(old);
    }
    Ok((thread_cpu() - start) / CHANGES as u32)
}
