//! The task of a starting node.

use std::{sync::Arc, time::Duration};

use tokio::{task::JoinSet, time::sleep};

use crate::{gossip, shared::Shared, watcher::Watcher};

/// Peers that a starting node asks.
const START_PEERS: usize = 4;

/// Time between two tries of a starting node.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Tries of a starting node that sees no peers, before it takes itself for the only one.
const MAX_PEER_TRIES: u32 = 3;

/// Asks the configuration service and peers until the files are known, then watches.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut watcher = Watcher::default();
    let mut tries = 0;
    sleep(shared.jitter(shared.read_gap())).await;
    loop {
        let (read, peer_answered) =
            tokio::join!(watcher.read_once(&shared), sync_with_peers(&shared));
        tries += 1;
        let alone = shared.peers().is_empty() && tries >= MAX_PEER_TRIES;
        let has_files = read.is_ok() || shared.store().root() != 0;
        let peers_done = peer_answered || alone || tries >= MAX_PEER_TRIES;
        if has_files && peers_done {
            break;
        }
        sleep(shared.jitter(RETRY_INTERVAL.max(shared.read_gap()))).await;
    }
    shared.ready.send_replace(true);
    watcher.run(shared).await;
}

/// Compares with a few peers at once; says whether one answered.
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
    let answers = syncs.join_all().await;
    answers.into_iter().any(|peer_answered| peer_answered)
}
