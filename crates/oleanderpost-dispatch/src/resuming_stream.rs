//! [`ResumingStream`].

use std::{sync::Arc, time::Duration};

use oleanderpost_types::{RequestKey, StreamEvent, StreamStatus, UpstreamId};
use tokio::time::{sleep, timeout};

use crate::{Error, Result, StreamConnection, StreamSource, classified_event::ClassifiedEvent};

/// Maximum number of consecutive status queries and resumes without a new event. After that the stream is
/// reported as lost.
const MAX_TRIES_WITHOUT_PROGRESS: u32 = 3;

/// Delay after a failed status query or resume.
const STATUS_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time without an event after which the upstream is asked for the status of the stream.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads one stream of one upstream, over several connections if needed.
///
/// Events are delivered in order, each token exactly once, and the end only after the last token. A
/// connection that ends early, is idle for too long or omits tokens is replaced by a new one that starts at
/// the first token not yet delivered.
pub struct ResumingStream {
    source: Arc<dyn StreamSource>,
    upstream: UpstreamId,
    key: RequestKey,
    connection: Box<dyn StreamConnection>,
    idle_timeout: Duration,
    delivered: u64,
    resumes: u64,
    tries_without_progress: u32,
    /// Whether the connection that carried the request is still in use and has yielded no event. Only then
    /// does a refusal mean that the request was not run.
    refusal_means_not_run: bool,
}

impl ResumingStream {
    /// Reads the stream of `key` at `upstream`, starting with `connection`.
    #[must_use]
    pub fn new(
        source: Arc<dyn StreamSource>,
        upstream: UpstreamId,
        key: RequestKey,
        connection: Box<dyn StreamConnection>,
    ) -> Self {
        Self {
            source,
            upstream,
            key,
            connection,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            delivered: 0,
            resumes: 0,
            tries_without_progress: 0,
            refusal_means_not_run: true,
        }
    }

    /// Sets the time without an event after which the upstream is asked for the status of the stream.
    #[must_use]
    pub fn with_idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Number of tokens delivered so far.
    #[must_use]
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Number of connections that replaced another one since the last call.
    pub fn take_resumes(&mut self) -> u64 {
        std::mem::take(&mut self.resumes)
    }

    /// Closes the current connection; the upstream may continue to run the stream.
    pub fn close(self) {
        drop(self.connection);
    }

    /// Next tokens, or the end of the answer.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the upstream refused the request, [`Error::Lost`] if it has lost the stream,
    /// can't be reached or reports that the answer is incomplete.
    pub async fn next(&mut self) -> Result<StreamEvent> {
        loop {
            match timeout(self.idle_timeout, self.connection.next()).await {
                Ok(Ok(Some(event))) => {
                    if let Some(event) = self.accept(event).await? {
                        return Ok(event);
                    }
                }
                Ok(Err(e)) if self.refusal_means_not_run && e.is_not_run() => return Err(e),
                Ok(Ok(None) | Err(_)) => self.check_and_resume(true).await?,
                Err(_) => self.check_and_resume(false).await?,
            }
        }
    }

    async fn accept(&mut self, event: StreamEvent) -> Result<Option<StreamEvent>> {
        match ClassifiedEvent::new(event, self.delivered) {
            ClassifiedEvent::Next(event) => {
                if let StreamEvent::Token { count, .. } = &event {
                    self.delivered += count;
                }
                self.tries_without_progress = 0;
                self.refusal_means_not_run = false;
                Ok(Some(event))
            }
            ClassifiedEvent::Duplicate => Ok(None),
            ClassifiedEvent::Gap => {
                self.check_and_resume(true).await?;
                Ok(None)
            }
            ClassifiedEvent::NotRun(problem) => Err(Error::Refused {
                step: "read events",
                upstream: self.upstream.clone(),
                problem,
            }),
            ClassifiedEvent::Failed(detail) => Err(self.lost_error(detail)),
        }
    }

    /// Queries the status of the stream, and resumes it on a new connection unless the current one is merely
    /// waiting for tokens. `connection_ended` states that the current connection will yield no further event.
    async fn check_and_resume(&mut self, connection_ended: bool) -> Result<()> {
        loop {
            let status = self.source.status(self.key).await;
            let resumed = match status {
                Ok(StreamStatus::Running { tokens })
                    if !connection_ended && tokens <= self.delivered =>
                {
                    return Ok(());
                }
                Ok(StreamStatus::Running { .. } | StreamStatus::Finished { .. }) => {
                    self.source.resume(self.key, self.delivered).await
                }
                Ok(StreamStatus::Absent | StreamStatus::Ended) => {
                    return Err(self.lost_error("the upstream no longer has it".to_owned()));
                }
                Err(e) => Err(e),
            };
            self.tries_without_progress += 1;
            match resumed {
                Ok(connection) if self.tries_without_progress <= MAX_TRIES_WITHOUT_PROGRESS => {
                    self.resumes += 1;
                    self.refusal_means_not_run = false;
                    self.connection = connection;
                    return Ok(());
                }
                Ok(_) => {
                    return Err(self.lost_error("resumed in vain".to_owned()));
                }
                Err(e) if self.tries_without_progress >= MAX_TRIES_WITHOUT_PROGRESS => {
                    return Err(self.lost_error(e.to_string()));
                }
                Err(_) => sleep(STATUS_RETRY_DELAY).await,
            }
        }
    }

    fn lost_error(&self, detail: String) -> Error {
        Error::Lost {
            upstream: self.upstream.clone(),
            delivered: self.delivered,
            detail,
        }
    }
}
