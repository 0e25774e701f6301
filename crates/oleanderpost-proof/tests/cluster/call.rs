//! [`Call`].

use std::{sync::Arc, time::Duration};

use oleanderpost_admission::{AdmissionRequest, Completion, Permit};
use oleanderpost_claims::{Claim, ClaimEnd};
use oleanderpost_standin::{EventStream, Submission};
use oleanderpost_types::{Attempt, Outcome, Priority, RequestKey, StreamEvent, Tokens};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::cluster::{Cluster, Node};

/// Time by which the answer of a process that was not paused may exceed the deadline.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// Maximum number of attempts at an idempotent request.
const MAX_ATTEMPTS: u32 = 3;

/// Why an attempt yielded no whole answer.
enum AttemptError {
    /// Nothing ran.
    NotRun,
    /// The request ran, at least in part.
    Failed,
}

/// A caller's request, processed with the same steps as in the daemon: claim, admit, check, dispatch, read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) key: RequestKey,
    pub(crate) idempotent: bool,
    pub(crate) prompt: u64,
    pub(crate) max_tokens: u64,
    pub(crate) time_limit: Duration,
    pub(crate) account: u8,
    /// Time after which the caller closes the connection, if it does.
    pub(crate) hang_up_after: Option<Duration>,
}

impl Call {
    /// Serves the request until it ends or the caller closes the connection.
    pub(crate) async fn serve(self, cluster: Arc<Cluster>, node: Arc<Node>) {
        let result = self.answer(cluster, node);
        match self.hang_up_after {
            Some(hang_up_after) => timeout(hang_up_after, result).await.unwrap_or(()),
            None => result.await,
        }
    }

    /// Serves the request and reports the result to the caller.
    async fn answer(self, cluster: Arc<Cluster>, node: Arc<Node>) {
        cluster.oracle.record_call();
        let deadline = Instant::now() + self.time_limit;
        let claim = match self.claim(&node, deadline).await {
            Ok(claim) => claim,
            Err(outcome) => {
                return self
                    .report_failure(&cluster, &node, deadline, outcome)
                    .await;
            }
        };
        let mut ran = false;
        let outcome = self
            .run_attempts(&cluster, &node, claim.as_ref(), deadline, &mut ran)
            .await;
        let end = if ran {
            ClaimEnd::Dispatched
        } else {
            ClaimEnd::NotRun
        };
        match outcome {
            Ok(tokens) => cluster
                .oracle
                .record_answer(self.key, tokens, self.max_tokens),
            Err(outcome) => {
                self.report_failure(&cluster, &node, deadline, outcome)
                    .await
            }
        }
        if let Some(claim) = claim {
            claim.close(end).await;
        }
    }

    async fn claim(&self, node: &Node, deadline: Instant) -> Result<Option<Claim>, Outcome> {
        if self.idempotent {
            return Ok(None);
        }
        let claim = node.claims.claim(self.key, deadline).await;
        claim.map(Some).map_err(|refusal| refusal.outcome())
    }

    async fn report_failure(
        &self,
        cluster: &Cluster,
        node: &Node,
        deadline: Instant,
        outcome: Outcome,
    ) {
        cluster.wait_while_paused(&node.vm).await;
        let lateness = cluster.lateness(&node.vm, deadline);
        cluster.oracle.record_failure(cluster, self.key, outcome);
        if lateness > MAX_LATENESS {
            cluster.oracle.record_violation(format!(
                "{}: reported {lateness:?} after its deadline",
                self.key
            ));
        }
    }

    async fn run_attempts(
        &self,
        cluster: &Cluster,
        node: &Node,
        claim: Option<&Claim>,
        deadline: Instant,
        ran: &mut bool,
    ) -> Result<u64, Outcome> {
        for number in 0..MAX_ATTEMPTS {
            match self
                .attempt(cluster, node, claim, deadline, Attempt::new(number))
                .await
            {
                Ok(tokens) => {
                    *ran = true;
                    return Ok(tokens);
                }
                Err(AttemptError::NotRun) => {}
                Err(AttemptError::Failed) => *ran = true,
            }
            let time_is_up = Instant::now() >= deadline;
            if time_is_up || (*ran && !self.idempotent) {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        Err(if *ran {
            Outcome::Failed
        } else {
            Outcome::NotRun
        })
    }

    async fn attempt(
        &self,
        cluster: &Cluster,
        node: &Node,
        claim: Option<&Claim>,
        deadline: Instant,
        attempt: Attempt,
    ) -> Result<u64, AttemptError> {
        let req = self.admission_request(deadline, attempt);
        let admitted = timeout_at(deadline, node.admission.admit(req)).await;
        let permit = admitted
            .map_err(|_| AttemptError::NotRun)?
            .map_err(|_| AttemptError::NotRun)?;
        cluster.wait_while_paused(&node.vm).await;
        let is_claimed = claim.is_none_or(|claim| claim.check_deadline().is_ok());
        if !is_claimed || !permit.is_usable() || Instant::now() >= deadline {
            permit.close(Completion::NotSent);
            return Err(AttemptError::NotRun);
        }
        match cluster
            .engine(permit.upstream())
            .submit(self.submission(node, &permit, attempt))
        {
            Ok(events) => self.read(cluster, node, permit, events, deadline).await,
            Err(_) => {
                permit.close(Completion::Declined);
                Err(AttemptError::NotRun)
            }
        }
    }

    fn admission_request(&self, deadline: Instant, attempt: Attempt) -> AdmissionRequest {
        AdmissionRequest {
            service: "drafting".parse().unwrap(),
            account: format!("account-{}", self.account % 4).parse().unwrap(),
            key: self.key,
            attempt,
            prompt: Tokens::new(self.prompt),
            max_tokens: Tokens::new(self.max_tokens),
            deadline,
            priority: Priority::default(),
            prefix: Vec::new(),
            excluded: Vec::new(),
        }
    }

    fn submission(&self, node: &Node, permit: &Permit, attempt: Attempt) -> Submission {
        let group = u64::try_from(permit.upstreams().len()).unwrap();
        let submission = Submission::new(self.key, Tokens::new(self.prompt), self.max_tokens)
            .with_attempt(attempt)
            .with_holder(node.vm.clone())
            .with_priority(permit.priority())
            .with_group_size(group);
        match permit.reservation() {
            Some(reservation) => submission.with_reservation(reservation),
            None => submission,
        }
    }

    async fn read(
        &self,
        cluster: &Cluster,
        node: &Node,
        permit: Permit,
        mut events: EventStream,
        deadline: Instant,
    ) -> Result<u64, AttemptError> {
        let mut next = 0;
        loop {
            let event = timeout_at(deadline, events.next()).await;
            cluster.wait_while_paused(&node.vm).await;
            match event {
                Ok(Some(StreamEvent::Token { offset, count, .. })) => {
                    if offset != next {
                        cluster.oracle.record_violation(format!(
                            "{}: offset {offset} after {next}",
                            self.key
                        ));
                    }
                    next = offset + count;
                    permit.record_first_token();
                }
                Ok(Some(StreamEvent::End { tokens, .. })) => {
                    permit.close(Completion::Finished {
                        tokens: Tokens::new(tokens),
                    });
                    return Ok(next);
                }
                Ok(_) => {
                    permit.close(Completion::Failed);
                    return Err(AttemptError::Failed);
                }
                Err(_) => {
                    permit.close(Completion::Cancelled);
                    return Err(AttemptError::Failed);
                }
            }
        }
    }
}
