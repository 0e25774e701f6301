//! [`Oracle`] and [`Totals`].

use std::sync::Mutex;

use oleanderpost_types::{Outcome, RequestKey};

use crate::cluster::Cluster;

/// Counts of the results that callers received.
#[derive(Clone, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) histories: u64,
    pub(crate) operations: u64,
    pub(crate) calls: u64,
    pub(crate) whole: u64,
    pub(crate) not_run: u64,
    pub(crate) failed: u64,
    pub(crate) unknown: u64,
    pub(crate) keys_not_idempotent: u64,
}

impl Totals {
    pub(crate) fn add(&mut self, other: &Self) {
        self.histories += other.histories;
        self.operations += other.operations;
        self.calls += other.calls;
        self.whole += other.whole;
        self.not_run += other.not_run;
        self.failed += other.failed;
        self.unknown += other.unknown;
        self.keys_not_idempotent += other.keys_not_idempotent;
    }
}

/// Checks the results that callers receive against the runs on the engines.
#[derive(Default)]
pub(crate) struct Oracle {
    totals: Mutex<Totals>,
    violations: Mutex<Vec<String>>,
}

impl Oracle {
    pub(crate) fn record_violation(&self, text: String) {
        self.violations.lock().unwrap().push(text);
    }

    pub(crate) fn record_call(&self) {
        self.totals.lock().unwrap().calls += 1;
    }

    /// Records that a caller received a whole answer of `tokens` tokens.
    pub(crate) fn record_answer(&self, key: RequestKey, tokens: u64, expected: u64) {
        self.totals.lock().unwrap().whole += 1;
        if tokens != expected {
            self.record_violation(format!(
                "{key}: whole answer of {tokens} tokens, not {expected}"
            ));
        }
    }

    /// Records that a caller received no answer but `outcome`.
    pub(crate) fn record_failure(&self, cluster: &Cluster, key: RequestKey, outcome: Outcome) {
        let mut totals = self.totals.lock().unwrap();
        match outcome {
            Outcome::NotRun => totals.not_run += 1,
            Outcome::Failed => totals.failed += 1,
            Outcome::Unknown => totals.unknown += 1,
        }
        if outcome == Outcome::NotRun && cluster.run_count(key) > 0 {
            self.record_violation(format!("{key}: reported {outcome}, but it ran"));
        }
    }

    /// Checks that a key did not run more than once.
    pub(crate) fn check_once(&self, cluster: &Cluster, key: RequestKey) {
        self.totals.lock().unwrap().keys_not_idempotent += 1;
        let runs = cluster.run_count(key);
        if runs > 1 {
            self.record_violation(format!("{key}: ran {runs} times"));
        }
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        self.violations.lock().unwrap().clone()
    }

    pub(crate) fn totals(&self) -> Totals {
        self.totals.lock().unwrap().clone()
    }
}
