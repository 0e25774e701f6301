//! Task that exchanges VM lists and leaving marks with peers: periodically with a few fixed ones, and with
//! others when a hint suggests it.

use std::{collections::HashSet, sync::Arc};

use oleanderpost_types::{Revision, VmId};
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::{
    ContactChange, Error, Reachability, Result, RosterDigest, RosterMessage, RosterTransport,
    roster_core::{ExchangeHint, RosterCore},
};

pub(crate) async fn run(
    core: Arc<RosterCore>,
    transport: Arc<dyn RosterTransport>,
    mut hints: mpsc::Receiver<ExchangeHint>,
) {
    let mut exchanges = JoinSet::new();
    let mut in_progress = HashSet::new();
    let mut round = 0;
    let mut next_exchange = Instant::now() + core.jitter(core.timings.exchange_interval);
    loop {
        let has_capacity = exchanges.len() < core.timings.max_concurrent_exchanges;
        let peer = tokio::select! {
            Some(done) = exchanges.join_next() => {
                if let Ok(vm) = done {
                    in_progress.remove(&vm);
                }
                None
            }
            Some(hint) = hints.recv(), if has_capacity => peer_for_hint(&core, hint),
            () = sleep_until(next_exchange), if has_capacity => {
                next_exchange = Instant::now() + core.jitter(core.timings.exchange_interval);
                round += 1;
                core.update_unreachable();
                next_peer(&core, round)
            }
        };
        let Some(vm) = peer.filter(|vm| in_progress.insert(vm.clone())) else {
            continue;
        };
        let (core, transport) = (Arc::clone(&core), Arc::clone(&transport));
        exchanges.spawn(async move {
            exchange(&core, &*transport, &vm).await;
            vm
        });
    }
}

/// The peer for this round: each peer of the periodic exchanges in order, then one node that was unreachable.
fn next_peer(core: &RosterCore, round: usize) -> Option<VmId> {
    let peers = core.exchange_peers();
    let peer = peers.get(round % (peers.len() + 1)).cloned();
    peer.or_else(|| core.random_unreachable())
}

/// The peer to exchange with because of a hint.
fn peer_for_hint(core: &RosterCore, hint: ExchangeHint) -> Option<VmId> {
    match hint {
        ExchangeHint::NewerState(vm) => Some(vm),
        ExchangeHint::ContactChanged { vm, reached } => {
            let is_reached = !matches!(core.reachability(&vm), Reachability::Unreachable { .. });
            if is_reached == reached {
                return None;
            }
            core.lock().counters.contacts_tried += 1;
            Some(vm)
        }
    }
}

async fn exchange(core: &RosterCore, transport: &dyn RosterTransport, vm: &VmId) {
    core.lock().counters.exchanges += 1;
    if try_exchange(core, transport, vm).await.is_err() {
        core.lock().counters.exchange_failures += 1;
    }
    let was_unreachable = core.lock().unreachable.contains(vm);
    let is_unreachable = matches!(core.reachability(vm), Reachability::Unreachable { .. });
    if was_unreachable != is_unreachable {
        core.update_unreachable();
    }
}

async fn try_exchange(core: &RosterCore, transport: &dyn RosterTransport, vm: &VmId) -> Result<()> {
    if exchange_state(core, transport, vm, false).await? {
        return Ok(());
    }
    exchange_state(core, transport, vm, true).await.map(drop)
}

/// Exchanges state once; true when both nodes then know the same marks, or hold different lists.
async fn exchange_state(
    core: &RosterCore,
    transport: &dyn RosterTransport,
    vm: &VmId,
    all_marks: bool,
) -> Result<bool> {
    let sent_at = Instant::now();
    let digest = core.digest();
    let marks_before = digest.marks;
    let answer = transport
        .request(
            vm,
            RosterMessage::Exchange { digest, all_marks },
            core.timings.exchange_timeout,
        )
        .await?;
    let RosterMessage::State { digest, marks } = answer else {
        return Err(Error::NotUnderstood { peer: vm.clone() });
    };
    if digest.marks != marks_before {
        send_marks(core, transport, vm, all_marks);
    }
    core.merge_marks(Some(vm), marks);
    if digest.revision > core.lock().held_list.revision() {
        fetch(core, transport, vm, &digest).await?;
    }
    if let Some(at) = digest.age.and_then(|age| sent_at.checked_sub(age.into())) {
        core.lock().held_list.confirm(digest.revision, at);
    }
    let same_list = core.lock().held_list.revision() == digest.revision;
    Ok(!same_list || core.digest().marks == digest.marks)
}

fn send_marks(core: &RosterCore, transport: &dyn RosterTransport, vm: &VmId, all_marks: bool) {
    let state = core.lock();
    let max_age = (!all_marks).then_some(core.timings.recent_mark_age);
    let marks = state.marks.marks_in_list(state.held_list.list(), max_age);
    let revision = state.held_list.revision();
    drop(state);
    if !marks.is_empty() {
        let contacts = Vec::new();
        transport.send(
            vm,
            RosterMessage::News {
                revision,
                marks,
                contacts,
            },
        );
    }
}

/// Fetches the changes since the list that this node holds, or the whole list if they do not apply.
async fn fetch(
    core: &RosterCore,
    transport: &dyn RosterTransport,
    vm: &VmId,
    digest: &RosterDigest,
) -> Result<()> {
    let mut whole = false;
    loop {
        let after = core.lock().held_list.revision();
        if digest.revision <= after {
            return Ok(());
        }
        match transport
            .request(
                vm,
                RosterMessage::Fetch { after, whole },
                core.timings.fetch_timeout,
            )
            .await?
        {
            RosterMessage::Steps { steps, digest } if !whole => {
                whole = !core.apply_peer_steps(&steps, digest)
            }
            RosterMessage::Whole(list) => {
                core.apply_peer_list(list);
                return Ok(());
            }
            _ => return Err(Error::NotUnderstood { peer: vm.clone() }),
        }
        if !whole {
            return Ok(());
        }
    }
}

/// Answers a message of the peer `from`.
pub(crate) fn handle(core: &RosterCore, from: &VmId, msg: RosterMessage) -> Option<RosterMessage> {
    match msg {
        RosterMessage::Exchange { digest, all_marks } => {
            Some(answer_exchange(core, from, &digest, all_marks))
        }
        RosterMessage::Fetch { after, whole } => Some(answer_fetch(core, after, whole)),
        RosterMessage::News {
            revision,
            marks,
            contacts,
        } => {
            core.merge_marks(Some(from), marks);
            if revision > core.lock().held_list.revision() {
                core.queue_hint(ExchangeHint::NewerState(from.clone()));
            }
            let contacts = contacts
                .into_iter()
                .filter(|contact| is_listed(core, contact));
            for ContactChange { vm, reached, .. } in contacts {
                core.queue_hint(ExchangeHint::ContactChanged { vm, reached });
            }
            None
        }
        _ => None,
    }
}

fn answer_exchange(
    core: &RosterCore,
    from: &VmId,
    peer_digest: &RosterDigest,
    all_marks: bool,
) -> RosterMessage {
    let digest = core.digest();
    if peer_digest.revision > digest.revision {
        core.queue_hint(ExchangeHint::NewerState(from.clone()));
    }
    let state = core.lock();
    let max_age = (!all_marks).then_some(core.timings.recent_mark_age);
    let marks = if peer_digest.marks == digest.marks {
        Vec::new()
    } else {
        state.marks.marks_in_list(state.held_list.list(), max_age)
    };
    drop(state);
    RosterMessage::State { digest, marks }
}

fn answer_fetch(core: &RosterCore, after: Revision, whole: bool) -> RosterMessage {
    let mut state = core.lock();
    if !whole && let Some(steps) = state.held_list.steps_after(after) {
        state.counters.steps_served += 1;
        let digest = state.held_list.digest();
        return RosterMessage::Steps { steps, digest };
    }
    state.counters.wholes_served += 1;
    RosterMessage::Whole(oleanderpost_types::VmList::clone(state.held_list.list()))
}

/// Whether a change of contact is about another node of the list, in its listed incarnation or a later one.
fn is_listed(core: &RosterCore, contact: &ContactChange) -> bool {
    let state = core.lock();
    let listed = state.held_list.find(&contact.vm);
    contact.vm != core.own_vm && listed.is_some_and(|vm| vm.incarnation <= contact.incarnation)
}
