//! The tasks that distribute changes to peers: pushes to a few neighbours, and a periodic comparison.

use std::sync::Arc;

use oleanderpost_types::{FileName, VmId};
use tokio::{sync::Semaphore, time::sleep};

use crate::{
    ConfigMessage, FileDigest, Result, ingest,
    shared::{PendingOffer, Shared},
};

/// Maximum number of concurrent pushes.
const MAX_CONCURRENT_PUSHES: usize = 32;
/// Maximum number of peers to try for one comparison.
const MAX_SYNC_TRIES: u32 = 3;
/// One in this many comparisons is made with a random peer instead of a neighbour.
const RANDOM_SYNC_EVERY: u64 = 8;

/// Pushes each change to the neighbours.
pub(crate) async fn run_pushes(shared: Arc<Shared>) {
    let push_slots = Arc::new(Semaphore::new(MAX_CONCURRENT_PUSHES));
    loop {
        shared.push_requested.notified().await;
        let pending = shared.take_pending_pushes();
        let neighbours = shared.neighbours();
        for (name, from) in pending {
            for vm in neighbours.iter().filter(|vm| Some(*vm) != from.as_ref()) {
                let Ok(permit) = push_slots.clone().acquire_owned().await else {
                    return;
                };
                let push = push_with_fallback(shared.clone(), vm.clone(), name.clone());
                let stop = shared.stop.clone();
                shared.tasks.spawn(async move {
                    let _permit = permit;
                    let _ = stop.run_until_cancelled(push).await;
                });
            }
        }
    }
}

/// Offers a file to one neighbour. If it does not respond, offers the file to its replacements.
async fn push_with_fallback(shared: Arc<Shared>, vm: VmId, name: FileName) {
    let neighbours_before = shared.neighbours();
    if push(&shared, &vm, &name).await.is_ok() {
        return;
    }
    for replacement in shared
        .neighbours()
        .iter()
        .filter(|replacement| !neighbours_before.contains(replacement))
    {
        // If a replacement does not respond either, a later comparison delivers the change.
        let _ = push(&shared, replacement, &name).await;
    }
}

/// Offers a file to one peer, and sends the contents that it requests.
async fn push(shared: &Shared, vm: &VmId, name: &FileName) -> Result<()> {
    let Some(digest) = shared.store().digest(name) else {
        return Ok(());
    };
    let payloads = shared
        .store()
        .inline_payloads(&digest, shared.tuning.inline_limit);
    let offer = ConfigMessage::Offer {
        digest: digest.clone(),
        payloads,
        last: false,
    };
    let response = shared.request(vm, offer).await?;
    let ConfigMessage::Want { name, hashes, have } = response else {
        return Ok(());
    };
    let payloads = shared.store().payloads(&name, &hashes, &have);
    let offer = ConfigMessage::Offer {
        digest,
        payloads,
        last: true,
    };
    shared.request(vm, offer).await?;
    Ok(())
}

/// Periodically compares all files with one peer.
pub(crate) async fn run_syncs(shared: Arc<Shared>) {
    let mut round: u64 = 0;
    loop {
        sleep(shared.jitter(shared.tuning.sync_interval)).await;
        for _ in 0..MAX_SYNC_TRIES {
            round += 1;
            let Some(vm) = choose_sync_peer(&shared, round) else {
                break;
            };
            if sync(&shared, &vm).await.is_ok() {
                break;
            }
        }
    }
}

/// Chooses the peer for the next comparison.
fn choose_sync_peer(shared: &Shared, round: u64) -> Option<VmId> {
    let mut vms = shared.responsive_neighbours();
    if round.is_multiple_of(RANDOM_SYNC_EVERY) || vms.is_empty() {
        vms = shared.peers().into_iter().map(|peer| peer.vm).collect();
    }
    if vms.is_empty() {
        return None;
    }
    Some(vms.swap_remove(shared.random_index(vms.len())))
}

/// Compares all files with one peer; each node receives what it lacks.
pub(crate) async fn sync(shared: &Arc<Shared>, vm: &VmId) -> Result<()> {
    let root = shared.store().root();
    let response = shared.request(vm, ConfigMessage::Sync { root }).await?;
    let ConfigMessage::Digests { digests } = response else {
        shared.record_confirmation();
        return Ok(());
    };
    for digest in &digests {
        if shared.store().is_behind(digest) {
            pull(shared, vm, digest).await?;
        }
    }
    let own_digests = shared.store().digests();
    for digest in own_digests {
        let peer_digest = digests
            .iter()
            .find(|peer_digest| peer_digest.name == digest.name);
        let ahead = match peer_digest {
            Some(peer_digest) => shared.store().is_ahead(peer_digest),
            None => true,
        };
        if ahead {
            push(shared, vm, &digest.name).await?;
        }
    }
    shared.record_confirmation();
    Ok(())
}

/// Fetches the contents that are missing to merge a peer's digest, and merges it.
async fn pull(shared: &Shared, vm: &VmId, digest: &FileDigest) -> Result<()> {
    let contents_to_fetch = shared.store().contents_to_fetch(digest);
    let mut offer = PendingOffer {
        from: vm.clone(),
        digest: digest.clone(),
        payloads: Vec::new(),
    };
    if !contents_to_fetch.is_empty() {
        let hashes = shared.start_fetch(contents_to_fetch);
        if hashes.is_empty() {
            return Ok(());
        }
        let want = ConfigMessage::Want {
            name: digest.name.clone(),
            hashes,
            have: shared.store().held_hashes(&digest.name),
        };
        if let ConfigMessage::Offer { payloads, .. } = shared.request(vm, want).await? {
            offer.payloads = payloads;
        }
    }
    ingest::merge_offer(shared, offer).await;
    Ok(())
}
