//! [`Call`].

use std::time::Duration;

use oleanderpost::{
    config::{ClientAccount, Service},
    types::{Priority, RequestId, RequestKey, Tokens},
};
use tokio::time::Instant;

use crate::ClassLabels;

/// Class name for prompts that are longer than all classes of the service.
const LONGEST_CLASS: &str = "longest";

/// A request of a caller, after its headers and body were checked.
///
/// It keeps the service and the account as configured when it arrived, even if the configuration changes
/// later.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Request id for logs.
    pub(crate) id: RequestId,
    /// Idempotency key.
    pub(crate) key: RequestKey,
    /// Whether the caller sent the key, so that other nodes may get requests with the same key.
    pub(crate) key_from_caller: bool,
    /// Client account.
    pub(crate) account: ClientAccount,
    /// The called service.
    pub(crate) service: Service,
    /// Whether the request may run more than once.
    pub(crate) repeatable: bool,
    /// Time of arrival.
    pub(crate) arrived: Instant,
    /// Time limit from arrival.
    pub(crate) time_limit: Duration,
    /// Length of the prompt; zero for plain services.
    pub(crate) prompt: Tokens,
    /// Maximum number of tokens to generate; zero for plain services.
    pub(crate) max_tokens: Tokens,
}

impl Call {
    /// Time at which the request must have ended.
    pub(crate) fn deadline(&self) -> Instant {
        self.arrived + self.time_limit
    }

    /// Time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }

    /// Priority at the engines: that of the account, or else that of the service.
    pub(crate) fn priority(&self) -> Priority {
        self.account.priority.unwrap_or(self.service.priority)
    }

    /// Metric labels of the request's service and prompt-length class.
    pub(crate) fn class_labels(&self) -> ClassLabels {
        let class = self.service.classes.iter().find(|c| self.prompt <= c.up_to);
        ClassLabels {
            service: self.service.name.to_string(),
            class: class.map_or(LONGEST_CLASS, |c| &c.name).to_owned(),
        }
    }
}
