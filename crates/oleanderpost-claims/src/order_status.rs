//! [`OrderStatus`].

use serde::Serialize;

/// State of an engine relative to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum OrderStatus {
    /// The engine holds its target.
    Held,
    /// The engine is loading.
    Loading,
    /// An order was sent and accepted.
    Ordered,
    /// The engine may not start to load yet, because of its position in the load sequence or the limit on
    /// loads.
    Waiting,
    /// The configuration was not confirmed recently or has changed, so no order is sent.
    Stale,
    /// The engine has seen a greater fencing number: another node has a newer configuration.
    Outranked,
    /// The engine refused the order.
    Refused,
    /// The engine did not answer.
    Unreachable,
}
