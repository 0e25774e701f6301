//! [`Search`].

use std::{sync::Arc, time::Duration};

use oleanderpost_types::{Millis, Priority, Tokens, UpstreamId};
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    AdmissionRequest, Demand, Grant, OwnerRefusal, Permit, PermitKey, PermitMessage, PermitRequest,
    Reason, Refusal,
    counters::increment,
    engine_choice::Choice,
    fleet::FleetService,
    hints::Size,
    lock,
    pending_request::Waiter,
    shared::{Shared, refusal},
};

/// Owners that are asked before a request is refused.
const ASKS: usize = 8;
/// Asks after which a request takes what it gets.
const SETTLE: usize = 4;
/// Refusals that are believed.
const REFUSALS: usize = 2;
/// Time to come back when nothing better is known.
const COME_BACK: Duration = Duration::from_millis(500);
/// Factor by which another engine must be better for a waiting request to move.
const MOVE_GAIN: u32 = 2;

/// One request's way to a permit on one engine.
pub(crate) struct Search<'a> {
    shared: &'a Arc<Shared>,
    service: &'a FleetService,
    req: &'a AdmissionRequest,
    size: Size,
    demand: Demand,
    excluded: Vec<UpstreamId>,
    refusals: Vec<OwnerRefusal>,
}

/// Result of one ask.
enum Step {
    Permit(Permit),
    Refused(OwnerRefusal),
    Worse,
    Unreachable,
    Late,
}

impl<'a> Search<'a> {
    /// A search over all engines that fit; `demand` names any engine.
    pub(crate) fn new(
        shared: &'a Arc<Shared>,
        service: &'a FleetService,
        req: &'a AdmissionRequest,
        demand: Demand,
    ) -> Self {
        Self {
            size: Size::new(demand.band, demand.prompt, demand.max_tokens),
            excluded: req.excluded.clone(),
            refusals: Vec::new(),
            shared,
            service,
            req,
            demand,
        }
    }

    /// Asks owners until one gives a permit.
    pub(crate) async fn run(mut self) -> Result<Permit, Refusal> {
        if self.size.band.is_long() {
            self.shared.refresh_summaries(self.service).await;
        }
        for round in 0..ASKS {
            let Some(choice) = self.choose() else {
                break;
            };
            let alternative = choice.alternative.filter(|_| round < SETTLE);
            match self.ask(&choice, alternative, round < SETTLE).await {
                Step::Permit(permit) => return Ok(permit),
                Step::Refused(refused) => self.refusals.push(refused),
                Step::Late => return Err(refusal(Reason::Deadline, Some(choice.first_token))),
                Step::Worse => continue,
                Step::Unreachable => {}
            }
            self.excluded.push(choice.upstream);
            if self.refusals.len() >= REFUSALS {
                break;
            }
        }
        Err(self.refusal())
    }

    /// Asks for one engine and waits for as long as it takes.
    pub(crate) async fn on(mut self, upstream: &UpstreamId) -> Result<Permit, Refusal> {
        let engine = self
            .service
            .live()
            .find(|engine| engine.view.id == *upstream);
        let owner = engine.and_then(|engine| engine.owner.clone());
        let owner = owner.ok_or(refusal(Reason::Unavailable, Some(COME_BACK)))?;
        let choice = Choice {
            upstream: upstream.clone(),
            owner,
            first_token: Duration::ZERO,
            alternative: None,
        };
        match self.ask(&choice, None, false).await {
            Step::Permit(permit) => return Ok(permit),
            Step::Refused(refused) => self.refusals.push(refused),
            Step::Late => return Err(refusal(Reason::Deadline, None)),
            Step::Worse | Step::Unreachable => {}
        }
        Err(self.refusal())
    }

    fn choose(&self) -> Option<Choice> {
        let mut state = lock(&self.shared.state);
        state.choose(
            self.service,
            self.size,
            &self.req.prefix,
            &self.excluded,
            Instant::now(),
        )
    }

    /// The refusal that lets the caller come back soonest.
    fn refusal(&self) -> Refusal {
        let best = self
            .refusals
            .iter()
            .min_by_key(|refused| refused.retry_after.unwrap_or(Millis::new(u64::MAX)));
        best.map_or(refusal(Reason::Unavailable, Some(COME_BACK)), |refused| {
            Refusal {
                reason: refused.reason,
                retry_after: refused.retry_after,
            }
        })
    }

    fn message(&self, upstream: &UpstreamId, alternative: Option<Duration>) -> PermitRequest {
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

    async fn ask(&self, choice: &Choice, alternative: Option<Duration>, may_move: bool) -> Step {
        let ask = self.message(&choice.upstream, alternative);
        let mut waiter = Waiter::new(self.shared, ask.demand.permit.clone());
        let asked = Instant::now();
        let answer = tokio::select! {
            answer = self.shared.call(&choice.owner, PermitMessage::Ask(ask.clone())) => answer.ok(),
            decided = waiter.decided() => decided,
            () = sleep_until(self.req.deadline) => return Step::Late,
        };
        match answer {
            Some(PermitMessage::Queued(_)) => {
                increment(&self.shared.counters.queued);
                self.wait(choice, waiter, may_move).await
            }
            Some(answer) => self.settle(answer, ask.demand, asked, waiter),
            None => Step::Unreachable,
        }
    }

    /// Takes an answer other than "queued".
    fn settle(
        &self,
        answer: PermitMessage,
        demand: Demand,
        asked: Instant,
        waiter: Waiter,
    ) -> Step {
        match answer {
            PermitMessage::Granted(grant) => {
                waiter.close();
                Step::Permit(self.permit(grant, demand, asked))
            }
            PermitMessage::Refused(refused) => {
                waiter.close();
                self.shared.record_summary(refused.summary.clone());
                Step::Refused(refused)
            }
            PermitMessage::Quoted(quote) => {
                waiter.close();
                self.shared.record_summary(Some(quote.summary));
                Step::Worse
            }
            _ => Step::Unreachable,
        }
    }

    /// Waits in an owner's queue; asks again from time to time, and looks for a better place.
    async fn wait(&self, choice: &Choice, mut waiter: Waiter, may_move: bool) -> Step {
        loop {
            let asked = Instant::now();
            tokio::select! {
                decided = waiter.decided() => {
                    let demand = self.message(&choice.upstream, None).demand;
                    return match decided {
                        Some(decided) => self.settle(decided, demand, asked.max(Instant::now()), waiter),
                        None => Step::Unreachable,
                    };
                }
                () = sleep_until(self.req.deadline) => return Step::Late,
                () = sleep(self.shared.settings.poll_period) => {}
            }
            if let Some(step) = self.poll(choice, &mut waiter, may_move).await {
                if matches!(step, Step::Permit(_) | Step::Refused(_)) {
                    waiter.close();
                }
                return step;
            }
        }
    }

    /// Asks the owner again, whoever that is by now.
    async fn poll(&self, choice: &Choice, waiter: &mut Waiter, may_move: bool) -> Option<Step> {
        let ask = self.message(&choice.upstream, None);
        let asked = Instant::now();
        let owner = self.shared.owner_of(&choice.upstream)?;
        let answer = tokio::select! {
            answer = self.shared.call(&owner, PermitMessage::Ask(ask.clone())) => answer,
            decided = waiter.decided() => decided.ok_or_else(|| self.shared.no_answer_error(&owner)),
            () = sleep_until(self.req.deadline) => return Some(Step::Late),
        };
        match answer {
            Ok(PermitMessage::Granted(grant)) => {
                Some(Step::Permit(self.permit(grant, ask.demand, asked)))
            }
            Ok(PermitMessage::Refused(refused)) => Some(Step::Refused(refused)),
            Ok(PermitMessage::Queued(quote)) => {
                self.shared.record_summary(Some(quote.summary));
                let better = self.better_than(quote.first_token.into(), &choice.upstream);
                better.filter(|_| may_move)
            }
            Ok(_) | Err(_) => Some(Step::Unreachable),
        }
    }

    /// Gives the place up when another engine is much better; the search then goes on there.
    fn better_than(&self, first_token: Duration, upstream: &UpstreamId) -> Option<Step> {
        let other = self.choose()?;
        let gain = other.upstream != *upstream && other.first_token * MOVE_GAIN < first_token;
        gain.then_some(Step::Worse)
    }

    fn permit(&self, grant: Grant, demand: Demand, asked: Instant) -> Permit {
        self.shared.record_summary(Some(grant.summary));
        let engine = &demand.permit.upstream;
        lock(&self.shared.state)
            .prefix_locations
            .remember(&self.req.prefix, engine);
        let priority = grant.rank.priority(self.req.priority);
        self.shared
            .hold_permit(vec![demand], grant.cached, priority, asked)
    }
}

/// Builds the permit of a group.
pub(crate) fn group_permit(shared: &Arc<Shared>, parts: Vec<Demand>, account: Priority) -> Permit {
    let priority = crate::Band::Group.priority(account);
    let key = parts[0].permit.key;
    let mut permit = shared.hold_permit(parts, Tokens::default(), priority, Instant::now());
    permit.reservation = Some(key);
    permit
}
