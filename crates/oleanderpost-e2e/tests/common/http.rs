//! HTTP client that opens a connection for each request.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

impl Reply {
    /// The body as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body must be JSON")
    }
}

/// Sends a request on a new connection; returns `None` when the connection failed or broke before the end of
/// the response.
pub(crate) async fn send_request(
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Option<Reply> {
    let stream = TcpStream::connect(to).await.ok()?;
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(conn);
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, to.to_string());
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req
        .body(Full::new(body.into()))
        .expect("the request must be valid");
    let res = sender.send_request(req).await.ok()?;
    let (parts, body) = res.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Reply {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}
