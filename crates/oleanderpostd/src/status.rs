//! [`Status`].

use oleanderpost::{
    config::{ConfigStatus, FleetStatus},
    types::FileName,
};
use serde::Serialize;

use crate::Node;

/// Status of the configuration on this node and in the fleet.
#[derive(Debug, Serialize)]
pub(crate) struct Status {
    /// Status on this node.
    node: ConfigStatus,
    /// Status on all nodes, as reported to the watcher nodes of their data centres.
    fleet: FleetStatus,
}

impl Status {
    /// Reads the status of `file`, or of all files if it is `None`, from one watcher node in each data
    /// centre.
    pub(crate) async fn read(node: &Node, file: Option<FileName>) -> Self {
        Self {
            node: node.convergence.status(),
            fleet: node.convergence.fleet_status(file).await,
        }
    }
}
