//! [`PeerMessage`].

use oleanderpost::{
    admission::PermitMessage,
    claims::ClaimMessage,
    config::ConfigMessage,
    peers::{MessageKind, RosterMessage},
};
use serde::{Deserialize, Serialize};

/// Message between nodes; each variant belongs to one component.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub(crate) enum PeerMessage {
    /// Admission.
    Permit(Box<PermitMessage>),
    /// Claims of request keys.
    Claim(ClaimMessage),
    /// Configuration.
    Config(Box<ConfigMessage>),
    /// VM list and leaving marks.
    Roster(RosterMessage),
}

impl MessageKind for PeerMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Permit(_) => "permit",
            Self::Claim(_) => "claim",
            Self::Config(_) => "config",
            Self::Roster(_) => "roster",
        }
    }
}
