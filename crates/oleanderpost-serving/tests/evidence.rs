//! Evidence received from peers, and how often a node polls the discovery store itself.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use oleanderpost_serving::{
    BootTime, DataCentreName, Discovery, DiscoveryError, DiscoverySource, DiscoveryUpdate,
    NodeState, PeerEvidence, ServiceName, ServingConfig, StorePosition, Upstream, UpstreamChange,
    UpstreamId,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(5);

fn peer_evidence(version: u64, age_ms: u64) -> PeerEvidence {
    PeerEvidence {
        version,
        age_ms,
        position: StorePosition::new(0, 1),
    }
}

#[test]
fn peer_evidence_age_counts_from_the_request() {
    let state = NodeState::new(MAX_EVIDENCE_AGE);
    state.apply_config(ServingConfig::new(7));
    let requested_at = BootTime::now();
    assert!(state.record_peer_evidence(requested_at, peer_evidence(7, 1_200)));
    let age = state.evidence_age().unwrap();
    assert!(
        age >= Duration::from_millis(1_200) && age < Duration::from_millis(1_500),
        "{age:?}"
    );
}

#[test]
fn evidence_of_a_newer_version_does_not_hold_for_an_older_one() {
    let state = NodeState::new(MAX_EVIDENCE_AGE);
    state.apply_config(ServingConfig::new(7));
    assert!(!state.record_peer_evidence(BootTime::now(), peer_evidence(8, 0)));
    assert_eq!(state.evidence_age(), None);
    assert!(state.is_behind(peer_evidence(8, 0)));
    state.apply_config(ServingConfig::new(9));
    assert!(state.record_peer_evidence(BootTime::now(), peer_evidence(8, 0)));
}

#[test]
fn exchanged_evidence_never_gets_younger() {
    let (a, b) = (
        NodeState::new(MAX_EVIDENCE_AGE),
        NodeState::new(MAX_EVIDENCE_AGE),
    );
    for state in [&a, &b] {
        state.apply_config(ServingConfig::new(7));
    }
    a.confirm(BootTime::now());
    let started_at = Instant::now();
    for _ in 0..50 {
        b.record_peer_evidence(BootTime::now(), a.evidence_for_peers().unwrap());
        a.record_peer_evidence(BootTime::now(), b.evidence_for_peers().unwrap());
        std::thread::sleep(Duration::from_millis(4));
    }
    let elapsed = started_at.elapsed();
    assert!(a.evidence_age().unwrap() >= elapsed && b.evidence_age().unwrap() >= elapsed);
}

/// A store without changes that records the wait of each watch request.
#[derive(Default)]
struct QuietStore {
    waits: Mutex<Vec<Duration>>,
    unresponsive: AtomicBool,
}

#[async_trait::async_trait]
impl DiscoverySource for QuietStore {
    async fn snapshot(&self) -> Result<DiscoveryUpdate, DiscoveryError> {
        Ok(DiscoveryUpdate {
            position: StorePosition::new(0, 1),
            config: Some(ServingConfig::new(7)),
            ..DiscoveryUpdate::default()
        })
    }

    async fn changes(
        &self,
        _after: StorePosition,
        wait: Duration,
    ) -> Result<DiscoveryUpdate, DiscoveryError> {
        self.waits.lock().unwrap().push(wait);
        sleep(wait).await;
        if self.unresponsive.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        Ok(DiscoveryUpdate {
            position: StorePosition::new(0, 1),
            ..DiscoveryUpdate::default()
        })
    }
}

#[tokio::test]
async fn store_is_polled_rarely_while_a_peer_confirms_and_at_once_when_none_does() {
    let source = Arc::new(QuietStore::default());
    let state = Arc::new(NodeState::new(MAX_EVIDENCE_AGE));
    let discovery = Discovery::new(
        Arc::clone(&source) as Arc<dyn DiscoverySource>,
        Arc::clone(&state),
        Arc::new(Notify::new()),
    );
    tokio::spawn(discovery.run());
    sleep(Duration::from_millis(50)).await;
    for _ in 0..16 {
        state.record_peer_evidence(BootTime::now(), peer_evidence(7, 100));
        sleep(Duration::from_millis(250)).await;
    }
    let request_count = source.waits.lock().unwrap().len();
    assert!(
        request_count <= 2,
        "{request_count} watch requests in four seconds"
    );
    let silent_since = Instant::now();
    while !source.waits.lock().unwrap().contains(&Duration::ZERO) {
        assert!(
            silent_since.elapsed() < Duration::from_millis(3_500),
            "the node did not poll the store itself"
        );
        sleep(Duration::from_millis(20)).await;
    }
    assert!(state.is_fresh());
    source.unresponsive.store(true, Ordering::Relaxed);
    sleep(MAX_EVIDENCE_AGE + Duration::from_millis(1_600)).await;
    assert!(
        !state.is_fresh(),
        "evidence expires without store and peers"
    );
}

#[tokio::test]
async fn node_that_is_behind_a_peer_restarts_its_watch_request() {
    let source = Arc::new(QuietStore::default());
    let state = Arc::new(NodeState::new(MAX_EVIDENCE_AGE));
    let discovery = Discovery::new(
        Arc::clone(&source) as Arc<dyn DiscoverySource>,
        Arc::clone(&state),
        Arc::new(Notify::new()),
    );
    tokio::spawn(discovery.run());
    sleep(Duration::from_millis(50)).await;
    state.record_peer_evidence(BootTime::now(), peer_evidence(7, 100));
    sleep(Duration::from_millis(1_600)).await;
    state.record_peer_evidence(BootTime::now(), peer_evidence(7, 100));
    sleep(Duration::from_millis(100)).await;
    let before = source.waits.lock().unwrap().len();
    for _ in 0..6 {
        state.record_peer_evidence(
            BootTime::now(),
            PeerEvidence {
                position: StorePosition::new(0, 5),
                ..peer_evidence(7, 100)
            },
        );
        sleep(Duration::from_millis(250)).await;
    }
    assert!(
        source.waits.lock().unwrap().len() > before,
        "the node did not send a new watch request"
    );
}

/// A store that answers two watch requests without changes, and the third with a removed entry.
#[derive(Default)]
struct RemovingStore {
    request_count: Mutex<u32>,
}

#[async_trait::async_trait]
impl DiscoverySource for RemovingStore {
    async fn snapshot(&self) -> Result<DiscoveryUpdate, DiscoveryError> {
        let upstream = Upstream {
            id: UpstreamId::new("u"),
            service: ServiceName::new("a"),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: DataCentreName::new("dc-a"),
            slots: 1,
            draining: false,
            started_at: None,
            cold_left_ms: None,
        };
        let upstreams = vec![UpstreamChange::Put(upstream)];
        Ok(DiscoveryUpdate {
            position: StorePosition::new(0, 1),
            config: Some(ServingConfig::new(7)),
            upstreams,
            ..DiscoveryUpdate::default()
        })
    }

    async fn changes(
        &self,
        _after: StorePosition,
        wait: Duration,
    ) -> Result<DiscoveryUpdate, DiscoveryError> {
        let request_count = {
            let mut request_count = self.request_count.lock().unwrap();
            *request_count += 1;
            *request_count
        };
        if request_count != 3 {
            sleep(wait).await;
            return Ok(DiscoveryUpdate {
                position: StorePosition::new(0, 1),
                ..DiscoveryUpdate::default()
            });
        }
        let upstreams = vec![UpstreamChange::Removed(UpstreamId::new("u"))];
        Ok(DiscoveryUpdate {
            position: StorePosition::new(0, 2),
            upstreams,
            ..DiscoveryUpdate::default()
        })
    }
}

/// Guards against a fault found in the log of an incident: the node reported a recovery of the store every
/// few seconds although the store had been available, so removed entries stayed in use for two more seconds.
#[tokio::test]
async fn entry_removed_while_the_store_is_available_is_dropped_at_once() {
    let source = Arc::new(RemovingStore::default());
    let state = Arc::new(NodeState::new(MAX_EVIDENCE_AGE));
    let discovery = Discovery::new(
        Arc::clone(&source) as Arc<dyn DiscoverySource>,
        Arc::clone(&state),
        Arc::new(Notify::new()),
    );
    tokio::spawn(discovery.run());
    while *source.request_count.lock().unwrap() < 3 {
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_millis(50)).await;
    assert!(!state.directory().is_usable(&UpstreamId::new("u")));
}
