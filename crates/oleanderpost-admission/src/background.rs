//! Background work of a node: pause detection, ownership, expiry, renewals, reconciliation.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use oleanderpost_types::{HoldingKind, UpstreamId, VmId};
use tokio::time::Instant;

use crate::{
    PermitMessage, PermitNotice, PermitRenewal, PermitReport, UpstreamState,
    counters::increment,
    fleet::Fleet,
    groups::AbandonedGroup,
    ledger_maintenance::SuspectHolding,
    lock,
    shared::{Shared, State},
};

/// Maximum number of notices kept for owners that are unreachable.
const OUTBOX_CAPACITY: usize = 10_000;
/// Period at which a failed cancel is retried.
const CANCEL_RETRY_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of peers asked whether they can reach a node that does not reply.
const MAX_REACHABILITY_PEERS: usize = 2;

impl Shared {
    /// Runs one round of background work.
    pub(crate) fn tick(self: &Arc<Self>) {
        self.detect_pause();
        self.refresh_directory();
        self.expire_and_grant();
        self.send_reports();
        self.start_probes();
        let abandoned = lock(&self.state)
            .groups
            .remove_abandoned(self.settings.poll_period, Instant::now());
        abandoned.into_iter().for_each(AbandonedGroup::close);
    }

    /// Detects a pause of the process and discards state that may be outdated after it.
    pub(crate) fn detect_pause(&self) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let gap = now.saturating_duration_since(state.last_tick);
        state.last_tick = now;
        if gap <= self.settings.pause_threshold {
            return;
        }
        increment(&self.counters.pauses);
        for ledger in state.ledgers.values_mut() {
            ledger.reset(now);
        }
        state.hints.clear();
        state.limits.clear();
        state.reject_grants_until = now + self.settings.dispatch_window;
    }

    /// Reads the directory if it is due, takes over newly owned engines and drops unused ledgers.
    pub(crate) fn refresh_directory(&self) {
        let now = Instant::now();
        let fleet = {
            let mut state = lock(&self.state);
            if now < state.next_refresh {
                return;
            }
            state.next_refresh = now + self.settings.directory_refresh_period;
            state.fleet.clone()
        };
        let refreshed = fleet.reload(&*self.directory);
        let mut state = lock(&self.state);
        if let Some(refreshed) = refreshed {
            state.replace_fleet(self, refreshed);
        }
        let fleet = state.fleet.clone();
        let idle = self.settings.permit_expiry * 2;
        state.ledgers.retain(|id, ledger| {
            let owned = fleet
                .engine(id)
                .is_some_and(|engine| engine.owner.as_ref() == Some(&self.vm));
            owned || now.saturating_duration_since(ledger.last_used) < idle
        });
    }

    /// Expires permits and grants queued requests on all engines of this node.
    fn expire_and_grant(self: &Arc<Self>) {
        let now = Instant::now();
        let mut decisions = Vec::new();
        let mut state = lock(&self.state);
        for ledger in state.ledgers.values_mut() {
            let expired = ledger.expire(now);
            if expired > 0 {
                ledger.next_reconcile = now;
                self.counters
                    .expired
                    .fetch_add(expired as u64, std::sync::atomic::Ordering::Relaxed);
            }
            decisions.extend(ledger.grant_waiting(now));
        }
        drop(state);
        self.send_decisions(decisions);
    }

    /// Sends events, and renewals if they are due, to the owners.
    fn send_reports(self: &Arc<Self>) {
        for (owner, report) in self.due_reports() {
            let shared = self.clone();
            tokio::spawn(async move { shared.send_report(owner, report).await });
        }
    }

    fn due_reports(&self) -> BTreeMap<VmId, PermitReport> {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let mut reports: BTreeMap<VmId, PermitReport> = BTreeMap::new();
        let fleet = state.fleet.clone();
        let owner = |upstream: &UpstreamId| fleet.engine(upstream)?.owner.clone();
        for notice in std::mem::take(&mut state.outbox) {
            if let Some(owner) = owner(&notice.permit.upstream) {
                reports.entry(owner).or_default().notices.push(notice);
            }
        }
        if now < state.next_renew {
            return reports;
        }
        state.next_renew = now + self.settings.renew_period;
        for renewal in state.renewals(now) {
            if let Some(owner) = owner(&renewal.demand.permit.upstream) {
                reports.entry(owner).or_default().renewed.push(renewal);
            }
        }
        reports
    }

    async fn send_report(self: Arc<Self>, owner: VmId, report: PermitReport) {
        let notices = report.notices.clone();
        let answer = self.call(&owner, PermitMessage::Report(report)).await;
        let now = Instant::now();
        let mut state = lock(&self.state);
        match answer {
            Ok(PermitMessage::Reported(summaries)) => {
                for summary in summaries {
                    state.hints.update(summary, now);
                }
            }
            _ => state.requeue_notices(notices),
        }
    }

    /// Starts the load reads, reconciliations and cancels that are due.
    fn start_probes(self: &Arc<Self>) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        for (id, ledger) in &mut state.ledgers {
            if now >= ledger.next_load {
                ledger.next_load = now + self.settings.load_period;
                tokio::spawn(self.clone().read_load(id.clone()));
            }
            if now >= ledger.next_reconcile {
                let adopted = ledger.is_adopted();
                let wait = if adopted {
                    self.settings.reconcile_period
                } else {
                    self.settings.poll_period
                };
                ledger.next_reconcile = now + wait;
                tokio::spawn(self.clone().reconcile_holdings(id.clone()));
            }
            let cancelling = ledger.cancelling(now);
            if now >= ledger.next_cancel && !cancelling.is_empty() {
                ledger.next_cancel = now + CANCEL_RETRY_PERIOD;
                tokio::spawn(self.clone().cancel_holdings(cancelling));
            }
        }
    }

    async fn read_load(self: Arc<Self>, upstream: UpstreamId) {
        if let Ok(report) = self.probe.load(&upstream).await
            && let Some(ledger) = lock(&self.state).ledgers.get_mut(&upstream)
        {
            ledger.record_load(&report);
        }
    }

    /// Reconciles the ledger with the engine's holdings and marks unused holdings for cancelling.
    async fn reconcile_holdings(self: Arc<Self>, upstream: UpstreamId) {
        let requested_at = Instant::now();
        let Ok(holdings) = self.probe.holdings(&upstream).await else {
            return;
        };
        let now = Instant::now();
        let suspects = match lock(&self.state).ledgers.get_mut(&upstream) {
            Some(ledger) => {
                ledger.reconcile(&holdings, requested_at, now);
                ledger.unconfirmed(now)
            }
            None => return,
        };
        for suspect in suspects {
            self.clone().resolve_suspect(suspect).await;
        }
    }

    async fn resolve_suspect(self: Arc<Self>, suspect: SuspectHolding) {
        let wanted = self.is_wanted(&suspect).await;
        let now = Instant::now();
        let mut state = lock(&self.state);
        let Some(ledger) = state.ledgers.get_mut(&suspect.permit.upstream) else {
            return;
        };
        if wanted {
            ledger.next_reconcile = ledger.next_reconcile.min(now + self.settings.poll_period);
        } else {
            ledger.mark_cancelling(&suspect.permit);
            ledger.next_cancel = now;
        }
    }

    /// Whether the holder of a suspect holding may still use it.
    async fn is_wanted(self: &Arc<Self>, suspect: &SuspectHolding) -> bool {
        let is_orphaned = suspect.expired_for >= self.settings.orphan_timeout;
        let Some(holder) = &suspect.holder else {
            return !is_orphaned;
        };
        let fleet = lock(&self.state).fleet.clone();
        if !fleet.is_listed(holder) {
            return false;
        }
        let uses = PermitMessage::Uses(suspect.permit.clone());
        match self.call(holder, uses).await {
            Ok(PermitMessage::Is(uses)) => uses,
            _ if !is_orphaned => true,
            _ => self.is_reachable_from_peers(holder, &fleet).await,
        }
    }

    /// Whether one of a few other nodes can reach `vm`.
    async fn is_reachable_from_peers(self: &Arc<Self>, vm: &VmId, fleet: &Fleet) -> bool {
        let others = fleet
            .reachable_nodes()
            .filter(|node| node.vm != *vm && node.vm != self.vm);
        for other in others.take(MAX_REACHABILITY_PEERS) {
            let answer = self
                .call(&other.vm, PermitMessage::Reaches(vm.clone()))
                .await;
            if matches!(answer, Ok(PermitMessage::Is(true))) {
                return true;
            }
        }
        false
    }

    async fn cancel_holdings(self: Arc<Self>, suspects: Vec<SuspectHolding>) {
        for suspect in suspects {
            let permit = &suspect.permit;
            let released = match suspect.kind {
                HoldingKind::Reservation => self.probe.release(&permit.upstream, permit.key).await,
                HoldingKind::Stream | HoldingKind::Export => Ok(()),
            };
            let cancelled = self
                .probe
                .cancel(&permit.upstream, permit.key, permit.attempt)
                .await;
            if released.is_err() || cancelled.is_err() {
                continue;
            }
            increment(&self.counters.cancelled);
            if let Some(ledger) = lock(&self.state).ledgers.get_mut(&permit.upstream) {
                ledger.confirm_freed(permit);
                let retry_at = Instant::now() + self.settings.poll_period;
                ledger.next_reconcile = ledger.next_reconcile.min(retry_at);
            }
        }
    }
}

impl State {
    /// Switches to a new fleet snapshot, updating ledgers and per-upstream state.
    fn replace_fleet(&mut self, shared: &Shared, fleet: Fleet) {
        let previous = std::mem::replace(&mut self.fleet, Arc::new(fleet));
        let fleet = self.fleet.clone();
        let is_owned = |fleet: &Fleet, id: &UpstreamId| {
            let engine = fleet.engine(id);
            engine.is_some_and(|engine| engine.owner.as_ref() == Some(&shared.vm))
        };
        let is_present = |id: &UpstreamId| {
            let mut upstreams = fleet.services().flat_map(|service| &service.upstreams);
            upstreams.any(|upstream| {
                upstream.view.id == *id && upstream.view.state != UpstreamState::Gone
            })
        };
        self.local_upstreams.retain(is_present);
        self.hints.retain(is_present);
        self.ledgers.retain(|id, _| is_present(id));
        for (id, ledger) in &mut self.ledgers {
            if is_owned(&previous, id) && !is_owned(&fleet, id) {
                ledger.reset(Instant::now());
            }
        }
        for engine in fleet.engines().filter(|engine| is_present(&engine.view.id)) {
            if is_owned(&fleet, &engine.view.id) {
                self.ledger(shared, &engine.view.id);
            }
        }
    }

    fn renewals(&self, now: Instant) -> Vec<PermitRenewal> {
        let held = self.held_permits.values();
        held.flat_map(|held| {
            held.demands.iter().map(move |demand| {
                let mut demand = demand.clone();
                demand.remaining = held.deadline.saturating_duration_since(now).into();
                PermitRenewal {
                    demand,
                    decoding: held.first_token_at.is_some(),
                }
            })
        })
        .collect()
    }

    fn requeue_notices(&mut self, notices: Vec<PermitNotice>) {
        let capacity = OUTBOX_CAPACITY.saturating_sub(self.outbox.len());
        self.outbox.extend(notices.into_iter().take(capacity));
    }
}
