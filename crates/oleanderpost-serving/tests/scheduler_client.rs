//! Selection of the scheduler by a node, and failover to another one.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use oleanderpost_serving::{
    BootTime, DataCentreName, Decision, DecisionRouter, EngineProfile, NodeState, PartId, PeerLink,
    RequestCrash, RequestFingerprint, RequestRate, ResponseHead, SchedulerClient, SchedulerHost,
    SchedulerMessage, Service, ServiceName, ServingConfig, SignalVersion, SlowEngine,
    SlowEngineChanges, Upstream, UpstreamDirectory, UpstreamId, UpstreamSignal, Work, WorkEnd,
    WorkId,
};
use oleanderpost_types::VmId;
use tokio::time::{Instant, sleep};

/// In-process links to scheduler hosts; individual hosts can be made unreachable.
#[derive(Default)]
struct TestLinks {
    hosts: Mutex<HashMap<VmId, Arc<SchedulerHost>>>,
    unreachable: Mutex<Vec<VmId>>,
    own: Mutex<Option<VmId>>,
    time_out: AtomicBool,
    /// Whether messages without a reply are lost.
    drops_sent: AtomicBool,
    /// Signals in the last heartbeat.
    heartbeat_signals: Mutex<Vec<UpstreamSignal>>,
}

impl TestLinks {
    fn host(&self, to: &VmId) -> Option<Arc<SchedulerHost>> {
        if self.unreachable.lock().unwrap().contains(to) {
            return None;
        }
        self.hosts.lock().unwrap().get(to).cloned()
    }
}

impl TestLinks {
    /// Puts a new host in the place of the one at `id`.
    fn restart(&self, id: &VmId, host: &Arc<SchedulerHost>) {
        let mut hosts = self.hosts.lock().unwrap();
        hosts.insert(id.clone(), Arc::clone(host));
    }
}

#[async_trait::async_trait]
impl PeerLink for TestLinks {
    async fn request(
        &self,
        to: &VmId,
        msg: SchedulerMessage,
        limit: Duration,
    ) -> Option<SchedulerMessage> {
        let own = self.own.lock().unwrap().clone()?;
        if let SchedulerMessage::Heartbeat { signals, .. } = &msg {
            self.heartbeat_signals.lock().unwrap().clone_from(signals);
        }
        match self.host(to) {
            Some(host) => host.handle(&own, msg, false),
            None => {
                if self.time_out.load(Ordering::Relaxed) {
                    sleep(limit).await;
                }
                None
            }
        }
    }

    fn send(&self, to: &VmId, msg: &SchedulerMessage) -> bool {
        if self.drops_sent.load(Ordering::Relaxed) {
            return true;
        }
        let own = self.own.lock().unwrap().clone();
        match (own, self.host(to)) {
            (Some(own), Some(host)) => host.handle(&own, msg.clone(), false).is_none(),
            _ => false,
        }
    }
}

fn vm_id(text: &str) -> VmId {
    VmId::new(text).unwrap()
}

fn llm() -> ServiceName {
    ServiceName::new("llm")
}

/// Creates a host with one engine.
fn host() -> Arc<SchedulerHost> {
    host_with_engines(1)
}

fn host_with_engines(engines: usize) -> Arc<SchedulerHost> {
    let host = Arc::new(SchedulerHost::new());
    refresh_engines(&host, engines, None);
    host
}

/// Makes engines known whose processes started at `started_at`.
fn refresh_engines(host: &SchedulerHost, engines: usize, started_at: Option<u64>) {
    let profile = EngineProfile {
        slots: 16,
        memory_tokens: 232_000.0,
        steps_per_pass: 43.0,
        chunk_tokens: 2_048.0,
        step_ms: 1.02,
        per_sequence_ms: 0.002,
        per_context_ms: 0.004,
        prefill_tokens_per_ms: 206.0,
        per_pairs_ms: 0.138,
        hop_ms: 0.075,
        usual_prompt: 12_000.0,
        usual_answer: 1_300.0,
    };
    let service = Service {
        max_connections: Some(100),
        cold: None,
        engine: Some(profile),
    };
    let config = ServingConfig::new(1).with_services([(llm(), service)]);
    let mut directory = UpstreamDirectory::default();
    let ids = ["engine", "engine-2", "engine-3"];
    for id in ids.into_iter().take(engines) {
        directory.put(Upstream {
            id: UpstreamId::new(id),
            service: llm(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: DataCentreName::new("dc-a"),
            slots: 16,
            draining: false,
            started_at,
            cold_left_ms: None,
        });
    }
    host.refresh(&config, &directory);
}

struct Fixture {
    links: Arc<TestLinks>,
    client: Arc<SchedulerClient>,
    seeds: Vec<Arc<SchedulerHost>>,
    local_host: Arc<SchedulerHost>,
    state: Arc<NodeState>,
}

/// Creates a node that is not a seed, and two seeds.
fn fixture() -> Fixture {
    fixture_with_engines(1)
}

fn fixture_with_engines(engines: usize) -> Fixture {
    let links = Arc::new(TestLinks::default());
    let names = [vm_id("seed-1"), vm_id("seed-2")];
    let seeds = vec![host_with_engines(engines), host_with_engines(engines)];
    for (name, seed) in names.iter().zip(&seeds) {
        links
            .hosts
            .lock()
            .unwrap()
            .insert(name.clone(), Arc::clone(seed));
    }
    *links.own.lock().unwrap() = Some(vm_id("node"));
    let local_host = host_with_engines(engines);
    let state = Arc::new(NodeState::new(Duration::from_secs(5)));
    let link = Arc::clone(&links) as Arc<dyn PeerLink>;
    let client = Arc::new(SchedulerClient::new(
        vm_id("node"),
        names.to_vec(),
        link,
        Arc::clone(&local_host),
        Arc::clone(&state),
        7,
    ));
    local_host.set_sink(Arc::new(DecisionRouter::new(&client)));
    let running = Arc::clone(&client);
    tokio::spawn(async move { running.run().await });
    Fixture {
        links,
        client,
        seeds,
        local_host,
        state,
    }
}

fn work(client: &SchedulerClient, prompt: f64) -> Work {
    work_with_id(client.next_id(), prompt)
}

fn work_with_id(id: WorkId, prompt: f64) -> Work {
    Work {
        id,
        prompt,
        answer: 600.0,
        answer_limit: 600.0,
        objective_ms: 3_000.0,
        pause_ms: 1_000.0,
        deadline_ms: 10_000.0,
        priority: 1,
        data_centre: DataCentreName::new("dc-a"),
        excluded: Vec::new(),
        parts: Vec::new(),
        patience_ms: None,
        node_stops_ms: None,
    }
}

#[tokio::test(start_paused = true)]
async fn first_seed_schedules_and_is_notified_of_the_end() {
    let f = fixture();
    let lease = f
        .client
        .place(&llm(), work(&f.client, 5_000.0))
        .await
        .unwrap();
    assert_eq!(f.seeds[0].counts(), (0, 1));
    lease.close(WorkEnd::Finished);
    assert_eq!(f.seeds[0].counts(), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn next_seed_takes_over_requests_in_progress() {
    let f = fixture();
    let lease = f
        .client
        .place(&llm(), work(&f.client, 5_000.0))
        .await
        .unwrap();
    f.links.unreachable.lock().unwrap().push(vm_id("seed-1"));
    sleep(Duration::from_secs(2)).await;
    assert_eq!(f.client.leader(), vm_id("seed-2"));
    assert_eq!(f.seeds[1].counts(), (0, 1), "the placement was adopted");
    f.links.unreachable.lock().unwrap().clear();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(
        f.client.leader(),
        vm_id("seed-1"),
        "the first seed schedules again"
    );
    drop(lease);
    assert_eq!(f.seeds[0].counts(), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn unresponsive_scheduler_delays_a_request_only_briefly() {
    let f = fixture();
    f.links.time_out.store(true, Ordering::Relaxed);
    sleep(Duration::from_millis(100)).await;
    f.links.unreachable.lock().unwrap().push(vm_id("seed-1"));
    let submitted_at = Instant::now();
    f.client
        .place(&llm(), work(&f.client, 5_000.0))
        .await
        .unwrap();
    assert!(
        submitted_at.elapsed() <= Duration::from_millis(200),
        "{:?}",
        submitted_at.elapsed()
    );
}

#[tokio::test(start_paused = true)]
async fn node_schedules_locally_if_no_seed_is_reachable() {
    let f = fixture();
    f.links
        .unreachable
        .lock()
        .unwrap()
        .extend([vm_id("seed-1"), vm_id("seed-2")]);
    let lease = f
        .client
        .place(&llm(), work(&f.client, 5_000.0))
        .await
        .unwrap();
    assert_eq!(f.local_host.counts(), (0, 1));
    drop(lease);
    assert_eq!(f.local_host.counts(), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn waiting_request_is_resubmitted_when_its_scheduler_fails() {
    let f = fixture();
    let first = f
        .client
        .place(&llm(), work(&f.client, 150_000.0))
        .await
        .unwrap();
    let client = Arc::clone(&f.client);
    let waiting =
        tokio::spawn(async move { client.place(&llm(), work(&client, 150_000.0)).await.is_ok() });
    sleep(Duration::from_millis(50)).await;
    assert_eq!(f.seeds[0].counts(), (1, 1));
    f.links.unreachable.lock().unwrap().push(vm_id("seed-1"));
    sleep(Duration::from_millis(800)).await;
    drop(first);
    sleep(Duration::from_millis(1_500)).await;
    // The second seed sends its decision over a link, which `TestLinks` does not deliver to the node. The
    // node submits the request again at the latest when that seed is unreachable too.
    f.links.unreachable.lock().unwrap().push(vm_id("seed-2"));
    sleep(Duration::from_secs(2)).await;
    assert!(waiting.is_finished() && waiting.await.unwrap());
}

#[tokio::test(start_paused = true)]
async fn abandoned_request_leaves_no_placement() {
    let f = fixture();
    let first = f
        .client
        .place(&llm(), work(&f.client, 150_000.0))
        .await
        .unwrap();
    let client = Arc::clone(&f.client);
    let waiting =
        tokio::spawn(async move { client.place(&llm(), work(&client, 150_000.0)).await.is_ok() });
    sleep(Duration::from_millis(50)).await;
    waiting.abort();
    sleep(Duration::from_millis(10)).await;
    assert_eq!(f.seeds[0].counts(), (0, 1));
    drop(first);
    assert_eq!(f.seeds[0].counts(), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn silent_node_is_removed() {
    let seed = host();
    let heartbeat = SchedulerMessage::Heartbeat {
        ids: Vec::new(),
        seen: SignalVersion::default(),
        signals: Vec::new(),
        quarantines: Vec::new(),
        request_quarantines: Vec::new(),
        request_crashes: Vec::new(),
        slow_engines: Vec::new(),
        slow_engines_seen: SignalVersion::default(),
        relay_address: None,
        used_ms: 0.0,
        requests: Vec::new(),
    };
    assert!(matches!(
        seed.handle(&vm_id("node"), heartbeat, false),
        Some(SchedulerMessage::HeartbeatReply { nodes: 1, .. })
    ));
    let running = Arc::clone(&seed);
    tokio::spawn(async move { running.run().await });
    sleep(Duration::from_secs(4)).await;
    let heartbeat = SchedulerMessage::Heartbeat {
        ids: Vec::new(),
        seen: SignalVersion::default(),
        signals: Vec::new(),
        quarantines: Vec::new(),
        request_quarantines: Vec::new(),
        request_crashes: Vec::new(),
        slow_engines: Vec::new(),
        slow_engines_seen: SignalVersion::default(),
        relay_address: None,
        used_ms: 0.0,
        requests: Vec::new(),
    };
    assert!(matches!(
        seed.handle(&vm_id("other"), heartbeat, false),
        Some(SchedulerMessage::HeartbeatReply { nodes: 1, .. })
    ));
}

#[tokio::test(start_paused = true)]
async fn ends_in_quick_succession_share_scheduling_rounds() {
    let f = fixture();
    let seed = Arc::clone(&f.seeds[0]);
    let running = Arc::clone(&seed);
    tokio::spawn(async move { running.run().await });
    let submit = |prompt| SchedulerMessage::Submit {
        service: llm(),
        work: work(&f.client, prompt),
    };
    seed.handle(&vm_id("node"), submit(150_000.0), false);
    for _ in 0..10 {
        let reply = seed.handle(&vm_id("node"), submit(20_000.0), false);
        assert!(
            matches!(reply, Some(SchedulerMessage::Decided { decision, .. }) if decision == Decision::Wait)
        );
    }
    sleep(Duration::from_secs(1)).await;
    let before = seed.searches();
    let started = Instant::now();
    for number in 0..200 {
        let end = SchedulerMessage::Ended {
            service: llm(),
            id: WorkId(99, number),
            end: WorkEnd::Finished,
        };
        seed.handle(&vm_id("node"), end, false);
        sleep(Duration::from_micros(50)).await;
    }
    let elapsed_ms = started.elapsed().as_millis() as u64;
    let rounds = elapsed_ms / 5 + 1;
    let searches = seed.searches() - before;
    assert!(searches >= 1, "no scheduling round");
    assert!(
        searches <= rounds * 2,
        "{searches} searches within {elapsed_ms} ms"
    );
}

#[tokio::test(start_paused = true)]
async fn limit_whose_message_to_the_scheduler_is_lost_is_told_with_the_next_heartbeat() {
    let f = fixture();
    f.links.drops_sent.store(true, Ordering::Relaxed);
    sleep(Duration::from_millis(100)).await;
    let upstream = Upstream {
        id: UpstreamId::new("engine"),
        service: llm(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: DataCentreName::new("dc-a"),
        slots: 16,
        draining: false,
        started_at: None,
        cold_left_ms: None,
    };
    let head = ResponseHead {
        request_limit: RequestRate::new(2.0).ok(),
        ..ResponseHead::default()
    };
    f.state.note_response(&upstream, &head, BootTime::now());
    f.client.send_signals();
    sleep(Duration::from_millis(500)).await;
    let told = f.links.heartbeat_signals.lock().unwrap().clone();
    assert_eq!(told.len(), 1);
    assert_eq!(
        (&told[0].upstream, told[0].limit),
        (&upstream.id, head.request_limit)
    );
}

/// Submits a request whose prompt has one part, and returns the decision.
fn submit_prompt(host: &SchedulerHost, number: u64, part: &str) -> Decision {
    let mut work = work_with_id(WorkId(1, number), 5_000.0);
    work.parts = vec![PartId::new(part)];
    let msg = SchedulerMessage::Submit {
        service: llm(),
        work,
    };
    match host.handle(&vm_id("node"), msg, false) {
        Some(SchedulerMessage::Decided { decision, .. }) => decision,
        reply => panic!("{reply:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn crashes_on_a_part_count_although_the_engine_answers_again_under_its_identifier() {
    let host = host();
    let node = vm_id("node");
    for n in 0..3 {
        let id = WorkId(1, 2 * n);
        let decision = submit_prompt(&host, 2 * n, "deadly");
        assert!(matches!(decision, Decision::Run(_)), "{decision:?}");
        let ended = SchedulerMessage::Ended {
            service: llm(),
            id,
            end: WorkEnd::Disconnected,
        };
        host.handle(&node, ended, false);
        let crash = RequestCrash {
            request: RequestFingerprint::from_fields([n.to_string().as_bytes()]),
            upstream: UpstreamId::new("engine"),
            started_at: Some(n),
            age_ms: 0.0,
        };
        let report = SchedulerMessage::RequestCrashes {
            crashes: vec![crash],
        };
        host.handle(&node, report, false);
        // The engine is excluded for some time after a failure.
        sleep(Duration::from_secs(20)).await;
        let id = WorkId(1, 2 * n + 1);
        let decision = submit_prompt(&host, 2 * n + 1, "sound");
        assert!(matches!(decision, Decision::Run(_)), "{decision:?}");
        let service = llm();
        host.handle(&node, SchedulerMessage::FirstEvent { service, id }, false);
        sleep(Duration::from_secs(1)).await;
        let ended = SchedulerMessage::Ended {
            service: llm(),
            id,
            end: WorkEnd::Finished,
        };
        host.handle(&node, ended, false);
    }
    let decision = submit_prompt(&host, 6, "deadly");
    assert!(matches!(decision, Decision::Refuse { .. }), "{decision:?}");
}

/// Lets three engines break off a request whose prompt has the part `deadly`, and waits until the node knows the
/// quarantine.
async fn quarantine_part(f: &Fixture) {
    for _ in 0..3 {
        let mut work = work(&f.client, 5_000.0);
        work.parts = vec![PartId::new("deadly")];
        let lease = f.client.place(&llm(), work).await.unwrap();
        lease.close(WorkEnd::Disconnected);
        sleep(Duration::from_millis(150)).await;
    }
    sleep(Duration::from_secs(1)).await;
    assert_eq!(f.local_host.quarantines().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn quarantine_that_an_answer_has_ended_is_not_learned_again_from_the_nodes() {
    let f = fixture_with_engines(3);
    quarantine_part(&f).await;
    // The engines are excluded for some time after a failure.
    sleep(Duration::from_secs(20)).await;
    let work = work(&f.client, 5_000.0);
    let lease = f.client.place(&llm(), work).await.unwrap();
    lease.note_first_event();
    sleep(Duration::from_secs(2)).await;
    assert!(f.seeds[0].quarantines().is_empty());
    assert!(f.local_host.quarantines().is_empty());
}

#[tokio::test(start_paused = true)]
async fn next_scheduler_learns_quarantines_from_the_nodes() {
    let f = fixture_with_engines(3);
    quarantine_part(&f).await;
    f.links.unreachable.lock().unwrap().push(vm_id("seed-1"));
    sleep(Duration::from_secs(2)).await;
    assert_eq!(f.client.leader(), vm_id("seed-2"));
    assert_eq!(f.seeds[1].quarantines().len(), 1);
    assert_eq!(f.local_host.quarantines().len(), 1);
    let restarted = host_with_engines(3);
    f.links.restart(&vm_id("seed-1"), &restarted);
    f.links.unreachable.lock().unwrap().clear();
    sleep(Duration::from_secs(2)).await;
    assert_eq!(f.client.leader(), vm_id("seed-1"));
    assert_eq!(restarted.quarantines().len(), 1);
    assert_eq!(f.local_host.quarantines().len(), 1);
}

/// Makes the scheduler in use measure that an engine is slow.
async fn slow_down_engine(f: &Fixture) -> UpstreamId {
    for _ in 0..3 {
        let work = work(&f.client, 5_000.0);
        let lease = f.client.place(&llm(), work).await.unwrap();
        sleep(Duration::from_millis(600)).await;
        lease.note_first_event();
        lease.close(WorkEnd::Finished);
    }
    sleep(Duration::from_secs(1)).await;
    let slow = f.seeds[0].slow_engines();
    assert_eq!(slow.len(), 1, "{slow:?}");
    slow[0].upstream.clone()
}

/// Guards against a new scheduler that places requests on slow engines until it has measured them itself.
#[tokio::test(start_paused = true)]
async fn next_scheduler_learns_slow_engines_from_the_nodes() {
    let f = fixture_with_engines(3);
    let slow = slow_down_engine(&f).await;
    f.links.unreachable.lock().unwrap().push(vm_id("seed-1"));
    sleep(Duration::from_millis(700)).await;
    assert_eq!(f.client.leader(), vm_id("seed-2"));
    let learned = f.seeds[1].slow_engines();
    assert_eq!(learned.len(), 1, "{learned:?}");
    assert_eq!(learned[0].upstream, slow);
    // The next place would be the slow engine, the last by identifier.
    let work = work(&f.client, 5_000.0);
    let lease = f.client.place(&llm(), work).await.unwrap();
    assert_ne!(lease.grant().engine, slow);
}

fn heartbeat_after(seen: SignalVersion) -> SchedulerMessage {
    SchedulerMessage::Heartbeat {
        ids: Vec::new(),
        seen: SignalVersion::default(),
        signals: Vec::new(),
        quarantines: Vec::new(),
        request_quarantines: Vec::new(),
        request_crashes: Vec::new(),
        slow_engines: Vec::new(),
        slow_engines_seen: seen,
        relay_address: None,
        used_ms: 0.0,
        requests: Vec::new(),
    }
}

fn slow_engine_changes(host: &SchedulerHost, seen: SignalVersion) -> Option<SlowEngineChanges> {
    match host.handle(&vm_id("other"), heartbeat_after(seen), false) {
        Some(SchedulerMessage::HeartbeatReply { slow_engines, .. }) => slow_engines,
        other => panic!("{other:?}"),
    }
}

/// Guards against replies that name all slow engines each time, to each of some hundred nodes.
#[tokio::test(start_paused = true)]
async fn slow_engines_are_told_as_changes() {
    let f = fixture_with_engines(3);
    let slow = slow_down_engine(&f).await;
    let changes = slow_engine_changes(&f.seeds[0], SignalVersion::default()).unwrap();
    assert_eq!(changes.engines.len(), 1);
    assert!(changes.engines[0].upstream == slow && changes.engines[0].factor > 2.0);
    assert_eq!(slow_engine_changes(&f.seeds[0], changes.version), None);
}

/// Guards against a factor that outlives the process for which it was measured, and against factors that are no
/// numbers in a message of another node.
#[tokio::test(start_paused = true)]
async fn speed_of_another_process_or_out_of_range_is_not_learned() {
    let host = host_with_engines(3);
    let engine = |started_at, factor| SlowEngine {
        upstream: UpstreamId::new("engine"),
        started_at,
        factor,
        age_ms: 0.0,
    };
    host.learn_slow_engines(&[
        engine(Some(1), 5.0),
        engine(None, f64::NAN),
        engine(None, -3.0),
        engine(None, f64::INFINITY),
    ]);
    assert_eq!(host.slow_engines(), []);
    host.learn_slow_engines(&[engine(None, 5.0)]);
    assert_eq!(host.slow_engines().len(), 1);
    refresh_engines(&host, 3, Some(7));
    assert_eq!(host.slow_engines(), []);
}

/// Guards against numbers in a message that end a scheduling round with a panic, or make a request wait forever.
#[tokio::test(start_paused = true)]
async fn work_whose_numbers_are_out_of_range_is_not_scheduled() {
    let host = host();
    let submit = |number, objective_ms, prompt| {
        let work = Work {
            objective_ms,
            ..work_with_id(WorkId(9, number), prompt)
        };
        let service = llm();
        host.handle(
            &vm_id("node"),
            SchedulerMessage::Submit { service, work },
            false,
        )
    };
    for (number, objective_ms, prompt) in [
        (1, f64::NAN, 5_000.0),
        (2, f64::INFINITY, 5_000.0),
        (3, 300.0, f64::NAN),
        (4, 300.0, -1.0),
    ] {
        let reply = submit(number, objective_ms, prompt);
        assert_eq!(reply, Some(SchedulerMessage::NotServing), "{number}");
    }
    assert_eq!(host.counts(), (0, 0));
    let reply = submit(5, 3_000.0, 5_000.0);
    assert!(matches!(reply, Some(SchedulerMessage::Decided { .. })));
}
