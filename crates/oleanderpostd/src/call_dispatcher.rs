//! [`CallDispatcher`].

use std::{sync::Arc, time::Duration};

use oleanderpost::{
    admission::{AdmissionRequest, Backoff, Fingerprint, Permit, Reason, Refusal},
    claims::Claim,
    types::{Attempt, Millis, Outcome, Problem, UpstreamId},
};
use oleanderpost_serving::{Attempts, BootTime, RetryTerms, RunStatus, ServiceName};
use tokio::time::sleep;

use crate::{
    Call, CallState, Failure, InFlightEntry, Node, ProblemKind, UpstreamAddress, failure,
    node::new_backoff,
};

/// `Retry-After` value after the last attempt failed.
const RETRY_AFTER_UPSTREAM_FAILURE: Duration = Duration::from_secs(1);

/// Claim, admission and retries of one request, for all kinds of upstream.
pub(crate) struct CallDispatcher {
    pub(crate) node: Arc<Node>,
    pub(crate) call: Call,
    in_flight_entry: InFlightEntry,
    claim: Option<Claim>,
    backoff: Backoff,
    attempt: Attempt,
    excluded: Vec<UpstreamId>,
    /// Counts of the failed attempts.
    failed_attempts: Attempts,
}

impl CallDispatcher {
    pub(crate) fn new(node: Arc<Node>, call: Call) -> Self {
        let in_flight_entry = node.in_flight.insert(&call, CallState::Claiming);
        let backoff = new_backoff(call.key);
        Self {
            node,
            call,
            in_flight_entry,
            claim: None,
            backoff,
            attempt: Attempt::new(0),
            excluded: Vec::new(),
            failed_attempts: Attempts::default(),
        }
    }

    /// Number of the current attempt, from 0.
    pub(crate) fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Whether any failed attempt may have run at an upstream.
    pub(crate) fn may_have_run(&self) -> bool {
        self.failed_attempts.may_have_run > 0
    }

    /// Sets the step of the request that the dump shows.
    pub(crate) fn set_state(&self, state: CallState) {
        self.in_flight_entry.set_state(state);
    }

    /// Counts the request for the retry budget, and claims its key if the caller sent the key and the request
    /// must not run twice.
    ///
    /// A key that this node generated needs no claim: no other node has it, and this node sends it only once.
    pub(crate) async fn claim(&mut self) -> Result<(), Failure> {
        let service = retry_service_name(&self.call);
        self.node
            .retry_policy
            .note_request(&service, BootTime::now());
        if self.call.repeatable || !self.call.key_from_caller {
            return Ok(());
        }
        let claim = self.node.claim_key(&self.call).await;
        self.claim = Some(claim.map_err(Failure::Final)?);
        Ok(())
    }

    /// Waits for a permit.
    pub(crate) async fn admit(&self, prefix: Vec<Fingerprint>) -> Result<Permit, Failure> {
        self.set_state(CallState::Admitting);
        let req = AdmissionRequest {
            service: self.call.service.name.clone(),
            account: self.call.account.name.clone(),
            key: self.call.key,
            attempt: self.attempt,
            prompt: self.call.prompt,
            max_tokens: self.call.max_tokens,
            deadline: self.call.deadline(),
            priority: self.call.priority(),
            prefix,
            excluded: self.excluded.clone(),
        };
        let mut admitted = self.node.admission.admit(req.clone()).await;
        if admitted.as_ref().is_err_and(is_unknown_name) {
            // The request was checked against a configuration that admission has not loaded yet.
            self.node.admission.refresh();
            admitted = self.node.admission.admit(req).await;
        }
        admitted.map_err(|refusal| {
            Failure::Final(failure::admission_problem(
                &self.call,
                self.may_have_run(),
                &refusal,
            ))
        })
    }

    /// Records the start of an attempt at an upstream.
    pub(crate) fn begin_attempt(&self, to: &UpstreamAddress) {
        self.set_state(CallState::Sent {
            upstream: to.id.clone(),
            attempt: self.attempt,
        });
        self.node.metrics.attempts.inc();
    }

    /// Checks directly before the first byte is written that the request may still be sent.
    pub(crate) fn check_may_send(&self, permit: &Permit) -> Result<(), Failure> {
        self.node.check_may_send(permit, self.claim.as_ref())
    }

    /// Records a failed attempt at an upstream and excludes the upstream from further attempts. `written` is
    /// whether a byte of the request may have been sent.
    pub(crate) fn record_failure(&mut self, failure: &Failure, to: &UpstreamId, written: bool) {
        self.excluded.push(to.clone());
        let run_status = match failure {
            Failure::NotRun(_) => RunStatus::NotRun,
            Failure::Leaving(_) => {
                self.node.mark_leaving(to);
                RunStatus::InstanceGone
            }
            _ if written => RunStatus::MayHaveRun,
            _ => RunStatus::NotRun,
        };
        self.failed_attempts.note_failure(run_status);
    }

    /// Returns whether the request may be attempted again. If so, waits for the backoff delay first.
    pub(crate) async fn wait_for_retry(&mut self, failure: &Failure) -> bool {
        let delay = self.backoff.next_delay();
        let terms = RetryTerms {
            repeatable: self.call.repeatable,
            max_attempts: None,
        };
        let allowed = !failure.is_final()
            && self.node.retry_policy.allows(
                terms,
                &retry_service_name(&self.call),
                self.failed_attempts,
                self.call.time_left().saturating_sub(delay),
                BootTime::now(),
            );
        if !allowed {
            return false;
        }
        spdlog::info!("attempt failed; retrying", kv: {
            request: = self.call.id, step = "retry", detail:? = failure
        });
        sleep(delay).await;
        self.attempt = self.attempt.saturating_add(Attempt::new(1));
        true
    }

    /// Failure of a request whose time limit has passed.
    pub(crate) fn timeout_failure(&self, may_have_run: bool) -> Failure {
        let limit = Millis::from(self.call.time_limit);
        let detail = format!("the time limit of {limit} ms has passed");
        let outcome = failure::failure_outcome(&self.call, may_have_run);
        Failure::Final(ProblemKind::TimedOut.problem(outcome, detail))
    }

    /// Counts a request that got a complete answer.
    pub(crate) fn finish(&self) {
        self.node
            .metrics
            .count_ended(self.call.service.name.as_str(), "whole");
    }

    /// Ends a request that got no complete answer, and returns the problem for the caller. If the request did
    /// not run, its claim is released first, so that the caller can retry with the same key.
    pub(crate) async fn give_up(&mut self, failure: Failure, may_have_run: bool) -> Problem {
        let problem = match failure {
            Failure::Final(problem) => problem,
            Failure::NotRun(detail) | Failure::Leaving(detail) | Failure::Lost(detail) => {
                failure::upstream_problem(
                    &self.call,
                    may_have_run,
                    detail,
                    RETRY_AFTER_UPSTREAM_FAILURE,
                )
            }
            Failure::CallerGone => {
                let outcome = failure::failure_outcome(&self.call, may_have_run);
                ProblemKind::CallerGone.problem(outcome, "the caller hung up")
            }
        };
        spdlog::info!("request failed", kv: {
            request: = self.call.id, step = problem.kind.as_str(), outcome: = problem.outcome,
            detail = problem.detail.as_str()
        });
        self.node
            .count_problem(self.call.service.name.as_str(), &problem);
        if problem.outcome == Outcome::NotRun {
            self.node.release_claim(self.claim.take()).await;
        }
        problem
    }
}

/// Service name in the type that the retry policy uses.
fn retry_service_name(call: &Call) -> ServiceName {
    ServiceName::new(call.service.name.as_str())
}

/// Whether admission refused because it does not know the service or the account.
fn is_unknown_name(refusal: &Refusal) -> bool {
    matches!(
        refusal.reason,
        Reason::UnknownService | Reason::UnknownAccount
    )
}
