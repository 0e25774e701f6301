//! [`Search`].

use std::{sync::Arc, time::Duration};

use oleanderpost_types::{Millis, Priority, Tokens, UpstreamId};
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    AdmissionRequest, Demand, Grant, OwnerRefusal, Permit, PermitKey, PermitMessage, PermitRequest,
    Reason, Refusal,
    counters::increment,
    engine_choice::EngineChoice,
    fleet::FleetService,
    hints::PromptSize,
    lock,
    pending_request::PendingRequest,
    shared::{Shared, refusal},
};

/// Maximum number of permit requests sent before the request is refused.
const MAX_PERMIT_REQUESTS: usize = 8;
/// Number of permit requests that state an alternative and may leave the queue for a better engine.
/// Later ones accept any engine.
const MAX_SELECTIVE_REQUESTS: usize = 4;
/// Number of refusals by owners after which the request is refused.
const MAX_REFUSALS: usize = 2;
/// Retry delay to return if no owner gave one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Factor by which another engine must be faster for a queued request to move there.
const MIN_MOVE_GAIN: u32 = 2;

/// Search for a permit on one engine for one request.
pub(crate) struct Search<'a> {
    shared: &'a Arc<Shared>,
    service: &'a FleetService,
    req: &'a AdmissionRequest,
    size: PromptSize,
    demand: Demand,
    excluded: Vec<UpstreamId>,
    refusals: Vec<OwnerRefusal>,
}

/// Outcome of one permit request.
enum RequestOutcome {
    Permit(Permit),
    Refused(OwnerRefusal),
    BetterElsewhere,
    Unreachable,
    DeadlinePassed,
}

impl<'a> Search<'a> {
    /// Creates a search over all eligible engines; `demand` refers to any engine of the service.
    pub(crate) fn new(
        shared: &'a Arc<Shared>,
        service: &'a FleetService,
        req: &'a AdmissionRequest,
        demand: Demand,
    ) -> Self {
        Self {
            size: PromptSize::new(demand.band, demand.prompt, demand.max_tokens),
            excluded: req.excluded.clone(),
            refusals: Vec::new(),
            shared,
            service,
            req,
            demand,
        }
    }

    /// Requests a permit from one owner after another until one is granted.
    pub(crate) async fn run(mut self) -> Result<Permit, Refusal> {
        if self.size.band.is_long() {
            self.shared.refresh_summaries(self.service).await;
        }
        for round in 0..MAX_PERMIT_REQUESTS {
            let Some(choice) = self.choose_engine() else {
                break;
            };
            let alternative = choice
                .alternative
                .filter(|_| round < MAX_SELECTIVE_REQUESTS);
            match self
                .request_permit(&choice, alternative, round < MAX_SELECTIVE_REQUESTS)
                .await
            {
                RequestOutcome::Permit(permit) => return Ok(permit),
                RequestOutcome::Refused(refused) => self.refusals.push(refused),
                RequestOutcome::DeadlinePassed => {
                    return Err(refusal(Reason::Deadline, Some(choice.first_token)));
                }
                RequestOutcome::BetterElsewhere => continue,
                RequestOutcome::Unreachable => {}
            }
            self.excluded.push(choice.upstream);
            if self.refusals.len() >= MAX_REFUSALS {
                break;
            }
        }
        Err(self.final_refusal())
    }

    /// Requests a permit on the given engine and stays in its queue until the deadline.
    pub(crate) async fn request_from(mut self, upstream: &UpstreamId) -> Result<Permit, Refusal> {
        let engine = self
            .service
            .live()
            .find(|engine| engine.view.id == *upstream);
        let owner = engine.and_then(|engine| engine.owner.clone());
        let owner = owner.ok_or(refusal(Reason::Unavailable, Some(DEFAULT_RETRY_AFTER)))?;
        let choice = EngineChoice {
            upstream: upstream.clone(),
            owner,
            first_token: Duration::ZERO,
            alternative: None,
        };
        match self.request_permit(&choice, None, false).await {
            RequestOutcome::Permit(permit) => return Ok(permit),
            RequestOutcome::Refused(refused) => self.refusals.push(refused),
            RequestOutcome::DeadlinePassed => return Err(refusal(Reason::Deadline, None)),
            RequestOutcome::BetterElsewhere | RequestOutcome::Unreachable => {}
        }
        Err(self.final_refusal())
    }

    fn choose_engine(&self) -> Option<EngineChoice> {
        let mut state = lock(&self.shared.state);
        state.choose_engine(
            self.service,
            self.size,
            &self.req.prefix,
            &self.excluded,
            Instant::now(),
        )
    }

    /// The refusal with the shortest retry delay.
    fn final_refusal(&self) -> Refusal {
        let best = self
            .refusals
            .iter()
            .min_by_key(|refused| refused.retry_after.unwrap_or(Millis::new(u64::MAX)));
        best.map_or(
            refusal(Reason::Unavailable, Some(DEFAULT_RETRY_AFTER)),
            |refused| Refusal {
                reason: refused.reason,
                retry_after: refused.retry_after,
            },
        )
    }

    fn permit_request(
        &self,
        upstream: &UpstreamId,
        alternative: Option<Duration>,
    ) -> PermitRequest {
        let remaining = self.req.deadline.saturating_duration_since(Instant::now());
        PermitRequest {
            demand: Demand {
                permit: PermitKey {
                    upstream: upstream.clone(),
                    ..self.demand.permit.clone()
                },
                remaining: remaining.into(),
                ..self.demand.clone()
            },
            prefix: self.req.prefix.clone(),
            alternative: alternative.map(Millis::from),
        }
    }

    async fn request_permit(
        &self,
        choice: &EngineChoice,
        alternative: Option<Duration>,
        may_move: bool,
    ) -> RequestOutcome {
        let request = self.permit_request(&choice.upstream, alternative);
        let mut pending = PendingRequest::new(self.shared, request.demand.permit.clone());
        let requested_at = Instant::now();
        let answer = tokio::select! {
            answer = self.shared.call(&choice.owner, PermitMessage::Ask(request.clone())) => answer.ok(),
            decision = pending.decision() => decision,
            () = sleep_until(self.req.deadline) => return RequestOutcome::DeadlinePassed,
        };
        match answer {
            Some(PermitMessage::Queued(_)) => {
                increment(&self.shared.counters.queued);
                self.wait_in_queue(choice, pending, may_move).await
            }
            Some(answer) => self.handle_answer(answer, request.demand, requested_at, pending),
            None => RequestOutcome::Unreachable,
        }
    }

    /// Handles a reply other than `Queued`.
    fn handle_answer(
        &self,
        answer: PermitMessage,
        demand: Demand,
        requested_at: Instant,
        pending: PendingRequest,
    ) -> RequestOutcome {
        match answer {
            PermitMessage::Granted(grant) => {
                pending.close();
                RequestOutcome::Permit(self.build_permit(grant, demand, requested_at))
            }
            PermitMessage::Refused(refused) => {
                pending.close();
                self.shared.record_summary(refused.summary.clone());
                RequestOutcome::Refused(refused)
            }
            PermitMessage::Quoted(quote) => {
                pending.close();
                self.shared.record_summary(Some(quote.summary));
                RequestOutcome::BetterElsewhere
            }
            _ => RequestOutcome::Unreachable,
        }
    }

    /// Waits in an owner's queue, polling the owner and checking for a better engine.
    async fn wait_in_queue(
        &self,
        choice: &EngineChoice,
        mut pending: PendingRequest,
        may_move: bool,
    ) -> RequestOutcome {
        loop {
            let requested_at = Instant::now();
            tokio::select! {
                decision = pending.decision() => {
                    let demand = self.permit_request(&choice.upstream, None).demand;
                    return match decision {
                        Some(decision) => self.handle_answer(decision, demand, requested_at.max(Instant::now()), pending),
                        None => RequestOutcome::Unreachable,
                    };
                }
                () = sleep_until(self.req.deadline) => return RequestOutcome::DeadlinePassed,
                () = sleep(self.shared.settings.poll_period) => {}
            }
            if let Some(outcome) = self.poll_owner(choice, &mut pending, may_move).await {
                if matches!(
                    outcome,
                    RequestOutcome::Permit(_) | RequestOutcome::Refused(_)
                ) {
                    pending.close();
                }
                return outcome;
            }
        }
    }

    /// Repeats the request to the current owner, which may have changed.
    async fn poll_owner(
        &self,
        choice: &EngineChoice,
        pending: &mut PendingRequest,
        may_move: bool,
    ) -> Option<RequestOutcome> {
        let request = self.permit_request(&choice.upstream, None);
        let requested_at = Instant::now();
        let owner = self.shared.owner_of(&choice.upstream)?;
        let answer = tokio::select! {
            answer = self.shared.call(&owner, PermitMessage::Ask(request.clone())) => answer,
            decision = pending.decision() => decision.ok_or_else(|| self.shared.no_answer_error(&owner)),
            () = sleep_until(self.req.deadline) => return Some(RequestOutcome::DeadlinePassed),
        };
        match answer {
            Ok(PermitMessage::Granted(grant)) => Some(RequestOutcome::Permit(self.build_permit(
                grant,
                request.demand,
                requested_at,
            ))),
            Ok(PermitMessage::Refused(refused)) => Some(RequestOutcome::Refused(refused)),
            Ok(PermitMessage::Queued(quote)) => {
                self.shared.record_summary(Some(quote.summary));
                let better = self.find_better(quote.first_token.into(), &choice.upstream);
                better.filter(|_| may_move)
            }
            Ok(_) | Err(_) => Some(RequestOutcome::Unreachable),
        }
    }

    /// Returns `BetterElsewhere` if another engine is much faster, so that the search continues there.
    fn find_better(&self, first_token: Duration, upstream: &UpstreamId) -> Option<RequestOutcome> {
        let other = self.choose_engine()?;
        let is_better =
            other.upstream != *upstream && other.first_token * MIN_MOVE_GAIN < first_token;
        is_better.then_some(RequestOutcome::BetterElsewhere)
    }

    fn build_permit(&self, grant: Grant, demand: Demand, requested_at: Instant) -> Permit {
        self.shared.record_summary(Some(grant.summary));
        let engine = &demand.permit.upstream;
        lock(&self.shared.state)
            .prefix_locations
            .record(&self.req.prefix, engine);
        let priority = grant.rank.priority(self.req.priority);
        self.shared
            .hold_permit(vec![demand], grant.cached, priority, requested_at)
    }
}

/// Builds the permit of a group.
pub(crate) fn group_permit(
    shared: &Arc<Shared>,
    parts: Vec<Demand>,
    account_priority: Priority,
) -> Permit {
    let priority = crate::Band::Group.priority(account_priority);
    let key = parts[0].permit.key;
    let mut permit = shared.hold_permit(parts, Tokens::default(), priority, Instant::now());
    permit.reservation = Some(key);
    permit
}
