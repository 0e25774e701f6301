//! [`Call`].

use std::time::Duration;

use oleanderpost::{
    config::{ClientAccount, Service},
    types::{Priority, RequestId, RequestKey, Tokens},
};
use tokio::time::Instant;

use crate::ClassLabels;

/// Name of the class of prompts that are longer than every class of the service.
const LONGEST_CLASS: &str = "longest";

/// One request of a caller, as the node admitted it.
///
/// It keeps the service and account of the configuration under which it arrived.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Identifier for logs.
    pub(crate) id: RequestId,
    /// Idempotency key.
    pub(crate) key: RequestKey,
    /// Whether the key came from the caller, so that another node may see it too.
    pub(crate) key_from_caller: bool,
    /// Client account.
    pub(crate) account: ClientAccount,
    /// Service that is called.
    pub(crate) service: Service,
    /// Whether the request may run more than once.
    pub(crate) repeatable: bool,
    /// Time of arrival.
    pub(crate) arrived: Instant,
    /// Time limit, counted from arrival.
    pub(crate) time_limit: Duration,
    /// Length of the prompt; zero at plain services.
    pub(crate) prompt: Tokens,
    /// Most tokens to generate; zero at plain services.
    pub(crate) max_tokens: Tokens,
}

impl Call {
    /// Time at which the request must have ended.
    pub(crate) fn deadline(&self) -> Instant {
        self.arrived + self.time_limit
    }

    /// Time that is left.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }

    /// Priority at the engines.
    pub(crate) fn priority(&self) -> Priority {
        self.account.priority.unwrap_or(self.service.priority)
    }

    /// Labels of the metrics by prompt length.
    pub(crate) fn class_labels(&self) -> ClassLabels {
        let class = self.service.classes.iter().find(|c| self.prompt <= c.up_to);
        ClassLabels {
            service: self.service.name.to_string(),
            class: class.map_or(LONGEST_CLASS, |c| &c.name).to_owned(),
        }
    }
}
