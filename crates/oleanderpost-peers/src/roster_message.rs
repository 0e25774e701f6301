//! [`RosterMessage`] and the types that it contains.

use oleanderpost_types::{Incarnation, Millis, Revision, Vm, VmId, VmList};
use serde::{Deserialize, Serialize};

use crate::{LeavingMark, MessageKind};

/// Summary of the list and marks that a node holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterDigest {
    /// Revision of its VM list; 0 before the first list.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Time since the platform was last known to have no newer list.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub age: Option<Millis>,
    /// Digest of its leaving marks.
    #[serde(rename = "m")]
    pub marks: u64,
}

/// The change from one VM list to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListStep {
    /// Revision before the change.
    #[serde(rename = "f")]
    pub from: Revision,
    /// Revision after the change.
    #[serde(rename = "t")]
    pub to: Revision,
    /// VMs that were added or changed, with their new values.
    #[serde(rename = "c")]
    pub changed: Vec<Vm>,
    /// VMs that were removed.
    #[serde(rename = "g")]
    pub removed: Vec<VmId>,
}

/// A node that became unreachable, or reachable again, for the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactChange {
    /// The node.
    #[serde(rename = "v")]
    pub vm: VmId,
    /// Its VM's incarnation in the list.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Whether the sender can reach it.
    #[serde(rename = "r")]
    pub reached: bool,
}

/// A message between the rosters of two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RosterMessage {
    /// Requests [`State`](Self::State).
    #[serde(rename = "x")]
    Exchange {
        /// Digest of the requesting node.
        digest: RosterDigest,
        /// Whether to answer with all marks, because the recent ones were not enough.
        #[serde(default)]
        all_marks: bool,
    },
    /// Answers an exchange.
    #[serde(rename = "s")]
    State {
        /// Digest of the answering node.
        digest: RosterDigest,
        /// Its marks, when the digests differ.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        marks: Vec<LeavingMark>,
    },
    /// Requests the changes after a revision.
    #[serde(rename = "f")]
    Fetch {
        /// Revision of the requesting node.
        after: Revision,
        /// Whether the whole list is required.
        #[serde(default)]
        whole: bool,
    },
    /// Answers a fetch with changes.
    #[serde(rename = "d")]
    Steps {
        /// Changes in the order of revisions.
        steps: Vec<ListStep>,
        /// Digest of the list after them.
        digest: u64,
    },
    /// Answers a fetch with the whole list.
    #[serde(rename = "w")]
    Whole(VmList),
    /// Announces new information; expects no answer.
    #[serde(rename = "n")]
    News {
        /// Revision of the sending node.
        revision: Revision,
        /// New marks.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        marks: Vec<LeavingMark>,
        /// Nodes that the sender can no longer reach, or can reach again; the receiver checks them itself.
        #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
        contacts: Vec<ContactChange>,
    },
}

impl MessageKind for RosterMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Exchange { .. } => "roster_exchange",
            Self::State { .. } => "roster_state",
            Self::Fetch { .. } => "roster_fetch",
            Self::Steps { .. } => "roster_steps",
            Self::Whole(_) => "roster_whole",
            Self::News { .. } => "roster_news",
        }
    }
}
