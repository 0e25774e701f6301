//! [`InFlightCalls`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use oleanderpost::types::{Millis, RequestId, RequestKey};
use serde::Serialize;
use slotmap::SlotMap;
use tokio::time::Instant;

use crate::{Call, CallState};

slotmap::new_key_type! {
    /// Key of a request in the table.
    pub(crate) struct CallHandle;
}

/// A request in progress, for the dump.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct InFlightCall {
    /// Request id.
    id: RequestId,
    /// Idempotency key.
    key: RequestKey,
    /// Client account.
    account: String,
    /// Service.
    service: String,
    /// Prompt length in tokens.
    prompt: u64,
    /// Whether the request may run more than once.
    repeatable: bool,
    /// Current step of the request.
    state: CallState,
    /// Time since arrival.
    age: Millis,
    #[serde(skip)]
    arrived: Instant,
}

/// Table of the requests in progress on this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightCalls {
    calls: Arc<Mutex<SlotMap<CallHandle, InFlightCall>>>,
}

impl InFlightCalls {
    /// Adds a request to the table. It is removed when the returned entry is dropped.
    pub(crate) fn insert(&self, call: &Call, state: CallState) -> InFlightEntry {
        let entry = InFlightCall {
            id: call.id,
            key: call.key,
            account: call.account.name.to_string(),
            service: call.service.name.to_string(),
            prompt: call.prompt.get(),
            repeatable: call.repeatable,
            state,
            age: Millis::default(),
            arrived: call.arrived,
        };
        InFlightEntry {
            handle: self.lock().insert(entry),
            calls: self.clone(),
        }
    }

    /// Number of requests in progress.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Copies of all requests in progress, with their current ages.
    pub(crate) fn dump(&self) -> Vec<InFlightCall> {
        let now = Instant::now();
        let mut calls: Vec<_> = self.lock().values().cloned().collect();
        for call in &mut calls {
            call.age = now.saturating_duration_since(call.arrived).into();
        }
        calls
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<CallHandle, InFlightCall>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Entry of a request in the table; dropping it removes the request.
#[derive(Debug)]
pub(crate) struct InFlightEntry {
    handle: CallHandle,
    calls: InFlightCalls,
}

impl InFlightEntry {
    /// Sets the current step of the request.
    pub(crate) fn set_state(&self, state: CallState) {
        if let Some(call) = self.calls.lock().get_mut(self.handle) {
            call.state = state;
        }
    }
}

impl Drop for InFlightEntry {
    fn drop(&mut self) {
        self.calls.lock().remove(self.handle);
    }
}
