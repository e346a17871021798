//! Sizes, rates and positions.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

macro_rules! count_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                s.parse()
                    .map($name)
                    .map_err(|_| Error::invalid(format!("{} {s:?} is not a whole number", $kind)))
            }
        }
    };
}

count_type!(
    /// A position in the replicated log; the first entry has position 1.
    Position,
    u64,
    "position"
);
count_type!(
    /// An election term of the control processes.
    Term,
    u64,
    "term"
);
count_type!(
    /// The number of a release note; the first note has number 1.
    NoteNumber,
    u64,
    "note number"
);
count_type!(
    /// The number of requests that a target serves concurrently.
    Slots,
    u32,
    "slots"
);
count_type!(
    /// The capacity of a token bucket: the requests that may be admitted at once after an idle time.
    Burst,
    u32,
    "burst"
);
count_type!(
    /// A size in bytes.
    ByteSize,
    u64,
    "byte size"
);

impl Position {
    /// Returns the following position.
    pub fn next(self) -> Position {
        Position(self.0 + 1)
    }
}

impl Term {
    /// Returns the following term.
    pub fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

impl NoteNumber {
    /// Returns the following number.
    pub fn next(self) -> NoteNumber {
        NoteNumber(self.0 + 1)
    }
}

/// A rate in thousandths of a request per second.
///
/// The text form is `50/s`, `0.5/s` or `30/m`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(u64);

impl Rate {
    /// Maximum rate in requests per second, well above the peak of the whole fleet.
    pub const MAX_PER_SEC: u64 = 10_000_000;

    /// Creates a rate from whole requests per second.
    pub const fn per_sec(n: u64) -> Rate {
        Rate(n * 1_000)
    }

    /// Creates a rate from thousandths of a request per second.
    pub const fn from_millis(n: u64) -> Rate {
        Rate(n)
    }

    /// Returns thousandths of a request per second.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns requests per second.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(1_000) {
            write!(f, "{}/s", self.0 / 1_000)
        } else {
            write!(f, "{}/s", self.as_f64())
        }
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let malformed =
            || Error::invalid(format!("rate {s:?} is not a number followed by /s or /m"));
        let (number, unit) = s.split_once('/').ok_or_else(malformed)?;
        let number: f64 = number.trim().parse().map_err(|_| malformed())?;
        let per_sec = match unit.trim() {
            "s" => number,
            "m" => number / 60.0,
            _ => return Err(malformed()),
        };
        let limit = Rate::MAX_PER_SEC as f64;
        let millis = (per_sec * 1_000.0).round();
        if !(1.0..=limit * 1_000.0).contains(&millis) {
            return Err(Error::invalid(format!(
                "rate {s:?} must be between 0.001/s and {limit}/s"
            )));
        }
        Ok(Rate(millis as u64))
    }
}

impl TryFrom<String> for Rate {
    type Error = Error;

    fn try_from(s: String) -> Result<Self> {
        s.parse()
    }
}

impl From<Rate> for String {
    fn from(rate: Rate) -> String {
        rate.to_string()
    }
}
