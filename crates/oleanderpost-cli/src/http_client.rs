//! [`HttpClient`].

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming, header::AUTHORIZATION};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;

use crate::{Error, Result};

/// HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    token: Option<String>,
}

impl HttpClient {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let inner = Client::builder(TokioExecutor::new()).build(connector);
        let token = None;
        Self { inner, token }
    }

    /// Adds the bearer token of a client account to each [`call`](Self::call).
    pub(crate) fn with_token(mut self, token: String) -> Self {
        self.token = Some(token);
        self
    }

    /// Sends a request and returns the response before its body is read.
    pub(crate) async fn send(
        &self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
        self.inner.request(req).await
    }

    /// Sends a GET request and parses the JSON body of the response.
    pub(crate) async fn get<T: DeserializeOwned>(&self, peer: SocketAddr, path: &str) -> Result<T> {
        let body = self.call(Method::GET, peer, path, Bytes::new()).await?;
        serde_json::from_slice(&body).map_err(|error| Error::BadResponse {
            peer,
            path: path.to_owned(),
            detail: error.to_string(),
        })
    }

    /// Sends a request and returns the body of the response if its status is a success.
    pub(crate) async fn call(
        &self,
        method: Method,
        peer: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes> {
        let unreachable = |detail: String| Error::Unreachable {
            peer,
            path: path.to_owned(),
            detail,
        };
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{peer}{path}"));
        let req = match &self.token {
            Some(token) => req.header(AUTHORIZATION, format!("Bearer {token}")),
            None => req,
        };
        let req = req
            .body(Full::new(body))
            .map_err(|error| unreachable(error.to_string()))?;
        let res = self
            .send(req)
            .await
            .map_err(|error| unreachable(error_with_causes(&error)))?;
        let status = res.status();
        let body = res
            .into_body()
            .collect()
            .await
            .map_err(|error| unreachable(error_with_causes(&error)))?;
        let body = body.to_bytes();
        if status.is_success() {
            return Ok(body);
        }
        Err(Error::BadResponse {
            peer,
            path: path.to_owned(),
            detail: format!("{status}: {}", String::from_utf8_lossy(&body)),
        })
    }
}

/// Text of an error and its causes, separated by colons.
pub(crate) fn error_with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
