//! Log lines and metrics on the traffic of a node with other processes, by purpose.

use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use crate::metrics::Metrics;
use crate::wire::Channel;
use crate::wire::traffic::{self, ChannelTraffic, LinkCounts};

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Reports the traffic of each interval; never returns.
pub async fn run(metrics: Metrics) {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last: Vec<(Channel, ChannelTraffic)> = Vec::new();
    let mut last_links = LinkCounts::default();
    loop {
        ticks.tick().await;
        let channels: Vec<_> = traffic::channels().collect();
        for (i, (channel, total)) in channels.iter().enumerate() {
            let before = last.get(i).map_or(ChannelTraffic::default(), |l| l.1);
            report_channel(&metrics, *channel, total, &before);
        }
        let links = traffic::links();
        log::info!(
            event = "links", opened = links.opened - last_links.opened,
            accepted = links.accepted - last_links.accepted;
            "links opened and accepted since the last report"
        );
        (last, last_links) = (channels, links);
    }
}

fn report_channel(
    metrics: &Metrics,
    channel: Channel,
    total: &ChannelTraffic,
    before: &ChannelTraffic,
) {
    if total == before {
        return;
    }
    let name = format!("{channel:?}").to_lowercase();
    metrics.gauge(&format!("traffic.{name}.sent_bytes"), total.sent_bytes);
    metrics.gauge(
        &format!("traffic.{name}.received_bytes"),
        total.received_bytes,
    );
    log::info!(
        event = "traffic", channel = name.as_str(),
        sent = total.sent_messages - before.sent_messages,
        sent_bytes = total.sent_bytes - before.sent_bytes,
        received = total.received_messages - before.received_messages,
        received_bytes = total.received_bytes - before.received_bytes;
        "frames exchanged since the last report"
    );
}
