//! [`ServiceTarget`] and [`ModelTarget`].

use oleanderpost_types::{EngineRole, ModelName, ServiceName, UpstreamId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::EngineTarget;

/// A model with its version and adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelTarget {
    /// Name of the model.
    pub name: ModelName,
    /// Version.
    pub version: u64,
    /// Adapters loaded with the model.
    pub adapters: Vec<ModelName>,
}

/// The part of a service's configuration from which orders are derived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceTarget {
    /// Name of the service.
    pub service: ServiceName,
    /// All engines of the service, in any order.
    pub engines: Vec<UpstreamId>,
    /// Model of the engines that are not part of a rollout.
    pub model: ModelTarget,
    /// New model of a rollout, and the percentage of engines that must hold it.
    pub rollout: Option<(ModelTarget, u8)>,
    /// Role of the engines.
    pub role: EngineRole,
}

impl ServiceTarget {
    /// Targets of all engines, ordered by rank. They depend only on this value and not on the order of
    /// `engines`. When the percentage of a rollout grows, no engine returns to the previous model.
    #[must_use]
    pub fn engine_targets(&self) -> Vec<EngineTarget> {
        let ranked = self.ranked();
        let in_rollout = self.rollout_count(ranked.len());
        let targets = ranked.into_iter().enumerate().map(|(position, engine)| {
            let model = self.model_for(position < in_rollout);
            EngineTarget {
                engine: engine.clone(),
                model: model.name.clone(),
                version: model.version,
                adapters: model.adapters.clone(),
                role: self.role,
                rank: u32::try_from(position).unwrap_or(u32::MAX),
            }
        });
        targets.collect()
    }

    /// Engines in rendezvous hashing order.
    fn ranked(&self) -> Vec<&UpstreamId> {
        let seed = xxh3_64_with_seed(self.service.as_str().as_bytes(), 0);
        let mut engines: Vec<_> = self.engines.iter().collect();
        engines.sort_unstable_by_key(|engine| {
            (xxh3_64_with_seed(engine.as_str().as_bytes(), seed), *engine)
        });
        engines.dedup();
        engines
    }

    /// Number of engines that must hold the model of the rollout.
    fn rollout_count(&self, engines: usize) -> usize {
        let percent = self
            .rollout
            .as_ref()
            .map_or(0, |(_, percent)| usize::from(*percent));
        (engines * percent.min(100)).div_ceil(100)
    }

    fn model_for(&self, in_rollout: bool) -> &ModelTarget {
        match &self.rollout {
            Some((model, _)) if in_rollout => model,
            _ => &self.model,
        }
    }
}
