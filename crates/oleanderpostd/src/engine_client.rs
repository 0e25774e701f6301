//! [`EngineClient`].

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode,
    header::{CONTENT_TYPE, HOST},
};
use oleanderpost::types::{
    Attempt, EngineState, Holding, LoadReport, Millis, Order, RequestKey, ReservationRequest,
    StreamStatus, VmId, header,
};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{Connection, EngineRequest, Error, EventReader, Result, UpstreamAddress};

const APPLICATION_JSON: &str = "application/json";

/// Timeout for short exchanges with an engine: all except completions and resumed streams.
const SHORT_EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client for engines. Each exchange uses a new connection.
#[derive(Clone, Debug)]
pub(crate) struct EngineClient {
    own_vm: VmId,
    connect_timeout: Duration,
}

impl EngineClient {
    pub(crate) fn new(own_vm: VmId, connect_timeout: Duration) -> Self {
        Self {
            own_vm,
            connect_timeout,
        }
    }

    /// Opens a connection without sending anything of a request.
    pub(crate) async fn open(&self, to: &UpstreamAddress) -> Result<Connection> {
        Connection::open(to.id.as_str(), to.address, self.connect_timeout).await
    }

    /// Returns a reader that sends a completion request on an open connection and reads its events.
    pub(crate) fn send_completion(
        &self,
        conn: Connection,
        to: &UpstreamAddress,
        req: &EngineRequest,
    ) -> Result<EventReader> {
        const STEP: &str = "completion";
        let mut request = self
            .request_builder(Method::POST, to, "/v1/completions")
            .header(CONTENT_TYPE, APPLICATION_JSON)
            .header(header::REQUEST_ID, req.id.to_string())
            .header(header::REQUEST_KEY, req.key.to_string())
            .header(header::ATTEMPT, req.attempt.to_string())
            .header(header::PRIORITY, req.priority.to_string())
            .header(
                header::TIME_LIMIT_MS,
                Millis::from(req.time_left).to_string(),
            )
            .header(header::GROUP_SIZE, req.group_size.to_string());
        if let Some(reservation) = req.reservation {
            request = request.header(header::RESERVATION, reservation.to_string());
        }
        let request = request
            .body(Full::new(req.body.clone()))
            .map_err(|e| request_error(STEP, to, &e))?;
        Ok(EventReader::new(STEP, &to.id, conn, request))
    }

    /// Returns a reader of a running or finished stream, from token `offset` on.
    pub(crate) async fn resume(
        &self,
        to: &UpstreamAddress,
        key: RequestKey,
        offset: u64,
    ) -> Result<EventReader> {
        const STEP: &str = "resume";
        let path = format!("/v1/streams/{key}/events?offset={offset}");
        let request = self
            .request_builder(Method::GET, to, &path)
            .body(Full::new(Bytes::new()))
            .map_err(|e| request_error(STEP, to, &e))?;
        let conn = self.open(to).await?;
        Ok(EventReader::new(STEP, &to.id, conn, request))
    }

    /// Status of a request's stream at the engine.
    pub(crate) async fn status(
        &self,
        to: &UpstreamAddress,
        key: RequestKey,
    ) -> Result<StreamStatus> {
        self.get_json("stream status", to, &format!("/v1/streams/{key}"))
            .await
    }

    /// Cancels one attempt. Its memory is free when the call returns without an error.
    pub(crate) async fn cancel(
        &self,
        to: &UpstreamAddress,
        key: RequestKey,
        attempt: Attempt,
    ) -> Result<()> {
        let path = format!("/v1/streams/{key}?attempt={attempt}");
        self.send_ignoring_body("cancel", Method::DELETE, to, &path, Bytes::new())
            .await
    }

    /// Load report of the engine.
    pub(crate) async fn load(&self, to: &UpstreamAddress) -> Result<LoadReport> {
        self.get_json("load report", to, "/v1/load").await
    }

    /// Requests and reservations that hold the engine's memory.
    pub(crate) async fn holdings(&self, to: &UpstreamAddress) -> Result<Vec<Holding>> {
        self.get_json("holdings", to, "/v1/holdings").await
    }

    /// Reserves memory for a request that a group of engines serves.
    pub(crate) async fn reserve(
        &self,
        to: &UpstreamAddress,
        req: &ReservationRequest,
    ) -> Result<()> {
        const STEP: &str = "reserve";
        let body = serde_json::to_vec(req).map_err(|e| request_error(STEP, to, &e))?;
        self.send_ignoring_body(STEP, Method::POST, to, "/v1/reservations", body.into())
            .await
    }

    /// Releases a reservation.
    pub(crate) async fn release(&self, to: &UpstreamAddress, key: RequestKey) -> Result<()> {
        let path = format!("/v1/reservations/{key}");
        self.send_ignoring_body("release", Method::DELETE, to, &path, Bytes::new())
            .await
    }

    /// Sends an order to the engine; returns the engine's state after it.
    pub(crate) async fn order(&self, to: &UpstreamAddress, order: &Order) -> Result<EngineState> {
        const STEP: &str = "order";
        let body = serde_json::to_vec(order).map_err(|e| request_error(STEP, to, &e))?;
        self.send_json(STEP, Method::POST, to, "/v1/orders", body.into())
            .await
    }

    /// Model, version and role of the engine.
    pub(crate) async fn state(&self, to: &UpstreamAddress) -> Result<EngineState> {
        self.get_json("engine state", to, "/v1/state").await
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        step: &'static str,
        to: &UpstreamAddress,
        path: &str,
    ) -> Result<T> {
        self.send_json(step, Method::GET, to, path, Bytes::new())
            .await
    }

    async fn send_json<T: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        to: &UpstreamAddress,
        path: &str,
        body: Bytes,
    ) -> Result<T> {
        let request = self
            .request_builder(method, to, path)
            .header(CONTENT_TYPE, APPLICATION_JSON)
            .body(Full::new(body))
            .map_err(|e| request_error(step, to, &e))?;
        let conn = self.open(to).await?;
        conn.send_for_json(step, request, SHORT_EXCHANGE_TIMEOUT)
            .await
    }

    async fn send_ignoring_body(
        &self,
        step: &'static str,
        method: Method,
        to: &UpstreamAddress,
        path: &str,
        body: Bytes,
    ) -> Result<()> {
        let request = self
            .request_builder(method.clone(), to, path)
            .header(CONTENT_TYPE, APPLICATION_JSON)
            .body(Full::new(body))
            .map_err(|e| request_error(step, to, &e))?;
        let exchange = async {
            let conn = self.open(to).await?;
            let (res, _conn) = conn.send(step, request).await?;
            match res.status() {
                status if status.is_success() => Ok(()),
                // Deleting something that does not exist counts as success.
                StatusCode::NOT_FOUND if method == Method::DELETE => Ok(()),
                status => Err(Error::Status {
                    step,
                    peer: to.id.to_string(),
                    status: status.as_u16(),
                }),
            }
        };
        timeout(SHORT_EXCHANGE_TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| Err(timeout_error(step, to)))
    }

    fn request_builder(
        &self,
        method: Method,
        to: &UpstreamAddress,
        path: &str,
    ) -> hyper::http::request::Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, to.address.to_string())
            .header(header::HOLDER, self.own_vm.to_string())
    }
}

fn request_error(step: &'static str, to: &UpstreamAddress, e: &dyn std::fmt::Display) -> Error {
    Error::Exchange {
        step,
        peer: to.id.to_string(),
        detail: e.to_string(),
    }
}

fn timeout_error(step: &'static str, to: &UpstreamAddress) -> Error {
    Error::Timeout {
        step,
        peer: to.id.to_string(),
    }
}
