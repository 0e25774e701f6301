//! [`OrdersDump`].

use std::collections::BTreeMap;

use oleanderpost_types::{FencingNumber, UpstreamId};
use serde::Serialize;

use crate::OrderStatus;

/// State of the orders as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OrdersDump {
    /// Fencing number of the current plan.
    pub fencing: FencingNumber,
    /// Status of each engine relative to its target.
    pub engines: BTreeMap<UpstreamId, OrderStatus>,
    /// Number of orders sent since the start of the process.
    pub orders: u64,
    /// Number of orders sent to an engine that had already held its target under the same plan.
    pub corrections: u64,
    /// Number of orders that engines refused.
    pub refusals: u64,
}
