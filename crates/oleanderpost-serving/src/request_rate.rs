//! [`RequestRate`].

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Rate in requests per second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(f64);

/// The text or number is not a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a rate is a finite number of requests per second, 0 or more")]
pub struct InvalidRate;

impl RequestRate {
    /// Creates a rate from requests per second.
    ///
    /// # Errors
    ///
    /// [`InvalidRate`] if the number is negative or not finite.
    pub fn new(per_second: f64) -> Result<Self, InvalidRate> {
        if per_second.is_finite() && per_second >= 0.0 {
            Ok(Self(per_second))
        } else {
            Err(InvalidRate)
        }
    }

    /// The rate multiplied by `share`, which is from 0 to 1.
    #[must_use]
    pub fn scaled(self, share: f64) -> Self {
        Self(self.0 * share.clamp(0.0, 1.0))
    }

    /// Requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = InvalidRate;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::new(text.trim().parse().map_err(|_| InvalidRate)?)
    }
}
