//! [`LoadedModel`].

use tokio::time::Instant;

use oleanderpost_types::{EngineState, FencingNumber, ModelName, Order, Outcome};

use crate::{EngineSettings, Error, Result};

/// The model that an engine holds, and the orders that brought it there.
#[derive(Debug)]
pub(crate) struct LoadedModel {
    state: EngineState,
    orders: Vec<Order>,
    loading_until: Option<Instant>,
}

impl LoadedModel {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        let state = EngineState {
            model: settings.model.clone(),
            version: settings.version,
            adapters: Vec::new(),
            role: settings.role,
            fencing: FencingNumber::default(),
            loading: false,
        };
        Self {
            state,
            orders: Vec::new(),
            loading_until: None,
        }
    }

    pub(crate) fn state(&self) -> &EngineState {
        &self.state
    }

    /// Orders that were obeyed.
    pub(crate) fn orders(&self) -> &[Order] {
        &self.orders
    }

    /// Refuses a request for a model or adapter that is not loaded.
    pub(crate) fn check(&self, model: &ModelName) -> Result<()> {
        let known = *model == self.state.model || self.state.adapters.contains(model);
        if known && !self.state.loading {
            return Ok(());
        }
        let detail = format!("{model} is not loaded");
        let outcome = Outcome::NotRun;
        Err(Error::refused("model-not-loaded", 503, outcome, detail))
    }

    /// Obeys an order; `honoured` says whether its fencing number counts.
    pub(crate) fn apply_order(
        &mut self,
        order: Order,
        check_fencing: bool,
        settings: &EngineSettings,
    ) -> Result<EngineState> {
        let newest = self.state.fencing;
        if check_fencing && order.fencing < newest {
            let detail = format!("{} is less than {newest}", order.fencing);
            let outcome = Outcome::NotRun;
            return Err(Error::refused("old-fencing-number", 409, outcome, detail));
        }
        if self.needs_loading(&order) {
            let duration = settings.scaled(settings.loading_ms.into());
            self.loading_until = Some(Instant::now() + duration);
        }
        self.state = EngineState {
            model: order.model.clone(),
            version: order.version,
            adapters: order.adapters.clone(),
            role: order.role,
            fencing: newest.max(order.fencing),
            loading: self.loading_until.is_some(),
        };
        self.orders.push(order);
        Ok(self.state.clone())
    }

    /// Ends a load that has taken its time.
    pub(crate) fn expire(&mut self, now: Instant) {
        if self.loading_until.is_some_and(|until| until <= now) {
            self.loading_until = None;
            self.state.loading = false;
        }
    }

    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.loading_until
    }

    fn needs_loading(&self, order: &Order) -> bool {
        let current = (&self.state.model, self.state.version, &self.state.adapters);
        current != (&order.model, order.version, &order.adapters)
    }
}
