//! Prints what each role costs at several sizes: bytes, processor time and memory.
//!
//! `capacity config`, `gossip`, `limits`, `sync` or `processes` prints one table; without an
//! argument all are printed, and `gossip 192` and `limits 192` print the rows of one size. The last
//! two tables start release builds of the daemons on loopback
//! addresses, so `cargo build --release --bins --examples` must have run before.

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
    let wanted = std::env::args().nth(1);
    let tables: [(&str, Print); 5] = [
        ("config", content::print),
        ("gossip", gossip::print),
        ("limits", limits::print),
        ("sync", sync::print),
        ("processes", processes::print),
    ];
    let chosen = |name: &str| wanted.as_deref().is_none_or(|w| w == name);
    if !tables.iter().any(|(name, _)| chosen(name)) {
        bail!("there is no such table");
    }
    for (_, print) in tables.iter().filter(|(name, _)| chosen(name)) {
        print()?;
    }
    Ok(())
}
