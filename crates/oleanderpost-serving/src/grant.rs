//! [`Grant`].

use serde::{Deserialize, Serialize};

use crate::UpstreamId;

/// Engines assigned to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Engine that receives the request and decodes the answer.
    pub engine: UpstreamId,
    /// Engines that prefill parts of the prompt, and also hold a part of it in memory if `reserve_tokens` is
    /// set.
    pub helpers: Vec<UpstreamId>,
    /// Engines that prefill parts of a prompt that others hold in memory.
    #[serde(default)]
    pub readers: Vec<UpstreamId>,
    /// Tokens of memory to reserve on each engine, if the prompt exceeds the memory of one engine.
    pub reserve_tokens: Option<f64>,
    /// Expected time to the first event in milliseconds.
    pub first_event_ms: f64,
    /// Cold engines of this grant whose limit the scheduler keeps to. Schedulers of earlier versions keep to none.
    #[serde(default)]
    pub limited: Vec<UpstreamId>,
}

impl Grant {
    /// All engines, with the one that decodes the answer last.
    pub fn engines(&self) -> impl Iterator<Item = &UpstreamId> {
        self.helpers
            .iter()
            .chain(&self.readers)
            .chain([&self.engine])
    }

    /// Number of engines that prefill the prompt.
    #[must_use]
    pub fn size(&self) -> usize {
        self.helpers.len() + self.readers.len() + 1
    }
}
