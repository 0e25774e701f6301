//! [`ChangeLog`].

use std::collections::VecDeque;

use crate::{EvacuationChange, StorePosition, UpstreamChange};

/// Maximum number of logged steps and changes together: several times the entries of a large fleet.
const MAX_ENTRIES: usize = 4_096;

/// Maximum number of changes sent to a peer. One node sends them to all others, so more of them would fill the link of
/// a small VM; the store sends them to each node by itself.
const MAX_SENT_CHANGES: usize = 128;

/// Changes between two positions of the store.
#[derive(Debug)]
struct Step {
    from: StorePosition,
    config_changed: bool,
    upstreams: Vec<UpstreamChange>,
    evacuations: Vec<EvacuationChange>,
}

impl Step {
    fn changes(&self) -> usize {
        self.upstreams.len() + self.evacuations.len()
    }

    fn entries(&self) -> usize {
        self.changes() + 1
    }
}

/// What has changed since a position.
#[derive(Debug, PartialEq)]
pub(crate) struct LoggedChanges {
    /// Changes of upstreams, in order.
    pub(crate) upstreams: Vec<UpstreamChange>,
    /// Changes of evacuations, in order.
    pub(crate) evacuations: Vec<EvacuationChange>,
    /// Whether the configuration has changed.
    pub(crate) config_changed: bool,
}

/// Latest changes that a node has applied, for peers that follow it in place of the store.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    /// Position from which on the log is complete; `None` before the first full state.
    base: Option<StorePosition>,
    steps: VecDeque<Step>,
    entries: usize,
}

impl ChangeLog {
    /// Records changes since `from`.
    pub(crate) fn record(
        &mut self,
        from: StorePosition,
        config_changed: bool,
        upstreams: &[UpstreamChange],
        evacuations: &[EvacuationChange],
    ) {
        self.base.get_or_insert(from);
        let step = Step {
            from,
            config_changed,
            upstreams: upstreams.to_vec(),
            evacuations: evacuations.to_vec(),
        };
        self.entries += step.entries();
        self.steps.push_back(step);
        while self.entries > MAX_ENTRIES {
            let Some(dropped) = self.steps.pop_front() else {
                break;
            };
            self.entries -= dropped.entries();
            self.base = self.steps.front().map(|step| step.from);
        }
    }

    /// Starts the log anew with the full state at `position`.
    pub(crate) fn restart(&mut self, position: StorePosition) {
        *self = Self {
            base: Some(position),
            ..Self::default()
        };
    }

    /// Changes since `after`; `None` if the log does not reach back that far, or if there are more than
    /// [`MAX_SENT_CHANGES`], which are to be read from the store.
    ///
    /// May contain changes before `after`, in the order in which they were made; the last one of an entry counts.
    pub(crate) fn since(&self, after: StorePosition) -> Option<LoggedChanges> {
        self.base.filter(|base| *base <= after)?;
        let start = self.steps.iter().rposition(|step| step.from <= after);
        let steps = self.steps.range(start.unwrap_or(0)..);
        let count: usize = steps.clone().map(Step::changes).sum();
        if count > MAX_SENT_CHANGES {
            return None;
        }
        let config_changed = steps.clone().any(|step| step.config_changed);
        let upstreams = steps.clone().flat_map(|step| &step.upstreams);
        let evacuations = steps.flat_map(|step| &step.evacuations);
        Some(LoggedChanges {
            upstreams: upstreams.cloned().collect(),
            evacuations: evacuations.cloned().collect(),
            config_changed,
        })
    }
}
