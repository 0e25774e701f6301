//! [`Admission`].

use std::sync::Arc;

use oleanderpost_types::VmId;
use tokio::time::Instant;

use crate::{
    AdmissionRequest, Band, Builder, Counters, Demand, Dump, Permit, PermitKey, PermitMessage,
    Reason, Refusal,
    counters::increment,
    fleet::FleetService,
    hints::PromptSize,
    lock,
    search::Search,
    shared::{Shared, refusal},
};

/// Admission control of one node; the entry point of this crate. Clones share their state.
#[derive(Clone, Debug)]
pub struct Admission {
    shared: Arc<Shared>,
}

impl Admission {
    /// Creates a builder.
    #[must_use]
    pub fn builder() -> Builder {
        Builder::default()
    }

    pub(crate) fn new(shared: Shared) -> Self {
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Waits for a permit to use an upstream, until the request's deadline at most.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`]; in that case nothing was sent to an upstream.
    pub async fn admit(&self, req: AdmissionRequest) -> Result<Permit, Refusal> {
        increment(&self.shared.counters.requests);
        let result = self.admit_request(&req).await;
        match result {
            Ok(_) => increment(&self.shared.counters.admitted),
            Err(_) => increment(&self.shared.counters.refused),
        }
        result
    }

    async fn admit_request(&self, req: &AdmissionRequest) -> Result<Permit, Refusal> {
        let fleet = lock(&self.shared.state).fleet.clone();
        let service = fleet.service(&req.service);
        let service = service.ok_or(refusal(Reason::UnknownService, None))?;
        self.shared.check_limits(req, service).await?;
        if !service.view.has_engines {
            return self.shared.admit_plain(req, &fleet);
        }
        let demand = self.demand(req, service)?;
        if demand.memory() > service.max_single_memory() {
            return self.shared.admit_group(req, demand).await;
        }
        {
            let size = PromptSize::new(demand.band, demand.prompt, demand.max_tokens);
            lock(&self.shared.state).record_short_load(service, size, Instant::now());
        }
        Search::new(&self.shared, service, req, demand).run().await
    }

    /// Resources that the request needs; the upstream in the permit key is any live engine of the service.
    fn demand(&self, req: &AdmissionRequest, service: &FleetService) -> Result<Demand, Refusal> {
        let unavailable = refusal(Reason::Unavailable, Some(self.shared.settings.poll_period));
        let engine = service.live().next().ok_or(unavailable)?;
        let account = service.account(&req.account);
        let remaining = req.deadline.saturating_duration_since(Instant::now());
        Ok(Demand {
            permit: PermitKey {
                upstream: engine.view.id.clone(),
                key: req.key,
                attempt: req.attempt,
            },
            holder: self.shared.vm.clone(),
            account: req.account.clone(),
            share: account.map_or(1, |account| account.share),
            band: Band::with_prompt(req.prompt, &service.view.classes),
            prompt: req.prompt,
            max_tokens: req.max_tokens,
            remaining: remaining.into(),
        })
    }

    /// Handles a message from the node on `from` and returns the reply, if there is one.
    pub async fn handle(&self, from: &VmId, msg: PermitMessage) -> Option<PermitMessage> {
        increment(&self.shared.counters.messages_received);
        self.shared.handle_message(from, msg)
    }

    /// Reads the directory immediately, without waiting for the next periodic read by [`run`](Self::run).
    pub fn refresh(&self) {
        lock(&self.shared.state).next_refresh = Instant::now();
        self.shared.refresh_directory();
    }

    /// Runs renewals, expiry, reconciliation with engines and load reads until the future is dropped.
    pub async fn run(&self) {
        let mut ticks = tokio::time::interval(self.shared.settings.tick_period);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.shared.tick();
        }
    }

    /// State dump for operators.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let now = Instant::now();
        let state = lock(&self.shared.state);
        let short_engines = state
            .fleet
            .services()
            .filter(|service| service.view.has_engines);
        let short_engines = short_engines.map(|service| {
            state.short_prompt_engines(&service.view.name, service.live().count(), now)
        });
        Dump {
            counts: self.shared.counters.read(),
            permits: state.held_permits.len(),
            waiting: state.pending_requests.len(),
            engines: state
                .ledgers
                .values()
                .map(|ledger| ledger.dump(now))
                .collect(),
            hints: state.hints.summaries().cloned().collect(),
            short_engines: short_engines.sum(),
        }
    }

    /// Counters since start, for metrics.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Number of permits that this node holds.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        lock(&self.shared.state).held_permits.len()
    }
}
