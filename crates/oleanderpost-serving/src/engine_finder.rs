//! [`EngineFinder`].

use std::{sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{
    BootTime, EntryContext, Grant, HelperAddress, Upstream, UpstreamId, Work, WorkEnd, WorkId,
    admitted_request::AdmittedRequest,
    placement::Placement,
    plain_selector::PlainSelector,
    reservations::Reservations,
    upstream_wait::{max_wait, spread_return},
};

/// Default retry time for a request for which no upstream was available.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Longest retry time: beyond it, nothing that the scheduler knows still holds.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Maximum number of placements tried for a request when engines refuse to reserve memory.
const MAX_PLACEMENTS: u32 = 4;
/// Delay before the next placement is tried.
const PLACEMENT_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Why no upstream was found for an attempt.
pub(crate) enum PlacementError {
    Refused(Duration),
    DeadlineExceeded,
}

fn without_reservation(upstreams: &[Arc<Upstream>]) -> impl Iterator<Item = HelperAddress> {
    upstreams.iter().map(|upstream| HelperAddress {
        address: upstream.address,
        reservation: None,
    })
}

/// Selects engines for the attempts at one stream.
pub(crate) struct EngineFinder {
    entry: Arc<EntryContext>,
    request: Arc<AdmittedRequest>,
    /// Upstreams that have failed the request.
    excluded: Vec<UpstreamId>,
    /// Engines that had too little memory for a reservation, or allow no request now because they are cold.
    full_engines: Vec<UpstreamId>,
    /// Whether the scheduler has granted evacuated engines, so that it must be told which these are.
    excludes_evacuated: bool,
    /// Arrival of the request, or the last event that was forwarded to the caller.
    waiting_since: BootTime,
}

impl EngineFinder {
    pub(crate) fn new(entry: Arc<EntryContext>, request: Arc<AdmittedRequest>) -> Self {
        Self {
            entry,
            waiting_since: request.arrived_at,
            request,
            excluded: Vec::new(),
            full_engines: Vec::new(),
            excludes_evacuated: false,
        }
    }

    /// Excludes an upstream from further attempts.
    pub(crate) fn exclude(&mut self, id: UpstreamId) {
        self.excluded.push(id);
    }

    /// Excludes all engines that are evacuated from further attempts: the scheduler may not know of the evacuation.
    pub(crate) fn exclude_evacuated(&mut self) {
        self.excludes_evacuated = true;
    }

    /// Records that the caller has received an event. Callers count their patience anew from each event.
    pub(crate) fn note_event(&mut self) {
        self.waiting_since = BootTime::now();
    }

    /// Obtains an engine, and reservations if the prompt exceeds the memory of one engine.
    pub(crate) async fn place(&mut self) -> Result<Placement, PlacementError> {
        let profile = self.entry.state.config().and_then(|config| {
            config
                .service(&self.request.service)
                .and_then(|service| service.engine.clone())
        });
        let Some(profile) = profile else {
            return self.place_plain().await;
        };
        let mut tried = 0;
        while tried < MAX_PLACEMENTS {
            if self.entry.must_not_dispatch(&self.request)
                || self.entry.state.is_service_evacuated(&self.request.service)
            {
                break;
            }
            let work = self.build_work(profile.usual_prompt, profile.usual_answer);
            let first_event_ms = profile.shared_first_event_ms(work.prompt, work.answer);
            if self.wait_for_pauses(first_event_ms).await? {
                continue;
            }
            let id = work.id;
            let is_draining = work.node_stops_ms.is_some();
            let lease_future = self.entry.scheduler.place(&self.request.service, work);
            let patience = self.request.patience_left(self.waiting_since);
            let lease_result = tokio::select! {
                biased;
                placed = timeout(patience, lease_future) => placed,
                // The scheduler has to know that the answer must be complete before the node stops.
                () = self.entry.state.drain_started(), if !is_draining => continue,
            };
            let lease_result = lease_result.map_err(|_| PlacementError::DeadlineExceeded)?;
            let lease =
                lease_result.map_err(|retry_after_ms| self.log_refused(id, retry_after_ms))?;
            let grant = lease.grant().clone();
            self.log_placed(id, &grant);
            if self.exclude_evacuated_of(&grant) {
                self.log_evacuated(id, &grant);
                lease.close(WorkEnd::Cancelled);
                continue;
            }
            tried += 1;
            let Some(upstream) = self.entry.state.usable_upstream(&grant.engine) else {
                self.excluded.push(grant.engine);
                lease.close(WorkEnd::Shed);
                continue;
            };
            if self.entry.state.pause_left(&upstream).is_some() {
                lease.close(WorkEnd::Cancelled);
                continue;
            }
            let not_limited = grant.engines().filter(|id| !grant.limited.contains(id));
            if let Err(wait) = self.entry.scheduler.take_cold_shares(not_limited) {
                self.log_beyond_share(&grant, wait);
                self.full_engines.extend(self.engines_beyond_share());
                lease.close(WorkEnd::Cancelled);
                continue;
            }
            let helper_upstreams = self.usable_upstreams(&grant.helpers);
            let reader_upstreams = self.usable_upstreams(&grant.readers);
            if helper_upstreams.len() + reader_upstreams.len() + 1 < grant.size() {
                lease.close(WorkEnd::Cancelled);
                continue;
            }
            let Some(tokens) = grant.reserve_tokens else {
                let helpers = without_reservation(&helper_upstreams).collect();
                return Ok(Placement::with_lease(upstream, lease, helpers, None));
            };
            let helper_addresses = helper_upstreams.iter().map(|helper| helper.address);
            let engines: Vec<_> = std::iter::once(upstream.address)
                .chain(helper_addresses)
                .collect();
            let control = Arc::clone(&self.entry.control);
            let max_hold = self.entry.reservation_max;
            let state = Arc::clone(&self.entry.state);
            let may_send = move |engine| !state.directory().is_evacuated_address(engine);
            let reserved = Reservations::reserve_all(
                control,
                &engines,
                id,
                tokens as u64,
                max_hold,
                Arc::new(may_send),
            );
            match reserved.await {
                Ok(reservations) => {
                    let mut helpers = reservations.helpers();
                    helpers.extend(without_reservation(&reader_upstreams));
                    return Ok(Placement::with_lease(
                        upstream,
                        lease,
                        helpers,
                        Some(reservations),
                    ));
                }
                Err(e) => {
                    spdlog::info!("failed to reserve memory", kv: {
                        request: = self.request.head.id, engine: = e.engine, cause = e.cause.as_str()
                    });
                    lease.close(WorkEnd::Cancelled);
                    if self.exclude_evacuated_of(&grant) {
                        tried -= 1;
                        continue;
                    }
                    let full_engine = std::iter::once(&upstream)
                        .chain(&helper_upstreams)
                        .find(|u| u.address == e.engine);
                    self.full_engines
                        .extend(full_engine.map(|upstream| upstream.id.clone()));
                    sleep(PLACEMENT_RETRY_DELAY).await;
                }
            }
        }
        Err(PlacementError::Refused(DEFAULT_RETRY_AFTER))
    }

    /// Excludes the granted engines that are evacuated, with all others; returns whether there are any.
    ///
    /// The granted ones are excluded by name, as they are not among the evacuated upstreams if they are also shutting
    /// down: the scheduler would grant them again without end.
    fn exclude_evacuated_of(&mut self, grant: &Grant) -> bool {
        let ids: Vec<_> = {
            let directory = self.entry.state.directory();
            let engines = grant.engines().filter_map(|id| directory.get(id));
            let evacuated = engines.filter(|engine| directory.is_evacuated(engine));
            evacuated.map(|engine| engine.id.clone()).collect()
        };
        if ids.is_empty() {
            return false;
        }
        self.excluded.extend(ids);
        self.exclude_evacuated();
        true
    }

    fn usable_upstreams(&self, ids: &[UpstreamId]) -> Vec<Arc<Upstream>> {
        ids.iter()
            .filter_map(|id| self.entry.state.usable_upstream(id))
            .filter(|upstream| self.entry.state.pause_left(upstream).is_none())
            .collect()
    }

    /// If all engines want a pause from this node, waits for the end of the first pause, and returns whether it has. The
    /// first event then takes `first_event_ms`.
    ///
    /// # Errors
    ///
    /// [`PlacementError::Refused`] if the request would be late then.
    async fn wait_for_pauses(&self, first_event_ms: f64) -> Result<bool, PlacementError> {
        let state = &self.entry.state;
        let pauses = state.pauses(&self.request.service);
        let Some(first_end) = pauses.iter().map(|(_, left)| *left).min() else {
            return Ok(false);
        };
        if pauses.len() < state.usable_upstreams(&self.request.service).len() {
            return Ok(false);
        }
        let service_time = Duration::try_from_secs_f64(first_event_ms / 1e3);
        let service_time = service_time.unwrap_or(Duration::MAX);
        if first_end > max_wait(&self.entry, &self.request, service_time) {
            return Err(PlacementError::Refused(spread_return(first_end)));
        }
        sleep(first_end).await;
        Ok(true)
    }

    /// Cold engines of the service of which this node's own share allows no request now.
    fn engines_beyond_share(&self) -> Vec<UpstreamId> {
        let state = &self.entry.state;
        let now = BootTime::now();
        let mut engines = state.usable_upstreams(&self.request.service);
        engines.retain(|engine| {
            state.cold(engine, now).is_some() && !self.entry.scheduler.has_cold_share(&engine.id)
        });
        engines
            .into_iter()
            .map(|engine| engine.id.clone())
            .collect()
    }

    fn log_beyond_share(&self, grant: &Grant, wait: Duration) {
        if self.entry.may_log() {
            spdlog::info!("placement not used: the engine is cold and the scheduler does not limit its requests", kv: {
                request: = self.request.head.id, upstream: = grant.engine, wait_ms = wait.as_millis() as u64
            });
        }
    }

    fn log_placed(&self, id: WorkId, grant: &Grant) {
        if !self.entry.may_log() {
            return;
        }
        spdlog::info!("placed", kv: {
            request: = self.request.head.id, work: = id, upstream: = grant.engine, helpers = grant.size() - 1,
            prompt = self.request.head.prompt_tokens.unwrap_or(0.0) as u64, first_event_ms = grant.first_event_ms as u64,
            ms = self.request.elapsed().as_millis() as u64, cold = grant.limited.contains(&grant.engine),
            scheduler: = self.entry.scheduler.leader()
        });
    }

    fn log_evacuated(&self, id: WorkId, grant: &Grant) {
        if !self.entry.may_log() {
            return;
        }
        spdlog::info!("granted engine is evacuated, submitting the request again", kv: {
            request: = self.request.head.id, work: = id, upstream: = grant.engine,
            scheduler: = self.entry.scheduler.leader()
        });
    }

    /// Logs a refusal by the scheduler and returns it as an error.
    fn log_refused(&self, id: WorkId, retry_after_ms: f64) -> PlacementError {
        if self.entry.may_log() {
            spdlog::info!("request refused by the scheduler", kv: {
                request: = self.request.head.id, work: = id, retry_after_ms = retry_after_ms as u64,
                left_ms = self.request.time_left().as_millis() as u64,
                cold = self.entry.state.is_cold_service(&self.request.service),
                patience_ms = self.request.patience_left(self.waiting_since).as_millis() as u64,
                scheduler: = self.entry.scheduler.leader()
            });
        }
        let retry_after = Duration::try_from_secs_f64(retry_after_ms / 1e3);
        // Another node's value may be out of range.
        let retry_after = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        PlacementError::Refused(spread_return(retry_after.min(MAX_RETRY_AFTER)))
    }

    async fn place_plain(&self) -> Result<Placement, PlacementError> {
        let selector = PlainSelector::new(&self.entry, &self.request);
        let chosen = selector.select(&self.excluded).await;
        chosen.map(Placement::new).map_err(PlacementError::Refused)
    }

    fn build_work(&self, usual_prompt: f64, usual_answer: f64) -> Work {
        let head = &self.request.head;
        let pauses = self.entry.state.pauses(&self.request.service);
        let paused = pauses.into_iter().map(|(id, _)| id);
        let evacuated: Vec<_> = if self.excludes_evacuated {
            let directory = self.entry.state.directory();
            let evacuated = directory.evacuated_upstreams(&self.request.service);
            evacuated.map(|upstream| upstream.id.clone()).collect()
        } else {
            Vec::new()
        };
        let limit = head.max_output_tokens.unwrap_or(usual_answer * 2.0);
        let drain = self.entry.state.active_drain();
        let node_stops_in = drain.map(|drain| drain.time_left(BootTime::now()));
        let remaining_ms =
            |span: Duration| span.as_secs_f64() * 1e3 - self.request.elapsed().as_secs_f64() * 1e3;
        Work {
            id: self.entry.scheduler.next_id(),
            prompt: head.prompt_tokens.unwrap_or(usual_prompt),
            answer: head
                .expected_output_tokens
                .unwrap_or(usual_answer)
                .min(limit),
            answer_limit: limit,
            objective_ms: remaining_ms(self.request.route.objective),
            pause_ms: self.request.max_event_gap().as_secs_f64() * 1e3,
            deadline_ms: remaining_ms(self.request.time_limit()),
            patience_ms: Some(self.request.patience_left(self.waiting_since).as_secs_f64() * 1e3),
            node_stops_ms: node_stops_in.map(|left| left.as_secs_f64() * 1e3),
            priority: self.request.priority(),
            data_centre: self.entry.data_centre.clone(),
            excluded: self
                .excluded
                .iter()
                .chain(&self.full_engines)
                .cloned()
                .chain(paused)
                .chain(evacuated)
                .collect(),
            parts: head.prompt_parts.clone(),
        }
    }
}
