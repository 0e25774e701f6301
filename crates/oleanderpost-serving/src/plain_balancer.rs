//! [`PlainBalancer`].

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use crate::{
    AttemptError, BootTime, DataCentreName, RunStatus, Upstream, UpstreamId, UpstreamLoad,
    upstream_client::REFUSED_STEP,
};

/// Maximum age of a load reported by an upstream.
const MAX_LOAD_AGE: Duration = Duration::from_millis(400);
/// Weight of a new outcome in the smoothed failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Weight of a new measurement in the smoothed service time and its deviation.
const TIME_WEIGHT: f64 = 0.2;
/// Number of mean deviations above the mean service time beyond which a response is taken to be lost, as in the
/// retransmission timeout of RFC 6298.
const LOST_DEVIATIONS: f64 = 4.0;
/// Exclusion time after a failed connection or an upstream that did not reply; doubled with consecutive
/// failures.
const EXCLUSION: Duration = Duration::from_millis(800);
/// Maximum exclusion time after consecutive failures.
const MAX_EXCLUSION: Duration = Duration::from_secs(5);
/// Cost of a failure rate of 1, expressed in requests in progress.
const FAILURE_COST: f64 = 8.0;
/// Cost of an upstream in another data centre, expressed in requests in progress.
const REMOTE_COST: f64 = 0.3;

#[derive(Debug, Default)]
struct UpstreamStats {
    in_progress: u32,
    failure_rate: f64,
    service_ms: f64,
    /// Mean deviation of the service time.
    deviation_ms: f64,
    consecutive_errors: u32,
    excluded_until: BootTime,
    /// Time before which the upstream's limit allows no request.
    permit_at: BootTime,
    /// Whether the upstream has wanted a pause and not responded to a request since.
    on_probation: bool,
    reported: Option<(UpstreamLoad, BootTime)>,
}

/// Selects the least loaded upstream, for services whose requests are short and similar.
#[derive(Debug, Default)]
pub struct PlainBalancer {
    stats: Mutex<HashMap<UpstreamId, UpstreamStats>>,
}

impl PlainBalancer {
    /// Selects one of `usable`, without those in `tried`. Excluded upstreams are used only if there are no
    /// others.
    #[must_use]
    pub fn choose(
        &self,
        usable: &[Arc<Upstream>],
        tried: &[UpstreamId],
        own_data_centre: &DataCentreName,
        now: BootTime,
    ) -> Option<Arc<Upstream>> {
        let stats = self.lock();
        let cost = |upstream: &Arc<Upstream>| {
            let entry = stats.get(&upstream.id);
            let remote_cost = if upstream.data_centre == *own_data_centre {
                0.0
            } else {
                REMOTE_COST
            };
            remote_cost + entry.map_or(0.0, |entry| entry.cost(now))
        };
        let is_available = |upstream: &&Arc<Upstream>| {
            let entry = stats.get(&upstream.id);
            entry.is_none_or(|entry| entry.is_available(now))
        };
        let untried: Vec<_> = usable.iter().filter(|u| !tried.contains(&u.id)).collect();
        let available: Vec<_> = untried.iter().copied().filter(is_available).collect();
        let candidates = if available.is_empty() {
            untried
        } else {
            available
        };
        candidates
            .into_iter()
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            .cloned()
    }

    /// Records that the limit of the upstream allows no request before `at`.
    pub fn note_permit_wait(&self, id: &UpstreamId, at: BootTime) {
        self.lock().entry(id.clone()).or_default().permit_at = at;
    }

    /// Forgets the waits for upstreams that no longer limit their requests.
    pub fn retain_permit_waits(&self, is_limited: impl Fn(&UpstreamId) -> bool) {
        for (id, entry) in self.lock().iter_mut() {
            if !is_limited(id) {
                entry.permit_at = BootTime::default();
            }
        }
    }

    /// Time until the limit of the upstream allows a request, if it does not now.
    #[must_use]
    pub fn permit_wait(&self, id: &UpstreamId, now: BootTime) -> Option<Duration> {
        let permit_at = self.lock().get(id)?.permit_at;
        (permit_at > now).then(|| permit_at.since(now))
    }

    /// Records that the upstream wants a pause; after it, one request at a time shows whether it accepts more.
    pub fn note_pause(&self, id: &UpstreamId) {
        self.lock().entry(id.clone()).or_default().on_probation = true;
    }

    /// Records that a request is sent to the upstream.
    pub fn begin_request(&self, id: &UpstreamId) {
        self.lock().entry(id.clone()).or_default().in_progress += 1;
    }

    /// Records that a request to the upstream has ended, whatever its outcome.
    pub fn end_request(&self, id: &UpstreamId) {
        if let Some(entry) = self.lock().get_mut(id) {
            entry.in_progress = entry.in_progress.saturating_sub(1);
        }
    }

    /// Records a complete response; `failed` is set if the response is an error of the upstream.
    pub fn note_response(
        &self,
        id: &UpstreamId,
        failed: bool,
        took: Duration,
        load: Option<UpstreamLoad>,
        now: BootTime,
    ) {
        let mut stats = self.lock();
        let entry = stats.entry(id.clone()).or_default();
        entry.consecutive_errors = 0;
        entry.on_probation = false;
        entry.failure_rate += FAILURE_WEIGHT * (f64::from(u8::from(failed)) - entry.failure_rate);
        entry.note_service_time(took.as_secs_f64() * 1e3);
        if let Some(load) = load {
            entry.reported = Some((load, now));
        }
    }

    /// Mean time to a complete response; zero if none is known.
    #[must_use]
    pub fn service_time(&self, id: &UpstreamId) -> Duration {
        let service_ms = self.lock().get(id).map_or(0.0, |entry| entry.service_ms);
        Duration::from_secs_f64(service_ms / 1e3)
    }

    /// Time after which a response is taken to be lost, from the service time and its deviation; `None` if no response is
    /// known.
    #[must_use]
    pub fn loss_timeout(&self, id: &UpstreamId) -> Option<Duration> {
        let stats = self.lock();
        let entry = stats.get(id).filter(|entry| entry.service_ms > 0.0)?;
        let timeout_ms = entry.service_ms + LOST_DEVIATIONS * entry.deviation_ms;
        Some(Duration::from_secs_f64(timeout_ms / 1e3))
    }

    /// Records an attempt that got no usable response.
    pub fn note_error(&self, e: &AttemptError, now: BootTime) {
        let mut stats = self.lock();
        let entry = stats.entry(e.upstream.clone()).or_default();
        if e.ran == RunStatus::NotRun && e.step == REFUSED_STEP {
            entry.excluded_until = now.after(EXCLUSION / 8);
            return;
        }
        entry.failure_rate += FAILURE_WEIGHT * (1.0 - entry.failure_rate);
        let exclusion = EXCLUSION * (1 << entry.consecutive_errors.min(3));
        entry.consecutive_errors += 1;
        entry.excluded_until = now.after(exclusion.min(MAX_EXCLUSION));
    }

    /// Drops the state of upstreams that are no longer known.
    pub fn retain(&self, known: impl Fn(&UpstreamId) -> bool) {
        self.lock()
            .retain(|id, entry| known(id) || entry.in_progress > 0);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<UpstreamId, UpstreamStats>> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl UpstreamStats {
    fn is_available(&self, now: BootTime) -> bool {
        let is_probed = self.on_probation && self.in_progress > 0;
        self.excluded_until <= now && self.permit_at <= now && !is_probed
    }

    fn note_service_time(&mut self, took_ms: f64) {
        if self.service_ms == 0.0 {
            (self.service_ms, self.deviation_ms) = (took_ms, took_ms / 2.0);
            return;
        }
        let error_ms = took_ms - self.service_ms;
        self.deviation_ms += TIME_WEIGHT * (error_ms.abs() - self.deviation_ms);
        self.service_ms += TIME_WEIGHT * error_ms;
    }

    fn cost(&self, now: BootTime) -> f64 {
        let reported = self
            .reported
            .filter(|(_, at)| now.since(*at) <= MAX_LOAD_AGE);
        let reported_queue =
            reported.map_or(0.0, |(load, _)| f64::from(load.running + 2 * load.waiting));
        let queue = f64::from(self.in_progress).max(reported_queue);
        queue + self.failure_rate * FAILURE_COST + self.service_ms / 20.0
    }
}
