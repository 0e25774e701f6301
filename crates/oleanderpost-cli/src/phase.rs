//! [`Phase`].

use std::{str::FromStr, time::Duration};

/// A part of a load run with a constant rate of arrivals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    /// Arrivals per second.
    pub rate: f64,
    /// Duration of the phase.
    pub duration: Duration,
}

impl FromStr for Phase {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || format!("{text:?} is not a phase: write RATExSECONDS, such as 200x10");
        let (rate, seconds) = text.split_once('x').ok_or_else(invalid)?;
        let rate: f64 = rate.parse().map_err(|_| invalid())?;
        let seconds: f64 = seconds.parse().map_err(|_| invalid())?;
        let allowed = 0.0..=1e5;
        if !allowed.contains(&rate) || !allowed.contains(&seconds) {
            return Err(invalid());
        }
        let duration = Duration::from_secs_f64(seconds);
        Ok(Self { rate, duration })
    }
}
