//! Counts of the messages and bytes that this process exchanges on framed links, by purpose.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::wire::frame::Channel;

/// Encoded size of a frame's own fields and its length prefix, in bytes.
const FRAME_OVERHEAD_BYTES: u64 = 14;

/// All channels, in the order of their numbers.
const CHANNELS: [Channel; CHANNEL_COUNT] = [
    Channel::Replica,
    Channel::Sync,
    Channel::Gossip,
    Channel::Limit,
    Channel::Idempotency,
];

/// Number of channels.
const CHANNEL_COUNT: usize = 5;

static COUNTERS: [Counters; CHANNEL_COUNT] = [const { Counters::new() }; CHANNEL_COUNT];
static LINKS_OPENED: AtomicU64 = AtomicU64::new(0);
static LINKS_ACCEPTED: AtomicU64 = AtomicU64::new(0);

#[derive(Debug)]
struct Counters {
    sent_messages: AtomicU64,
    sent_bytes: AtomicU64,
    received_messages: AtomicU64,
    received_bytes: AtomicU64,
}

impl Counters {
    const fn new() -> Counters {
        Counters {
            sent_messages: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            received_messages: AtomicU64::new(0),
            received_bytes: AtomicU64::new(0),
        }
    }
}

/// The frames of one channel since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChannelTraffic {
    /// Number of frames sent.
    pub sent_messages: u64,
    /// Bytes sent, without TCP and IP headers.
    pub sent_bytes: u64,
    /// Number of frames received.
    pub received_messages: u64,
    /// Bytes received, without TCP and IP headers.
    pub received_bytes: u64,
}

/// The links of this process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Links opened to other processes.
    pub opened: u64,
    /// Links accepted from other processes.
    pub accepted: u64,
}

/// Returns the traffic of every channel.
pub fn channels() -> impl Iterator<Item = (Channel, ChannelTraffic)> {
    let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    CHANNELS.iter().zip(&COUNTERS).map(move |(channel, c)| {
        let traffic = ChannelTraffic {
            sent_messages: read(&c.sent_messages),
            sent_bytes: read(&c.sent_bytes),
            received_messages: read(&c.received_messages),
            received_bytes: read(&c.received_bytes),
        };
        (*channel, traffic)
    })
}

/// Returns how many links were opened and accepted.
pub fn links() -> LinkCounts {
    LinkCounts {
        opened: LINKS_OPENED.load(Ordering::Relaxed),
        accepted: LINKS_ACCEPTED.load(Ordering::Relaxed),
    }
}

pub(super) fn count_sent(channel: i32, payload: usize) {
    if let Some(counters) = counters(channel) {
        add(&counters.sent_messages, 1);
        add(&counters.sent_bytes, payload as u64 + FRAME_OVERHEAD_BYTES);
    }
}

pub(super) fn count_received(channel: i32, payload: usize) {
    if let Some(counters) = counters(channel) {
        add(&counters.received_messages, 1);
        add(
            &counters.received_bytes,
            payload as u64 + FRAME_OVERHEAD_BYTES,
        );
    }
}

pub(super) fn count_opened() {
    add(&LINKS_OPENED, 1);
}

pub(super) fn count_accepted() {
    add(&LINKS_ACCEPTED, 1);
}

fn counters(channel: i32) -> Option<&'static Counters> {
    usize::try_from(channel).ok().and_then(|i| COUNTERS.get(i))
}

fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}
