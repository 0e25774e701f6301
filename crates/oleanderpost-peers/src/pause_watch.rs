//! [`PauseWatch`].

use std::{
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use tokio::{
    sync::watch,
    time::{Instant, MissedTickBehavior, interval},
};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::WallClock;

#[derive(Debug)]
struct LastTick {
    at: Instant,
    wall: SystemTime,
}

/// Detects that the process, or the whole VM, was paused, by timer ticks that come too late.
///
/// After a pause, the state of a node is out of date. A task that must not act on outdated state calls
/// [`is_on_time`](Self::is_on_time) right before it acts, because it may run before the late tick does.
#[derive(Clone)]
pub struct PauseWatch {
    last: Arc<Mutex<LastTick>>,
    limit: Duration,
    wall: Arc<dyn WallClock>,
    pause_count: watch::Sender<u64>,
    _task: Arc<DropGuard>,
}

impl PauseWatch {
    /// Starts a task that ticks every `tick`; a gap of more than `limit` between two ticks counts as a pause.
    ///
    /// It must be called within a tokio runtime. The task ends when the last clone is dropped.
    #[must_use]
    pub fn new(tick: Duration, limit: Duration, wall: Arc<dyn WallClock>) -> Self {
        let last = LastTick {
            at: Instant::now(),
            wall: wall.now(),
        };
        let token = CancellationToken::new();
        let watch = Self {
            last: Arc::new(Mutex::new(last)),
            limit,
            wall,
            pause_count: watch::Sender::new(0),
            _task: Arc::new(token.clone().drop_guard()),
        };
        tokio::spawn(run(watch.tick_state(), tick, token));
        watch
    }

    fn tick_state(&self) -> TickState {
        TickState {
            last: Arc::clone(&self.last),
            limit: self.limit,
            wall: Arc::clone(&self.wall),
            pause_count: self.pause_count.clone(),
        }
    }

    /// Whether the last tick is at most the limit ago, so that the process has not paused since then.
    #[must_use]
    pub fn is_on_time(&self) -> bool {
        self.tick_state().time_since_tick() <= self.limit
    }

    /// Number of pauses so far; the receiver is notified of each pause.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.pause_count.subscribe()
    }
}

impl std::fmt::Debug for PauseWatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PauseWatch")
            .field("last", &self.last)
            .finish_non_exhaustive()
    }
}

struct TickState {
    last: Arc<Mutex<LastTick>>,
    limit: Duration,
    wall: Arc<dyn WallClock>,
    pause_count: watch::Sender<u64>,
}

impl TickState {
    /// Time since the last tick, by the monotonic or the wall clock, whichever shows more.
    fn time_since_tick(&self) -> Duration {
        let last = self.last.lock().expect("no panic under this lock");
        let wall = self.wall.now().duration_since(last.wall);
        last.at.elapsed().max(wall.unwrap_or_default())
    }

    fn tick(&self) {
        let paused = self.time_since_tick() > self.limit;
        *self.last.lock().expect("no panic under this lock") = LastTick {
            at: Instant::now(),
            wall: self.wall.now(),
        };
        if paused {
            self.pause_count.send_modify(|count| *count += 1);
        }
    }
}

async fn run(state: TickState, tick: Duration, token: CancellationToken) {
    let mut ticks = interval(tick);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = ticks.tick() => state.tick(),
        }
    }
}
