//! [`Groups`].

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use oleanderpost_types::{Attempt, RequestKey, ServiceName};
use tokio::{sync::Mutex, time::Instant};

use crate::{Demand, GroupRequest, OwnerRefusal, Permit, PermitMessage, lock, shared::Shared};

/// Polls after which a group's request counts as given up.
const MAX_MISSED_POLLS: u32 = 3;

/// Groups that this node puts together as the coordinator of their service.
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

/// How far a group is.
#[derive(Debug)]
pub(crate) enum Progress {
    /// Engines are being reserved.
    Pending,
    /// All are reserved.
    Granted {
        parts: Vec<Demand>,
        permits: Vec<Permit>,
        /// Whether the entry node was told.
        delivered: bool,
    },
    /// It can't be had.
    Refused(Box<OwnerRefusal>),
}

/// Permits of a group whose entry node no longer asks for it.
pub(crate) struct AbandonedGroup {
    permits: Vec<Permit>,
    told: bool,
}

impl AbandonedGroup {
    /// Gives the permits back, or leaves them to the entry node that was told of them.
    pub(crate) fn close(self) {
        let told = self.told;
        let permits = self.permits.into_iter();
        permits.for_each(|permit| drop(permit.hand_over_if(told)));
    }
}

impl Groups {
    /// Ends groups that are not asked for any more. Those handed over are renewed by their entry nodes.
    pub(crate) fn remove_abandoned(&mut self, poll: Duration, now: Instant) -> Vec<AbandonedGroup> {
        let old: Vec<_> = self
            .groups
            .iter()
            .filter(|(_, group)| {
                now.saturating_duration_since(group.last_polled) > poll * MAX_MISSED_POLLS
            })
            .map(|(key, _)| *key)
            .collect();
        let mut unused = Vec::new();
        for key in old {
            let group = self.groups.remove(&key);
            if let Some(Progress::Granted {
                permits,
                delivered: told,
                ..
            }) = group.map(|group| group.progress)
            {
                unused.push(AbandonedGroup { permits, told });
            }
        }
        unused
    }

    /// Turn of a service: one group at a time is put together.
    pub(crate) fn assembly_lock(&mut self, service: &ServiceName) -> Arc<Mutex<()>> {
        self.assembly_locks
            .entry(service.clone())
            .or_default()
            .clone()
    }

    /// Whether the entry node still asks for the group.
    pub(crate) fn is_wanted(&self, key: (RequestKey, Attempt)) -> bool {
        self.groups.contains_key(&key)
    }

    /// Sets a group's progress. What it replaces, or what nobody asks for any more, comes back:
    /// permits must not be dropped under the lock.
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
                parts,
                delivered: told,
                ..
            } => {
                *told = true;
                PermitMessage::GroupGranted(parts.clone())
            }
        })
    }
}

impl Shared {
    /// Answers an entry node that wants a group, and starts to put it together.
    pub(crate) fn handle_group_request(self: &Arc<Self>, ask: GroupRequest) -> PermitMessage {
        let permit = &ask.demand.permit;
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
        let turn = state.groups.assembly_lock(&ask.service);
        drop(state);
        tokio::spawn(self.clone().assemble_group(ask, turn));
        PermitMessage::Done
    }
}
