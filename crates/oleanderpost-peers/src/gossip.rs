//! Task that exchanges lists and marks with peers, a few in turn and others when there is reason.

use std::{collections::HashSet, sync::Arc};

use oleanderpost_types::{Revision, VmId};
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::{
    Contact, Error, Reachability, Result, RosterDigest, RosterMessage, RosterTransport,
    roster_core::{Hint, RosterCore},
};

pub(crate) async fn run(
    core: Arc<RosterCore>,
    peers: Arc<dyn RosterTransport>,
    mut hints: mpsc::Receiver<Hint>,
) {
    let mut asks = JoinSet::new();
    let mut asked = HashSet::new();
    let mut turn = 0;
    let mut due = Instant::now() + core.jitter(core.timings.exchange);
    loop {
        let room = asks.len() < core.timings.asks_at_once;
        let next = tokio::select! {
            Some(done) = asks.join_next() => {
                if let Ok(vm) = done {
                    asked.remove(&vm);
                }
                None
            }
            Some(hint) = hints.recv(), if room => hinted(&core, hint),
            () = sleep_until(due), if room => {
                due = Instant::now() + core.jitter(core.timings.exchange);
                turn += 1;
                core.look_around();
                peer_in_turn(&core, turn)
            }
        };
        let Some(vm) = next.filter(|vm| asked.insert(vm.clone())) else {
            continue;
        };
        let (core, peers) = (Arc::clone(&core), Arc::clone(&peers));
        asks.spawn(async move {
            exchange(&core, &*peers, &vm).await;
            vm
        });
    }
}

/// The peer whose turn it is: those ahead on the ring one after the other, then one that was unreachable.
fn peer_in_turn(core: &RosterCore, turn: usize) -> Option<VmId> {
    let ahead = core.turn_peers();
    let in_turn = ahead.get(turn % (ahead.len() + 1)).cloned();
    in_turn.or_else(|| core.any_unreachable())
}

/// The peer that a hint makes worth asking now.
fn hinted(core: &RosterCore, hint: Hint) -> Option<VmId> {
    match hint {
        Hint::News(vm) => Some(vm),
        Hint::Contact { vm, reached } => {
            let is_reached = !matches!(core.reachability(&vm), Reachability::Unreachable { .. });
            if is_reached == reached {
                return None;
            }
            core.lock().counters.contacts_tried += 1;
            Some(vm)
        }
    }
}

async fn exchange(core: &RosterCore, peers: &dyn RosterTransport, vm: &VmId) {
    core.lock().counters.exchanges += 1;
    if try_exchange(core, peers, vm).await.is_err() {
        core.lock().counters.exchange_failures += 1;
    }
    let was_unreachable = core.lock().unreachable.contains(vm);
    let is_unreachable = matches!(core.reachability(vm), Reachability::Unreachable { .. });
    if was_unreachable != is_unreachable {
        core.look_around();
    }
}

async fn try_exchange(core: &RosterCore, peers: &dyn RosterTransport, vm: &VmId) -> Result<()> {
    if ask_state(core, peers, vm, false).await? {
        return Ok(());
    }
    ask_state(core, peers, vm, true).await.map(drop)
}

/// Asks once; true when both then know the same marks, or hold different lists.
async fn ask_state(
    core: &RosterCore,
    peers: &dyn RosterTransport,
    vm: &VmId,
    all_marks: bool,
) -> Result<bool> {
    let asked = Instant::now();
    let digest = core.digest();
    let before = digest.marks;
    let answer = peers
        .request(
            vm,
            RosterMessage::Exchange { digest, all_marks },
            core.timings.ask,
        )
        .await?;
    let RosterMessage::State { digest, marks } = answer else {
        return Err(Error::NotUnderstood { peer: vm.clone() });
    };
    if digest.marks != before {
        tell_marks(core, peers, vm, all_marks);
    }
    core.merge_marks(Some(vm), marks);
    if digest.revision > core.lock().listing.revision() {
        fetch(core, peers, vm, &digest).await?;
    }
    if let Some(at) = digest.age.and_then(|age| asked.checked_sub(age.into())) {
        core.lock().listing.confirm(digest.revision, at);
    }
    let same_list = core.lock().listing.revision() == digest.revision;
    Ok(!same_list || core.digest().marks == digest.marks)
}

fn tell_marks(core: &RosterCore, peers: &dyn RosterTransport, vm: &VmId, all_marks: bool) {
    let state = core.lock();
    let span = (!all_marks).then_some(core.timings.recent_marks);
    let marks = state.marks.listed(state.listing.list(), span);
    let revision = state.listing.revision();
    drop(state);
    if !marks.is_empty() {
        let contacts = Vec::new();
        peers.send(
            vm,
            RosterMessage::News {
                revision,
                marks,
                contacts,
            },
        );
    }
}

/// Fetches the changes after the list held, or the whole list where they do not fit.
async fn fetch(
    core: &RosterCore,
    peers: &dyn RosterTransport,
    vm: &VmId,
    digest: &RosterDigest,
) -> Result<()> {
    let mut whole = false;
    loop {
        let after = core.lock().listing.revision();
        if digest.revision <= after {
            return Ok(());
        }
        match peers
            .request(
                vm,
                RosterMessage::Fetch { after, whole },
                core.timings.fetch,
            )
            .await?
        {
            RosterMessage::Steps { steps, digest } if !whole => {
                whole = !core.take_steps(&steps, digest)
            }
            RosterMessage::Whole(list) => {
                core.take_whole(list);
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
            Some(state(core, from, &digest, all_marks))
        }
        RosterMessage::Fetch { after, whole } => Some(changes(core, after, whole)),
        RosterMessage::News {
            revision,
            marks,
            contacts,
        } => {
            core.merge_marks(Some(from), marks);
            if revision > core.lock().listing.revision() {
                core.hint(Hint::News(from.clone()));
            }
            let contacts = contacts
                .into_iter()
                .filter(|contact| is_listed(core, contact));
            for Contact { vm, reached, .. } in contacts {
                core.hint(Hint::Contact { vm, reached });
            }
            None
        }
        _ => None,
    }
}

fn state(core: &RosterCore, from: &VmId, theirs: &RosterDigest, all_marks: bool) -> RosterMessage {
    let digest = core.digest();
    if theirs.revision > digest.revision {
        core.hint(Hint::News(from.clone()));
    }
    let state = core.lock();
    let span = (!all_marks).then_some(core.timings.recent_marks);
    let marks = if theirs.marks == digest.marks {
        Vec::new()
    } else {
        state.marks.listed(state.listing.list(), span)
    };
    drop(state);
    RosterMessage::State { digest, marks }
}

fn changes(core: &RosterCore, after: Revision, whole: bool) -> RosterMessage {
    let mut state = core.lock();
    if !whole && let Some(steps) = state.listing.steps_after(after) {
        state.counters.steps_served += 1;
        let digest = state.listing.digest();
        return RosterMessage::Steps { steps, digest };
    }
    state.counters.wholes_served += 1;
    RosterMessage::Whole(oleanderpost_types::VmList::clone(state.listing.list()))
}

/// Whether news of contact speaks of another node of the list, and not of an earlier incarnation.
fn is_listed(core: &RosterCore, contact: &Contact) -> bool {
    let state = core.lock();
    let listed = state.listing.find(&contact.vm);
    contact.vm != core.own && listed.is_some_and(|vm| vm.incarnation <= contact.incarnation)
}
