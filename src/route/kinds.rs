//! Kinds of requests that are kept away from a target.

use std::time::Duration;

use crate::time::Time;

/// First time for which a kind is kept away; it doubles each time it fails again.
const BAN_BASE: Duration = Duration::from_secs(30);

/// Doublings at most.
const LEVEL_MAX: u32 = 4;

/// Quiet time after which a ban is forgotten.
const FORGET: Duration = Duration::from_secs(600);

#[derive(Clone, Debug)]
struct Ban {
    kind: String,
    until: Time,
    level: u32,
}

/// The kinds of requests that are kept away from one target.
#[derive(Clone, Debug, Default)]
pub(super) struct KindBans {
    bans: Vec<Ban>,
}

impl KindBans {
    /// Keeps `kind` away, on evidence received at `seen`, and returns true if that is new.
    pub fn add(&mut self, now: Time, kind: &str, seen: Time) -> bool {
        self.bans.retain(|b| now.since(b.until) < FORGET);
        match self.bans.iter_mut().find(|b| b.kind == kind) {
            // Evidence from before the end of the last ban is not new.
            Some(ban) if now < ban.until || seen <= ban.until => false,
            Some(ban) => {
                ban.level = (ban.level + 1).min(LEVEL_MAX);
                ban.until = now + BAN_BASE * 2u32.pow(ban.level);
                true
            }
            None => {
                self.bans.push(Ban {
                    kind: kind.to_owned(),
                    until: now + BAN_BASE,
                    level: 0,
                });
                true
            }
        }
    }

    /// Returns true if `kind` is kept away at `now`.
    pub fn contains(&self, now: Time, kind: &str) -> bool {
        self.bans.iter().any(|b| b.kind == kind && now < b.until)
    }
}
