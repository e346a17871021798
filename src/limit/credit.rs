//! Tokens that an owner has granted to this node for one account.

use std::time::Duration;

use crate::ids::AccountName;
use crate::limit::{CreditRequest, Grant, shrink, stretch};
use crate::time::Time;

/// The node's state of a credit: tokens granted under one lease, all of which expire at the same
/// time.
#[derive(Clone, Debug)]
pub(super) struct Credit {
    number: u64,
    /// Zero until the first response.
    serial: u64,
    total: u64,
    spent: u64,
    returned: u64,
    reported: u64,
    until: Time,
    spendable: u64,
    ready: Time,
}

impl Credit {
    pub(super) fn new(number: u64) -> Credit {
        Credit {
            number,
            serial: 0,
            total: 0,
            spent: 0,
            returned: 0,
            reported: 0,
            until: Time::ZERO,
            spendable: 0,
            ready: Time::ZERO,
        }
    }

    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Returns true if the credit has had tokens and they have expired.
    pub(super) fn is_expired(&self, now: Time) -> bool {
        self.serial != 0 && self.until <= now
    }

    /// Returns the tokens that may be spent at `now`.
    pub(super) fn usable(&self, now: Time) -> u64 {
        if self.until <= now {
            return 0;
        }
        let unlocked = if self.ready <= now {
            self.total
        } else {
            self.spendable
        };
        unlocked.saturating_sub(self.spent + self.returned)
    }

    /// Returns the tokens that may be spent at `now` or later.
    pub(super) fn held(&self, now: Time) -> u64 {
        match self.until <= now {
            true => 0,
            false => self.total - self.spent - self.returned,
        }
    }

    /// Returns the time from which the tokens that were granted in advance may be spent.
    pub(super) fn ready_at(&self, now: Time) -> Option<Time> {
        (self.ready > now && self.spendable < self.total).then_some(self.ready)
    }

    /// Returns the time from `sent` to the expiry.
    pub(super) fn validity_after(&self, sent: Time) -> Duration {
        self.until.since(sent)
    }

    pub(super) fn unreported(&self) -> u64 {
        self.spent - self.reported
    }

    pub(super) fn spend(&mut self, now: Time) -> bool {
        let usable = self.usable(now) > 0;
        self.spent += u64::from(usable);
        usable
    }

    /// Returns the tokens beyond `keep` to the owner.
    pub(super) fn return_above(&mut self, now: Time, keep: u64) {
        self.returned += self.held(now).saturating_sub(keep);
    }

    /// Applies the owner's state of the credit; returns false if the owner no longer has the
    /// credit.
    ///
    /// The expiry counts from the send time of the request, which precedes the owner's response.
    pub(super) fn apply(&mut self, now: Time, sent: Time, grant: &Grant) -> bool {
        if grant.valid_for.is_zero() || (self.serial != 0 && self.serial != grant.serial) {
            return false;
        }
        self.serial = grant.serial;
        if self.ready <= now {
            self.spendable = self.total;
        }
        if grant.total > self.total {
            self.ready = self.ready.max(now + stretch(grant.ready_in));
        }
        self.total = self.total.max(grant.total);
        self.spendable = self.spendable.max(grant.spendable);
        self.until = self.until.max(sent + shrink(grant.valid_for));
        true
    }

    pub(super) fn request(&mut self, now: Time, name: &AccountName) -> CreditRequest {
        self.reported = self.spent;
        CreditRequest {
            account: name.clone(),
            credit: self.number,
            serial: self.serial,
            sent: now,
            spent: self.spent,
            returned: self.returned,
            waiting: 0,
            demand: 0,
            close: false,
            relay: false,
        }
    }

    /// Returns all tokens to the owner, with the last request of the credit.
    pub(super) fn close(mut self, now: Time, name: &AccountName) -> CreditRequest {
        self.return_above(now, 0);
        let mut request = self.request(now, name);
        request.close = true;
        request
    }
}
