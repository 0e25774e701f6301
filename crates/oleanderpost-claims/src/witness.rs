//! [`Witness`].

use std::{collections::BTreeMap, time::Duration};

use oleanderpost_types::{Incarnation, RequestKey, VmId, VmList};
use tokio::time::Instant;

use crate::{
    Abstention, ClaimId, ClaimMessage, ClaimsDump, Confirmation, Counters, Limits, clock::Clock,
    list_history::ListHistory, peer_record::PeerRecord, quorum_check, quorum_check::QuorumCheck,
    witness_set, witness_table::WitnessTable,
};

/// Grants request keys to claims on behalf of one node.
pub(crate) struct Witness {
    vm: VmId,
    incarnation: Incarnation,
    limits: Limits,
    clock: Clock,
    lists: ListHistory,
    peers: BTreeMap<VmId, PeerRecord>,
    table: WitnessTable,
    pub(crate) counters: Counters,
}

impl Witness {
    pub(crate) fn new(vm: VmId, incarnation: Incarnation, limits: Limits, clock: Clock) -> Self {
        Self {
            vm,
            incarnation,
            limits,
            clock,
            lists: ListHistory::default(),
            peers: BTreeMap::new(),
            table: WitnessTable::new(limits.max_keys),
            counters: Counters::default(),
        }
    }

    /// Applies a VM list and drops the records of peers that are no longer listed.
    pub(crate) fn observe(&mut self, list: &VmList) {
        if self.lists.observe(list) {
            self.counters.skipped_revisions += 1;
        }
        let nodes = self.lists.nodes();
        let listed = |vm: &VmId| nodes.binary_search_by(|node| node.vm.cmp(vm)).is_ok();
        self.peers.retain(|vm, _| listed(vm));
    }

    /// Witnesses of a key according to the current VM list.
    pub(crate) fn witnesses(&self, key: RequestKey) -> Vec<VmId> {
        let nodes = self.lists.nodes();
        let set = witness_set::witnesses(key, &nodes, self.limits.witnesses);
        set.into_iter().cloned().collect()
    }

    /// Checks the version and time of issue of a key; returns the time of issue in milliseconds.
    pub(crate) fn check_key(&self, key: RequestKey) -> Result<u64, Abstention> {
        let issued_ms = key.issued_ms().ok_or(Abstention::KeyVersion)?;
        let now_ms = self.clock.now_ms(Instant::now());
        if issued_ms.saturating_add(millis(self.limits.key_window)) < now_ms {
            return Err(Abstention::KeyTooOld);
        }
        if self.table.may_have_expired(issued_ms) {
            return Err(Abstention::KeyTooOld);
        }
        if issued_ms > now_ms + millis(self.limits.max_key_ahead()) {
            return Err(Abstention::KeyFromFuture);
        }
        Ok(issued_ms)
    }

    /// Answers a request to grant a key.
    pub(crate) fn handle_ask(&mut self, key: RequestKey, claim: ClaimId) -> ClaimMessage {
        self.resync();
        let answer = self.decide(key, claim);
        match answer {
            ClaimMessage::Granted { .. } => self.counters.grants += 1,
            ClaimMessage::Taken => self.counters.denials += 1,
            ClaimMessage::Abstained(Abstention::Full) => self.counters.table_full += 1,
            _ => self.counters.abstentions += 1,
        }
        answer
    }

    fn decide(&mut self, key: RequestKey, claim: ClaimId) -> ClaimMessage {
        if let Some(answer) = self.table.answer(key, claim) {
            return answer;
        }
        match self.prove_responsibility(key) {
            Ok(witnesses) => self.table.grant(key, claim, witnesses),
            Err(abstention) => ClaimMessage::Abstained(abstention),
        }
    }

    /// Checks that this process was provably responsible for the key at the key's reference time; returns the
    /// size of the witness set.
    fn prove_responsibility(&self, key: RequestKey) -> Result<u32, Abstention> {
        let issued_ms = self.check_key(key)?;
        self.lists.revision().ok_or(Abstention::NoList)?;
        let reference_ms = issued_ms.saturating_sub(millis(self.limits.lookback));
        let from = self
            .clock
            .instant(reference_ms)
            .ok_or(Abstention::Unproven)?;
        let from = from
            .checked_sub(self.limits.clock_skew)
            .ok_or(Abstention::Unproven)?;
        let to = from + 2 * self.limits.clock_skew;
        let since = ListHistory::span_start(from, self.limits.lookback);
        let responsibility = self
            .lists
            .responsibility(&self.vm, key, self.limits.witnesses, since);
        let responsibility = responsibility.ok_or(Abstention::NotResponsible)?;
        if to > Instant::now() {
            return Err(Abstention::KeyFromFuture);
        }
        if !QuorumCheck::new(
            &self.lists,
            &self.peers,
            &self.limits,
            responsibility,
            from,
            to,
        )
        .is_met()
        {
            return Err(Abstention::Unproven);
        }
        Ok(u32::try_from(responsibility.max_witnesses).unwrap_or(u32::MAX))
    }

    /// Releases a key.
    pub(crate) fn handle_release(&mut self, key: RequestKey, claim: ClaimId) -> ClaimMessage {
        if self.table.release(key, claim) {
            self.counters.releases += 1;
        }
        ClaimMessage::Released
    }

    /// This node's confirmation of its current VM list; `None` before the first list.
    pub(crate) fn own_confirmation(&self) -> Option<Confirmation> {
        let since = ListHistory::span_start(Instant::now(), self.limits.list_size_window);
        Some(Confirmation {
            incarnation: self.incarnation,
            revision: self.lists.revision()?,
            widest: u32::try_from(self.lists.own_max_size(since)).unwrap_or(u32::MAX),
        })
    }

    /// Answers a peer's request to confirm the VM list. Of the peer's own list only the size is used, because
    /// the time at which the message was sent is unknown.
    pub(crate) fn handle_confirm(
        &mut self,
        peer_confirmation: Confirmation,
    ) -> Option<ClaimMessage> {
        self.record_peer_list_size(peer_confirmation);
        self.own_confirmation().map(ClaimMessage::Confirmed)
    }

    fn record_peer_list_size(&mut self, peer_confirmation: Confirmation) {
        self.lists
            .record_peer_size(usize::try_from(peer_confirmation.widest).unwrap_or(usize::MAX));
    }

    /// Records a peer's answer to a request that was sent at `asked`; the answer arrived at `answered`.
    pub(crate) fn record_confirmation(
        &mut self,
        vm: &VmId,
        confirmed: Confirmation,
        asked: Instant,
        answered: Instant,
    ) {
        self.counters.confirms_received += 1;
        self.record_peer_list_size(confirmed);
        let listed = self.lists.nodes().iter().any(|node| node.vm == *vm);
        if listed {
            let peer = self.peers.entry(vm.clone()).or_default();
            peer.record(confirmed, asked, answered);
        }
    }

    /// Nodes of the current list other than this one.
    pub(crate) fn other_nodes(&self) -> Vec<VmId> {
        let nodes = self.lists.nodes();
        let others = nodes.iter().filter(|node| node.vm != self.vm);
        others.map(|node| node.vm.clone()).collect()
    }

    /// Drops state that no later decision can need.
    pub(crate) fn expire(&mut self) {
        self.resync();
        let now = Instant::now();
        let Limits {
            key_window,
            lookback,
            clock_skew,
            added_vm_window,
            list_size_window,
            ..
        } = self.limits;
        let lists_since = ListHistory::span_start(
            now,
            key_window + 2 * lookback + 2 * clock_skew + added_vm_window,
        );
        self.lists
            .expire_before(lists_since, ListHistory::span_start(now, list_size_window));
        self.peers
            .values_mut()
            .for_each(|peer| peer.expire_before(lists_since));
        let retained_ms = millis(key_window + 2 * clock_skew);
        self.table
            .expire_before(self.clock.now_ms(now).saturating_sub(retained_ms));
    }

    /// If the machine was suspended or its clock was set, discards what is known about earlier times.
    fn resync(&mut self) {
        if self.clock.resync(self.limits.clock_skew / 2) {
            self.counters.clock_resets += 1;
            self.lists.reset_to_current();
            self.peers.clear();
        }
    }

    pub(crate) fn dump(&self) -> ClaimsDump {
        let now = Instant::now();
        ClaimsDump {
            vm: self.vm.clone(),
            revision: self.lists.revision().unwrap_or_default(),
            nodes: self.lists.nodes().len(),
            revisions_held: self.lists.len(),
            confirmed_nodes: self.peers.len(),
            quorum: quorum_check::quorum(&self.lists, &self.limits, now),
            keys: self.table.len(),
            max_keys: self.limits.max_keys,
            counters: self.counters,
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
