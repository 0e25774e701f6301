//! A small HTTP client.

use std::net::SocketAddr;

use http_body_util::{BodyExt, Full};
use hyper::{
    Request, StatusCode,
    body::{Bytes, Incoming},
};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;

/// HTTP client for one stand-in. Connections are reused.
pub(crate) struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let inner = legacy::Client::builder(TokioExecutor::new()).build_http();
        Self { inner, address }
    }

    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<hyper::Response<Incoming>, legacy::Error> {
        let uri = format!("http://{}{path}", self.address);
        let mut req = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
        self.inner.request(req).await
    }

    /// Sends a request and returns the status and the body as text.
    pub(crate) async fn call(&self, method: &str, path: &str, body: &str) -> (StatusCode, String) {
        let res = self.send(method, path, &[], body).await.unwrap();
        let status = res.status();
        let body = res.into_body().collect().await.unwrap().to_bytes();
        (status, String::from_utf8(body.into()).unwrap())
    }

    /// Sends a GET request, which must succeed, and parses the response body as JSON.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> T {
        let (status, body) = self.call("GET", path, "").await;
        assert_eq!(status, StatusCode::OK, "{body}");
        serde_json::from_str(&body).unwrap()
    }

    pub(crate) async fn put(&self, path: &str, body: &str) {
        let (status, body) = self.call("PUT", path, body).await;
        assert!(status.is_success(), "{body}");
    }
}
