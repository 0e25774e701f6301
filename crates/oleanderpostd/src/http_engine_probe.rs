//! [`HttpEngineProbe`].

use oleanderpost::{
    admission::{EngineProbe, Error, Result},
    config::Convergence,
    types::{Attempt, Holding, LoadReport, RequestKey, ReservationRequest, UpstreamId},
};

use crate::{EngineClient, UpstreamAddress, node::find_upstream};

/// [`EngineProbe`] of admission that calls the engines over HTTP.
pub(crate) struct HttpEngineProbe {
    client: EngineClient,
    convergence: Convergence,
}

impl HttpEngineProbe {
    pub(crate) fn new(client: EngineClient, convergence: Convergence) -> Self {
        Self {
            client,
            convergence,
        }
    }

    fn find_engine(&self, step: &'static str, upstream: &UpstreamId) -> Result<UpstreamAddress> {
        let found = find_upstream(&self.convergence.snapshot(), upstream);
        found.map_err(|e| engine_error(step, upstream, &e))
    }
}

#[async_trait::async_trait]
impl EngineProbe for HttpEngineProbe {
    async fn load(&self, upstream: &UpstreamId) -> Result<LoadReport> {
        const STEP: &str = "load report";
        let to = self.find_engine(STEP, upstream)?;
        let report = self.client.load(&to).await;
        report.map_err(|e| engine_error(STEP, upstream, &e))
    }

    async fn holdings(&self, upstream: &UpstreamId) -> Result<Vec<Holding>> {
        const STEP: &str = "holdings";
        let to = self.find_engine(STEP, upstream)?;
        let holdings = self.client.holdings(&to).await;
        holdings.map_err(|e| engine_error(STEP, upstream, &e))
    }

    async fn cancel(&self, upstream: &UpstreamId, key: RequestKey, attempt: Attempt) -> Result<()> {
        const STEP: &str = "cancel";
        let to = self.find_engine(STEP, upstream)?;
        let result = self.client.cancel(&to, key, attempt).await;
        result.map_err(|e| engine_error(STEP, upstream, &e))
    }

    async fn reserve(&self, upstream: &UpstreamId, req: &ReservationRequest) -> Result<()> {
        const STEP: &str = "reserve";
        let to = self.find_engine(STEP, upstream)?;
        let result = self.client.reserve(&to, req).await;
        result.map_err(|e| engine_error(STEP, upstream, &e))
    }

    async fn release(&self, upstream: &UpstreamId, key: RequestKey) -> Result<()> {
        const STEP: &str = "release";
        let to = self.find_engine(STEP, upstream)?;
        let result = self.client.release(&to, key).await;
        result.map_err(|e| engine_error(STEP, upstream, &e))
    }
}

fn engine_error(step: &'static str, upstream: &UpstreamId, e: &crate::Error) -> Error {
    Error::Engine {
        step,
        upstream: upstream.clone(),
        detail: e.to_string(),
    }
}
