//! Handling of messages from peers.

use std::{collections::BTreeSet, sync::Arc};

use oleanderpost_types::{UpstreamId, VmId};
use tokio::time::Instant;

use crate::{
    EngineSummary, FirstTokenModel, OwnerRefusal, PermitKey, PermitMessage, PermitNotice,
    PermitReport, PermitRequest, Reason,
    counters::increment,
    decision::Decision,
    ledger::Ledger,
    lock,
    shared::{Shared, State},
};

/// Maximum number of engine summaries in one reply.
const MAX_SUMMARIES: usize = 16;

impl Shared {
    /// Handles a message and returns the reply, if there is one.
    pub(crate) fn handle_message(
        self: &Arc<Self>,
        _from: &VmId,
        msg: PermitMessage,
    ) -> Option<PermitMessage> {
        self.detect_pause();
        match msg {
            PermitMessage::Ask(request) => Some(self.handle_permit_request(request)),
            PermitMessage::Report(report) => Some(self.handle_report(&report)),
            PermitMessage::Granted(_) | PermitMessage::Refused(_) => {
                Some(PermitMessage::Is(self.deliver_decision(msg)))
            }
            PermitMessage::AskGroup(request) => Some(self.handle_group_request(request)),
            PermitMessage::Lease(lease) => Some(self.handle_lease_request(&lease)),
            PermitMessage::Summaries => Some(PermitMessage::Reported(self.summaries())),
            PermitMessage::Uses(permit) => Some(PermitMessage::Is(self.uses_permit(&permit))),
            PermitMessage::Reaches(vm) => {
                let fleet = lock(&self.state).fleet.clone();
                Some(PermitMessage::Is(fleet.is_reachable(&vm)))
            }
            _ => None,
        }
    }

    fn handle_permit_request(self: &Arc<Self>, request: PermitRequest) -> PermitMessage {
        increment(&self.counters.owner_decisions);
        let permit = request.demand.permit.clone();
        let mut state = lock(&self.state);
        let Some(ledger) = state.ledger(self, &permit.upstream) else {
            return PermitMessage::Refused(OwnerRefusal {
                permit,
                reason: Reason::Unavailable,
                retry_after: None,
                summary: None,
            });
        };
        let (answer, decisions) = ledger.handle_request(request, Instant::now());
        drop(state);
        self.send_decisions(decisions);
        answer
    }

    fn handle_report(self: &Arc<Self>, report: &PermitReport) -> PermitMessage {
        let now = Instant::now();
        for renewal in &report.renewed {
            let mut state = lock(&self.state);
            if let Some(ledger) = state.ledger(self, &renewal.demand.permit.upstream) {
                ledger.renew(renewal, now);
            }
        }
        PermitMessage::Reported(self.apply_notices(&report.notices))
    }

    /// Applies permit events and grants queued requests for which they free capacity.
    pub(crate) fn apply_notices(self: &Arc<Self>, notices: &[PermitNotice]) -> Vec<EngineSummary> {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let mut changed = BTreeSet::new();
        for notice in notices {
            if let Some(ledger) = state.ledger(self, &notice.permit.upstream) {
                ledger.apply_event(&notice.permit, notice.news, now);
                changed.insert(notice.permit.upstream.clone());
            }
        }
        let mut decisions = Vec::new();
        let mut summaries = Vec::new();
        for upstream in &changed {
            if let Some(ledger) = state.ledgers.get_mut(upstream) {
                decisions.extend(ledger.grant_waiting(now));
                summaries.push(ledger.summary(now));
            }
        }
        drop(state);
        self.send_decisions(decisions);
        summaries.truncate(MAX_SUMMARIES);
        summaries
    }

    /// Summaries of the engines that this node owns.
    pub(crate) fn summaries(&self) -> Vec<EngineSummary> {
        let now = Instant::now();
        let state = lock(&self.state);
        let adopted = state.ledgers.values().filter(|ledger| ledger.is_adopted());
        let summaries = adopted.map(|ledger| ledger.summary(now));
        summaries.take(MAX_SUMMARIES).collect()
    }

    /// Whether this node holds the permit or waits for it.
    pub(crate) fn uses_permit(&self, permit: &PermitKey) -> bool {
        let state = lock(&self.state);
        let held = state.held_permits.values().flat_map(|held| &held.demands);
        let mut held = held.map(|demand| &demand.permit);
        state.pending_requests.contains_key(permit) || held.any(|other| other == permit)
    }

    /// Delivers a decision to the request that waits for it; `false` if none does.
    pub(crate) fn deliver_decision(&self, msg: PermitMessage) -> bool {
        let permit = match &msg {
            PermitMessage::Granted(grant) => &grant.permit,
            PermitMessage::Refused(refused) => &refused.permit,
            _ => return false,
        };
        let mut state = lock(&self.state);
        if Instant::now() < state.reject_grants_until {
            return false;
        }
        let sender = state.pending_requests.remove(permit);
        sender.is_some_and(|sender| sender.send(msg).is_ok())
    }

    /// Sends decisions to the permits' holders. A permit that its holder no longer wants is withdrawn.
    pub(crate) fn send_decisions(self: &Arc<Self>, decisions: Vec<Decision>) {
        for decision in decisions {
            let shared = self.clone();
            if decision.holder == self.vm {
                let wanted = shared.deliver_decision(decision.msg);
                shared.withdraw_unless_wanted(wanted, &decision.permit);
                continue;
            }
            tokio::spawn(async move {
                let answer = shared.call(&decision.holder, decision.msg).await;
                let unwanted = matches!(answer, Ok(PermitMessage::Is(false)));
                shared.withdraw_unless_wanted(!unwanted, &decision.permit);
            });
        }
    }

    fn withdraw_unless_wanted(&self, wanted: bool, permit: &PermitKey) {
        if wanted {
            return;
        }
        if let Some(ledger) = lock(&self.state).ledgers.get_mut(&permit.upstream) {
            ledger.withdraw(permit);
        }
    }
}

impl State {
    /// Returns the ledger of an engine, creating it if this node had none.
    pub(crate) fn ledger(&mut self, shared: &Shared, upstream: &UpstreamId) -> Option<&mut Ledger> {
        let memory = self.fleet.engine(upstream)?.view.memory;
        let ledger = self.ledgers.entry(upstream.clone()).or_insert_with(|| {
            increment(&shared.counters.adoptions);
            let prior = self.hints.model(upstream).map(FirstTokenModel::with_prior);
            let settings = shared.settings.clone();
            let ledger = Ledger::new(upstream.clone(), memory, settings, Instant::now());
            ledger.with_model(prior.unwrap_or_default())
        });
        Some(ledger)
    }
}
