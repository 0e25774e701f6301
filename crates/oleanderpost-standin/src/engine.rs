//! [`Engine`].

use std::sync::{Arc, MutexGuard};

use tokio::{task::JoinHandle, time::Instant};
use tokio_util::sync::{CancellationToken, DropGuard};

use oleanderpost_types::{
    Attempt, EngineState, Holding, LoadReport, Order, Outcome, RequestKey, ReservationRequest,
    StreamStatus,
};

use crate::{
    CacheEvents, EngineEvidence, EngineFaults, EngineSettings, Error, EventStream, KvCache,
    KvExport, KvImported, Result, RunEnd, Submission, core::Core, event_stream::ReaderGuard,
    shared::Shared, streams::StreamId,
};

/// A model engine with continuous batching. The step model determines the duration of each step.
///
/// It needs no network: [`submit`](Self::submit) returns the events directly. Paused time is supported.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    step_loop: JoinHandle<()>,
    _stop: DropGuard,
}

impl Engine {
    /// Starts an engine. Must be called from within a Tokio runtime.
    ///
    /// # Panics
    ///
    /// Panics if the settings fail [`EngineSettings::check`].
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        settings.check().expect("valid engine settings");
        let shared = Arc::new(Shared::new(settings));
        let stop = CancellationToken::new();
        let step_loop = tokio::spawn(shared.clone().run(stop.clone()));
        Self {
            shared,
            step_loop,
            _stop: stop.drop_guard(),
        }
    }

    /// Returns a copy of the settings.
    #[must_use]
    pub fn settings(&self) -> EngineSettings {
        self.core().settings.clone()
    }

    /// Accepts a request and returns its events.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`]; in this case nothing of this attempt has run.
    pub fn submit(&self, submission: Submission) -> Result<EventStream> {
        let mut core = self.live_core()?;
        let id = core.submit(submission)?;
        let events = self.subscribe(&mut core, id, 0);
        drop(core);
        self.shared.notify_step_loop();
        Ok(events)
    }

    /// Returns the events of a known stream, starting at token `offset`.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the stream is unknown or no longer retained.
    pub fn resume(
        &self,
        key: RequestKey,
        attempt: Option<Attempt>,
        offset: u64,
    ) -> Result<EventStream> {
        let mut core = self.live_core()?;
        core.expire();
        let id = core
            .streams
            .find(key, attempt)
            .ok_or_else(|| unknown_stream(key))?;
        Ok(self.subscribe(&mut core, id, offset))
    }

    /// Returns the status of the latest attempt of a request.
    #[must_use]
    pub fn status(&self, key: RequestKey) -> StreamStatus {
        let mut core = self.core();
        core.expire();
        core.status(key)
    }

    /// Cancels the given attempt, or the latest one if `None`, and frees its memory.
    pub fn cancel(&self, key: RequestKey, attempt: Option<Attempt>) -> StreamStatus {
        let mut core = self.core();
        core.expire();
        let found = core.streams.find(key, attempt);
        if let Some(id) = found.filter(|_| !core.faults.lose_cancels) {
            core.abort(id, RunEnd::Cancelled);
        }
        let entry = found.and_then(|id| core.streams.get(id));
        let status = entry.map_or(StreamStatus::Absent, |entry| entry.status());
        drop(core);
        self.shared.notify_step_loop();
        status
    }

    /// Lists everything that holds memory or waits for it.
    #[must_use]
    pub fn holdings(&self) -> Vec<Holding> {
        let mut core = self.core();
        core.expire();
        core.holdings()
    }

    /// Returns a load report, delayed by the lag from settings and faults.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let core = self.core();
        let lag = core
            .settings
            .load_lag_ms
            .saturating_add(core.faults.report_late_ms);
        core.load.report(Instant::now(), lag.into())
    }

    /// Reserves memory or changes an existing reservation.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the memory is not free.
    pub fn reserve(&self, req: &ReservationRequest) -> Result<()> {
        self.live_core()?.reserve(req)?;
        self.shared.notify_step_loop();
        Ok(())
    }

    /// Releases a reservation. Returns `false` if there is none.
    pub fn release(&self, key: RequestKey) -> bool {
        let mut core = self.core();
        let released = core.reservations.remove(key).is_some();
        core.record_load();
        drop(core);
        self.shared.notify_step_loop();
        released
    }

    /// Applies an order.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if fencing is honoured and the order's fencing number is outdated.
    pub fn order(&self, order: Order) -> Result<EngineState> {
        let state = self.live_core()?.apply_order(order)?;
        self.shared.notify_step_loop();
        Ok(state)
    }

    /// Returns the loaded model, adapters and role.
    #[must_use]
    pub fn state(&self) -> EngineState {
        let mut core = self.core();
        core.expire();
        core.model.state().clone()
    }

    /// Exports the KV cache of a stream's prompt. The engine holds the cache until it is released or its
    /// time to live passes.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the stream is unknown or there is no memory for the copy.
    pub fn export(&self, req: &KvExport) -> Result<KvCache> {
        let mut core = self.live_core()?;
        core.expire();
        let cache = core.export(req)?;
        self.shared.notify_step_loop();
        Ok(cache)
    }

    /// Releases an exported cache. Returns `false` if there is none.
    pub fn release_export(&self, key: RequestKey) -> bool {
        let mut core = self.core();
        let released = core.exports.remove(key).is_some();
        core.record_load();
        released
    }

    /// Imports the cache of another engine, as far as memory allows.
    pub fn import(&self, cache: &KvCache) -> KvImported {
        let mut core = self.core();
        core.store(&cache.blocks);
        let blocks = core.cache.lookup(&cache.blocks);
        let tokens = core.settings.tokens(blocks);
        KvImported { tokens }
    }

    /// Returns the cache events after sequence number `after`. Events are delayed and some are missing.
    #[must_use]
    pub fn cache_events(&self, after: u64) -> CacheEvents {
        self.core().cache.events(after)
    }

    /// Returns which requests ran and what memory is held.
    #[must_use]
    pub fn evidence(&self) -> EngineEvidence {
        let mut core = self.core();
        core.expire();
        core.evidence()
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> EngineFaults {
        self.core().faults
    }

    /// Replaces the faults. Setting `dead` loses all streams, reservations and caches.
    pub fn set_faults(&self, faults: EngineFaults) {
        let mut core = self.core();
        if faults.dead && !core.faults.dead {
            core.crash();
        }
        core.frozen_until = faults.freeze_ms.map(|ms| Instant::now() + ms.into());
        core.faults = faults;
        drop(core);
        self.shared.notify_step_loop();
    }

    /// Waits while the engine is frozen.
    pub async fn wait_while_frozen(&self) {
        self.shared.wait_while_frozen().await;
    }

    /// Stops the engine and waits for its step loop to end.
    pub async fn close(self) {
        drop(self._stop);
        let _ = self.step_loop.await;
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.shared.core()
    }

    fn live_core(&self) -> Result<MutexGuard<'_, Core>> {
        let core = self.core();
        if !core.faults.dead {
            return Ok(core);
        }
        let detail = "the engine is dead".to_owned();
        Err(Error::refused("dead", 503, Outcome::NotRun, detail))
    }

    fn subscribe(&self, core: &mut Core, id: StreamId, offset: u64) -> EventStream {
        let entry = core.streams.get_mut(id).expect("the stream is known");
        entry.readers += 1;
        entry.unread_since = None;
        let reader = ReaderGuard::new(self.shared.clone(), id);
        EventStream::new(entry.tx.subscribe(), entry.generated_text(), offset, reader)
    }
}

fn unknown_stream(key: RequestKey) -> Error {
    let detail = format!("no stream {key}");
    Error::refused("absent", 404, Outcome::Unknown, detail)
}
