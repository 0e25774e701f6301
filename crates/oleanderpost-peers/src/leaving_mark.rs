//! [`LeavingMark`] and [`MarkScope`].

use oleanderpost_types::{Incarnation, VmId};
use serde::{Deserialize, Serialize};

/// What a mark applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MarkScope {
    /// The VM, identified by its incarnation in the platform's list.
    #[serde(rename = "v")]
    Vm,
    /// The node's process on a VM, identified by the incarnation of the process.
    #[serde(rename = "p")]
    Process,
}

/// Whether one incarnation of a VM or process is leaving. An incarnation that is leaving stays so; a greater
/// incarnation replaces the mark.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeavingMark {
    /// The VM.
    #[serde(rename = "v")]
    pub vm: VmId,
    /// What the mark applies to.
    #[serde(rename = "s")]
    pub scope: MarkScope,
    /// The incarnation.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    #[serde(rename = "l")]
    pub leaving: bool,
}
