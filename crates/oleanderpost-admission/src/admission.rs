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

/// Admission on one node: the front door of this crate. Clones share their state.
#[derive(Clone, Debug)]
pub struct Admission {
    shared: Arc<Shared>,
}

impl Admission {
    /// Starts to put one together.
    #[must_use]
    pub fn builder() -> Builder {
        Builder::default()
    }

    pub(crate) fn new(shared: Shared) -> Self {
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Waits until the request may use an upstream, at the latest until its deadline.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]; nothing of the request was sent to any upstream.
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

    /// The demand on any engine of the service.
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

    /// Takes a message of the node on `from`; the answer goes back to it.
    pub async fn handle(&self, from: &VmId, msg: PermitMessage) -> Option<PermitMessage> {
        increment(&self.shared.counters.messages_received);
        self.shared.handle_message(from, msg)
    }

    /// Reads the directory now, so that a change counts at once; [`run`](Self::run) does it each tick.
    pub fn refresh(&self) {
        lock(&self.shared.state).next_refresh = Instant::now();
        self.shared.refresh_directory();
    }

    /// Background work: renewals, expiry, sweeps, load reports. Runs until it is dropped.
    pub async fn run(&self) {
        let mut ticks = tokio::time::interval(self.shared.settings.tick_period);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.shared.tick();
        }
    }

    /// State for operators.
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

    /// Counts since the start, for metrics.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Number of requests that hold a permit at this node.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        lock(&self.shared.state).held_permits.len()
    }
}
