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

/// A model engine that batches continuously; its steps take the time that the step model says.
///
/// It needs no network: [`submit`](Self::submit) gives the events directly, also under paused time.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    step_loop: JoinHandle<()>,
    _stop: DropGuard,
}

impl Engine {
    /// Starts an engine. It must be called within a runtime.
    ///
    /// # Panics
    ///
    /// When the settings don't pass [`EngineSettings::check`].
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        settings.check().expect("the settings are in their ranges");
        let shared = Arc::new(Shared::new(settings));
        let stop = CancellationToken::new();
        let step_loop = tokio::spawn(shared.clone().run(stop.clone()));
        Self {
            shared,
            step_loop,
            _stop: stop.drop_guard(),
        }
    }

    /// Settings.
    #[must_use]
    pub fn settings(&self) -> EngineSettings {
        self.core().settings.clone()
    }

    /// Accepts a request and gives its events.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`]; nothing of this attempt has run then.
    pub fn submit(&self, submission: Submission) -> Result<EventStream> {
        let mut core = self.live_core()?;
        let id = core.submit(submission)?;
        let events = self.subscribe(&mut core, id, 0);
        drop(core);
        self.shared.notify_step_loop();
        Ok(events)
    }

    /// Gives the events of a known stream from token `offset` on.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] when the stream is not known, or no longer.
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

    /// What is known of a request.
    #[must_use]
    pub fn status(&self, key: RequestKey) -> StreamStatus {
        let mut core = self.core();
        core.expire();
        core.status(key)
    }

    /// Cancels an attempt, or the latest one, and frees its memory.
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

    /// Everything that holds memory or waits for it.
    #[must_use]
    pub fn holdings(&self) -> Vec<Holding> {
        let mut core = self.core();
        core.expire();
        core.holdings()
    }

    /// Load, as late as the settings and faults say.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let core = self.core();
        let lag = core
            .settings
            .load_lag_ms
            .saturating_add(core.faults.report_late_ms);
        core.load.report(Instant::now(), lag.into())
    }

    /// Reserves memory, or changes a reservation.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] when the memory is not free.
    pub fn reserve(&self, req: &ReservationRequest) -> Result<()> {
        self.live_core()?.reserve(req)?;
        self.shared.notify_step_loop();
        Ok(())
    }

    /// Frees a reservation; `false` if there is none.
    pub fn release(&self, key: RequestKey) -> bool {
        let mut core = self.core();
        let released = core.reservations.remove(key).is_some();
        core.record_load();
        drop(core);
        self.shared.notify_step_loop();
        released
    }

    /// Obeys an order.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] when fencing is honoured and the order's number is old.
    pub fn order(&self, order: Order) -> Result<EngineState> {
        let state = self.live_core()?.apply_order(order)?;
        self.shared.notify_step_loop();
        Ok(state)
    }

    /// What the engine holds.
    #[must_use]
    pub fn state(&self) -> EngineState {
        let mut core = self.core();
        core.expire();
        core.model.state().clone()
    }

    /// Holds the cache of a stream's prompt, for its time to live, and gives it.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] when the stream is not known or there is no memory for the copy.
    pub fn export(&self, req: &KvExport) -> Result<KvCache> {
        let mut core = self.live_core()?;
        core.expire();
        let cache = core.export(req)?;
        self.shared.notify_step_loop();
        Ok(cache)
    }

    /// Frees an exported cache; `false` if there is none.
    pub fn release_export(&self, key: RequestKey) -> bool {
        let mut core = self.core();
        let released = core.exports.remove(key).is_some();
        core.record_load();
        released
    }

    /// Takes a cache of another engine, as far as there is room.
    pub fn import(&self, cache: &KvCache) -> KvImported {
        let mut core = self.core();
        core.store(&cache.blocks);
        let blocks = core.cache.lookup(&cache.blocks);
        let tokens = core.settings.tokens(blocks);
        KvImported { tokens }
    }

    /// Cache events after a number, late and with gaps.
    #[must_use]
    pub fn cache_events(&self, after: u64) -> CacheEvents {
        self.core().cache.events(after)
    }

    /// What ran and what is held.
    #[must_use]
    pub fn evidence(&self) -> EngineEvidence {
        let mut core = self.core();
        core.expire();
        core.evidence()
    }

    /// Faults in force.
    #[must_use]
    pub fn faults(&self) -> EngineFaults {
        self.core().faults
    }

    /// Replaces the faults. A death loses all streams, reservations and caches.
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

    /// Stops the engine.
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
