//! [`Claims`].

use std::sync::Arc;

use futures_util::{
    StreamExt,
    stream::{self, FuturesUnordered},
};
use oleanderpost_types::{RequestKey, VmId, VmList};
use tokio::{
    sync::Notify,
    time::{Instant, timeout, timeout_at},
};

use crate::{
    Abstention, Claim, ClaimEnd, ClaimId, ClaimMessage, ClaimsDump, Limits, Refusal, Result,
    WitnessClient, claim_votes::ClaimVotes, witness::Witness, witness_router::WitnessRouter,
};

/// Maximum number of peers that are asked to confirm their list at the same time.
const MAX_CONCURRENT_CONFIRMS: usize = 16;

/// Claims of request keys at one node, which is both a claimant and a witness.
pub struct Claims {
    vm: VmId,
    limits: Limits,
    router: Arc<WitnessRouter>,
    client: Arc<dyn WitnessClient>,
    first_list: Notify,
}

impl Claims {
    pub(crate) fn new(
        vm: VmId,
        witness: Witness,
        client: Arc<dyn WitnessClient>,
        limits: Limits,
    ) -> Self {
        Self {
            router: Arc::new(WitnessRouter::new(vm.clone(), witness, Arc::clone(&client))),
            vm,
            limits,
            client,
            first_list: Notify::new(),
        }
    }

    /// Applies a VM list. All revisions must be passed in order; a skipped revision is treated as a change of
    /// all witnesses.
    pub fn observe(&self, list: &VmList) {
        let mut witness = self.router.witness();
        let had_no_peers = witness.other_nodes().is_empty();
        witness.observe(list);
        if had_no_peers {
            self.first_list.notify_one();
        }
    }

    /// Claims a key for one dispatch. Returns by `deadline`, the deadline of the request, and within
    /// [`Limits::claim_timeout`].
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the request must not be dispatched.
    pub async fn claim(&self, key: RequestKey, deadline: Instant) -> Result<Claim, Refusal> {
        let witnesses = self.witnesses(key)?;
        let id = ClaimId::new();
        let claim = Claim::new(
            key,
            id,
            deadline,
            witnesses.clone(),
            Arc::clone(&self.router),
        );
        let mut votes = ClaimVotes::new(witnesses.len());
        let pending =
            self.collect_votes(&witnesses, ClaimMessage::Ask { key, claim: id }, &mut votes);
        let until = deadline.min(Instant::now() + self.limits.claim_timeout);
        let _ = timeout_at(until, pending).await;
        self.record_result(&votes);
        match votes.result() {
            Ok(()) => Ok(claim),
            Err(refusal) => {
                tokio::spawn(claim.close(ClaimEnd::NotRun));
                Err(refusal)
            }
        }
    }

    fn witnesses(&self, key: RequestKey) -> Result<Vec<VmId>, Refusal> {
        let mut witness = self.router.witness();
        if let Err(abstention) = witness.check_key(key) {
            witness.counters.claims_with_bad_key += 1;
            return Err(self.key_refusal(abstention));
        }
        let witnesses = witness.witnesses(key);
        if witnesses.is_empty() {
            return Err(Refusal::NoList);
        }
        Ok(witnesses)
    }

    const fn key_refusal(&self, abstention: Abstention) -> Refusal {
        match abstention {
            Abstention::KeyVersion => Refusal::KeyVersion,
            Abstention::KeyFromFuture => Refusal::KeyFromFuture {
                max_ahead: self.limits.max_key_ahead(),
            },
            _ => Refusal::KeyTooOld {
                window: self.limits.key_window,
            },
        }
    }

    async fn collect_votes(&self, witnesses: &[VmId], msg: ClaimMessage, votes: &mut ClaimVotes) {
        let mut answers: FuturesUnordered<_> = witnesses
            .iter()
            .map(|vm| self.router.request(vm, msg))
            .collect();
        while let Some(answer) = answers.next().await {
            votes.add(answer);
            if votes.is_decided() {
                return;
            }
        }
    }

    fn record_result(&self, votes: &ClaimVotes) {
        let mut witness = self.router.witness();
        let counters = &mut witness.counters;
        match votes.result() {
            Ok(()) => counters.claims_granted += 1,
            Err(Refusal::AlreadyClaimed) => counters.claims_taken += 1,
            Err(_) => counters.claims_without_majority += 1,
        }
    }

    /// Handles a message of the node `from`; returns the answer, if the message has one.
    #[must_use]
    pub fn handle(&self, _from: &VmId, msg: ClaimMessage) -> Option<ClaimMessage> {
        self.router.handle(msg)
    }

    /// Exchanges confirmations with the other nodes and drops old state. Never returns; drop the future to
    /// stop it.
    pub async fn run(&self) {
        loop {
            let started = Instant::now();
            self.router.witness().expire();
            self.confirm_round().await;
            let next = started + self.limits.confirm_period;
            let _ = timeout_at(next, self.first_list.notified()).await;
        }
    }

    async fn confirm_round(&self) {
        let peers = self.router.witness().other_nodes();
        let peers = stream::iter(peers);
        peers
            .for_each_concurrent(MAX_CONCURRENT_CONFIRMS, |vm| self.confirm_with(vm))
            .await;
    }

    async fn confirm_with(&self, vm: VmId) {
        let Some(msg) = self.confirm_message() else {
            return;
        };
        let asked = Instant::now();
        let answer = timeout(self.limits.confirm_timeout, self.client.request(&vm, msg)).await;
        let Ok(Ok(ClaimMessage::Confirmed(confirmed))) = answer else {
            return;
        };
        let mut witness = self.router.witness();
        witness.record_confirmation(&vm, confirmed, asked, Instant::now());
    }

    fn confirm_message(&self) -> Option<ClaimMessage> {
        let mut witness = self.router.witness();
        let own = witness.own_confirmation()?;
        witness.counters.confirms_sent += 1;
        Some(ClaimMessage::Confirm(own))
    }

    /// State shown to operators.
    #[must_use]
    pub fn dump(&self) -> ClaimsDump {
        self.router.witness().dump()
    }

    /// VM of this node.
    #[must_use]
    pub const fn vm(&self) -> &VmId {
        &self.vm
    }
}
