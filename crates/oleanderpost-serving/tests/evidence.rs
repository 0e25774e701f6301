//! Evidence that travels between nodes, and how often a node asks the store itself.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use oleanderpost_serving::{
    BootTime, DataCentreName, Discovery, DiscoveryError, DiscoverySource, DiscoveryUpdate,
    NodeState, PeerEvidence, Revision, ServiceName, ServingConfig, Upstream, UpstreamChange,
    UpstreamId,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

const LIMIT: Duration = Duration::from_secs(5);

fn peer(version: u64, age_ms: u64) -> PeerEvidence {
    PeerEvidence {
        version,
        age_ms,
        revision: 1,
    }
}

#[test]
fn peers_evidence_counts_with_its_age_from_the_question_on() {
    let state = NodeState::new(LIMIT);
    state.apply_config(ServingConfig::new(7));
    let asked_at = BootTime::now();
    assert!(state.record_peer_evidence(asked_at, peer(7, 1_200)));
    let age = state.evidence_age().unwrap();
    assert!(
        age >= Duration::from_millis(1_200) && age < Duration::from_millis(1_500),
        "{age:?}"
    );
}

#[test]
fn peer_with_a_newer_version_proves_nothing_for_an_older_one() {
    let state = NodeState::new(LIMIT);
    state.apply_config(ServingConfig::new(7));
    assert!(!state.record_peer_evidence(BootTime::now(), peer(8, 0)));
    assert_eq!(state.evidence_age(), None);
    assert!(state.is_behind(peer(8, 0)));
    state.apply_config(ServingConfig::new(9));
    assert!(state.record_peer_evidence(BootTime::now(), peer(8, 0)));
}

#[test]
fn old_evidence_does_not_grow_younger_between_nodes() {
    let (a, b) = (NodeState::new(LIMIT), NodeState::new(LIMIT));
    for state in [&a, &b] {
        state.apply_config(ServingConfig::new(7));
    }
    a.confirm(BootTime::now());
    let began = Instant::now();
    for _ in 0..50 {
        b.record_peer_evidence(BootTime::now(), a.evidence_for_peers().unwrap());
        a.record_peer_evidence(BootTime::now(), b.evidence_for_peers().unwrap());
        std::thread::sleep(Duration::from_millis(4));
    }
    let passed = began.elapsed();
    assert!(a.evidence_age().unwrap() >= passed && b.evidence_age().unwrap() >= passed);
}

/// A store without changes, that counts the questions.
#[derive(Default)]
struct Quiet {
    waits: Mutex<Vec<Duration>>,
    gone: AtomicBool,
}

#[async_trait::async_trait]
impl DiscoverySource for Quiet {
    async fn snapshot(&self) -> Result<DiscoveryUpdate, DiscoveryError> {
        Ok(DiscoveryUpdate {
            revision: 1,
            config: Some(ServingConfig::new(7)),
            ..DiscoveryUpdate::default()
        })
    }

    async fn changes(
        &self,
        _after: Revision,
        wait: Duration,
    ) -> Result<DiscoveryUpdate, DiscoveryError> {
        self.waits.lock().unwrap().push(wait);
        sleep(wait).await;
        if self.gone.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        Ok(DiscoveryUpdate {
            revision: 1,
            ..DiscoveryUpdate::default()
        })
    }
}

#[tokio::test]
async fn node_asks_the_store_seldom_while_a_peer_vouches_and_at_once_when_none_does() {
    let source = Arc::new(Quiet::default());
    let state = Arc::new(NodeState::new(LIMIT));
    let discovery = Discovery::new(
        Arc::clone(&source) as Arc<dyn DiscoverySource>,
        Arc::clone(&state),
        Arc::new(Notify::new()),
    );
    tokio::spawn(discovery.run());
    sleep(Duration::from_millis(50)).await;
    for _ in 0..16 {
        state.record_peer_evidence(BootTime::now(), peer(7, 100));
        sleep(Duration::from_millis(250)).await;
    }
    let asked = source.waits.lock().unwrap().len();
    assert!(asked <= 2, "{asked} questions in four seconds");
    let silent_since = Instant::now();
    while !source.waits.lock().unwrap().contains(&Duration::ZERO) {
        assert!(
            silent_since.elapsed() < Duration::from_millis(3_500),
            "no question of its own"
        );
        sleep(Duration::from_millis(20)).await;
    }
    assert!(state.is_fresh());
    source.gone.store(true, Ordering::Relaxed);
    sleep(LIMIT + Duration::from_millis(1_600)).await;
    assert!(
        !state.is_fresh(),
        "without store and peers the evidence runs out"
    );
}

#[tokio::test]
async fn node_that_is_behind_its_peer_does_not_trust_its_silent_watch() {
    let source = Arc::new(Quiet::default());
    let state = Arc::new(NodeState::new(LIMIT));
    let discovery = Discovery::new(
        Arc::clone(&source) as Arc<dyn DiscoverySource>,
        Arc::clone(&state),
        Arc::new(Notify::new()),
    );
    tokio::spawn(discovery.run());
    sleep(Duration::from_millis(50)).await;
    state.record_peer_evidence(BootTime::now(), peer(7, 100));
    sleep(Duration::from_millis(1_600)).await;
    state.record_peer_evidence(BootTime::now(), peer(7, 100));
    sleep(Duration::from_millis(100)).await;
    let before = source.waits.lock().unwrap().len();
    for _ in 0..6 {
        state.record_peer_evidence(
            BootTime::now(),
            PeerEvidence {
                revision: 5,
                ..peer(7, 100)
            },
        );
        sleep(Duration::from_millis(250)).await;
    }
    assert!(source.waits.lock().unwrap().len() > before, "it asks anew");
}

/// A store that answers two questions without changes, and then that an entry was removed.
#[derive(Default)]
struct Leaving {
    asked: Mutex<u32>,
}

#[async_trait::async_trait]
impl DiscoverySource for Leaving {
    async fn snapshot(&self) -> Result<DiscoveryUpdate, DiscoveryError> {
        let upstream = Upstream {
            id: UpstreamId::new("u"),
            service: ServiceName::new("a"),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: DataCentreName::new("dc-a"),
            slots: 1,
            draining: false,
            started_at: None,
        };
        let upstreams = vec![UpstreamChange::Put(upstream)];
        Ok(DiscoveryUpdate {
            revision: 1,
            config: Some(ServingConfig::new(7)),
            upstreams,
        })
    }

    async fn changes(
        &self,
        _after: Revision,
        wait: Duration,
    ) -> Result<DiscoveryUpdate, DiscoveryError> {
        let asked = {
            let mut asked = self.asked.lock().unwrap();
            *asked += 1;
            *asked
        };
        if asked != 3 {
            sleep(wait).await;
            return Ok(DiscoveryUpdate {
                revision: 1,
                ..DiscoveryUpdate::default()
            });
        }
        let upstreams = vec![UpstreamChange::Removed(UpstreamId::new("u"))];
        Ok(DiscoveryUpdate {
            revision: 2,
            upstreams,
            ..DiscoveryUpdate::default()
        })
    }
}

/// Seen in the log of an incident: `store is back` every few seconds, though it was never away, so that entries
/// removed meanwhile were used for two seconds more.
#[tokio::test]
async fn entry_removed_while_the_store_is_sound_is_gone_at_once() {
    let source = Arc::new(Leaving::default());
    let state = Arc::new(NodeState::new(LIMIT));
    let discovery = Discovery::new(
        Arc::clone(&source) as Arc<dyn DiscoverySource>,
        Arc::clone(&state),
        Arc::new(Notify::new()),
    );
    tokio::spawn(discovery.run());
    while *source.asked.lock().unwrap() < 3 {
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_millis(50)).await;
    assert!(!state.directory().is_usable(&UpstreamId::new("u")));
}
