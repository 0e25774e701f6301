//! [`Groups`].

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use oleanderpost_types::{Attempt, RequestKey, ServiceName};
use tokio::{sync::Mutex, time::Instant};

use crate::{Demand, GroupRequest, OwnerRefusal, Permit, PermitMessage, lock, shared::Shared};

/// Number of missed polls after which a group request counts as abandoned.
const MAX_MISSED_POLLS: u32 = 3;

/// Groups that this node assembles as the coordinator of their service.
#[derive(Debug, Default)]
pub(crate) struct Groups {
    groups: BTreeMap<(RequestKey, Attempt), Group>,
    assembly_locks: BTreeMap<ServiceName, Arc<Mutex<()>>>,
}

#[derive(Debug)]
struct Group {
    progress: Progress,
    last_polled: Instant,
}

/// Progress in assembling a group.
#[derive(Debug)]
pub(crate) enum Progress {
    /// The engines are being reserved.
    Pending,
    /// All engines are reserved.
    Granted {
        parts: Vec<Demand>,
        permits: Vec<Permit>,
        /// Whether the grant was sent to the entry node.
        delivered: bool,
    },
    /// The group was refused.
    Refused(Box<OwnerRefusal>),
}

/// Permits of a group whose entry node stopped polling.
pub(crate) struct AbandonedGroup {
    permits: Vec<Permit>,
    delivered: bool,
}

impl AbandonedGroup {
    /// Releases the permits, or leaves them to the entry node if the grant was sent to it.
    pub(crate) fn close(self) {
        let delivered = self.delivered;
        let permits = self.permits.into_iter();
        permits.for_each(|permit| drop(permit.hand_over_if(delivered)));
    }
}

impl Groups {
    /// Removes groups whose entry node stopped polling and returns their permits. Delivered ones are
    /// renewed by their entry nodes.
    pub(crate) fn remove_abandoned(
        &mut self,
        poll_period: Duration,
        now: Instant,
    ) -> Vec<AbandonedGroup> {
        let abandoned: Vec<_> = self
            .groups
            .iter()
            .filter(|(_, group)| {
                now.saturating_duration_since(group.last_polled) > poll_period * MAX_MISSED_POLLS
            })
            .map(|(key, _)| *key)
            .collect();
        let mut abandoned_groups = Vec::new();
        for key in abandoned {
            let group = self.groups.remove(&key);
            if let Some(Progress::Granted {
                permits, delivered, ..
            }) = group.map(|group| group.progress)
            {
                abandoned_groups.push(AbandonedGroup { permits, delivered });
            }
        }
        abandoned_groups
    }

    /// Lock of a service: only one group is assembled at a time.
    pub(crate) fn assembly_lock(&mut self, service: &ServiceName) -> Arc<Mutex<()>> {
        self.assembly_locks
            .entry(service.clone())
            .or_default()
            .clone()
    }

    /// Whether the entry node still polls for the group.
    pub(crate) fn is_wanted(&self, key: (RequestKey, Attempt)) -> bool {
        self.groups.contains_key(&key)
    }

    /// Sets a group's progress. Returns the previous progress, or the given one if the group is no longer
    /// wanted, because permits must not be dropped while the lock is held.
    #[must_use]
    pub(crate) fn set_progress(
        &mut self,
        key: (RequestKey, Attempt),
        progress: Progress,
    ) -> Progress {
        match self.groups.get_mut(&key) {
            Some(group) => std::mem::replace(&mut group.progress, progress),
            None => progress,
        }
    }

    fn answer_poll(&mut self, key: (RequestKey, Attempt), now: Instant) -> Option<PermitMessage> {
        let group = self.groups.get_mut(&key)?;
        group.last_polled = now;
        Some(match &mut group.progress {
            Progress::Pending => PermitMessage::Done,
            Progress::Refused(refused) => PermitMessage::Refused((**refused).clone()),
            Progress::Granted {
                parts, delivered, ..
            } => {
                *delivered = true;
                PermitMessage::GroupGranted(parts.clone())
            }
        })
    }
}

impl Shared {
    /// Handles a group request from an entry node and starts assembling the group.
    pub(crate) fn handle_group_request(self: &Arc<Self>, request: GroupRequest) -> PermitMessage {
        let permit = &request.demand.permit;
        let key = (permit.key, permit.attempt);
        let now = Instant::now();
        let mut state = lock(&self.state);
        if let Some(answer) = state.groups.answer_poll(key, now) {
            return answer;
        }
        let group = Group {
            progress: Progress::Pending,
            last_polled: now,
        };
        state.groups.groups.insert(key, group);
        let assembly_lock = state.groups.assembly_lock(&request.service);
        drop(state);
        tokio::spawn(self.clone().assemble_group(request, assembly_lock));
        PermitMessage::Done
    }
}
