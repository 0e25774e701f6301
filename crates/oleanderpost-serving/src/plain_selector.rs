//! [`PlainSelector`].

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use crate::{
    BootTime, EntryContext, Upstream, UpstreamId,
    admitted_request::AdmittedRequest,
    upstream_wait::{max_wait, spread_return},
};

/// Delay after which a caller should retry a request that was rejected because no upstream was available.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Selects upstreams of plain services for one request, within the limits and pauses that they state.
pub(crate) struct PlainSelector<'a> {
    entry: &'a EntryContext,
    request: &'a AdmittedRequest,
}

impl<'a> PlainSelector<'a> {
    pub(crate) fn new(entry: &'a EntryContext, request: &'a AdmittedRequest) -> Self {
        Self { entry, request }
    }

    /// Selects an upstream that is not in `excluded`. If all others limit their requests, waits for one of them for a
    /// short time.
    ///
    /// # Errors
    ///
    /// The time after which a retry makes sense, if no upstream accepts the request now.
    pub(crate) async fn select(&self, excluded: &[UpstreamId]) -> Result<Arc<Upstream>, Duration> {
        let upstreams = self.unpaused_upstreams()?;
        let mut tried = excluded.to_vec();
        let mut next_permit: Option<(Duration, Arc<Upstream>)> = None;
        while let Some(upstream) = self.least_loaded(&upstreams, &tried) {
            if self.entry.state.signals().limit(&upstream).is_none() && !self.is_cold(&upstream) {
                return Ok(upstream);
            }
            let Err(wait) = self.ask_permit(&upstream).await else {
                return Ok(upstream);
            };
            tried.push(upstream.id.clone());
            if next_permit.as_ref().is_none_or(|(first, _)| wait < *first) {
                next_permit = Some((wait, upstream));
            }
        }
        let Some((wait, upstream)) = next_permit else {
            return Err(NO_UPSTREAM_RETRY_AFTER);
        };
        let service_time = self.entry.balancer.service_time(&upstream.id);
        let max_wait = max_wait(self.entry, self.request, service_time);
        if wait > max_wait {
            self.log_limited("request not sent: limit of the upstream", &upstream, wait);
            return Err(spread_return(wait));
        }
        let wait = self.entry.scheduler.permit(&upstream.id, max_wait).await?;
        self.log_limited("request waits for the upstream's limit", &upstream, wait);
        sleep(wait).await;
        Ok(upstream)
    }

    fn is_cold(&self, upstream: &Upstream) -> bool {
        let cold = self.entry.state.cold(upstream, BootTime::now());
        cold.is_some()
    }

    fn log_limited(&self, message: &str, upstream: &Upstream, wait: Duration) {
        if !self.entry.may_log() {
            return;
        }
        spdlog::info!("{message}", kv: {
            request: = self.request.head.id, upstream: = upstream.id, wait_ms = wait.as_millis() as u64,
            cold = self.is_cold(upstream)
        });
    }

    /// The upstreams that do not want a pause from this node.
    fn unpaused_upstreams(&self) -> Result<Vec<Arc<Upstream>>, Duration> {
        let state = &self.entry.state;
        let mut upstreams = state.usable_upstreams(&self.request.service);
        let pauses = state.pauses(&self.request.service);
        let Some(first_end) = pauses.iter().map(|(_, left)| *left).min() else {
            return Ok(upstreams);
        };
        upstreams.retain(|upstream| pauses.iter().all(|(id, _)| *id != upstream.id));
        if upstreams.is_empty() {
            return Err(spread_return(first_end));
        }
        Ok(upstreams)
    }

    fn least_loaded(
        &self,
        upstreams: &[Arc<Upstream>],
        tried: &[UpstreamId],
    ) -> Option<Arc<Upstream>> {
        let now = BootTime::now();
        let data_centre = &self.entry.data_centre;
        self.entry
            .balancer
            .choose(upstreams, tried, data_centre, now)
    }

    /// Asks for the permission to send the request now, unless it is known that the limit does not allow it yet.
    async fn ask_permit(&self, upstream: &Upstream) -> Result<(), Duration> {
        let EntryContext {
            balancer,
            scheduler,
            ..
        } = self.entry;
        if let Some(wait) = balancer.permit_wait(&upstream.id, BootTime::now()) {
            return Err(wait);
        }
        let asked = scheduler.permit(&upstream.id, Duration::ZERO).await;
        if let Err(wait) = asked {
            balancer.note_permit_wait(&upstream.id, BootTime::now().after(wait));
            return Err(wait);
        }
        Ok(())
    }
}
