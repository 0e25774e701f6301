//! [`RequestHead`].

use std::time::Duration;

use crate::RequestId;

/// What a request says of itself, beside method, path and body.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// Identifier.
    pub id: RequestId,
    /// Host, without the port.
    pub host: String,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// Key of a client account.
    pub api_key: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<f64>,
    /// Most tokens of the answer.
    pub max_output_tokens: Option<f64>,
    /// The caller's estimate of the tokens of the answer.
    pub expected_output_tokens: Option<f64>,
    /// Last event that the caller has of a stream.
    pub last_event_id: Option<u64>,
}
