//! [`EventReader`].

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use futures_util::{Stream, StreamExt, future::BoxFuture};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming};
use oleanderpost::{
    dispatch::{self, StreamConnection},
    types::{Problem, StreamEvent, UpstreamId},
};
use oleanderpost_serving::ClientConnection;

use crate::{Connection, Error, Result, connection::read_json};

const STEP: &str = "read events";

/// Largest size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

type EventStream = Pin<Box<dyn Stream<Item = Result<Event, String>> + Send>>;
type ResponseHead = (Response<Incoming>, ClientConnection<Full<Bytes>>);

/// Reader of a streamed response of an engine. Dropping it closes the connection.
///
/// The head of the response is read together with the first event, since an engine may send it late.
pub(crate) struct EventReader {
    peer: UpstreamId,
    state: State,
}

enum State {
    Head(BoxFuture<'static, Result<ResponseHead>>),
    Events {
        events: EventStream,
        _conn: ClientConnection<Full<Bytes>>,
    },
    Ended,
}

impl EventReader {
    /// Creates a reader that sends the request on the connection when the first event is read.
    pub(crate) fn new(
        step: &'static str,
        peer: &UpstreamId,
        conn: Connection,
        req: Request<Full<Bytes>>,
    ) -> Self {
        Self {
            peer: peer.clone(),
            state: State::Head(Box::pin(conn.send(step, req))),
        }
    }

    async fn read(&mut self) -> Result<Option<StreamEvent>> {
        if let State::Head(head) = &mut self.state {
            let (res, conn) = head.await?;
            self.state = State::Ended;
            let events = open_events(self.peer.as_str(), res).await?;
            self.state = State::Events {
                events,
                _conn: conn,
            };
        }
        let State::Events { events, .. } = &mut self.state else {
            return Ok(None);
        };
        let Some(event) = events.next().await else {
            return Ok(None);
        };
        event
            .and_then(|event| decode_event(&event))
            .map(Some)
            .map_err(|detail| self.exchange_error(detail))
    }

    fn exchange_error(&self, detail: String) -> Error {
        Error::Exchange {
            step: STEP,
            peer: self.peer.to_string(),
            detail,
        }
    }
}

#[async_trait::async_trait]
impl StreamConnection for EventReader {
    async fn next(&mut self) -> dispatch::Result<Option<StreamEvent>> {
        let event = self.read().await;
        event.map_err(|e| e.into_dispatch_error(STEP, &self.peer))
    }
}

async fn open_events(peer: &str, res: Response<Incoming>) -> Result<EventStream> {
    match res.status() {
        StatusCode::OK => {
            // The parser buffers an event until it is complete.
            let bytes_since_event = Arc::new(AtomicUsize::new(0));
            let received = Arc::clone(&bytes_since_event);
            let chunks = res.into_body().into_data_stream().map(move |chunk| {
                let chunk = chunk.map_err(|e| e.to_string())?;
                let bytes = received.fetch_add(chunk.len(), Ordering::Relaxed) + chunk.len();
                if bytes > MAX_EVENT_BYTES {
                    return Err("event exceeds the size limit".to_owned());
                }
                Ok(chunk)
            });
            let events = chunks.eventsource().map(move |event| {
                bytes_since_event.store(0, Ordering::Relaxed);
                event.map_err(|e| e.to_string())
            });
            Ok(Box::pin(events))
        }
        StatusCode::SERVICE_UNAVAILABLE => {
            let problem: Problem = read_json(STEP, peer, res).await?;
            Err(Error::Refused {
                step: STEP,
                peer: peer.to_owned(),
                problem: Box::new(problem),
            })
        }
        status => Err(Error::Status {
            step: STEP,
            peer: peer.to_owned(),
            status: status.as_u16(),
        }),
    }
}

fn decode_event(event: &Event) -> Result<StreamEvent, String> {
    let decoded: StreamEvent = serde_json::from_str(&event.data).map_err(|e| e.to_string())?;
    if decoded.name() != event.event {
        return Err(format!("unknown event {:?}", event.event));
    }
    Ok(decoded)
}
