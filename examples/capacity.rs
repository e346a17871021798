//! Prints the cost of each role at several sizes: bytes, CPU time and memory.
//!
//! `capacity config`, `gossip`, `limits`, `sync` or `processes` prints one table; without an
//! argument all are printed. `gossip 192` and `limits 192` print only the rows of that size. The last
//! two tables start release builds of the daemons on loopback addresses, so
//! `cargo build --release --bins --examples` must have run before.

#[path = "capacity/content.rs"]
mod content;
#[path = "capacity/cost.rs"]
mod cost;
#[path = "capacity/fleet.rs"]
mod fleet;
#[path = "capacity/gossip.rs"]
mod gossip;
#[path = "capacity/limits.rs"]
mod limits;
#[path = "capacity/processes.rs"]
mod processes;
#[path = "capacity/sync.rs"]
mod sync;

use anyhow::bail;

/// Prints one table.
type Print = fn() -> anyhow::Result<()>;

fn main() -> anyhow::Result<()> {
    let filter = std::env::args().nth(1);
    let tables: [(&str, Print); 5] = [
        ("config", content::print),
        ("gossip", gossip::print),
        ("limits", limits::print),
        ("sync", sync::print),
        ("processes", processes::print),
    ];
    let is_selected = |name: &str| filter.as_deref().is_none_or(|f| f == name);
    if !tables.iter().any(|(name, _)| is_selected(name)) {
        bail!("unknown table");
    }
    for (_, print) in tables.iter().filter(|(name, _)| is_selected(name)) {
        print()?;
    }
    Ok(())
}
