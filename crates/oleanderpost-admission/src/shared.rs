//! [`Shared`].

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
    time::Duration,
};

use oleanderpost_types::{DataCentre, Priority, ServiceName, Tokens, UpstreamId, VmId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::{SlotMap, new_key_type};
use tokio::{sync::oneshot, time::Instant};

use crate::{
    AdmissionRequest, Completion, Counters, Demand, Directory, EngineProbe, EngineSummary, Error,
    PeerClient, Permit, PermitEvent, PermitKey, PermitMessage, PermitNotice, Reason, Refusal,
    Result, Settings, counters::increment, fleet::Fleet, groups::Groups, hints::Hints,
    ledger::Ledger, limits::Limits, load_meter::LoadMeter, local_upstreams::LocalUpstreams, lock,
    prefix_cache::PrefixLocations,
};

/// Retry delay to return when no upstream is eligible and no breaker says when it allows a request.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

new_key_type! {
    /// Identifies a permit that this node holds.
    pub(crate) struct HeldPermitId;
}

/// Admission state of one node, shared by its tasks.
pub(crate) struct Shared {
    pub(crate) vm: VmId,
    pub(crate) data_centre: DataCentre,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) client: Arc<dyn PeerClient>,
    pub(crate) probe: Arc<dyn EngineProbe>,
    pub(crate) settings: Settings,
    pub(crate) counters: Counters,
    pub(crate) state: Mutex<State>,
}

/// Mutable state, protected by the mutex in [`Shared`].
pub(crate) struct State {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) local_upstreams: LocalUpstreams,
    pub(crate) hints: Hints,
    pub(crate) prefix_locations: PrefixLocations,
    pub(crate) short_prompt_load: BTreeMap<ServiceName, LoadMeter>,
    pub(crate) short_headroom: f64,
    pub(crate) held_permits: SlotMap<HeldPermitId, HeldPermit>,
    pub(crate) pending_requests: HashMap<PermitKey, oneshot::Sender<PermitMessage>>,
    pub(crate) outbox: Vec<PermitNotice>,
    pub(crate) ledgers: BTreeMap<UpstreamId, Ledger>,
    pub(crate) groups: Groups,
    pub(crate) limits: Limits,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) last_tick: Instant,
    /// Until this time, decisions sent by owners before a pause may still arrive and are rejected.
    pub(crate) reject_grants_until: Instant,
    pub(crate) next_renew: Instant,
    pub(crate) next_refresh: Instant,
}

/// A permit that this node holds.
pub(crate) struct HeldPermit {
    /// Upstreams that the permit covers.
    pub(crate) upstreams: Vec<UpstreamId>,
    /// Demand registered with the owner of each engine; empty for plain services.
    pub(crate) demands: Vec<Demand>,
    pub(crate) granted_at: Instant,
    pub(crate) deadline: Instant,
    pub(crate) first_token_at: Option<Instant>,
}

/// Dependencies passed in by the builder.
pub(crate) struct Dependencies {
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) client: Arc<dyn PeerClient>,
    pub(crate) probe: Arc<dyn EngineProbe>,
}

impl Shared {
    pub(crate) fn new(
        vm: VmId,
        data_centre: DataCentre,
        dependencies: Dependencies,
        settings: Settings,
        seed: u64,
    ) -> Self {
        let now = Instant::now();
        let state = State {
            fleet: Arc::default(),
            local_upstreams: LocalUpstreams::default(),
            hints: Hints::default(),
            prefix_locations: PrefixLocations::default(),
            short_prompt_load: BTreeMap::new(),
            short_headroom: settings.short_headroom,
            held_permits: SlotMap::with_key(),
            pending_requests: HashMap::new(),
            outbox: Vec::new(),
            ledgers: BTreeMap::new(),
            groups: Groups::default(),
            limits: Limits::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_tick: now,
            reject_grants_until: now,
            next_renew: now,
            next_refresh: now,
        };
        let shared = Self {
            vm,
            data_centre,
            directory: dependencies.directory,
            client: dependencies.client,
            probe: dependencies.probe,
            settings,
            counters: Counters::default(),
            state: Mutex::new(state),
        };
        shared.refresh_directory();
        shared
    }

    /// Chooses an upstream of a plain service, using only this node's own requests in flight.
    pub(crate) fn admit_plain(
        self: &Arc<Self>,
        req: &AdmissionRequest,
        fleet: &Fleet,
    ) -> Result<Permit, Refusal> {
        let now = Instant::now();
        let service = fleet.service(&req.service);
        let service = service.ok_or(refusal(Reason::UnknownService, None))?;
        let state = lock(&self.state);
        let live = service.live();
        let eligible = live.filter(|upstream| !req.excluded.contains(&upstream.view.id));
        let chosen = state
            .local_upstreams
            .least_in_flight(eligible, &self.data_centre, now);
        let Some(chosen) = chosen else {
            let waits = service
                .live()
                .filter_map(|upstream| state.local_upstreams.retry_after(&upstream.view.id, now));
            let wait = waits.min().unwrap_or(UNAVAILABLE_RETRY_AFTER);
            return Err(refusal(Reason::Unavailable, Some(wait)));
        };
        drop(state);
        Ok(self.register_permit(vec![chosen.view.id.clone()], Vec::new(), req.deadline))
    }

    /// Registers permits granted by owners as a single permit of this node.
    pub(crate) fn hold_permit(
        self: &Arc<Self>,
        demands: Vec<Demand>,
        cached: Tokens,
        priority: Priority,
        requested_at: Instant,
    ) -> Permit {
        let upstreams = demands
            .iter()
            .map(|demand| demand.permit.upstream.clone())
            .collect();
        let mut permit = self.register_permit(
            upstreams,
            demands,
            requested_at + self.settings.dispatch_window,
        );
        permit.cached = cached;
        permit.priority = priority;
        permit
    }

    fn register_permit(
        self: &Arc<Self>,
        upstreams: Vec<UpstreamId>,
        demands: Vec<Demand>,
        usable_until: Instant,
    ) -> Permit {
        let now = Instant::now();
        let mut state = lock(&self.state);
        for upstream in &upstreams {
            state.local_upstreams.record_sent(upstream, now);
        }
        let remaining = demands
            .first()
            .map(|demand| Duration::from(demand.remaining));
        let held = HeldPermit {
            upstreams: upstreams.clone(),
            demands,
            granted_at: now,
            deadline: now + remaining.unwrap_or_default(),
            first_token_at: None,
        };
        let id = state.held_permits.insert(held);
        Permit {
            shared: self.clone(),
            upstreams,
            id,
            reservation: None,
            priority: Priority::default(),
            usable_until,
            cached: Tokens::default(),
            open: true,
        }
    }

    pub(crate) fn holds_permit(&self, id: HeldPermitId) -> bool {
        lock(&self.state).held_permits.contains_key(id)
    }

    pub(crate) fn record_first_token(self: &Arc<Self>, id: HeldPermitId) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let Some(held) = state.held_permits.get_mut(id) else {
            return;
        };
        if held.first_token_at.replace(now).is_some() {
            return;
        }
        let after = now - held.granted_at;
        let permits: Vec<_> = held
            .demands
            .iter()
            .map(|demand| demand.permit.clone())
            .collect();
        drop(state);
        for permit in permits {
            self.notify_owner(
                permit,
                PermitEvent::FirstToken {
                    after: after.into(),
                },
            );
        }
    }

    pub(crate) fn close_permit(
        self: &Arc<Self>,
        id: HeldPermitId,
        completion: Completion,
        reservation: bool,
    ) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let Some(held) = state.held_permits.remove(id) else {
            return;
        };
        for upstream in &held.upstreams {
            state
                .local_upstreams
                .record_closed(upstream, completion, now);
        }
        drop(state);
        let decoding = held
            .first_token_at
            .map_or(Duration::ZERO, |first| now - first);
        for demand in held.demands {
            if reservation {
                self.release_reservation(&demand.permit);
            }
            let decoding = decoding.into();
            self.notify_owner(
                demand.permit,
                PermitEvent::Closed {
                    completion,
                    decoding,
                },
            );
        }
    }

    /// Removes a permit that another node renews from now on, without notifying the owner.
    pub(crate) fn forget_permit(&self, id: HeldPermitId) {
        let mut state = lock(&self.state);
        if let Some(held) = state.held_permits.remove(id) {
            for upstream in &held.upstreams {
                state
                    .local_upstreams
                    .record_closed(upstream, Completion::NotSent, Instant::now());
            }
        }
    }

    /// Frees a group's reservation on one engine. If this fails, the owner's reconciliation frees it later.
    fn release_reservation(self: &Arc<Self>, permit: &PermitKey) {
        let (shared, permit) = (self.clone(), permit.clone());
        tokio::spawn(async move { shared.probe.release(&permit.upstream, permit.key).await });
    }

    /// Withdraws a permit request from the owner that received it.
    pub(crate) fn withdraw_request(self: &Arc<Self>, permit: &PermitKey) {
        lock(&self.state).pending_requests.remove(permit);
        let event = PermitEvent::Closed {
            completion: Completion::NotSent,
            decoding: Duration::ZERO.into(),
        };
        self.notify_owner(permit.clone(), event);
    }

    /// Passes an event to the engine's owner: immediately if that is this node, else with the next report.
    fn notify_owner(self: &Arc<Self>, permit: PermitKey, event: PermitEvent) {
        let notice = PermitNotice {
            permit,
            news: event,
        };
        if self.owner_of(&notice.permit.upstream).as_ref() == Some(&self.vm) {
            self.apply_notices(&[notice]);
        } else {
            lock(&self.state).outbox.push(notice);
        }
    }

    /// Owner of an engine according to this node.
    pub(crate) fn owner_of(&self, upstream: &UpstreamId) -> Option<VmId> {
        let fleet = lock(&self.state).fleet.clone();
        fleet.engine(upstream)?.owner.clone()
    }

    /// Stores a summary received from an engine's owner.
    pub(crate) fn record_summary(&self, summary: Option<EngineSummary>) {
        if let Some(summary) = summary {
            lock(&self.state).hints.update(summary, Instant::now());
        }
    }

    /// Sends a message to a node, which may be this one, and returns the reply.
    pub(crate) async fn call(
        self: &Arc<Self>,
        vm: &VmId,
        msg: PermitMessage,
    ) -> Result<PermitMessage> {
        if *vm == self.vm {
            return self
                .handle_message(vm, msg)
                .ok_or_else(|| self.no_answer_error(vm));
        }
        increment(&self.counters.messages_sent);
        let answer = self.client.request(vm, msg).await;
        if answer.is_err() {
            increment(&self.counters.messages_failed);
        }
        answer
    }

    pub(crate) fn no_answer_error(&self, vm: &VmId) -> Error {
        Error::Peer {
            step: "ask owner",
            peer: vm.clone(),
            detail: "no answer".to_owned(),
        }
    }
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared")
            .field("vm", &self.vm)
            .finish_non_exhaustive()
    }
}

pub(crate) fn refusal(reason: Reason, retry_after: Option<Duration>) -> Refusal {
    Refusal {
        reason,
        retry_after: retry_after.map(Into::into),
    }
}
