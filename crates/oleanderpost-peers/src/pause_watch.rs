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

/// Notices that the process, or the whole VM, stood still: a tick came far too late.
///
/// What a node knew before a pause is old after it. A task that must not act on old knowledge calls
/// [`is_on_time`](Self::is_on_time) right before it acts, because it may run before the late tick does.
#[derive(Clone)]
pub struct PauseWatch {
    last: Arc<Mutex<LastTick>>,
    limit: Duration,
    wall: Arc<dyn WallClock>,
    tx: watch::Sender<u64>,
    _task: Arc<DropGuard>,
}

impl PauseWatch {
    /// Starts to tick each `tick`; a gap of more than `limit` between two ticks is a pause.
    ///
    /// It must be called within a tokio runtime, and ends with the last clone.
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
            tx: watch::Sender::new(0),
            _task: Arc::new(token.clone().drop_guard()),
        };
        tokio::spawn(run(watch.parts(), tick, token));
        watch
    }

    fn parts(&self) -> Parts {
        Parts {
            last: Arc::clone(&self.last),
            limit: self.limit,
            wall: Arc::clone(&self.wall),
            tx: self.tx.clone(),
        }
    }

    /// Whether no pause lies between the last tick and now.
    #[must_use]
    pub fn is_on_time(&self) -> bool {
        self.parts().gap() <= self.limit
    }

    /// Number of pauses so far; the receiver is told of each.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.tx.subscribe()
    }
}

impl std::fmt::Debug for PauseWatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PauseWatch")
            .field("last", &self.last)
            .finish_non_exhaustive()
    }
}

struct Parts {
    last: Arc<Mutex<LastTick>>,
    limit: Duration,
    wall: Arc<dyn WallClock>,
    tx: watch::Sender<u64>,
}

impl Parts {
    /// Time since the last tick, by the clock that shows more.
    fn gap(&self) -> Duration {
        let last = self.last.lock().expect("no panic under this lock");
        let wall = self.wall.now().duration_since(last.wall);
        last.at.elapsed().max(wall.unwrap_or_default())
    }

    fn tick(&self) {
        let paused = self.gap() > self.limit;
        *self.last.lock().expect("no panic under this lock") = LastTick {
            at: Instant::now(),
            wall: self.wall.now(),
        };
        if paused {
            self.tx.send_modify(|count| *count += 1);
        }
    }
}

async fn run(parts: Parts, tick: Duration, token: CancellationToken) {
    let mut ticks = interval(tick);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = ticks.tick() => parts.tick(),
        }
    }
}
