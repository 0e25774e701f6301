//! [`EngineFinder`].

use std::{sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{
    BootTime, EntryContext, Grant, HelperAddress, UpstreamId, Work, WorkEnd, WorkId,
    admitted_request::AdmittedRequest, placement::Placement, reservations::Reservations,
};

/// Time after which a request that found no upstream should come back.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Times that a request with memory set aside is planned anew when an engine refuses.
const PLANS: u32 = 4;
/// Pause before it is planned anew.
const PLAN_PAUSE: Duration = Duration::from_millis(40);

/// Why no attempt can be made.
pub(crate) enum PlacementError {
    Refused(Duration),
    DeadlineExceeded,
}

/// Finds engines for the attempts at one stream.
pub(crate) struct EngineFinder {
    entry: Arc<EntryContext>,
    call: Arc<AdmittedRequest>,
    /// Upstreams that have failed the request.
    excluded: Vec<UpstreamId>,
    /// Engines that had no memory to set aside.
    full: Vec<UpstreamId>,
}

impl EngineFinder {
    pub(crate) fn new(entry: Arc<EntryContext>, call: Arc<AdmittedRequest>) -> Self {
        Self {
            entry,
            call,
            excluded: Vec::new(),
            full: Vec::new(),
        }
    }

    /// Leaves the upstream out from now on.
    pub(crate) fn exclude(&mut self, id: UpstreamId) {
        self.excluded.push(id);
    }

    /// Finds an engine, and memory where the prompt needs more than one.
    pub(crate) async fn place(&mut self) -> Result<Placement, PlacementError> {
        let profile = self.entry.state.config().and_then(|deployment| {
            deployment
                .service(&self.call.service)
                .and_then(|service| service.engine.clone())
        });
        let Some(profile) = profile else {
            return self.place_plain();
        };
        for _ in 0..PLANS {
            if self.entry.must_not_dispatch(&self.call) {
                break;
            }
            let work = self.work(profile.usual_prompt, profile.usual_answer);
            let id = work.id;
            let placed = self.entry.scheduler.place(&self.call.service, work);
            let placed = timeout(self.call.time_left(), placed)
                .await
                .map_err(|_| PlacementError::DeadlineExceeded)?;
            let lease = placed.map_err(|ms| self.note_refused(id, ms))?;
            let grant = lease.grant().clone();
            self.note_placed(id, &grant);
            let Some(upstream) = self.entry.state.usable_upstream(&grant.engine) else {
                self.excluded.push(grant.engine);
                lease.close(WorkEnd::Shed);
                continue;
            };
            let found: Vec<_> = grant
                .helpers
                .iter()
                .filter_map(|id| self.entry.state.usable_upstream(id))
                .collect();
            if found.len() < grant.helpers.len() {
                lease.close(WorkEnd::Cancelled);
                continue;
            }
            let addresses: Vec<_> = found.iter().map(|helper| helper.address).collect();
            let Some(tokens) = grant.reserve_tokens else {
                let helpers = addresses.into_iter().map(|address| HelperAddress {
                    address,
                    reservation: None,
                });
                return Ok(Placement::with_lease(
                    upstream,
                    lease,
                    helpers.collect(),
                    None,
                ));
            };
            let engines: Vec<_> = std::iter::once(upstream.address).chain(addresses).collect();
            let control = Arc::clone(&self.entry.control);
            let longest = self.entry.reservation_max;
            match Reservations::take(control, &engines, id, tokens as u64, longest).await {
                Ok(held) => {
                    return Ok(Placement::with_lease(
                        upstream,
                        lease,
                        held.helpers(),
                        Some(held),
                    ));
                }
                Err(e) => {
                    spdlog::info!("memory not reserved", kv: {
                        request: = self.call.head.id, engine: = e.engine, cause = e.cause.as_str()
                    });
                    lease.close(WorkEnd::Cancelled);
                    let refusing = std::iter::once(&upstream)
                        .chain(&found)
                        .find(|u| u.address == e.engine);
                    self.full
                        .extend(refusing.map(|upstream| upstream.id.clone()));
                    sleep(PLAN_PAUSE).await;
                }
            }
        }
        Err(PlacementError::Refused(DEFAULT_RETRY_AFTER))
    }

    fn note_placed(&self, id: WorkId, grant: &Grant) {
        if !self.entry.may_log() {
            return;
        }
        spdlog::info!("placed", kv: {
            request: = self.call.head.id, work: = id, upstream: = grant.engine, helpers = grant.helpers.len(),
            prompt = self.call.head.prompt_tokens.unwrap_or(0.0) as u64, first_event_ms = grant.first_event_ms as u64,
            ms = self.call.elapsed().as_millis() as u64, scheduler: = self.entry.scheduler.leader()
        });
    }

    /// Notes that the scheduler refused; `ms` is the time after which another try makes sense.
    fn note_refused(&self, id: WorkId, ms: f64) -> PlacementError {
        if self.entry.may_log() {
            spdlog::info!("no engine in time", kv: {
                request: = self.call.head.id, work: = id, retry_after_ms = ms as u64,
                left_ms = self.call.time_left().as_millis() as u64, scheduler: = self.entry.scheduler.leader()
            });
        }
        PlacementError::Refused(Duration::from_secs_f64(ms.max(0.0) / 1e3))
    }

    fn place_plain(&self) -> Result<Placement, PlacementError> {
        let upstreams = self.entry.state.usable_upstreams(&self.call.service);
        let now = BootTime::now();
        let chosen =
            self.entry
                .balancer
                .choose(&upstreams, &self.excluded, &self.entry.data_centre, now);
        chosen
            .map(Placement::new)
            .ok_or(PlacementError::Refused(DEFAULT_RETRY_AFTER))
    }

    fn work(&self, usual_prompt: f64, usual_answer: f64) -> Work {
        let head = &self.call.head;
        let limit = head.max_output_tokens.unwrap_or(usual_answer * 2.0);
        let left =
            |span: Duration| span.as_secs_f64() * 1e3 - self.call.elapsed().as_secs_f64() * 1e3;
        Work {
            id: self.entry.scheduler.next_id(),
            prompt: head.prompt_tokens.unwrap_or(usual_prompt),
            answer: head
                .expected_output_tokens
                .unwrap_or(usual_answer)
                .min(limit),
            answer_limit: limit,
            objective_ms: left(self.call.route.objective),
            pause_ms: self.call.max_event_gap().as_secs_f64() * 1e3,
            deadline_ms: left(self.call.time_limit()),
            priority: self.call.priority(),
            data_centre: self.entry.data_centre.clone(),
            excluded: self.excluded.iter().chain(&self.full).cloned().collect(),
        }
    }
}
