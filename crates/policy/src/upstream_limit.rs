//! The rate of requests that an upstream in need takes from all daemons together.

use serde::{Deserialize, Serialize};

/// The highest rate that is taken for a limit, in requests per second. No upstream serves as many;
/// a higher number is an error of the upstream.
const RATE_MAX: f64 = 100_000.0;

/// A rate that an upstream can name as its limit, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

/// A number that is no rate: zero, negative, too high, or not a number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidRate(pub f64);

impl std::fmt::Display for InvalidRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} is no rate above 0 and up to {RATE_MAX} requests per second", self.0)
    }
}

impl std::error::Error for InvalidRate {}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    fn try_from(per_second: f64) -> Result<Self, InvalidRate> {
        if per_second > 0.0 && per_second <= RATE_MAX {
            return Ok(Self(per_second));
        }
        Err(InvalidRate(per_second))
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl RequestRate {
    /// Requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}
