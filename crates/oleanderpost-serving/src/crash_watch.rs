//! [`CrashWatch`].

use std::{
    collections::HashSet,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    BootTime, RequestCrash, RequestCrashLedger, RequestFingerprint, RequestQuarantine,
    RequestVerdicts,
};

#[derive(Debug, Default)]
struct WatchState {
    ledger: RequestCrashLedger,
    /// Suspects of the scheduler's node.
    suspects: HashSet<RequestFingerprint>,
    /// Requests that are quarantined, or suspects of this node.
    known: HashSet<RequestFingerprint>,
    /// Requests whose quarantines have been logged.
    logged: HashSet<RequestFingerprint>,
}

/// What this node knows of requests that crash upstreams, by itself and from the scheduler's node.
#[derive(Debug)]
pub struct CrashWatch {
    state: Mutex<WatchState>,
    started_at: BootTime,
    /// Whether no request is quarantined or suspect, so that requests need not be hashed.
    is_idle: AtomicBool,
}

impl Default for CrashWatch {
    fn default() -> Self {
        Self::new()
    }
}

impl CrashWatch {
    /// Creates a watch that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Mutex::default(),
            started_at: BootTime::now(),
            is_idle: AtomicBool::new(true),
        }
    }

    /// Whether no request is quarantined or suspect.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.is_idle.load(Ordering::Relaxed)
    }

    /// Time left of the quarantine of a request.
    #[must_use]
    pub fn quarantine_left(&self, request: RequestFingerprint) -> Option<Duration> {
        let left_ms = self.lock().ledger.quarantine_left(self.now(), request)?;
        Duration::try_from_secs_f64(left_ms / 1e3).ok()
    }

    /// Records crashes; returns the verdicts and whether other requests are quarantined than before.
    pub fn note_crashes(&self, crashes: &[RequestCrash]) -> (RequestVerdicts, bool) {
        self.change(|now, ledger| {
            for crash in crashes {
                ledger.note_crash(now, crash);
            }
        })
    }

    /// Records complete responses; returns the verdicts and whether other requests are quarantined than before.
    pub fn note_sound(&self, requests: &[RequestFingerprint]) -> (RequestVerdicts, bool) {
        self.change(|now, ledger| {
            for request in requests {
                ledger.note_sound(now, *request);
            }
        })
    }

    /// Drops a suspect of the scheduler's node, which is being told that it is sound.
    pub fn remove_suspect(&self, request: RequestFingerprint) {
        self.lock().suspects.remove(&request);
    }

    /// Whether the scheduler's node wants to know of a complete response to the request.
    #[must_use]
    pub fn is_watched(&self, request: RequestFingerprint) -> bool {
        if self.is_idle() {
            return false;
        }
        let state = self.lock();
        state.suspects.contains(&request) || state.known.contains(&request)
    }

    /// The quarantines in force, and the requests that may become quarantined.
    #[must_use]
    pub fn verdicts(&self) -> RequestVerdicts {
        self.lock().ledger.verdicts(self.now())
    }

    /// Adds the quarantines of another node.
    pub fn learn(&self, quarantines: &[RequestQuarantine]) {
        if !quarantines.is_empty() {
            self.change(|now, ledger| ledger.learn(now, quarantines));
        }
    }

    /// Adds what the scheduler's node has announced. It may have restarted and not know all that this node does.
    pub fn learn_verdicts(&self, verdicts: &RequestVerdicts) {
        let mut state = self.lock();
        state.ledger.learn(self.now(), &verdicts.quarantines);
        state.suspects.extend(&verdicts.suspects);
        self.update_known(&mut state);
    }

    /// Replaces what was learned from other nodes.
    pub fn replace_learned(&self, verdicts: &RequestVerdicts) {
        let mut state = self.lock();
        state.ledger.forget_learned();
        state.ledger.learn(self.now(), &verdicts.quarantines);
        state.suspects = verdicts.suspects.iter().copied().collect();
        self.update_known(&mut state);
    }

    /// Logs the quarantines that have begun or ended.
    pub fn log_changes(&self) {
        let now = self.now();
        let mut state = self.lock();
        self.update_known(&mut state);
        let current = state.ledger.verdicts(now).quarantines;
        for began in &current {
            if !state.logged.contains(&began.request) {
                spdlog::warn!("quarantined a request that crashes upstreams", kv: {
                    fingerprint: = began.request, left_ms = began.left_ms as u64
                });
            }
        }
        let current: HashSet<_> = current.iter().map(|began| began.request).collect();
        for ended in state.logged.difference(&current) {
            spdlog::info!("quarantine of a request ended", kv: { fingerprint: = ended });
        }
        state.logged = current;
    }

    fn change(&self, change: impl FnOnce(f64, &mut RequestCrashLedger)) -> (RequestVerdicts, bool) {
        let now = self.now();
        let mut state = self.lock();
        let before = state.ledger.verdicts(now);
        change(now, &mut state.ledger);
        let after = state.ledger.verdicts(now);
        self.update_known(&mut state);
        let has_changed = before.quarantines != after.quarantines;
        (after, has_changed)
    }

    fn update_known(&self, state: &mut WatchState) {
        let own = state.ledger.verdicts(self.now());
        let quarantined = own.quarantines.iter().map(|known| known.request);
        state.known = own.suspects.iter().copied().chain(quarantined).collect();
        let is_idle = state.suspects.is_empty() && state.known.is_empty();
        self.is_idle.store(is_idle, Ordering::Relaxed);
    }

    fn now(&self) -> f64 {
        BootTime::now().since(self.started_at).as_secs_f64() * 1e3
    }

    fn lock(&self) -> MutexGuard<'_, WatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
