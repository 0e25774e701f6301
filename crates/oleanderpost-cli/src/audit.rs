//! [`Audit`].

use std::{
    collections::{HashMap, HashSet},
    fmt,
    net::SocketAddr,
};

use serde::Serialize;

use oleanderpost::types::{Outcome, RequestKey, Tokens};
use oleanderpost_standin::{EngineEvidence, RunEnd};

use crate::{Result, ending::Ending, http_client::HttpClient};

/// Comparison of the endings that callers saw with the runs that engine stand-ins recorded.
#[derive(Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Audit {
    /// Requests that ended with `not_run` although an engine ran them.
    pub(crate) false_not_run: u64,
    /// Requests that ran more than once although they were marked as not repeatable.
    pub(crate) ran_twice: u64,
    /// Whole answers for which no engine recorded a finished run.
    pub(crate) without_run: u64,
    /// Total number of runs; a request may have more than one.
    pub(crate) runs: u64,
    /// KV cache memory still held after the load run, summed over all engines.
    pub(crate) held: Tokens,
}

impl Audit {
    /// Fetches the evidence of all engines and compares it with `endings`.
    pub(crate) async fn new(
        engines: &[SocketAddr],
        endings: &HashMap<RequestKey, Ending>,
        repeatable: bool,
    ) -> Result<Self> {
        let client = HttpClient::new();
        let mut audit = Self::default();
        let mut runs: HashMap<RequestKey, u64> = HashMap::new();
        let mut finished = HashSet::new();
        for engine in engines {
            let evidence: EngineEvidence = client.get(*engine, "/v1/evidence").await?;
            audit.held = audit.held.saturating_add(evidence.held);
            for run in evidence
                .runs
                .iter()
                .filter(|run| endings.contains_key(&run.key))
            {
                *runs.entry(run.key).or_default() += 1;
                if run.end == Some(RunEnd::Finished) {
                    finished.insert(run.key);
                }
            }
        }
        audit.runs = runs.values().sum();
        for (key, ending) in endings {
            let run_count = runs.get(key).copied().unwrap_or(0);
            let not_run = *ending == Ending::Problem(Outcome::NotRun);
            audit.false_not_run += u64::from(not_run && run_count > 0);
            audit.ran_twice += u64::from(!repeatable && run_count > 1);
            let whole = matches!(ending, Ending::Whole | Ending::Late);
            audit.without_run += u64::from(whole && !finished.contains(key));
        }
        Ok(audit)
    }

    /// Whether the evidence agrees with the endings and no memory is still held.
    pub(crate) fn passed(&self) -> bool {
        self.false_not_run + self.ran_twice + self.without_run + self.held.get() == 0
    }
}

impl fmt::Display for Audit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "evidence: {} runs, {} false not_run, {} ran twice, {} whole without a run, {} tokens held",
            self.runs, self.false_not_run, self.ran_twice, self.without_run, self.held
        )
    }
}
