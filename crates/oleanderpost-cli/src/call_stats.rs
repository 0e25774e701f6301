//! [`CallStats`] and [`Percentiles`].

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{caller::CallResult, ending::EndingCounts};

/// Longest duration that the histograms record, in microseconds; longer ones are recorded as this value.
const LONGEST_RECORDED_US: u64 = 3_600_000_000;
/// Number of significant decimal digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Percentiles of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Percentiles {
    pub(crate) count: u64,
    pub(crate) p50_ms: f64,
    pub(crate) p95_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) max_ms: f64,
}

impl Percentiles {
    fn new(histogram: &Histogram<u64>) -> Self {
        let millis = |micros: u64| micros as f64 / 1_000.0;
        let at_quantile = |quantile| millis(histogram.value_at_quantile(quantile));
        Self {
            count: histogram.len(),
            p50_ms: at_quantile(0.50),
            p95_ms: at_quantile(0.95),
            p99_ms: at_quantile(0.99),
            max_ms: millis(histogram.max()),
        }
    }
}

/// Endings, token counts and durations of a set of requests.
#[derive(Debug)]
pub(crate) struct CallStats {
    pub(crate) endings: EndingCounts,
    pub(crate) tokens: u64,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
}

impl CallStats {
    pub(crate) fn new() -> Self {
        let histogram = || {
            let bounded = Histogram::new_with_bounds(1, LONGEST_RECORDED_US, SIGNIFICANT_DIGITS);
            bounded.expect("the bounds and digits are allowed")
        };
        Self {
            endings: EndingCounts::default(),
            tokens: 0,
            first_token: histogram(),
            between_tokens: histogram(),
        }
    }

    pub(crate) fn add(&mut self, result: &CallResult) {
        self.endings.record(result.ending);
        self.tokens += result.tokens;
        if let Some(duration) = result.first_token {
            self.first_token.saturating_record(micros(duration));
        }
        for (duration, count) in &result.between_tokens {
            self.between_tokens
                .saturating_record_n(micros(*duration), *count);
        }
    }

    pub(crate) fn first_token(&self) -> Percentiles {
        Percentiles::new(&self.first_token)
    }

    pub(crate) fn between_tokens(&self) -> Percentiles {
        Percentiles::new(&self.between_tokens)
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
