//! [`RequestHead`].

use std::time::Duration;

use crate::{PartId, RequestId};

/// Metadata in the headers of a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// Identifier chosen by the caller.
    pub id: RequestId,
    /// Host name without the port.
    pub host: String,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// API key of a client account.
    pub api_key: Option<String>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: Option<f64>,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: Option<f64>,
    /// The caller's estimate of the number of tokens that will be generated.
    pub expected_output_tokens: Option<f64>,
    /// Identifier of the last event of a stream that the caller has received.
    pub last_event_id: Option<u64>,
    /// Whether a peer without upstreams has relayed the request.
    pub relayed: bool,
    /// Parts of the prompt in order; empty if the caller names none.
    pub prompt_parts: Vec<PartId>,
}

impl RequestHead {
    /// The parts of the prompt, for logs.
    pub(crate) fn prompt_parts_text(&self) -> String {
        let parts: Vec<_> = self.prompt_parts.iter().map(PartId::as_str).collect();
        parts.join(",")
    }
}
