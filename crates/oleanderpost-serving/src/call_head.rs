//! [`CallHead`].

use std::time::Duration;

use crate::CallId;

/// What a request says of itself, beside method, path and body.
#[derive(Clone, Debug, PartialEq)]
pub struct CallHead {
    /// Identifier.
    pub id: CallId,
    /// Host, without the port.
    pub host: String,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// Key of a client account.
    pub key: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<f64>,
    /// Most tokens of the answer.
    pub answer_limit: Option<f64>,
    /// The caller's estimate of the tokens of the answer.
    pub answer_hint: Option<f64>,
    /// Last event that the caller has of a stream.
    pub last_event: Option<u64>,
}
