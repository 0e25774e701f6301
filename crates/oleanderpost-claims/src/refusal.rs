//! [`Refusal`].

use std::time::Duration;

use oleanderpost_types::Outcome;

/// Why a try may not dispatch its request. The try itself wrote no byte to any upstream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Refusal {
    /// The key is not a UUID version 7, so that its time of issue is not known.
    #[error("the request key is not a UUID version 7")]
    KeyVersion,
    /// The key was issued too long ago for the witnesses to remember it.
    #[error("the request key was issued more than {} s ago", window.as_secs())]
    KeyTooOld {
        /// Age up to which a key may be claimed.
        window: Duration,
    },
    /// The key was issued later than any clock within the allowed skew can show.
    #[error("the request key was issued more than {} s in the future", bound.as_secs_f64())]
    KeyFromFuture {
        /// Greatest span by which a key may be ahead.
        bound: Duration,
    },
    /// Another try has the key.
    #[error(
        "the request key is already claimed by an earlier try, whose outcome is not known here"
    )]
    AlreadyClaimed,
    /// The node holds no VM list yet.
    #[error("this node has no VM list yet")]
    NoList,
    /// Too few witnesses granted the key.
    #[error(
        "{granted} of {asked} witnesses granted the key, {abstained} abstained, {silent} gave no answer"
    )]
    NoMajority {
        /// Witnesses asked.
        asked: usize,
        /// Grants.
        granted: usize,
        /// Abstentions.
        abstained: usize,
        /// Witnesses that did not answer in time.
        silent: usize,
    },
    /// The time limit passed between the claim and the dispatch. No other try ran.
    #[error("the time limit passed before the dispatch")]
    DeadlineExceeded,
}

impl Refusal {
    /// What is known about the request with that key, over all tries at it.
    ///
    /// `not_run` is said only where no try at any node can have run: keys that every node refuses, and a majority of
    /// grants held by this try. All else is `unknown`, because an earlier try may have run.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::KeyVersion | Self::KeyFromFuture { .. } | Self::DeadlineExceeded => {
                Outcome::NotRun
            }
            Self::KeyTooOld { .. }
            | Self::AlreadyClaimed
            | Self::NoList
            | Self::NoMajority { .. } => Outcome::Unknown,
        }
    }

    /// Whether a later try with the same key may succeed.
    #[must_use]
    pub const fn may_retry(&self) -> bool {
        matches!(self, Self::NoList | Self::NoMajority { .. })
    }
}
