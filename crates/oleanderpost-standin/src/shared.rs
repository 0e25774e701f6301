//! [`Shared`].

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{Instant, sleep_until},
};
use tokio_util::sync::CancellationToken;

use crate::{EngineSettings, core::Core, streams::StreamId};

/// Resolution of timers. Shorter steps do not sleep; the next longer sleep makes up for them.
const TIMER_TICK: Duration = Duration::from_millis(1);
/// If the step loop lags behind its schedule by more than this, the schedule restarts at the current time.
const MAX_LAG: Duration = Duration::from_millis(50);

/// State shared by an engine, its step loop and its readers.
#[derive(Debug)]
pub(crate) struct Shared {
    core: Mutex<Core>,
    state_changed: Notify,
}

impl Shared {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        Self {
            core: Mutex::new(Core::new(settings)),
            state_changed: Notify::new(),
        }
    }

    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn remove_reader(&self, id: StreamId) {
        let mut core = self.core();
        if let Some(entry) = core.streams.get_mut(id) {
            entry.readers -= 1;
            entry.unread_since = (entry.readers == 0).then(Instant::now);
        }
        drop(core);
        self.state_changed.notify_one();
    }

    /// Notifies the step loop that the state has changed.
    pub(crate) fn notify_step_loop(&self) {
        self.state_changed.notify_one();
    }

    /// Waits while the engine is frozen.
    pub(crate) async fn wait_while_frozen(&self) {
        loop {
            let until = self.core().frozen_until;
            match until {
                Some(until) if until > Instant::now() => sleep_until(until).await,
                _ => return,
            }
        }
    }

    /// Runs one step that starts at `start` and returns its planned end; `None` if there is nothing to do.
    async fn run_step(&self, start: Instant) -> Option<Instant> {
        let (plan, duration) = self.core().plan_step()?;
        let end = start + duration;
        if end > Instant::now() + TIMER_TICK {
            sleep_until(end).await;
        }
        self.wait_while_frozen().await;
        self.core().apply_step(&plan);
        Some(end)
    }

    async fn wait_for_change(&self) {
        let expiry = self.core().next_expiry();
        let notified = self.state_changed.notified();
        match expiry {
            Some(expiry) => tokio::select! {
                () = notified => {}
                () = sleep_until(expiry) => {}
            },
            None => notified.await,
        }
    }

    /// Runs the step loop until `stop` is cancelled.
    pub(crate) async fn run(self: Arc<Self>, stop: CancellationToken) {
        stop.run_until_cancelled(self.run_steps()).await;
    }

    /// Runs steps in a loop. Each step starts at the planned end of the previous one, so that errors from the
    /// timer resolution do not accumulate.
    async fn run_steps(&self) {
        let mut start = Instant::now();
        loop {
            self.wait_while_frozen().await;
            let now = Instant::now();
            if now.saturating_duration_since(start) > MAX_LAG {
                start = now;
            }
            match self.run_step(start).await {
                Some(end) => start = end,
                None => {
                    self.wait_for_change().await;
                    start = Instant::now();
                }
            }
            tokio::task::yield_now().await;
        }
    }
}
