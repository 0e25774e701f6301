//! [`RequestLoss`].

use std::fmt;

use crate::log_record::LogRecord;

/// Why a request was not served as its caller expects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestLoss {
    /// The request waited for engines for over half of its objective, or would have met it without the wait.
    WaitedForEngines,
    /// The placement itself was expected to miss the objective.
    ExpectedLate,
    /// The engine took longer than expected.
    EngineSlowerThanExpected,
    /// The request was placed again after an attempt that failed or was refused.
    PlacedAgain,
    /// The time before the placement, in the node or with the caller's body, was too long.
    LateOtherwise,
    /// A gap between two events was longer than the route allows.
    LongGap,
    /// Rejected, failed or left by the caller; the outcome or reason as logged.
    NotServed(String),
}

impl RequestLoss {
    /// The loss of an ended request with its placements; `None` if it was served as expected.
    pub(crate) fn of_ended(ended: &LogRecord, placements: &[&LogRecord]) -> Option<Self> {
        let outcome = ended.field_text("outcome").unwrap_or_default();
        if outcome != "answered" {
            return Some(Self::NotServed(outcome.to_owned()));
        }
        // Only records of streams have these fields.
        let first_event_ms = ended.field_number("first_event_ms")?;
        let objective_ms = ended.field_number("objective_ms")?;
        if first_event_ms <= objective_ms {
            let gap_ms = ended.field_number("longest_gap_ms")?;
            let limit_ms = ended.field_number("gap_limit_ms")?;
            return (limit_ms > 0.0 && gap_ms > limit_ms).then_some(Self::LongGap);
        }
        let [placed] = placements else {
            return Some(if placements.is_empty() {
                Self::LateOtherwise
            } else {
                Self::PlacedAgain
            });
        };
        let wait_ms = placed.field_number("ms").unwrap_or(0.0);
        let expected_ms = placed.field_number("first_event_ms").unwrap_or(0.0);
        Some(if wait_ms > objective_ms / 2.0 {
            Self::WaitedForEngines
        } else if expected_ms > objective_ms {
            Self::ExpectedLate
        } else if first_event_ms - wait_ms <= objective_ms {
            Self::WaitedForEngines
        } else if first_event_ms - wait_ms > expected_ms {
            Self::EngineSlowerThanExpected
        } else {
            Self::LateOtherwise
        })
    }

    /// The loss of a request that a node rejected before it looked for an upstream.
    pub(crate) fn of_not_admitted(record: &LogRecord) -> Option<Self> {
        let reason = record.field_text("reason")?;
        Some(Self::NotServed(reason.to_owned()))
    }
}

impl fmt::Display for RequestLoss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WaitedForEngines => f.write_str("late: waited for engines"),
            Self::ExpectedLate => f.write_str("late: no placement in time"),
            Self::EngineSlowerThanExpected => f.write_str("late: engine slower than expected"),
            Self::PlacedAgain => f.write_str("late: placed again"),
            Self::LateOtherwise => f.write_str("late: other"),
            Self::LongGap => f.write_str("gap between events too long"),
            Self::NotServed(outcome) => write!(f, "not served: {outcome}"),
        }
    }
}
