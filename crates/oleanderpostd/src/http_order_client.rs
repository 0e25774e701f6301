//! [`HttpOrderClient`].

use hyper::StatusCode;
use oleanderpost::{
    claims::{Error, OrderClient, Result},
    config::Convergence,
    types::{EngineState, Order, UpstreamId},
};

use crate::{EngineClient, UpstreamAddress, node::find_upstream};

/// [`OrderClient`] that sends orders to engines over HTTP.
pub(crate) struct HttpOrderClient {
    client: EngineClient,
    convergence: Convergence,
}

impl HttpOrderClient {
    pub(crate) fn new(client: EngineClient, convergence: Convergence) -> Self {
        Self {
            client,
            convergence,
        }
    }

    fn find_engine(&self, step: &'static str, engine: &UpstreamId) -> Result<UpstreamAddress> {
        let found = find_upstream(&self.convergence.snapshot(), engine);
        found.map_err(|e| order_error(step, engine, &e))
    }
}

#[async_trait::async_trait]
impl OrderClient for HttpOrderClient {
    async fn order(&self, engine: &UpstreamId, order: Order) -> Result<EngineState> {
        const STEP: &str = "order";
        let to = self.find_engine(STEP, engine)?;
        let state = self.client.order(&to, &order).await;
        state.map_err(|e| order_error(STEP, engine, &e))
    }

    async fn state(&self, engine: &UpstreamId) -> Result<EngineState> {
        const STEP: &str = "engine state";
        let to = self.find_engine(STEP, engine)?;
        let state = self.client.state(&to).await;
        state.map_err(|e| order_error(STEP, engine, &e))
    }
}

fn order_error(step: &'static str, engine: &UpstreamId, e: &crate::Error) -> Error {
    let refusal_statuses = [
        StatusCode::CONFLICT,
        StatusCode::UNAUTHORIZED,
        StatusCode::FORBIDDEN,
    ];
    let upstream = engine.clone();
    let detail = e.to_string();
    match e {
        crate::Error::Status { status, .. }
            if refusal_statuses.iter().any(|r| r.as_u16() == *status) =>
        {
            Error::Refused { upstream, detail }
        }
        _ => Error::Upstream {
            step,
            upstream,
            detail,
        },
    }
}
