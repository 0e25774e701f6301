//! [`Verdict`].

use serde::{Deserialize, Serialize};

use crate::Findings;

/// Result for the latest content of a file in the configuration service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The content is in force.
    InForce,
    /// The content is valid, but a higher version is in force.
    Superseded,
    /// The content is invalid; the previous content stays in force.
    Refused(Findings),
    /// The configuration service no longer has the file; the previous content stays in force until a higher
    /// generation deletes it.
    Absent,
    /// This node has not checked the content.
    #[default]
    Unchecked,
}
