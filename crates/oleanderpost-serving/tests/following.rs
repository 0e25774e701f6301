//! Nodes of a large fleet that follow a peer in place of the discovery store.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use oleanderpost_serving::{
    BootTime, DataCentreName, Discovery, DiscoveryError, DiscoverySource, DiscoveryUpdate,
    EvacuationChange, NodeState, PeerChanges, PeerState, PeerStateSource, Route, ServiceName,
    ServingConfig, StorePosition, Upstream, UpstreamChange, UpstreamId,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(5);
/// Interval between the heartbeats of a node.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which a change at the peer must arrive: a quarter of the shortest time that the users allow.
const ARRIVAL_TIME: Duration = Duration::from_secs(1);

fn upstream(id: &str, draining: bool) -> Upstream {
    Upstream {
        id: UpstreamId::new(id),
        service: ServiceName::new("a"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: DataCentreName::new("dc-a"),
        slots: 1,
        draining,
        started_at: None,
        cold_left_ms: None,
    }
}

/// Time within which a node must know a change if its peer has lost the store: the shortest time in which an
/// upstream of a large fleet may still receive requests after it announced its shutdown, less half a second.
const LOST_STORE_ARRIVAL_TIME: Duration = Duration::from_millis(2_500);

/// A store that answers with the changes of a list.
#[derive(Default)]
struct ListedStore {
    changes: Mutex<Vec<(u64, UpstreamChange)>>,
    evacuations: Mutex<Vec<(u64, EvacuationChange)>>,
    config_version: AtomicU64,
    /// Version that the last response contained.
    sent_version: AtomicU64,
    changed: Notify,
    requests: AtomicU64,
    unresponsive: AtomicBool,
    era: AtomicU64,
}

impl ListedStore {
    fn new() -> Arc<Self> {
        let store = Self::default();
        store.config_version.store(7, Ordering::Relaxed);
        let store = Arc::new(store);
        store.change(UpstreamChange::Put(upstream("u", false)));
        store.change(UpstreamChange::Put(upstream("v", false)));
        store
    }

    fn change(&self, change: UpstreamChange) {
        let revision = self.revision() + 1;
        self.changes.lock().unwrap().push((revision, change));
        self.changed.notify_waiters();
    }

    fn change_evacuation(&self, change: EvacuationChange) {
        let revision = self.revision() + 1;
        self.evacuations.lock().unwrap().push((revision, change));
        self.changed.notify_waiters();
    }

    /// Revision of the last change.
    fn revision(&self) -> u64 {
        (self.changes.lock().unwrap().len() + self.evacuations.lock().unwrap().len()) as u64
    }

    /// Returns from a copy without the last change, in a new era.
    fn restore(&self) {
        self.changes.lock().unwrap().pop();
        self.sent_version.store(0, Ordering::Relaxed);
        self.era.fetch_add(1, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    fn since(&self, after: StorePosition) -> DiscoveryUpdate {
        let revision = self.revision();
        let changes = self.changes.lock().unwrap();
        let upstreams = changes
            .iter()
            .filter(|(revision, _)| *revision > after.revision);
        let evacuations = self.evacuations.lock().unwrap();
        let evacuations = evacuations
            .iter()
            .filter(|(revision, _)| *revision > after.revision);
        let version = self.config_version.load(Ordering::Relaxed);
        let is_new = self.sent_version.swap(version, Ordering::Relaxed) != version;
        DiscoveryUpdate {
            position: StorePosition::new(self.era(), revision),
            config: is_new.then(|| ServingConfig::new(version)),
            upstreams: upstreams.map(|(_, change)| change.clone()).collect(),
            evacuations: evacuations.map(|(_, change)| change.clone()).collect(),
        }
    }
}

#[async_trait::async_trait]
impl DiscoverySource for ListedStore {
    async fn snapshot(&self) -> Result<DiscoveryUpdate, DiscoveryError> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        if self.unresponsive.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        Ok(self.since(StorePosition::default()))
    }

    async fn changes(
        &self,
        after: StorePosition,
        wait: Duration,
    ) -> Result<DiscoveryUpdate, DiscoveryError> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        if self.revision() <= after.revision {
            let _ = tokio::time::timeout(wait, self.changed.notified()).await;
        }
        if self.unresponsive.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        if self.era() > after.era {
            return Err(DiscoveryError::EraBegan);
        }
        Ok(self.since(after))
    }
}

/// Another node, reached without a network.
struct Peer {
    state: Arc<NodeState>,
    silent: AtomicBool,
    /// Whether it runs a version that does not know evacuations.
    is_old: AtomicBool,
    /// Whether other nodes can copy its state.
    offers_state: AtomicBool,
}

#[async_trait::async_trait]
impl PeerStateSource for Peer {
    async fn fetch_state(&self) -> Option<(BootTime, PeerState)> {
        let state = self.state.state_for_peers()?;
        let evacuated = state.evacuated.filter(|_| !self.is_old());
        let state = PeerState { evacuated, ..state };
        let offers_state = self.offers_state.load(Ordering::Relaxed);
        offers_state.then_some((BootTime::now(), state))
    }

    async fn fetch_changes(
        &self,
        after: StorePosition,
        config_version: u64,
    ) -> Option<(BootTime, PeerChanges)> {
        let changes = self.state.changes_for_peers(after, Some(config_version))?;
        let evacuations = changes.evacuations.filter(|_| !self.is_old());
        let changes = PeerChanges {
            evacuations,
            ..changes
        };
        (!self.silent.load(Ordering::Relaxed)).then_some((BootTime::now(), changes))
    }

    async fn fetch_newer_state(
        &self,
        _position: StorePosition,
        config_version: u64,
    ) -> Option<(BootTime, PeerState)> {
        let fetched = self.fetch_state().await;
        fetched.filter(|(_, state)| state.evidence.version > config_version)
    }

    fn may_follow(&self) -> bool {
        true
    }

    fn is_followed(&self) -> bool {
        false
    }
}

impl Peer {
    fn is_old(&self) -> bool {
        self.is_old.load(Ordering::Relaxed)
    }
}

/// What the peer knows of other nodes.
struct Followers;

#[async_trait::async_trait]
impl PeerStateSource for Followers {
    async fn fetch_state(&self) -> Option<(BootTime, PeerState)> {
        None
    }

    async fn fetch_changes(
        &self,
        _after: StorePosition,
        _config_version: u64,
    ) -> Option<(BootTime, PeerChanges)> {
        None
    }

    async fn fetch_newer_state(
        &self,
        _position: StorePosition,
        _config_version: u64,
    ) -> Option<(BootTime, PeerState)> {
        None
    }

    fn may_follow(&self) -> bool {
        false
    }

    fn is_followed(&self) -> bool {
        true
    }
}

struct Pair {
    peer_store: Arc<ListedStore>,
    own_store: Arc<ListedStore>,
    peer: Arc<Peer>,
    state: Arc<NodeState>,
}

impl Pair {
    /// Starts a node that reads the store, and one that may follow it. Each counts its own requests.
    async fn start() -> Self {
        let (peer_store, own_store) = (ListedStore::new(), ListedStore::new());
        let peer_state = Arc::new(NodeState::new(MAX_EVIDENCE_AGE));
        let state = Arc::new(NodeState::new(MAX_EVIDENCE_AGE));
        let peer = Arc::new(Peer {
            state: Arc::clone(&peer_state),
            silent: AtomicBool::new(false),
            is_old: AtomicBool::new(false),
            offers_state: AtomicBool::new(false),
        });
        let source = Arc::clone(&peer_store) as Arc<dyn DiscoverySource>;
        let discovery = Discovery::new(source, Arc::clone(&peer_state), Arc::new(Notify::new()))
            .with_peers(Arc::new(Followers));
        tokio::spawn(discovery.run());
        sleep(Duration::from_millis(50)).await;
        let source = Arc::clone(&own_store) as Arc<dyn DiscoverySource>;
        let discovery = Discovery::new(source, Arc::clone(&state), Arc::new(Notify::new()))
            .with_peers(Arc::clone(&peer) as Arc<dyn PeerStateSource>);
        tokio::spawn(discovery.run());
        let pair = Self {
            peer_store,
            own_store,
            peer,
            state,
        };
        pair.spawn_heartbeats();
        sleep(Duration::from_secs(2)).await;
        pair
    }

    fn spawn_heartbeats(&self) {
        let (peer, state) = (Arc::clone(&self.peer), Arc::clone(&self.state));
        tokio::spawn(async move {
            loop {
                if !peer.silent.load(Ordering::Relaxed)
                    && let Some(evidence) = peer.state.evidence_for_peers()
                {
                    state.record_peer_evidence(BootTime::now(), evidence);
                }
                sleep(HEARTBEAT_INTERVAL).await;
            }
        });
    }

    fn change_both(&self, change: &UpstreamChange) {
        self.peer_store.change(change.clone());
        self.own_store.change(change.clone());
    }

    fn evacuate_both(&self, change: &EvacuationChange) {
        self.peer_store.change_evacuation(change.clone());
        self.own_store.change_evacuation(change.clone());
    }

    /// Data centres that the following node takes for evacuated, in alphabetical order.
    fn evacuated(&self) -> Vec<String> {
        let directory = self.state.directory();
        let mut names: Vec<_> = directory.evacuated().map(ToString::to_string).collect();
        names.sort();
        names
    }

    fn is_usable(&self, id: &str) -> bool {
        self.state.directory().is_usable(&UpstreamId::new(id))
    }

    fn own_requests(&self) -> u64 {
        self.own_store.requests.load(Ordering::Relaxed)
    }
}

async fn wait_until(limit: Duration, what: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < limit, "{what}");
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn changes_arrive_from_a_peer_without_requests_to_the_store() {
    let pair = Pair::start().await;
    // The first change ends the watch request that was sent before the peer was known.
    pair.change_both(&UpstreamChange::Put(upstream("w", false)));
    wait_until(ARRIVAL_TIME, "added", || pair.is_usable("w")).await;
    sleep(ARRIVAL_TIME).await;
    let before = pair.own_requests();
    pair.change_both(&UpstreamChange::Put(upstream("u", true)));
    wait_until(ARRIVAL_TIME, "draining", || !pair.is_usable("u")).await;
    pair.change_both(&UpstreamChange::Removed(UpstreamId::new("v")));
    wait_until(ARRIVAL_TIME, "removed", || !pair.is_usable("v")).await;
    sleep(Duration::from_secs(3)).await;
    assert!(pair.state.is_fresh());
    assert_eq!(pair.own_requests(), before);
    for store in [&pair.peer_store, &pair.own_store] {
        store.config_version.store(9, Ordering::Relaxed);
    }
    pair.change_both(&UpstreamChange::Put(upstream("x", false)));
    let version = || pair.state.config().map(|config| config.version());
    wait_until(ARRIVAL_TIME, "configuration", || version() == Some(9)).await;
    sleep(Duration::from_secs(3)).await;
    assert!(pair.state.is_fresh());
    assert_eq!(pair.own_requests(), before);
}

/// Guards against a fault found in a sweep: the followed node sent each of 3,000 registrations to each of 300 nodes.
#[tokio::test]
async fn many_changes_at_once_are_read_from_the_store() {
    let pair = Pair::start().await;
    pair.change_both(&UpstreamChange::Put(upstream("w", false)));
    sleep(ARRIVAL_TIME).await;
    let before = pair.own_requests();
    for n in 0..200 {
        pair.change_both(&UpstreamChange::Put(upstream(&format!("n{n}"), false)));
    }
    wait_until(ARRIVAL_TIME, "added", || pair.is_usable("n199")).await;
    pair.change_both(&UpstreamChange::Put(upstream("u", true)));
    wait_until(ARRIVAL_TIME * 2, "draining", || !pair.is_usable("u")).await;
    assert_eq!(pair.own_requests(), before + 1);
}

#[tokio::test]
async fn node_turns_to_the_store_when_its_peer_falls_silent() {
    let pair = Pair::start().await;
    pair.change_both(&UpstreamChange::Put(upstream("w", false)));
    sleep(ARRIVAL_TIME).await;
    pair.peer.silent.store(true, Ordering::Relaxed);
    pair.own_store
        .change(UpstreamChange::Put(upstream("u", true)));
    wait_until(MAX_EVIDENCE_AGE, "draining", || !pair.is_usable("u")).await;
    sleep(MAX_EVIDENCE_AGE).await;
    assert!(pair.state.is_fresh());
}

/// Guards against a fault found in a hunt (turned-away.toml, seed 301084693964): a request reached an upstream
/// 3.3 s after the announcement of its shutdown, as the followed peer had been turned away by the store.
#[tokio::test]
async fn node_leaves_a_peer_that_has_lost_the_store_in_time_for_a_drain() {
    let pair = Pair::start().await;
    pair.change_both(&UpstreamChange::Put(upstream("w", false)));
    sleep(ARRIVAL_TIME).await;
    // The evidence is youngest if a change ends a watch request right after it was sent.
    let requests = || pair.peer_store.requests.load(Ordering::Relaxed);
    let before = requests();
    wait_until(ARRIVAL_TIME * 2, "request", || requests() > before).await;
    pair.change_both(&UpstreamChange::Put(upstream("x", false)));
    let at_peer = || pair.peer.state.usable_upstream(&UpstreamId::new("x"));
    wait_until(ARRIVAL_TIME, "added", || at_peer().is_some()).await;
    pair.peer_store.unresponsive.store(true, Ordering::Relaxed);
    pair.own_store
        .change(UpstreamChange::Put(upstream("u", true)));
    let limit = LOST_STORE_ARRIVAL_TIME;
    wait_until(limit, "draining", || !pair.is_usable("u")).await;
}

/// Guards against a fault found on the same day: a node that had left its peer kept removed entries for two seconds
/// although the store had been available.
#[tokio::test]
async fn entry_removed_while_a_peer_is_silent_is_dropped_with_the_first_response() {
    let pair = Pair::start().await;
    pair.change_both(&UpstreamChange::Put(upstream("w", false)));
    sleep(ARRIVAL_TIME).await;
    pair.peer.silent.store(true, Ordering::Relaxed);
    pair.own_store
        .change(UpstreamChange::Removed(UpstreamId::new("u")));
    let limit = LOST_STORE_ARRIVAL_TIME;
    wait_until(limit, "removed", || !pair.is_usable("u")).await;
}

#[tokio::test]
async fn node_that_a_peer_can_not_bring_up_to_date_turns_to_the_store() {
    let pair = Pair::start().await;
    pair.change_both(&UpstreamChange::Put(upstream("w", false)));
    sleep(ARRIVAL_TIME).await;
    let evidence = pair.peer.state.evidence_for_peers().unwrap();
    assert!(
        pair.peer
            .state
            .changes_for_peers(StorePosition::default(), Some(7))
            .is_none()
    );
    assert!(
        pair.peer
            .state
            .changes_for_peers(evidence.position, Some(7))
            .is_some()
    );
    // The node is further than its peer: what the peer has must not replace it.
    pair.own_store
        .change(UpstreamChange::Put(upstream("u", true)));
    pair.peer.silent.store(true, Ordering::Relaxed);
    wait_until(MAX_EVIDENCE_AGE, "draining", || !pair.is_usable("u")).await;
    pair.peer.silent.store(false, Ordering::Relaxed);
    sleep(ARRIVAL_TIME * 2).await;
    assert!(!pair.is_usable("u"));
}

#[tokio::test]
async fn follower_reads_the_full_state_once_in_a_new_era_and_follows_again() {
    let pair = Pair::start().await;
    pair.change_both(&UpstreamChange::Put(upstream("w", false)));
    wait_until(ARRIVAL_TIME, "added", || pair.is_usable("w")).await;
    sleep(ARRIVAL_TIME).await;
    let before = pair.own_requests();
    pair.peer_store.restore();
    pair.own_store.restore();
    // The same revision as before, with another change.
    pair.change_both(&UpstreamChange::Put(upstream("x", false)));
    wait_until(2 * ARRIVAL_TIME, "added", || pair.is_usable("x")).await;
    assert_eq!(pair.state.position(), pair.peer.state.position());
    sleep(2 * ARRIVAL_TIME).await;
    let requests = pair.own_requests() - before;
    assert!(requests <= 2, "{requests} requests to the store");
    pair.change_both(&UpstreamChange::Put(upstream("u", true)));
    wait_until(ARRIVAL_TIME, "draining", || !pair.is_usable("u")).await;
    let requests = pair.own_requests() - before;
    assert!(requests <= 3, "{requests} requests to the store");
}

fn begun(name: &str) -> EvacuationChange {
    EvacuationChange::Begun(DataCentreName::new(name))
}

fn ended(name: &str) -> EvacuationChange {
    EvacuationChange::Ended(DataCentreName::new(name))
}

/// Guards against a node that learns of evacuations only from the store, whose calls would grow with the fleet.
#[tokio::test]
async fn evacuations_arrive_from_a_peer_without_requests_to_the_store() {
    let pair = Pair::start().await;
    pair.change_both(&UpstreamChange::Put(upstream("w", false)));
    wait_until(ARRIVAL_TIME, "added", || pair.is_usable("w")).await;
    sleep(ARRIVAL_TIME).await;
    let before = pair.own_requests();
    pair.evacuate_both(&begun("dc-a"));
    wait_until(ARRIVAL_TIME, "evacuated", || !pair.is_usable("w")).await;
    // The changes since an earlier position, which the peer may send, contain the begin and the end.
    pair.evacuate_both(&ended("dc-a"));
    pair.evacuate_both(&begun("dc-b"));
    wait_until(ARRIVAL_TIME, "ended", || pair.is_usable("w")).await;
    assert_eq!(pair.evacuated(), ["dc-b"]);
    assert_eq!(pair.own_requests(), before);
}

/// Guards against a node that adopts the position of a peer of an earlier version, and so skips an evacuation.
#[tokio::test]
async fn follower_of_an_earlier_version_reads_evacuations_from_the_store() {
    let pair = Pair::start().await;
    pair.peer.is_old.store(true, Ordering::Relaxed);
    pair.change_both(&UpstreamChange::Put(upstream("w", false)));
    wait_until(ARRIVAL_TIME, "added", || pair.is_usable("w")).await;
    sleep(ARRIVAL_TIME).await;
    pair.evacuate_both(&begun("dc-a"));
    pair.change_both(&UpstreamChange::Put(upstream("x", false)));
    wait_until(ARRIVAL_TIME * 2, "evacuated", || !pair.is_usable("w")).await;
    wait_until(ARRIVAL_TIME, "added", || {
        pair.state.directory().get(&UpstreamId::new("x")).is_some()
    })
    .await;
    pair.evacuate_both(&ended("dc-a"));
    wait_until(ARRIVAL_TIME * 2, "ended", || pair.is_usable("w")).await;
}

#[tokio::test]
async fn evacuations_are_copied_from_a_peer_while_the_store_does_not_answer() {
    let pair = Pair::start().await;
    pair.evacuate_both(&begun("dc-b"));
    wait_until(ARRIVAL_TIME, "begun", || pair.evacuated() == ["dc-b"]).await;
    pair.own_store.unresponsive.store(true, Ordering::Relaxed);
    pair.peer.offers_state.store(true, Ordering::Relaxed);
    // The peer does not pass configurations on, so that the state is copied as a whole.
    pair.peer_store.config_version.store(9, Ordering::Relaxed);
    pair.evacuate_both(&ended("dc-b"));
    pair.evacuate_both(&begun("dc-a"));
    wait_until(MAX_EVIDENCE_AGE, "evacuated", || !pair.is_usable("u")).await;
    assert_eq!(pair.evacuated(), ["dc-a"]);
    assert!(!pair.state.has_missed_evacuations());
    // The peer does not mark upstreams of the data centre as draining, so that they are used again.
    pair.evacuate_both(&ended("dc-a"));
    wait_until(MAX_EVIDENCE_AGE, "ended", || pair.is_usable("u")).await;
}

/// Guards against a node between versions: the state of an earlier version must neither end evacuations that the node
/// knows, nor be passed on as if it contained all of them.
#[tokio::test]
async fn state_of_an_earlier_version_keeps_the_set_until_the_store_answers() {
    let pair = Pair::start().await;
    pair.evacuate_both(&begun("dc-a"));
    wait_until(ARRIVAL_TIME, "evacuated", || !pair.is_usable("u")).await;
    sleep(ARRIVAL_TIME).await;
    pair.own_store.unresponsive.store(true, Ordering::Relaxed);
    pair.peer.offers_state.store(true, Ordering::Relaxed);
    pair.peer.is_old.store(true, Ordering::Relaxed);
    pair.evacuate_both(&begun("dc-b"));
    let has_missed = || pair.state.has_missed_evacuations();
    wait_until(MAX_EVIDENCE_AGE, "state copied", has_missed).await;
    assert_eq!(pair.evacuated(), ["dc-a"]);
    assert!(pair.state.is_ready(), "it knew the set before");
    let position = pair.state.position();
    assert_eq!(position, pair.peer.state.position());
    let sent = pair.state.state_for_peers().unwrap();
    assert_eq!(sent.evacuated, None);
    assert!(sent.upstreams.iter().all(|upstream| !upstream.draining));
    let changes = pair.state.changes_for_peers(position, Some(7)).unwrap();
    assert_eq!(changes.evacuations, None);
    pair.own_store.unresponsive.store(false, Ordering::Relaxed);
    wait_until(MAX_EVIDENCE_AGE, "read", || !has_missed()).await;
    assert_eq!(pair.evacuated(), ["dc-a", "dc-b"]);
}

/// Guards against a new node that takes requests although it knows only the state of an earlier version.
#[tokio::test]
async fn node_that_starts_with_the_state_of_an_earlier_version_is_not_ready() {
    let pair = Pair::start().await;
    pair.peer.is_old.store(true, Ordering::Relaxed);
    pair.peer.offers_state.store(true, Ordering::Relaxed);
    pair.evacuate_both(&begun("dc-a"));
    let store = ListedStore::new();
    store.unresponsive.store(true, Ordering::Relaxed);
    store.change_evacuation(begun("dc-a"));
    let state = Arc::new(NodeState::new(MAX_EVIDENCE_AGE));
    let source = Arc::clone(&store) as Arc<dyn DiscoverySource>;
    let discovery = Discovery::new(source, Arc::clone(&state), Arc::new(Notify::new()))
        .with_peers(Arc::clone(&pair.peer) as Arc<dyn PeerStateSource>);
    tokio::spawn(discovery.run());
    wait_until(MAX_EVIDENCE_AGE * 2, "copied", || state.config().is_some()).await;
    assert!(state.is_fresh() && !state.is_ready());
    store.unresponsive.store(false, Ordering::Relaxed);
    wait_until(MAX_EVIDENCE_AGE, "ready", || state.is_ready()).await;
    assert!(!state.directory().is_usable(&UpstreamId::new("u")));
}

#[tokio::test]
async fn new_configuration_reaches_a_follower_without_a_request_to_the_store() {
    let pair = Pair::start().await;
    pair.change_both(&UpstreamChange::Put(upstream("w", false)));
    wait_until(ARRIVAL_TIME, "added", || pair.is_usable("w")).await;
    sleep(ARRIVAL_TIME).await;
    let before = pair.own_requests();
    for version in 8..12 {
        for store in [&pair.peer_store, &pair.own_store] {
            store.config_version.store(version, Ordering::Relaxed);
        }
        pair.change_both(&UpstreamChange::Put(upstream("x", version % 2 == 0)));
        let has_version = || pair.state.config().unwrap().version() == version;
        wait_until(ARRIVAL_TIME, "configured", has_version).await;
    }
    assert_eq!(pair.own_requests(), before);
}

#[tokio::test]
async fn peer_of_an_earlier_version_gets_no_changes_beyond_a_new_configuration() {
    let pair = Pair::start().await;
    let position = pair.peer.state.position();
    pair.peer_store.config_version.store(8, Ordering::Relaxed);
    pair.peer_store
        .change(UpstreamChange::Put(upstream("w", false)));
    let has_version = || pair.peer.state.config().unwrap().version() == 8;
    wait_until(ARRIVAL_TIME, "configured", has_version).await;
    let changes = |version| pair.peer.state.changes_for_peers(position, version);
    assert!(changes(None).is_none());
    assert_eq!(changes(Some(7)).unwrap().config.unwrap().version, 8);
    assert!(changes(Some(8)).unwrap().config.is_none());
    assert!(changes(Some(6)).is_none());
}

#[tokio::test]
async fn large_change_of_the_configuration_is_read_from_the_store() {
    let pair = Pair::start().await;
    let position = pair.peer.state.position();
    let routes = (0..200).map(|n| {
        let target = (ServiceName::new("a"), 1);
        Route::new(&format!("r{n}"), "host", &format!("/{n}/"), [target])
    });
    let config = ServingConfig::new(8).with_routes(routes);
    assert!(pair.peer.state.apply_config(config));
    let changes = pair.peer.state.changes_for_peers(position, Some(7));
    assert!(changes.is_none());
}

#[tokio::test]
async fn follower_asks_an_unavailable_store_seldom_and_returns_with_its_peer() {
    let pair = Pair::start().await;
    pair.change_both(&UpstreamChange::Put(upstream("w", false)));
    wait_until(ARRIVAL_TIME, "added", || pair.is_usable("w")).await;
    for store in [&pair.peer_store, &pair.own_store] {
        store.unresponsive.store(true, Ordering::Relaxed);
    }
    sleep(Duration::from_secs(6)).await;
    let before = pair.own_requests();
    sleep(Duration::from_secs(4)).await;
    let requests = pair.own_requests() - before;
    assert!(requests <= 3, "{requests} requests in 4 s");
    assert!(!pair.state.is_fresh());
    pair.peer_store.unresponsive.store(false, Ordering::Relaxed);
    let fresh = || pair.state.is_fresh();
    wait_until(LOST_STORE_ARRIVAL_TIME, "fresh", fresh).await;
    pair.peer_store
        .change(UpstreamChange::Removed(UpstreamId::new("w")));
    let limit = LOST_STORE_ARRIVAL_TIME + Duration::from_secs(2);
    wait_until(limit, "removed", || !pair.is_usable("w")).await;
}
