//! Upstreams that have just started and tolerate only a limited rate of requests: until when nodes take them for cold,
//! and that all nodes together keep to the rate.

mod support;

use std::{collections::HashMap, sync::Arc, time::Duration};

use oleanderpost_serving::{
    BootTime, ColdLimit, ColdUpstream, DataCentreName, Decision, EngineLimit, Grant, MAX_COLD_TIME,
    NodeState, RequestRate, ResponseHead, Scheduler, SchedulerHost, SchedulerMessage, Service,
    ServiceName, ServingConfig, SignalTable, Upstream, UpstreamDirectory, UpstreamId,
    UpstreamSignal, Work, WorkEnd, WorkId,
};
use oleanderpost_types::VmId;
use support::profile;
use tokio::time::{Instant, sleep};

/// Requests per second that a cold upstream tolerates.
const COLD_PER_S: f64 = 15.0;
/// Requests in any one second at which it crashes at the latest: `coldPerS` x 1.5 + 5.
const BOUND: f64 = COLD_PER_S * 1.5 + 5.0;
/// Cold time of an upstream whose entry states none.
const COLD_TIME: Duration = Duration::from_secs(3);

fn limit() -> ColdLimit {
    ColdLimit {
        duration: COLD_TIME,
        requests_per_s: RequestRate::new(COLD_PER_S).unwrap(),
    }
}

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(100_000 + ms))
}

fn upstream(started_at: u64, cold_left_ms: Option<u64>) -> Upstream {
    Upstream {
        id: UpstreamId::new("u"),
        service: ServiceName::new("llm"),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: DataCentreName::new("dc-a"),
        slots: 12,
        draining: false,
        started_at: Some(started_at),
        cold_left_ms,
    }
}

/// Puts an entry into the directory and returns the end of the cold time after it.
fn put(directory: &mut UpstreamDirectory, entry: &Upstream, now: BootTime) -> Option<BootTime> {
    directory.put_at(entry.clone(), now);
    let until = directory.cold_until(entry, &limit());
    until.filter(|until| *until > now)
}

#[test]
fn entry_that_is_read_again_neither_shortens_nor_extends_the_cold_time() {
    let mut directory = UpstreamDirectory::default();
    let entry = upstream(1, Some(3_000));
    assert_eq!(put(&mut directory, &entry, at(0)), Some(at(3_000)));
    assert!(!directory.put_at(entry.clone(), at(1_000)));
    assert_eq!(directory.cold_until(&entry, &limit()), Some(at(3_000)));
    let later = upstream(1, Some(600));
    assert_eq!(put(&mut directory, &later, at(1_200)), Some(at(3_000)));
    let warm = upstream(1, Some(0));
    assert_eq!(put(&mut directory, &warm, at(2_000)), Some(at(3_000)));
    assert_eq!(put(&mut directory, &warm, at(3_000)), None);
}

#[test]
fn entry_copied_from_a_peer_ends_the_cold_time_later_and_never_sooner() {
    let mut directory = UpstreamDirectory::default();
    put(&mut directory, &upstream(1, Some(2_000)), at(0));
    let old = upstream(1, Some(3_000));
    assert_eq!(put(&mut directory, &old, at(500)), Some(at(3_500)));
    // A peer of an earlier version drops the value.
    let without = upstream(1, None);
    assert_eq!(put(&mut directory, &without, at(600)), Some(at(3_500)));
}

#[test]
fn another_start_time_under_the_same_identifier_voids_the_cold_time() {
    let mut directory = UpstreamDirectory::default();
    put(&mut directory, &upstream(1, Some(3_000)), at(0));
    let next = upstream(2, Some(0));
    assert_eq!(put(&mut directory, &next, at(100)), None);
    let cold = upstream(3, Some(1_000));
    assert_eq!(put(&mut directory, &cold, at(200)), Some(at(1_200)));
    assert_eq!(directory.cold_until(&upstream(1, None), &limit()), None);
}

#[test]
fn process_that_starts_during_traffic_without_a_stated_time_is_cold_for_the_configured_one() {
    let mut directory = UpstreamDirectory::default();
    let before = upstream(1, None);
    assert_eq!(put(&mut directory, &before, at(0)), None);
    directory.set_complete();
    assert_eq!(put(&mut directory, &before, at(50)), None);
    let next = upstream(2, None);
    assert_eq!(put(&mut directory, &next, at(100)), Some(at(3_100)));
    // The store lost the entry, and the same process writes it again.
    directory.remove(&next.id);
    directory.retain_cold_times(at(20_000));
    assert_eq!(put(&mut directory, &next, at(20_000)), None);
    let warm = upstream(3, Some(0));
    assert_eq!(put(&mut directory, &warm, at(20_100)), None);
}

#[test]
fn upstream_that_becomes_cold_again_is_a_change_and_its_countdown_is_none() {
    let mut directory = UpstreamDirectory::default();
    directory.put_at(upstream(1, Some(0)), at(0));
    assert!(directory.put_at(upstream(1, Some(3_000)), at(60_000)));
    assert!(!directory.put_at(upstream(1, Some(1_800)), at(61_200)));
    assert!(!directory.put_at(upstream(1, Some(0)), at(63_500)));
    let absurd = upstream(1, Some(u64::MAX));
    let until = put(&mut directory, &absurd, at(70_000));
    assert_eq!(until, Some(at(70_000).after(MAX_COLD_TIME)));
}

#[test]
fn cold_time_that_a_response_states_reaches_other_nodes_and_counts_for_its_process_only() {
    let (mut own, mut other) = (SignalTable::new(1), SignalTable::new(2));
    let (process, next) = (upstream(1, None), upstream(2, None));
    let head = ResponseHead {
        has_origin_proof: true,
        cold_left: Some(COLD_TIME),
        ..ResponseHead::default()
    };
    assert!(own.note_response(&process, &head, at(0), at(10)));
    let until = own.cold_until(&process).unwrap();
    assert!(until >= at(3_010) && until <= at(3_500));
    let shorter = ResponseHead {
        cold_left: Some(Duration::from_millis(2_000)),
        ..head.clone()
    };
    assert!(!own.note_response(&process, &shorter, at(10), at(1_010)));
    let node = VmId::new("node-1").unwrap();
    for signal in own.take_unsent(at(1_010)) {
        assert!(other.apply(&node, &signal, at(1_015)));
        assert!(!own.apply(&node, &signal, at(1_020)), "an echo is no news");
    }
    assert!(other.cold_until(&process) >= Some(until));
    for table in [&own, &other] {
        assert_eq!(table.cold_until(&next), None);
        assert_eq!(table.limit(&process), None);
    }
}

#[test]
fn message_of_an_earlier_version_is_decoded() {
    let signal = r#"{"upstream":"u","started_at":1,"limit":2.0,"age_ms":5}"#;
    let signal: UpstreamSignal = serde_json::from_str(signal).unwrap();
    assert_eq!(signal.cold_left_ms, None);
    let permit = r#"{"Permit":{"granted":true,"wait_ms":0.0}}"#;
    let permit: SchedulerMessage = serde_json::from_str(permit).unwrap();
    let limited = false;
    let (granted, wait_ms) = (true, 0.0);
    let expected = SchedulerMessage::Permit {
        granted,
        wait_ms,
        limited,
    };
    assert_eq!(permit, expected);
    let grant = r#"{"engine":"u","helpers":[],"reserve_tokens":null,"first_event_ms":1.0}"#;
    let grant: Grant = serde_json::from_str(grant).unwrap();
    assert!(grant.limited.is_empty());
    let service: Service = serde_json::from_str(r#"{"max_connections":1,"engine":null}"#).unwrap();
    assert_eq!(service.cold, None);
    let entry = serde_json::to_string(&upstream(1, None)).unwrap();
    let entry = entry.replace(r#","cold_left_ms":null"#, "");
    let entry: Upstream = serde_json::from_str(&entry).unwrap();
    assert_eq!(entry, upstream(1, None));
}

/// A configuration of version `version` whose service has the cold limit, or not.
fn config(version: u64, cold: Option<ColdLimit>) -> ServingConfig {
    let service = Service {
        max_connections: None,
        engine: Some(profile()),
        cold,
    };
    ServingConfig::new(version).with_services([(ServiceName::new("llm"), service)])
}

#[test]
fn configuration_passed_on_by_a_node_of_an_earlier_version_does_not_remove_the_limit() {
    let state = NodeState::new(Duration::from_secs(5));
    // Copied from a peer before the store answers.
    state.apply_config(config(1, None));
    assert!(state.apply_config(config(1, Some(limit()))));
    let copied = config(2, None).with_cold_limits_of(&state.config().unwrap());
    assert!(state.apply_config(copied));
    state.directory().put(upstream(1, Some(3_000)));
    assert_eq!(state.cold_upstreams().len(), 1);
    assert!(!state.apply_config(config(1, None)));
}

/// Most of `times`, in milliseconds, within any one second.
fn most_in_a_second(times: &[f64]) -> usize {
    let count_from = |start: f64| {
        let window = start..start + 1_000.0;
        times.iter().filter(|at| window.contains(at)).count()
    };
    times.iter().map(|at| count_from(*at)).max().unwrap_or(0)
}

fn engine(n: usize) -> UpstreamId {
    UpstreamId::new(&format!("engine-{n:02}"))
}

fn work(id: u64) -> Work {
    Work {
        id: WorkId(1, id),
        prompt: 5_000.0,
        answer: 1_000.0,
        answer_limit: 1_500.0,
        objective_ms: 250.0,
        pause_ms: 200.0,
        deadline_ms: 10_000.0,
        patience_ms: None,
        node_stops_ms: None,
        priority: 0,
        data_centre: DataCentreName::new("dc-2"),
        excluded: Vec::new(),
        parts: Vec::new(),
    }
}

/// Sends 57 requests a second for 4 s to 45 engines of three data centres, of which those of `dc-2` are cold and those
/// that satisfy `is_present` exist; each request takes 1 s, and `burst` of them arrive together once. Returns the times of the placements by engine, and the
/// number of requests that waited or were refused.
fn play_return_of_a_data_centre(
    is_present: impl Fn(usize) -> bool,
    burst: u64,
) -> (HashMap<UpstreamId, Vec<f64>>, usize) {
    let mut scheduler = Scheduler::new(profile());
    let present = (0..45).filter(|n| is_present(*n));
    scheduler
        .set_engines(present.map(|n| (engine(n), DataCentreName::new(&format!("dc-{}", n / 15)))));
    let cold: Vec<_> = (30..45).map(engine).collect();
    scheduler.set_engine_limits(0.0, |id| {
        cold.contains(id).then(|| EngineLimit {
            cold: true,
            ..EngineLimit::new(limit().requests_per_s)
        })
    });
    let node = VmId::new("node-1").unwrap();
    let (mut placed, mut ends): (HashMap<_, Vec<_>>, Vec<_>) = Default::default();
    let mut delayed = 0;
    for id in 0..57 * 4 {
        let now = id as f64 * 1e3 / 57.0;
        let ended: Vec<_> = ends.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, id) in ended {
            scheduler.note_end(now, id, WorkEnd::Finished);
        }
        let mut decisions = scheduler.schedule_waiting(now);
        // The burst of callers that return together.
        let requests = if id == 57 { burst } else { 1 };
        for extra in 0..requests {
            let work = work(id * 1_000 + extra);
            let (id, decision) = (work.id, scheduler.submit(now, &node, work));
            delayed += usize::from(!matches!(decision, Decision::Run(_)));
            decisions.push((node.clone(), id, decision));
        }
        for (_, id, decision) in decisions {
            if let Decision::Run(grant) = decision {
                scheduler.note_first_event(now, id);
                placed.entry(grant.engine).or_default().push(now);
                ends.push((now + 1_000.0, id));
            }
        }
    }
    (placed, delayed)
}

#[test]
fn no_engine_gets_more_than_the_bound_when_a_data_centre_returns_cold_in_a_burst() {
    let (placed, _) = play_return_of_a_data_centre(|n| n >= 30, 200);
    let most: Vec<_> = placed
        .values()
        .map(|times| most_in_a_second(times))
        .collect();
    assert_eq!(placed.len(), 15, "the requests are spread over all engines");
    assert!(most.iter().all(|most| *most as f64 <= BOUND), "{most:?}");
    let counts: Vec<_> = placed.values().map(Vec::len).collect();
    let (min, max) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(max <= &(min * 2), "{counts:?}");
}

#[test]
fn request_that_a_warm_engine_can_take_goes_there_and_does_not_wait() {
    let (placed, delayed) = play_return_of_a_data_centre(|_| true, 40);
    let cold = placed.keys().filter(|id| **id >= engine(30)).count();
    assert_eq!((cold, delayed), (0, 0));
}

fn vm(n: usize) -> VmId {
    VmId::new(&format!("node-{n}")).unwrap()
}

/// A host that knows `upstreams` cold upstreams and a fleet of `nodes` nodes.
fn host(nodes: usize, upstreams: usize) -> Arc<SchedulerHost> {
    let host = SchedulerHost::new();
    host.note_fleet_size(nodes);
    let cold = (0..upstreams).map(|n| ColdUpstream {
        id: engine(n),
        started_at: Some(1),
        limit: limit().requests_per_s,
        until: BootTime::now().after(MAX_COLD_TIME),
    });
    host.refresh_cold(&cold.collect::<Vec<_>>());
    Arc::new(host)
}

/// Lets each node ask its scheduler each 10 ms for each of `upstreams` upstreams, for `seconds` seconds. `choose` returns
/// the hosts of the nodes at a time in milliseconds. Returns the most requests to each upstream in any one second.
async fn ask_for_permits(
    nodes: usize,
    upstreams: usize,
    seconds: u64,
    mut choose: impl FnMut(f64, usize) -> Arc<SchedulerHost>,
) -> Vec<usize> {
    let started_at = Instant::now();
    let mut sent = vec![Vec::new(); upstreams];
    while started_at.elapsed() < Duration::from_secs(seconds) {
        let now = started_at.elapsed().as_secs_f64() * 1e3;
        for node in 0..nodes {
            let host = choose(now, node);
            for (n, times) in sent.iter_mut().enumerate() {
                let msg = SchedulerMessage::AskPermit {
                    upstream: engine(n),
                    max_wait_ms: 0.0,
                };
                let reply = host.handle(&vm(node), msg, false);
                if let Some(SchedulerMessage::Permit { granted: true, .. }) = reply {
                    times.push(now);
                }
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
    sent.iter().map(|times| most_in_a_second(times)).collect()
}

fn run_host(host: &Arc<SchedulerHost>) {
    let host = Arc::clone(host);
    tokio::spawn(async move { host.run().await });
}

#[tokio::test(start_paused = true)]
async fn nodes_that_leave_one_scheduler_for_another_do_not_exceed_the_bound_together() {
    let hosts = [host(12, 1), host(12, 1)];
    hosts.iter().for_each(run_host);
    // All nodes but one move to the second scheduler, and later back.
    let most = ask_for_permits(12, 1, 12, |now, node| {
        let moved = (4_000.0..8_000.0).contains(&now) && node >= 1;
        Arc::clone(&hosts[usize::from(moved)])
    });
    let most = most.await[0];
    assert!(most as f64 <= BOUND && most >= 15, "{most}");
}

/// Lets upstream 0 state a limit of the rate that cold upstreams tolerate.
fn state_limit(host: &SchedulerHost) {
    let entry = Upstream {
        id: engine(0),
        ..upstream(1, None)
    };
    let mut directory = UpstreamDirectory::default();
    directory.put(entry.clone());
    let mut signals = SignalTable::new(1);
    let head = ResponseHead {
        has_origin_proof: true,
        request_limit: Some(limit().requests_per_s),
        ..ResponseHead::default()
    };
    let now = BootTime::now();
    assert!(signals.note_response(&entry, &head, now, now));
    host.refresh_limits(&directory, &signals);
}

#[tokio::test(start_paused = true)]
async fn nodes_that_change_their_scheduler_often_keep_to_the_limit_that_an_upstream_states() {
    let hosts = [host(12, 0), host(12, 0)];
    hosts.iter().for_each(|host| state_limit(host));
    hosts.iter().for_each(run_host);
    let most = ask_for_permits(12, 1, 12, |now, node| {
        let changes = (now / 1_500.0) as usize;
        Arc::clone(&hosts[(changes + node) % 2])
    });
    let most = most.await[0];
    assert!(most as f64 <= BOUND && most >= 10, "{most}");
}

#[tokio::test(start_paused = true)]
async fn scheduler_that_restarts_does_not_exceed_the_bound_with_its_predecessor() {
    let hosts = [host(12, 1), host(0, 1)];
    hosts.iter().for_each(run_host);
    let most = ask_for_permits(12, 1, 8, |now, _| {
        Arc::clone(&hosts[usize::from(now >= 4_000.0)])
    });
    let most = most.await[0];
    assert!(most as f64 <= BOUND && most >= 15, "{most}");
}

#[tokio::test(start_paused = true)]
async fn cut_off_nodes_do_not_exceed_the_bound_together() {
    let cut_off: Vec<_> = (0..64).map(|_| host(64, 20)).collect();
    // The nodes learn at the same time that the upstreams are cold.
    let most = ask_for_permits(64, 20, 9, |_, node| Arc::clone(&cut_off[node])).await;
    // The phases are random; the mean over 20 upstreams hardly varies.
    let mean = most.iter().sum::<usize>() as f64 / most.len() as f64;
    assert!(mean <= BOUND, "{most:?}");
}

#[tokio::test(start_paused = true)]
async fn limit_of_a_cold_upstream_ends_with_the_cold_time() {
    let host = host(1, 1);
    let msg = SchedulerMessage::AskPermit {
        upstream: engine(0),
        max_wait_ms: 0.0,
    };
    let is_granted = || {
        let reply = host.handle(&vm(0), msg.clone(), true);
        matches!(reply, Some(SchedulerMessage::Permit { granted: true, .. }))
    };
    assert!(!is_granted(), "no allowance for a burst at the start");
    host.refresh_cold(&[]);
    assert!((0..100).all(|_| is_granted()));
}
