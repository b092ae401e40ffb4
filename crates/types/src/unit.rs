//! Quantities with their unit as part of the type, and of the text form if they have one.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// A value can't be parsed as a quantity.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{found:?} is not {expected}")]
pub struct UnitError {
    /// The rejected text.
    pub found: String,
    /// The expected format, with an example.
    pub expected: &'static str,
}

impl UnitError {
    fn new(found: &str, expected: &'static str) -> Self {
        Self { found: found.to_owned(), expected }
    }
}

/// A length of time, written as `250ms` or `1m 30s`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    DeserializeFromStr,
    Eq,
    Hash,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    SerializeDisplay,
)]
#[schemars(with = "String", extend(
    "pattern" = r"^([0-9]+ ?[a-zA-Z]+ ?)+$",
    "x-allowed" = "a time span such as 250ms, 16s or 1m 30s",
))]
pub struct Span(pub Duration);

impl Span {
    /// Creates a span from whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Creates a span from whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(Duration::from_secs(secs))
    }

    /// Converts the span into a [`Duration`].
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl FromStr for Span {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        humantime::parse_duration(text)
            .map(Self)
            .map_err(|_| UnitError::new(text, "a time span such as 250ms, 16s or 1m 30s"))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&humantime::format_duration(self.0), f)
    }
}

/// An amount of memory or data in bytes, written as `64MiB`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    DeserializeFromStr,
    Eq,
    Hash,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    SerializeDisplay,
)]
#[schemars(with = "String", extend(
    "pattern" = r"^[0-9]+(\.[0-9]+)? ?([kKMGTP]i?)?B$",
    "x-allowed" = "a size such as 64MiB or 512KiB",
))]
pub struct Size(pub u64);

impl Size {
    /// Creates a size from whole kibibytes.
    pub const fn from_kib(kib: u64) -> Self {
        Self(kib * 1024)
    }

    /// Creates a size from whole mebibytes.
    pub const fn from_mib(mib: u64) -> Self {
        Self(mib * 1024 * 1024)
    }

    /// The size in bytes, limited to the largest `usize`.
    pub fn bytes(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl FromStr for Size {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let expected = "a size such as 64MiB or 512KiB";
        if !text.ends_with('B') {
            return Err(UnitError::new(text, expected));
        }
        bytesize::ByteSize::from_str(text)
            .map(|size| Self(size.as_u64()))
            .map_err(|_| UnitError::new(text, expected))
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const UNITS: [(u64, &str); 4] =
            [(1 << 40, "TiB"), (1 << 30, "GiB"), (1 << 20, "MiB"), (1 << 10, "KiB")];
        let exact = UNITS.iter().find(|(unit, _)| self.0 >= *unit && self.0.is_multiple_of(*unit));
        match exact {
            Some((unit, suffix)) => write!(f, "{}{suffix}", self.0 / unit),
            None => write!(f, "{}B", self.0),
        }
    }
}

/// Number of the stored millionths in one unit of the currency.
const MICROS_PER_UNIT: i64 = 1_000_000;

/// An amount of money in millionths of the deployment's currency, written as `12.50`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    DeserializeFromStr,
    Eq,
    Hash,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    SerializeDisplay,
)]
#[schemars(with = "String", extend(
    "pattern" = r"^-?[0-9]+(\.[0-9]{1,6})?$",
    "x-allowed" = "an amount such as \"12.50\", with at most six decimals",
))]
pub struct Money(pub i64);

impl Money {
    /// Converts a number of currency units, rounded to the nearest millionth.
    pub fn from_units(units: f64) -> Self {
        Self((units * MICROS_PER_UNIT as f64).round() as i64)
    }

    /// The amount in currency units.
    pub fn units(self) -> f64 {
        self.0 as f64 / MICROS_PER_UNIT as f64
    }

    /// The amount multiplied by `count`, saturating.
    pub const fn times(self, count: u32) -> Self {
        Self(self.0.saturating_mul(count as i64))
    }
}

impl Add for Money {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Money {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Money {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Sum for Money {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self(0), Add::add)
    }
}

impl FromStr for Money {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let error = || UnitError::new(text, "an amount such as 12.50, with at most six decimals");
        let (sign, digits) = text.strip_prefix('-').map_or((1, text), |rest| (-1, rest));
        let (whole, fraction) = digits.split_once('.').unwrap_or((digits, "0"));
        let decimal = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
        if !decimal(whole) || !decimal(fraction) || fraction.len() > 6 {
            return Err(error());
        }
        let whole: i64 = whole.parse().map_err(|_| error())?;
        let micros: i64 = format!("{fraction:0<6}").parse().map_err(|_| error())?;
        let total = whole.checked_mul(MICROS_PER_UNIT).and_then(|sum| sum.checked_add(micros));
        total.map(|total| Self(sign * total)).ok_or_else(error)
    }
}

impl fmt::Display for Money {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = if self.0 < 0 { "-" } else { "" };
        let (whole, micros) = (self.0.abs() / MICROS_PER_UNIT, self.0.abs() % MICROS_PER_UNIT);
        let fraction = format!("{micros:06}");
        let kept = fraction.trim_end_matches('0');
        write!(f, "{sign}{whole}.{kept:0<2}")
    }
}

/// A fraction, from 0 to 1.
#[derive(
    Clone, Copy, Debug, Default, JsonSchema, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(try_from = "f64", into = "f64")]
#[schemars(with = "f64", extend(
    "minimum" = 0.0,
    "maximum" = 1.0,
    "x-allowed" = "a share from 0 to 1",
))]
pub struct Share(f64);

impl Share {
    /// The fraction as a number from 0 to 1.
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Creates a fraction from a percentage; more than 100 is treated as 100.
    pub const fn from_percent(percent: u8) -> Self {
        let capped = if percent > 100 { 100 } else { percent };
        Self(capped as f64 / 100.0)
    }
}

impl TryFrom<f64> for Share {
    type Error = UnitError;

    fn try_from(number: f64) -> Result<Self, UnitError> {
        if !(0.0..=1.0).contains(&number) {
            return Err(UnitError::new(&number.to_string(), "a share from 0 to 1"));
        }
        Ok(Self(number))
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> f64 {
        share.0
    }
}

/// A number of model tokens.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

#[cfg(test)]
mod tests;
