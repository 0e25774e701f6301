//! [`Refusal`].

use std::time::Duration;

use oleanderpost_types::Outcome;

/// Why a request must not be dispatched. No byte of it was written to any upstream under this claim.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Refusal {
    /// The key is not a UUID version 7, so its time of issue is unknown.
    #[error("the request key is not a UUID version 7")]
    KeyVersion,
    /// The key was issued so long ago that the witnesses may have dropped it.
    #[error("the request key was issued more than {} s ago", window.as_secs())]
    KeyTooOld {
        /// Maximum age at which a key may be claimed.
        window: Duration,
    },
    /// The time of issue is further in the future than the allowed clock skew can explain.
    #[error("the request key was issued more than {} s in the future", max_ahead.as_secs_f64())]
    KeyFromFuture {
        /// Maximum time by which a key may be ahead of this node's clock.
        max_ahead: Duration,
    },
    /// Another claim holds the key.
    #[error(
        "the request key is already claimed by an earlier request whose outcome this node does not know"
    )]
    AlreadyClaimed,
    /// This node has no VM list yet.
    #[error("this node has no VM list yet")]
    NoList,
    /// Too few witnesses granted the key.
    #[error(
        "{granted} of {asked} witnesses granted the key, {abstained} abstained, {unanswered} gave no answer"
    )]
    NoMajority {
        /// Number of witnesses asked.
        asked: usize,
        /// Number of grants.
        granted: usize,
        /// Number of abstentions.
        abstained: usize,
        /// Number of witnesses that did not answer in time.
        unanswered: usize,
    },
    /// The deadline passed between the claim and the dispatch. No other request with the key ran.
    #[error("the time limit passed before the dispatch")]
    DeadlineExceeded,
}

impl Refusal {
    /// What is known about all requests with this key, at any node.
    ///
    /// `not_run` is returned only if no request with the key can have run: for keys that every node refuses,
    /// and if this claim held a majority of grants. Otherwise the outcome is `unknown`, because an earlier
    /// request may have run.
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

    /// Whether a later claim of the same key may succeed.
    #[must_use]
    pub const fn may_retry(&self) -> bool {
        matches!(self, Self::NoList | Self::NoMajority { .. })
    }
}
