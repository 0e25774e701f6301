//! [`ConfigHistory`].

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use crate::{ConfigDelta, ServingConfig};

/// Versions that are kept: those of several heartbeats while versions follow each other quickly.
const MAX_VERSIONS: usize = 16;

/// Maximum number of routes and keys in a difference that is sent to a peer. One node sends them to all others, so
/// larger changes would fill the link of a small VM; the store sends those to each node.
const MAX_DELTA_ENTRIES: usize = 96;

/// Latest configurations of a node, for peers that follow it in place of the store.
#[derive(Debug, Default)]
pub(crate) struct ConfigHistory {
    versions: VecDeque<Arc<ServingConfig>>,
    /// Differences from earlier versions to the latest one; `None` if too large.
    deltas: HashMap<u64, Option<Arc<ConfigDelta>>>,
}

impl ConfigHistory {
    /// Records a newer configuration.
    pub(crate) fn record(&mut self, config: Arc<ServingConfig>) {
        self.deltas.clear();
        self.versions.push_back(config);
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }

    /// Difference from `version` to the latest configuration; `None` if that version is not known or the difference is
    /// too large to be sent to all peers.
    pub(crate) fn delta_from(&mut self, version: u64) -> Option<Arc<ConfigDelta>> {
        let Self { versions, deltas } = self;
        let delta = deltas.entry(version).or_insert_with(|| {
            let old = versions.iter().find(|config| config.version() == version)?;
            let new = versions.back()?;
            let delta = new.delta_from(old);
            // Two routes for the same host and prefix can't be told apart in a difference.
            let is_exact = || old.with_delta(delta.clone()).as_ref() == Some(&**new);
            (delta.len() <= MAX_DELTA_ENTRIES && is_exact()).then(|| Arc::new(delta))
        });
        delta.clone()
    }
}
