//! [`ConfigReply`].

use serde::{Deserialize, Serialize};

use crate::{ConfigEntry, Revision};

/// Response of `GET /v1/config?after=R&wait_ms=W`: the files changed after revision `R`.
///
/// This is a long poll: without a change, the service answers after `W` milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// Latest revision known to the replica that answered.
    pub revision: Revision,
    /// Changed files.
    pub entries: Vec<ConfigEntry>,
}
