//! [`ClassifiedEvent`].

use oleanderpost_types::{Outcome, Problem, StreamEvent};

/// An event of an upstream, classified by its position relative to the tokens delivered so far.
#[derive(Debug)]
pub(crate) enum ClassifiedEvent {
    /// The event continues the delivered tokens.
    Next(StreamEvent),
    /// All tokens of the event were delivered before.
    Duplicate,
    /// Tokens are missing before the event, or a part of it was delivered before.
    Gap,
    /// The upstream rejected the request before it ran.
    NotRun(Box<Problem>),
    /// The answer can't be completed.
    Failed(String),
}

impl ClassifiedEvent {
    /// Classifies an event, given the number of tokens delivered so far.
    pub(crate) fn new(event: StreamEvent, delivered: u64) -> Self {
        match event {
            StreamEvent::Token { offset, count, .. } if offset + count <= delivered => {
                Self::Duplicate
            }
            StreamEvent::Token { offset, .. } if offset != delivered => Self::Gap,
            StreamEvent::End { tokens, .. } if tokens > delivered => Self::Gap,
            StreamEvent::End { tokens, .. } if tokens < delivered => {
                Self::Failed(format!("the stream ended after {tokens} tokens"))
            }
            StreamEvent::Error(problem) if problem.outcome == Outcome::NotRun && delivered == 0 => {
                Self::NotRun(Box::new(problem))
            }
            StreamEvent::Error(problem) => Self::Failed(problem.detail),
            event => Self::Next(event),
        }
    }
}
