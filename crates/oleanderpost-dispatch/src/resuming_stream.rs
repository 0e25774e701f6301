//! [`ResumingStream`].

use std::{sync::Arc, time::Duration};

use oleanderpost_types::{RequestKey, StreamEvent, StreamStatus, UpstreamId};
use tokio::time::{sleep, timeout};

use crate::{Error, Result, StreamConnection, StreamSource, fit::Fit};

/// Questions and resumes without a new event, in a row, after which the upstream counts as gone.
const UNANSWERED_LIMIT: u32 = 3;

/// Pause after a question that stays unanswered.
const QUESTION_PAUSE: Duration = Duration::from_millis(250);

/// Silence after which the upstream is asked about the stream.
const DEFAULT_SILENCE: Duration = Duration::from_secs(2);

/// Follows one stream of one upstream over as many connections as it takes.
///
/// Events come out in order, each token once, and the end only behind the last token. A connection that
/// ends early, goes silent or leaves out tokens is replaced by a new one, which starts at the first
/// token not yet delivered.
pub struct ResumingStream {
    source: Arc<dyn StreamSource>,
    upstream: UpstreamId,
    key: RequestKey,
    events: Box<dyn StreamConnection>,
    silence: Duration,
    delivered: u64,
    resumes: u64,
    unanswered: u32,
    /// Whether the connection that carried the request is still in use and has given nothing: only its
    /// refusal says that the request was not run.
    is_first: bool,
}

impl ResumingStream {
    /// Follows the stream of `key` at `upstream`, beginning with the connection `events`.
    #[must_use]
    pub fn new(
        source: Arc<dyn StreamSource>,
        upstream: UpstreamId,
        key: RequestKey,
        events: Box<dyn StreamConnection>,
    ) -> Self {
        Self {
            source,
            upstream,
            key,
            events,
            silence: DEFAULT_SILENCE,
            delivered: 0,
            resumes: 0,
            unanswered: 0,
            is_first: true,
        }
    }

    /// Sets the silence after which the upstream is asked about the stream.
    #[must_use]
    pub fn with_idle_timeout(mut self, silence: Duration) -> Self {
        self.silence = silence;
        self
    }

    /// Tokens that came out so far.
    #[must_use]
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Connections that replaced others since the last call.
    pub fn take_resumes(&mut self) -> u64 {
        std::mem::take(&mut self.resumes)
    }

    /// Closes the connection in use; the upstream may still run the stream.
    pub fn close(self) {
        drop(self.events);
    }

    /// Next tokens, or the end of the answer.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] when the upstream refused the request, [`Error::Lost`] when it has lost the
    /// stream, can't be reached or says that the answer is broken off.
    pub async fn next(&mut self) -> Result<StreamEvent> {
        loop {
            match timeout(self.silence, self.events.next()).await {
                Ok(Ok(Some(event))) => {
                    if let Some(event) = self.take(event).await? {
                        return Ok(event);
                    }
                }
                Ok(Err(e)) if self.is_first && e.is_not_run() => return Err(e),
                Ok(Ok(None) | Err(_)) => self.reattach(true).await?,
                Err(_) => self.reattach(false).await?,
            }
        }
    }

    async fn take(&mut self, event: StreamEvent) -> Result<Option<StreamEvent>> {
        match Fit::new(event, self.delivered) {
            Fit::Next(event) => {
                if let StreamEvent::Token { count, .. } = &event {
                    self.delivered += count;
                }
                self.unanswered = 0;
                self.is_first = false;
                Ok(Some(event))
            }
            Fit::Double => Ok(None),
            Fit::Gap => {
                self.reattach(true).await?;
                Ok(None)
            }
            Fit::NotRun(problem) => Err(Error::Refused {
                step: "read events",
                upstream: self.upstream.clone(),
                problem,
            }),
            Fit::Broken(detail) => Err(self.lost(detail)),
        }
    }

    /// Asks the upstream about the stream, and resumes it where that helps.
    ///
    /// `ended` tells that the connection in use gives nothing more.
    async fn reattach(&mut self, ended: bool) -> Result<()> {
        loop {
            let status = self.source.status(self.key).await;
            let resumed = match status {
                Ok(StreamStatus::Running { tokens }) if !ended && tokens <= self.delivered => {
                    return Ok(());
                }
                Ok(StreamStatus::Running { .. } | StreamStatus::Finished { .. }) => {
                    self.source.resume(self.key, self.delivered).await
                }
                Ok(StreamStatus::Absent | StreamStatus::Ended) => {
                    return Err(self.lost("the upstream no longer has it".to_owned()));
                }
                Err(e) => Err(e),
            };
            self.unanswered += 1;
            match resumed {
                Ok(events) if self.unanswered <= UNANSWERED_LIMIT => {
                    self.resumes += 1;
                    self.is_first = false;
                    self.events = events;
                    return Ok(());
                }
                Ok(_) => return Err(self.lost("resumed in vain".to_owned())),
                Err(e) if self.unanswered >= UNANSWERED_LIMIT => {
                    return Err(self.lost(e.to_string()));
                }
                Err(_) => sleep(QUESTION_PAUSE).await,
            }
        }
    }

    fn lost(&self, detail: String) -> Error {
        Error::Lost {
            upstream: self.upstream.clone(),
            delivered: self.delivered,
            detail,
        }
    }
}
