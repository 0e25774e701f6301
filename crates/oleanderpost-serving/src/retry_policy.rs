//! [`RetryPolicy`].

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use crate::{Attempts, BootTime, RetryBudget, RetryTerms, ServiceName};

/// Decides whether a request may be retried on another upstream, with a budget of this node for each service.
#[derive(Debug)]
pub struct RetryPolicy {
    ratio: f64,
    slack: f64,
    window: Duration,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
}

impl RetryPolicy {
    /// Creates a policy that allows `ratio` x requests + `slack` retries within `window`, for each service.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            budgets: Mutex::default(),
        }
    }

    /// Counts a request.
    pub fn note_request(&self, service: &ServiceName, now: BootTime) {
        self.with_budget(service, |budget| budget.note_request(now));
    }

    /// Whether the request may be sent to another upstream; if so, takes one retry from the budget.
    pub fn allows(
        &self,
        terms: RetryTerms,
        service: &ServiceName,
        attempts: Attempts,
        time_left: Duration,
        now: BootTime,
    ) -> bool {
        terms.permit(attempts, time_left)
            && self.with_budget(service, |budget| budget.try_retry(now))
    }

    fn with_budget<T>(&self, service: &ServiceName, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(service.clone());
        f(budget.or_insert_with(|| RetryBudget::new(self.ratio, self.slack, self.window)))
    }
}
