//! Assembly of engine groups by the coordinator, and the entry node's wait for a group.

use std::{sync::Arc, time::Duration};

use oleanderpost_types::{Priority, ReservationRequest, Tokens, UpstreamId};
use rand::RngExt;
use tokio::{
    sync::Mutex,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    AdmissionRequest, Backoff, Band, Demand, GroupRequest, OwnerRefusal, Permit, PermitMessage,
    Reason, Refusal,
    fleet::{Fleet, FleetService, SHORT_MEMORY_DIVISOR},
    groups::Progress,
    hints::PromptSize,
    lock,
    search::{Search, group_permit},
    shared::{Shared, refusal},
};

/// Maximum delay between two attempts to reserve a group.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Number of polls for a group within one poll period of a single request.
const GROUP_POLLS_PER_PERIOD: u32 = 4;

impl Shared {
    /// Waits for a group of engines, as the entry node.
    pub(crate) async fn admit_group(
        self: &Arc<Self>,
        req: &AdmissionRequest,
        demand: Demand,
    ) -> Result<Permit, Refusal> {
        let deadline_refusal = refusal(Reason::Deadline, Some(self.settings.poll_period));
        let wait = self.wait_for_group(req, demand);
        timeout_at(req.deadline, wait)
            .await
            .unwrap_or(Err(deadline_refusal))
    }

    async fn wait_for_group(
        self: &Arc<Self>,
        req: &AdmissionRequest,
        demand: Demand,
    ) -> Result<Permit, Refusal> {
        loop {
            let mut demand = demand.clone();
            demand.remaining = req
                .deadline
                .saturating_duration_since(Instant::now())
                .into();
            let request = GroupRequest {
                service: req.service.clone(),
                demand,
                excluded: req.excluded.clone(),
            };
            let fleet = lock(&self.state).fleet.clone();
            let coordinator = fleet.responsible_node(req.service.as_str());
            let coordinator = coordinator.ok_or(refusal(
                Reason::Unavailable,
                Some(self.settings.poll_period),
            ))?;
            match self
                .call(&coordinator, PermitMessage::AskGroup(request))
                .await
            {
                Ok(PermitMessage::GroupGranted(parts)) => {
                    return Ok(group_permit(self, parts, req.priority));
                }
                Ok(PermitMessage::Refused(refused)) => {
                    return Err(Refusal {
                        reason: refused.reason,
                        retry_after: refused.retry_after,
                    });
                }
                Ok(_) | Err(_) => sleep(self.settings.poll_period / GROUP_POLLS_PER_PERIOD).await,
            }
        }
    }

    /// Assembles a group as the coordinator, one group per service at a time.
    pub(crate) async fn assemble_group(
        self: Arc<Self>,
        request: GroupRequest,
        assembly_lock: Arc<Mutex<()>>,
    ) {
        let permit = request.demand.permit.clone();
        let key = (permit.key, permit.attempt);
        let deadline = Instant::now() + Duration::from(request.demand.remaining);
        let result = timeout_at(deadline, async {
            let _guard = assembly_lock.lock().await;
            self.reserve_all(&request, deadline).await
        });
        let progress = match result.await {
            Ok(Ok(permits)) => Progress::Granted {
                parts: self.held_demands(&permits),
                permits,
                delivered: false,
            },
            Ok(Err(refusal)) => Progress::Refused(Box::new(owner_refusal(&request, refusal))),
            Err(_) => {
                let deadline_refusal = refusal(Reason::Deadline, None);
                Progress::Refused(Box::new(owner_refusal(&request, deadline_refusal)))
            }
        };
        let replaced = lock(&self.state).groups.set_progress(key, progress);
        drop(replaced);
    }

    /// Retries until all engines of a group are reserved or the group is no longer wanted.
    async fn reserve_all(
        self: &Arc<Self>,
        request: &GroupRequest,
        deadline: Instant,
    ) -> Result<Vec<Permit>, Refusal> {
        let key = (request.demand.permit.key, request.demand.permit.attempt);
        let seed = lock(&self.state).rng.random();
        let mut backoff = Backoff::new(self.settings.poll_period, MAX_RETRY_DELAY, seed);
        let mut excluded = request.excluded.clone();
        loop {
            if !lock(&self.state).groups.is_wanted(key) {
                return Err(refusal(Reason::Unavailable, None));
            }
            let fleet = lock(&self.state).fleet.clone();
            let service = fleet.service(&request.service);
            let service = service.ok_or(refusal(Reason::UnknownService, None))?;
            self.refresh_summaries(service).await;
            let parts = self.plan_parts(service, request, &excluded)?;
            let limit = deadline.min(Instant::now() + self.settings.group_timeout);
            match timeout_at(
                limit,
                self.reserve_engines(&fleet, request, &parts, deadline),
            )
            .await
            {
                Ok(Ok(permits)) => return Ok(permits),
                Ok(Err(ReserveError::Refused(refused))) if refused.reason == Reason::Deadline => {
                    return Err(refused);
                }
                Ok(Err(ReserveError::Refused(_))) | Err(_) => {}
                Ok(Err(ReserveError::Engine(upstream))) => excluded.push(upstream),
            }
            sleep(backoff.next_delay()).await;
        }
    }

    /// Splits a group's demand into parts for the engines with the shortest estimated time to first token.
    /// The parts are sorted by engine name, which gives all groups the same order.
    fn plan_parts(
        &self,
        service: &FleetService,
        request: &GroupRequest,
        excluded: &[UpstreamId],
    ) -> Result<Vec<Demand>, Refusal> {
        let now = Instant::now();
        let state = lock(&self.state);
        let available = service
            .live()
            .filter(|engine| !excluded.contains(&engine.view.id));
        let mut engines: Vec<_> = available.collect();
        let min_memory = engines
            .iter()
            .map(|engine| engine.view.memory.get())
            .min()
            .unwrap_or(0);
        let usable = min_memory - min_memory / SHORT_MEMORY_DIVISOR;
        let need = request.demand.memory().get();
        let count = need.div_ceil(usable.max(1)) as usize;
        if usable == 0 || count > engines.len() {
            return Err(refusal(Reason::TooLarge, None));
        }
        let part = |tokens: Tokens| Tokens::new(tokens.get().div_ceil(count as u64));
        let (prompt, max_tokens) = (part(request.demand.prompt), part(request.demand.max_tokens));
        let size = PromptSize::new(Band::Group, prompt, max_tokens);
        engines.sort_by_key(|engine| {
            (
                state.hints.first_token(&engine.view.id, size, now),
                engine.rank,
            )
        });
        let mut parts: Vec<_> = engines[..count]
            .iter()
            .map(|engine| {
                let mut demand = request.demand.clone();
                demand.permit.upstream = engine.view.id.clone();
                demand.holder = self.vm.clone();
                Demand {
                    band: Band::Group,
                    prompt,
                    max_tokens,
                    ..demand
                }
            })
            .collect();
        parts.sort_by(|a, b| a.permit.cmp(&b.permit));
        Ok(parts)
    }

    /// Reserves the parts one after another. Dropping the permits releases what was reserved.
    async fn reserve_engines(
        self: &Arc<Self>,
        fleet: &Fleet,
        request: &GroupRequest,
        parts: &[Demand],
        deadline: Instant,
    ) -> Result<Vec<Permit>, ReserveError> {
        let service = fleet.service(&request.service);
        let service =
            service.ok_or(ReserveError::Refused(refusal(Reason::UnknownService, None)))?;
        let req = admission_request(request, deadline);
        let mut permits = Vec::new();
        for part in parts {
            let search = Search::new(self, service, &req, part.clone());
            let permit = search
                .request_from(&part.permit.upstream)
                .await
                .map_err(ReserveError::Refused)?;
            permits.push(permit.with_reservation(part.permit.key));
        }
        for part in parts {
            let upstream = &part.permit.upstream;
            let reservation = ReservationRequest {
                key: part.permit.key,
                tokens: part.memory(),
                holder: request.demand.holder.clone(),
                expires: deadline.saturating_duration_since(Instant::now()).into(),
            };
            let reserved = self.probe.reserve(upstream, &reservation).await;
            reserved.map_err(|_| ReserveError::Engine(upstream.clone()))?;
        }
        Ok(permits)
    }

    fn held_demands(&self, permits: &[Permit]) -> Vec<Demand> {
        let state = lock(&self.state);
        let held = permits
            .iter()
            .filter_map(|permit| state.held_permits.get(permit.id));
        held.flat_map(|held| held.demands.clone()).collect()
    }
}

/// Why the parts of a group could not be reserved.
enum ReserveError {
    /// An owner refused a part.
    Refused(Refusal),
    /// An engine rejected the reservation.
    Engine(UpstreamId),
}

fn admission_request(request: &GroupRequest, deadline: Instant) -> AdmissionRequest {
    AdmissionRequest {
        service: request.service.clone(),
        account: request.demand.account.clone(),
        key: request.demand.permit.key,
        attempt: request.demand.permit.attempt,
        prompt: request.demand.prompt,
        max_tokens: request.demand.max_tokens,
        deadline,
        priority: Priority::default(),
        prefix: Vec::new(),
        excluded: Vec::new(),
    }
}

fn owner_refusal(request: &GroupRequest, refusal: Refusal) -> OwnerRefusal {
    OwnerRefusal {
        permit: request.demand.permit.clone(),
        reason: refusal.reason,
        retry_after: refusal.retry_after,
        summary: None,
    }
}

impl Permit {
    /// Sets the reservation that belongs to the permit.
    pub(crate) fn with_reservation(mut self, key: oleanderpost_types::RequestKey) -> Self {
        self.reservation = Some(key);
        self
    }

    /// Removes the permit from this node without closing it if another node renews it from now on.
    pub(crate) fn hand_over_if(mut self, handed_over: bool) -> Self {
        if handed_over {
            self.shared.forget_permit(self.id);
            self.open = false;
        }
        self
    }
}
