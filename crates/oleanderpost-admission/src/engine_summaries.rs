//! Fresh states of engines for decisions that are rare and weigh much.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use oleanderpost_types::VmId;
use rand::seq::SliceRandom;
use tokio::{task::JoinSet, time::timeout};

use crate::{EngineSummary, PermitMessage, fleet::FleetService, lock, shared::Shared};

/// Owners that are asked.
const OWNERS: usize = 16;
/// Time in which they must answer.
const PATIENCE: Duration = Duration::from_millis(100);

impl Shared {
    /// Asks owners of a service's engines for their states.
    pub(crate) async fn survey(self: &Arc<Self>, service: &FleetService) {
        for summary in self.summaries() {
            self.heard(Some(summary));
        }
        let mut asked = JoinSet::new();
        for owner in self.surveyed(service) {
            let shared = self.clone();
            asked.spawn(async move { shared.states_of(&owner).await });
        }
        while let Some(summaries) = asked.join_next().await {
            for summary in summaries.unwrap_or_default() {
                self.heard(Some(summary));
            }
        }
    }

    fn surveyed(&self, service: &FleetService) -> Vec<VmId> {
        let owners = service.live().filter_map(|engine| engine.owner.clone());
        let owners: BTreeSet<_> = owners.filter(|owner| *owner != self.vm).collect();
        let mut owners: Vec<_> = owners.into_iter().collect();
        owners.shuffle(&mut lock(&self.state).rng);
        owners.truncate(OWNERS);
        owners
    }

    async fn states_of(self: Arc<Self>, owner: &VmId) -> Vec<EngineSummary> {
        let answer = self.call(owner, PermitMessage::Summaries);
        match timeout(PATIENCE, answer).await {
            Ok(Ok(PermitMessage::Reported(summaries))) => summaries,
            _ => Vec::new(),
        }
    }
}
