//! Reads one stream of an engine, over several connections if needed.
//!
//! A [`ResumingStream`] reads events from a [`StreamConnection`]. If the connection breaks, is idle for too
//! long or omits tokens, it queries the status of the stream through [`StreamSource`] and resumes at the
//! first token that was not delivered yet. The end of an answer is only reported after all of its tokens were
//! delivered in order.
//!
//! ```
//! use std::sync::Arc;
//!
//! use oleanderpost_dispatch::{Result, ResumingStream, StreamConnection, StreamSource};
//! use oleanderpost_types::{FinishReason, RequestKey, StreamEvent, StreamStatus};
//!
//! /// A connection that ends immediately.
//! struct Broken;
//!
//! #[async_trait::async_trait]
//! impl StreamConnection for Broken {
//!     async fn next(&mut self) -> Result<Option<StreamEvent>> {
//!         Ok(None)
//!     }
//! }
//!
//! /// A connection that sends the end of an empty answer.
//! struct End;
//!
//! #[async_trait::async_trait]
//! impl StreamConnection for End {
//!     async fn next(&mut self) -> Result<Option<StreamEvent>> {
//!         Ok(Some(StreamEvent::End { tokens: 0, finish_reason: FinishReason::Stop }))
//!     }
//! }
//!
//! struct Engine;
//!
//! #[async_trait::async_trait]
//! impl StreamSource for Engine {
//!     async fn status(&self, _key: RequestKey) -> Result<StreamStatus> {
//!         Ok(StreamStatus::Finished { tokens: 0 })
//!     }
//!
//!     async fn resume(&self, _key: RequestKey, _offset: u64) -> Result<Box<dyn StreamConnection>> {
//!         Ok(Box::new(End))
//!     }
//! }
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<()> {
//! let upstream = "engine-1".parse().unwrap();
//! let mut stream = ResumingStream::new(Arc::new(Engine), upstream, RequestKey::new(), Box::new(Broken));
//! assert!(matches!(stream.next().await?, StreamEvent::End { .. }));
//! assert_eq!(stream.take_resumes(), 1);
//! # Ok(())
//! # }
//! ```

mod classified_event;
mod error;
mod resuming_stream;
mod stream_connection;
mod stream_source;

pub use crate::{
    error::{Error, Result},
    resuming_stream::ResumingStream,
    stream_connection::StreamConnection,
    stream_source::StreamSource,
};
