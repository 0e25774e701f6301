//! [`LoadedModel`].

use tokio::time::Instant;

use oleanderpost_types::{EngineState, FencingNumber, ModelName, Order, Outcome};

use crate::{EngineSettings, Error, Result};

/// The model loaded on an engine, and the orders applied so far.
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

    /// Applied orders, oldest first.
    pub(crate) fn orders(&self) -> &[Order] {
        &self.orders
    }

    /// Returns an error if `model` is not the loaded model or one of its adapters, or is still loading.
    pub(crate) fn check(&self, model: &ModelName) -> Result<()> {
        let known = *model == self.state.model || self.state.adapters.contains(model);
        if known && !self.state.loading {
            return Ok(());
        }
        let detail = format!("{model} is not loaded");
        let outcome = Outcome::NotRun;
        Err(Error::refused("model-not-loaded", 503, outcome, detail))
    }

    /// Applies an order. With `check_fencing`, an order with an outdated fencing number is refused.
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

    /// Marks the model as loaded once its loading time has passed.
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
