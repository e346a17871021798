//! Kinds of requests that are not sent to one target for a time, because they often fail there.

use std::time::Duration;

use crate::time::Time;

/// Length of a first ban; each further one takes twice as long.
const BAN_BASE: Duration = Duration::from_secs(30);

/// Maximum number of doublings.
const LEVEL_MAX: u32 = 4;

/// Time after the end of a ban for which its level is kept.
const RETENTION: Duration = Duration::from_secs(600);

#[derive(Clone, Debug)]
struct Ban {
    kind: String,
    until: Time,
    level: u32,
}

/// The kinds of requests that are banned from one target.
#[derive(Clone, Debug, Default)]
pub(super) struct KindBans {
    bans: Vec<Ban>,
}

impl KindBans {
    /// Bans `kind` because of health received at `health_at`; returns true if that starts a ban.
    pub fn add(&mut self, now: Time, kind: &str, health_at: Time) -> bool {
        self.bans.retain(|b| now.since(b.until) < RETENTION);
        match self.bans.iter_mut().find(|b| b.kind == kind) {
            // Health from before the end of the last ban is not new.
            Some(ban) if now < ban.until || health_at <= ban.until => false,
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

    /// Returns true if `kind` is banned at `now`.
    pub fn contains(&self, now: Time, kind: &str) -> bool {
        self.bans.iter().any(|b| b.kind == kind && now < b.until)
    }
}
