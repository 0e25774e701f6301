//! The startup task of a node.

use std::{sync::Arc, time::Duration};

use tokio::{task::JoinSet, time::sleep};

use crate::{gossip, shared::Shared, watcher::Watcher};

/// Number of peers that a starting node compares its files with.
const START_PEERS: usize = 4;

/// Mean time between two tries of a starting node.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Tries after which a starting node no longer waits for a peer: it may be the only node of the fleet.
const MAX_PEER_TRIES: u32 = 3;

/// Reads from the configuration service and from peers until the files are known, then runs the watcher.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut watcher = Watcher::default();
    let mut tries = 0;
    sleep(shared.jitter(shared.read_gap())).await;
    loop {
        let (read, peer_responded) =
            tokio::join!(watcher.read_once(&shared), sync_with_peers(&shared));
        tries += 1;
        let alone = shared.peers().is_empty() && tries >= MAX_PEER_TRIES;
        let has_files = read.is_ok() || shared.store().root() != 0;
        let peers_done = peer_responded || alone || tries >= MAX_PEER_TRIES;
        if has_files && peers_done {
            break;
        }
        sleep(shared.jitter(RETRY_INTERVAL.max(shared.read_gap()))).await;
    }
    shared.ready.send_replace(true);
    watcher.run(shared).await;
}

/// Compares all files with a few peers in parallel; returns whether one of them responded.
async fn sync_with_peers(shared: &Arc<Shared>) -> bool {
    let peers = shared.peers();
    let vms = shared
        .ranking(&peers)
        .neighbours(START_PEERS, |peer| peer.reachable);
    let mut syncs = JoinSet::new();
    for vm in vms {
        let shared = shared.clone();
        syncs.spawn(async move { gossip::sync(&shared, &vm).await.is_ok() });
    }
    let results = syncs.join_all().await;
    results.into_iter().any(|peer_responded| peer_responded)
}
