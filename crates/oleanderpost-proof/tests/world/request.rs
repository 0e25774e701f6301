//! [`Call`].

use std::{sync::Arc, time::Duration};

use oleanderpost_admission::{AdmissionRequest, Completion, Permit};
use oleanderpost_claims::{Claim, ClaimEnd};
use oleanderpost_standin::{EventStream, Submission};
use oleanderpost_types::{Attempt, Outcome, Priority, RequestKey, StreamEvent, Tokens};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::world::{Node, World};

/// Time by which an answer may be late on a process that was not paused.
const GRACE: Duration = Duration::from_millis(500);
/// Attempts at an idempotent request.
const MAX_ATTEMPTS: u32 = 3;

/// How an attempt ended without a whole answer.
enum Miss {
    /// Nothing ran.
    NotRun,
    /// It ran, at least in part.
    Failed,
}

/// A caller's request, served as the daemon serves it: claim, admit, check, dispatch, read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) key: RequestKey,
    pub(crate) idempotent: bool,
    pub(crate) prompt: u64,
    pub(crate) max_tokens: u64,
    pub(crate) limit: Duration,
    pub(crate) account: u8,
    /// When the caller hangs up, if it does.
    pub(crate) patience: Option<Duration>,
}

impl Call {
    /// Serves the request until it ends or the caller hangs up.
    pub(crate) async fn serve(self, world: Arc<World>, node: Arc<Node>) {
        let answered = self.answer(world, node);
        match self.patience {
            Some(patience) => timeout(patience, answered).await.unwrap_or(()),
            None => answered.await,
        }
    }

    /// Serves the request and tells the caller.
    async fn answer(self, world: Arc<World>, node: Arc<Node>) {
        world.oracle.called();
        let deadline = Instant::now() + self.limit;
        let claim = match self.claim(&node, deadline).await {
            Ok(claim) => claim,
            Err(outcome) => return self.tell(&world, &node, deadline, outcome).await,
        };
        let mut ran = false;
        let outcome = self
            .attempts(&world, &node, claim.as_ref(), deadline, &mut ran)
            .await;
        let end = if ran {
            ClaimEnd::Dispatched
        } else {
            ClaimEnd::NotRun
        };
        match outcome {
            Ok(tokens) => world.oracle.answered(self.key, tokens, self.max_tokens),
            Err(outcome) => self.tell(&world, &node, deadline, outcome).await,
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

    async fn tell(&self, world: &World, node: &Node, deadline: Instant, outcome: Outcome) {
        world.awake(&node.vm).await;
        let late = world.lateness(&node.vm, deadline);
        world.oracle.told(world, self.key, outcome);
        if late > GRACE {
            world
                .oracle
                .fault(format!("{}: told {late:?} after its limit", self.key));
        }
    }

    async fn attempts(
        &self,
        world: &World,
        node: &Node,
        claim: Option<&Claim>,
        deadline: Instant,
        ran: &mut bool,
    ) -> Result<u64, Outcome> {
        for number in 0..MAX_ATTEMPTS {
            match self
                .attempt(world, node, claim, deadline, Attempt::new(number))
                .await
            {
                Ok(tokens) => {
                    *ran = true;
                    return Ok(tokens);
                }
                Err(Miss::NotRun) => {}
                Err(Miss::Failed) => *ran = true,
            }
            let over = Instant::now() >= deadline;
            if over || (*ran && !self.idempotent) {
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
        world: &World,
        node: &Node,
        claim: Option<&Claim>,
        deadline: Instant,
        attempt: Attempt,
    ) -> Result<u64, Miss> {
        let req = self.admission_request(deadline, attempt);
        let admitted = timeout_at(deadline, node.admission.admit(req)).await;
        let permit = admitted
            .map_err(|_| Miss::NotRun)?
            .map_err(|_| Miss::NotRun)?;
        world.awake(&node.vm).await;
        let is_claimed = claim.is_none_or(|claim| claim.check().is_ok());
        if !is_claimed || !permit.is_usable() || Instant::now() >= deadline {
            permit.close(Completion::NotSent);
            return Err(Miss::NotRun);
        }
        match world
            .engine(permit.upstream())
            .submit(self.submission(node, &permit, attempt))
        {
            Ok(events) => self.read(world, node, permit, events, deadline).await,
            Err(_) => {
                permit.close(Completion::Declined);
                Err(Miss::NotRun)
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
        world: &World,
        node: &Node,
        permit: Permit,
        mut events: EventStream,
        deadline: Instant,
    ) -> Result<u64, Miss> {
        let mut next = 0;
        loop {
            let event = timeout_at(deadline, events.next()).await;
            world.awake(&node.vm).await;
            match event {
                Ok(Some(StreamEvent::Token { offset, count, .. })) => {
                    if offset != next {
                        world
                            .oracle
                            .fault(format!("{}: offset {offset} after {next}", self.key));
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
                    return Err(Miss::Failed);
                }
                Err(_) => {
                    permit.close(Completion::Cancelled);
                    return Err(Miss::Failed);
                }
            }
        }
    }
}
