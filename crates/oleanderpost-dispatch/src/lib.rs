//! Following one stream of an engine over as many connections as it takes.
//!
//! A [`ResumingStream`] reads the [`StreamConnection`] of a connection. Where the connection breaks, goes silent or leaves
//! out tokens, it asks the upstream about the stream through [`StreamSource`] and goes on at the first
//! token not yet delivered, so that an answer comes out whole and in order, or not as whole.
//!
//! ```
//! use std::sync::Arc;
//!
//! use oleanderpost_dispatch::{Result, ResumingStream, StreamConnection, StreamSource};
//! use oleanderpost_types::{FinishReason, RequestKey, StreamEvent, StreamStatus};
//!
//! /// A connection that ends at once.
//! struct Broken;
//!
//! #[async_trait::async_trait]
//! impl StreamConnection for Broken {
//!     async fn next(&mut self) -> Result<Option<StreamEvent>> {
//!         Ok(None)
//!     }
//! }
//!
//! /// A connection that has the end of an empty answer.
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
//! let mut relay = ResumingStream::new(Arc::new(Engine), upstream, RequestKey::new(), Box::new(Broken));
//! assert!(matches!(relay.next().await?, StreamEvent::End { .. }));
//! assert_eq!(relay.take_resumes(), 1);
//! # Ok(())
//! # }
//! ```

mod error;
mod fit;
mod resuming_stream;
mod stream_connection;
mod stream_source;

pub use crate::{
    error::{Error, Result},
    resuming_stream::ResumingStream,
    stream_connection::StreamConnection,
    stream_source::StreamSource,
};
