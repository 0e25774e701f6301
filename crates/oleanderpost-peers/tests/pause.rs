//! Detection of pauses of the process, after which the VM list counts as not confirmed.

mod support;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use oleanderpost_peers::{PauseWatch, RosterBuilder, RosterTimings, WallClock};
use oleanderpost_types::Incarnation;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use support::fleet::{Fleet, entry};
use tokio::time::{advance, sleep};

const TICK: Duration = Duration::from_millis(50);
const LIMIT: Duration = Duration::from_millis(500);

/// A wall clock that advances only when a test calls `step`.
struct Clock(Mutex<SystemTime>);

impl Clock {
    fn new() -> Arc<Self> {
        Arc::new(Self(Mutex::new(UNIX_EPOCH)))
    }

    fn step(&self, span: Duration) {
        *self.0.lock().unwrap() += span;
    }
}

impl WallClock for Clock {
    fn now(&self) -> SystemTime {
        *self.0.lock().unwrap()
    }
}

#[tokio::test(start_paused = true)]
async fn ticks_on_time_are_no_pause() {
    let watch = PauseWatch::new(TICK, LIMIT, Clock::new());
    sleep(Duration::from_secs(60)).await;
    assert!(watch.is_on_time());
    assert_eq!(*watch.subscribe().borrow(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_late_tick_is_a_pause_and_is_detected_before_it_runs() {
    let watch = PauseWatch::new(TICK, LIMIT, Clock::new());
    let mut pauses = watch.subscribe();
    sleep(TICK * 3).await;
    advance_without_ticks(LIMIT * 2, || assert!(!watch.is_on_time())).await;
    pauses.changed().await.unwrap();
    assert_eq!(*pauses.borrow(), 1);
    sleep(TICK).await;
    assert!(watch.is_on_time());
}

/// Advances the tokio clock and calls `check` before any other task runs.
async fn advance_without_ticks(span: Duration, check: impl FnOnce()) {
    let mut advanced = std::pin::pin!(advance(span));
    std::future::poll_fn(|cx| {
        let _ = std::future::Future::poll(advanced.as_mut(), cx);
        std::task::Poll::Ready(())
    })
    .await;
    check();
    advanced.await;
}

#[tokio::test(start_paused = true)]
async fn a_pause_of_the_monotonic_clock_is_detected_by_the_wall_clock() {
    let clock = Clock::new();
    let watch = PauseWatch::new(TICK, LIMIT, clock.clone());
    sleep(TICK * 3).await;
    clock.step(LIMIT * 2);
    assert!(!watch.is_on_time());
    sleep(TICK).await;
    assert_eq!(*watch.subscribe().borrow(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_list_counts_as_unconfirmed_after_a_pause_until_it_is_confirmed() {
    let fleet = Fleet::new(3, 2, RosterTimings::default());
    fleet.wait_converged(Duration::from_secs(10)).await.unwrap();
    let clock = Clock::new();
    let watch = PauseWatch::new(TICK, LIMIT, clock.clone());
    let vm = entry(4);
    let rng = ChaCha8Rng::seed_from_u64(4);
    let source = fleet.platform.clone();
    let builder = RosterBuilder::new(vm.id, Incarnation::new(4), vm.data_centre, source, rng);
    let roster = builder.with_pause_watch(watch).build();
    roster.start(Arc::new(fleet.transport(4)));
    sleep(Duration::from_secs(20)).await;
    assert!(roster.view().as_of.is_some());
    *fleet.platform.down.lock().unwrap() = true;
    fleet.partition(|_| true);
    clock.step(LIMIT * 2);
    assert!(roster.view().as_of.is_none(), "unconfirmed at once");
    sleep(Duration::from_secs(60)).await;
    assert!(roster.view().as_of.is_none(), "not confirmed again yet");
    assert_eq!(roster.counters().pauses, 1);
    *fleet.platform.down.lock().unwrap() = false;
    sleep(Duration::from_secs(60)).await;
    assert!(roster.view().as_of.is_some(), "confirmed again");
    roster.close().await;
}
