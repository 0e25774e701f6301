//! Collection of current engine summaries, for rare decisions with large effects: long prompts and groups.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use oleanderpost_types::VmId;
use rand::seq::SliceRandom;
use tokio::{task::JoinSet, time::timeout};

use crate::{EngineSummary, PermitMessage, fleet::FleetService, lock, shared::Shared};

/// Maximum number of owners asked.
const MAX_OWNERS: usize = 16;
/// Time within which they must reply.
const SUMMARY_TIMEOUT: Duration = Duration::from_millis(100);

impl Shared {
    /// Fetches current summaries from owners of a service's engines.
    pub(crate) async fn refresh_summaries(self: &Arc<Self>, service: &FleetService) {
        for summary in self.summaries() {
            self.record_summary(Some(summary));
        }
        let mut queries = JoinSet::new();
        for owner in self.owners_to_query(service) {
            let shared = self.clone();
            queries.spawn(async move { shared.fetch_summaries(&owner).await });
        }
        while let Some(summaries) = queries.join_next().await {
            for summary in summaries.unwrap_or_default() {
                self.record_summary(Some(summary));
            }
        }
    }

    fn owners_to_query(&self, service: &FleetService) -> Vec<VmId> {
        let owners = service.live().filter_map(|engine| engine.owner.clone());
        let owners: BTreeSet<_> = owners.filter(|owner| *owner != self.vm).collect();
        let mut owners: Vec<_> = owners.into_iter().collect();
        owners.shuffle(&mut lock(&self.state).rng);
        owners.truncate(MAX_OWNERS);
        owners
    }

    async fn fetch_summaries(self: Arc<Self>, owner: &VmId) -> Vec<EngineSummary> {
        let answer = self.call(owner, PermitMessage::Summaries);
        match timeout(SUMMARY_TIMEOUT, answer).await {
            Ok(Ok(PermitMessage::Reported(summaries))) => summaries,
            _ => Vec::new(),
        }
    }
}
