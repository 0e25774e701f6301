//! [`Node`].

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use oleanderpost::{
    admission::{Admission, Backoff, Permit},
    claims::{Claim, ClaimEnd, Claims, OrderReconciler, Refusal},
    config::{Convergence, Snapshot},
    peers::{Links, PauseWatch, Roster},
    types::{Millis, Problem, RequestKey, UpstreamId},
};
use oleanderpost_serving::RetryPolicy;
use tokio_util::task::TaskTracker;

use crate::{
    Call, EngineClient, Error, Failure, InFlightCalls, Metrics, PeerMessage, PlainClient,
    ProblemKind, Result, Settings, UpstreamAddress,
};

/// Retries allowed per request within the window.
pub(crate) const RETRY_RATIO: f64 = 0.2;
/// Retries allowed in addition, so that requests can be retried when the node has had few of them.
pub(crate) const RETRY_SLACK: f64 = 10.0;
/// Time window over which requests and retries are counted.
pub(crate) const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Maximum delay before the first retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay before any retry.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// `Retry-After` value while the node is starting.
const RETRY_AFTER_NOT_READY: Duration = Duration::from_secs(1);

/// `Retry-After` value after a claim was not granted by a majority of the witnesses.
const RETRY_AFTER_CLAIM_REFUSED: Duration = Duration::from_secs(2);

/// State of a node, shared by all its requests.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) metrics: Metrics,
    pub(crate) in_flight: InFlightCalls,
    pub(crate) retry_policy: RetryPolicy,
    pub(crate) engine_client: EngineClient,
    pub(crate) plain_client: PlainClient,
    pub(crate) admission: Admission,
    pub(crate) claims: Arc<Claims>,
    pub(crate) order_reconciler: Arc<OrderReconciler>,
    pub(crate) convergence: Convergence,
    pub(crate) roster: Arc<Roster>,
    pub(crate) links: Links<PeerMessage>,
    pub(crate) pause_watch: PauseWatch,
    pub(crate) initialized: AtomicBool,
    pub(crate) tasks: TaskTracker,
    pub(crate) draining: AtomicBool,
}

impl Node {
    /// The configuration in force.
    ///
    /// # Errors
    ///
    /// A refusal until the initial reads of the configuration from the platform and the peers are done and
    /// the VM list is known.
    pub(crate) fn snapshot(&self) -> Result<Arc<Snapshot>, Problem> {
        if !self.initialized.load(Ordering::Acquire) {
            let detail = "the node has no configuration yet";
            return Err(
                ProblemKind::NotReady.refusal_with_retry_after(RETRY_AFTER_NOT_READY, detail)
            );
        }
        Ok(self.convergence.snapshot())
    }

    /// Whether the load balancer should send requests to this node.
    pub(crate) fn is_ready(&self) -> bool {
        self.initialized.load(Ordering::Acquire) && !self.draining.load(Ordering::Relaxed)
    }

    /// Marks the VM of an upstream as leaving after the upstream reported it. The roster sends the mark to
    /// the other nodes.
    pub(crate) fn mark_leaving(&self, id: &UpstreamId) {
        let snapshot = self.convergence.snapshot();
        let mut upstreams = snapshot.services().flat_map(|service| &service.upstreams);
        let Some(upstream) = upstreams.find(|upstream| upstream.id == *id) else {
            return;
        };
        if let Err(e) = self.roster.mark_leaving(&upstream.vm) {
            spdlog::warn!("failed to mark the upstream as leaving", kv: {
                step = "mark leaving", peer: = id, error: = e
            });
        }
    }

    /// Address of an upstream of the configuration in force.
    pub(crate) fn upstream_address(&self, id: &UpstreamId) -> Result<UpstreamAddress> {
        find_upstream(&self.convergence.snapshot(), id)
    }

    /// Address of the upstream to which the request is sent; in a group, that is the first upstream.
    pub(crate) fn leader_address(&self, permit: &Permit) -> Result<UpstreamAddress, Failure> {
        let found = self.upstream_address(permit.upstream());
        found.map_err(|e| Failure::NotRun(e.to_string()))
    }

    /// Claims the key of a request that must not run twice.
    ///
    /// # Errors
    ///
    /// The problem to return to the caller.
    pub(crate) async fn claim_key(&self, call: &Call) -> Result<Claim, Problem> {
        let claim = self.claims.claim(call.key, call.deadline()).await;
        claim.map_err(|refusal| claim_problem(&refusal))
    }

    /// Releases the claim on the key of a request that did not run, so that the caller can try again.
    pub(crate) async fn release_claim(&self, claim: Option<Claim>) {
        if let Some(claim) = claim {
            claim.close(ClaimEnd::NotRun).await;
        }
    }

    /// Checks directly before the first byte is written that the permit and the claim are still valid and
    /// that this process has not just resumed after a pause.
    pub(crate) fn check_may_send(
        &self,
        permit: &Permit,
        claim: Option<&Claim>,
    ) -> Result<(), Failure> {
        if !self.pause_watch.is_on_time() {
            return Err(Failure::NotRun("the process was paused".to_owned()));
        }
        if !permit.is_usable() {
            return Err(Failure::NotRun("the permit ran out before use".to_owned()));
        }
        self.check_claim(claim)
    }

    /// Checks that the claim has not expired.
    fn check_claim(&self, claim: Option<&Claim>) -> Result<(), Failure> {
        let Some(claim) = claim else {
            return Ok(());
        };
        let checked = claim.check_deadline();
        checked.map_err(|refusal| Failure::Final(claim_problem(&refusal)))
    }

    /// All metrics in the OpenMetrics text format.
    pub(crate) fn metrics_text(&self) -> String {
        let in_flight = i64::try_from(self.in_flight.len()).unwrap_or(i64::MAX);
        self.metrics.in_flight.set(in_flight);
        self.metrics.encode()
    }

    /// Counts a request that got no complete answer.
    pub(crate) fn count_problem(&self, service: &str, problem: &Problem) {
        self.metrics
            .count_ended(service, &problem.outcome.to_string());
    }
}

/// Finds the address of an upstream in a configuration.
pub(crate) fn find_upstream(snapshot: &Snapshot, id: &UpstreamId) -> Result<UpstreamAddress> {
    let mut upstreams = snapshot.services().flat_map(|service| &service.upstreams);
    let found = upstreams.find(|upstream| upstream.id == *id);
    let upstream = found.ok_or_else(|| Error::UnknownUpstream {
        step: "find upstream",
        upstream: id.clone(),
    })?;
    Ok(UpstreamAddress {
        id: upstream.id.clone(),
        address: upstream.address,
    })
}

/// Backoff between the attempts at one request. The key seeds the jitter; keys are random, so retries of
/// different requests do not coincide.
pub(crate) fn new_backoff(key: RequestKey) -> Backoff {
    let (_, seed) = key.uuid().as_u64_pair();
    Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF, seed)
}

/// The problem to return to a caller whose key could not be claimed.
fn claim_problem(refusal: &Refusal) -> Problem {
    let kind = match refusal {
        Refusal::AlreadyClaimed => ProblemKind::AlreadyClaimed,
        Refusal::KeyVersion | Refusal::KeyFromFuture { .. } | Refusal::KeyTooOld { .. } => {
            ProblemKind::BadRequest
        }
        Refusal::DeadlineExceeded => ProblemKind::TimedOut,
        _ => ProblemKind::ClaimRefused,
    };
    let retry_after = refusal
        .may_retry()
        .then(|| Millis::from(RETRY_AFTER_CLAIM_REFUSED));
    Problem {
        retry_after_ms: retry_after,
        ..kind.problem(refusal.outcome(), refusal.to_string())
    }
}
