//! [`Connection`].

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use oleanderpost_serving::{ClientConnection, read_body};
use serde::de::DeserializeOwned;
use tokio::{net::TcpStream, time::timeout};

use crate::{Error, Result};

/// Maximum size of a JSON response, in bytes: all files of a fleet.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// HTTP connection to a peer, used for one exchange.
///
/// Connections are not pooled: a pooled connection may have become silent while it was idle, and then it
/// would be unknown whether the peer received the request. Dropping the value closes the connection.
pub(crate) struct Connection {
    peer: String,
    conn: ClientConnection<Full<Bytes>>,
}

impl Connection {
    /// Opens a connection within `time_limit`. Nothing of a request is sent before [`Self::send`].
    pub(crate) async fn open(
        peer: &str,
        address: SocketAddr,
        time_limit: Duration,
    ) -> Result<Self> {
        let connect_error = |detail: String| Error::Connect {
            peer: peer.to_owned(),
            address,
            detail,
        };
        let stream = timeout(time_limit, TcpStream::connect(address))
            .await
            .map_err(|_| connect_error("no answer in time".to_owned()))?
            .map_err(|e| connect_error(e.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| connect_error(e.to_string()))?;
        let conn = ClientConnection::new(stream).await;
        Ok(Self {
            peer: peer.to_owned(),
            conn: conn.map_err(|e| connect_error(e.to_string()))?,
        })
    }

    /// Sends the request and waits for the head of the response.
    ///
    /// The body can be read until the returned connection is dropped, which closes it.
    pub(crate) async fn send(
        mut self,
        step: &'static str,
        req: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, ClientConnection<Full<Bytes>>)> {
        let response = self.conn.sender.send_request(req).await;
        let res = response.map_err(|e| Error::Exchange {
            step,
            peer: self.peer.clone(),
            detail: e.to_string(),
        })?;
        Ok((res, self.conn))
    }

    /// Sends the request and reads the whole response as JSON, within `time_limit`.
    pub(crate) async fn send_for_json<T: DeserializeOwned>(
        self,
        step: &'static str,
        req: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<T> {
        let peer = self.peer.clone();
        let exchange = async {
            let (res, _conn) = self.send(step, req).await?;
            check_status(step, &peer, &res)?;
            read_json(step, &peer, res).await
        };
        timeout(time_limit, exchange).await.unwrap_or_else(|_| {
            Err(Error::Timeout {
                step,
                peer: peer.clone(),
            })
        })
    }
}

fn check_status(step: &'static str, peer: &str, res: &Response<Incoming>) -> Result<()> {
    if res.status().is_success() {
        return Ok(());
    }
    Err(Error::Status {
        step,
        peer: peer.to_owned(),
        status: res.status().as_u16(),
    })
}

/// Reads a whole response as JSON, without a check of its status.
pub(crate) async fn read_json<T: DeserializeOwned>(
    step: &'static str,
    peer: &str,
    res: Response<Incoming>,
) -> Result<T> {
    let exchange_error = |detail: String| Error::Exchange {
        step,
        peer: peer.to_owned(),
        detail,
    };
    let body = read_body(res.into_body(), MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|e| exchange_error(e.to_string()))?;
    serde_json::from_slice(&body).map_err(|e| exchange_error(e.to_string()))
}
