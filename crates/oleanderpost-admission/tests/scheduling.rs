//! Scheduling: short prompts beside long ones, fair sharing between accounts, groups, limits, refusals.

mod support;

use std::time::Duration;

use oleanderpost_admission::{AdmissionRequest, Completion, Reason};
use oleanderpost_types::{RequestRate, Tokens};
use support::{FleetConfig, Outcome, TestFleet, account, plain_service};
use tokio::time::{Instant, sleep, timeout};

const LIMIT: Duration = Duration::from_secs(300);

async fn start_fleet(config: FleetConfig) -> TestFleet {
    let fleet = TestFleet::new(config);
    sleep(Duration::from_secs(4)).await;
    fleet
}

fn time_to_first_token(served: Outcome) -> Duration {
    match served {
        Outcome::Completed { first_token, .. } => first_token,
        other => panic!("not served: {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn short_prompts_do_not_wait_behind_long_ones() {
    let fleet = start_fleet(FleetConfig {
        engines: 1,
        ..FleetConfig::default()
    })
    .await;
    let long = fleet.send(0, fleet.request(1, 350_000, 50, LIMIT));
    let other = fleet.send(1, fleet.request(2, 350_000, 50, LIMIT));
    sleep(Duration::from_secs(1)).await;
    for i in 10..30 {
        let short = fleet
            .send(2, fleet.request(i, 2_000, 20, LIMIT))
            .await
            .unwrap();
        let first = time_to_first_token(short);
        assert!(first < Duration::from_millis(250), "{first:?}");
    }
    time_to_first_token(long.await.unwrap());
    time_to_first_token(other.await.unwrap());
}

#[tokio::test(start_paused = true)]
async fn a_long_prompt_is_not_starved_of_memory() {
    let fleet = start_fleet(FleetConfig {
        engines: 1,
        ..FleetConfig::default()
    })
    .await;
    let mut tasks = Vec::new();
    for i in 0..120 {
        tasks.push(fleet.send(0, fleet.request(100 + i, 60_000, 400, LIMIT)));
        if i == 10 {
            tasks.push(fleet.send(1, fleet.request(1, 390_000, 50, LIMIT)));
        }
        sleep(Duration::from_millis(1_200)).await;
    }
    let long = tasks.remove(11).await.unwrap();
    let first = time_to_first_token(long);
    assert!(first < Duration::from_secs(100), "{first:?}");
}

#[tokio::test(start_paused = true)]
async fn accounts_share_full_engines_by_weight() {
    let accounts = vec![account("account-0", 1), account("account-1", 3)];
    let fleet = start_fleet(FleetConfig {
        engines: 1,
        accounts,
        ..FleetConfig::default()
    })
    .await;
    let start = Instant::now();
    let mut tasks = Vec::new();
    for i in 0..200_u64 {
        // Account 0 sends three requests for each one of account 1, and sends first.
        let account = u64::from(i % 4 == 3);
        let mut req = fleet.request(i, 30_000, 20, Duration::from_secs(100));
        req.account = format!("account-{account}").parse().unwrap();
        tasks.push((account, fleet.send((i % 3) as usize, req)));
    }
    let mut completed = [0_u32; 2];
    for (account, task) in tasks {
        if let Outcome::Completed { total, .. } = task.await.unwrap()
            && start + total < start + Duration::from_secs(40)
        {
            completed[account as usize] += 1;
        }
    }
    assert!(completed[1] >= 2 * completed[0], "{completed:?}");
    assert!(completed[0] > 0, "{completed:?}");
}

#[tokio::test(start_paused = true)]
async fn capacity_unused_by_an_account_goes_to_others() {
    let accounts = vec![account("account-0", 1), account("account-1", 9)];
    let fleet = start_fleet(FleetConfig {
        engines: 1,
        accounts,
        ..FleetConfig::default()
    })
    .await;
    let send = |i| {
        let mut req = fleet.request(i, 30_000, 20, LIMIT);
        req.account = "account-0".parse().unwrap();
        fleet.send(0, req)
    };
    let tasks: Vec<_> = (0..20).map(send).collect();
    let start = Instant::now();
    for task in tasks {
        time_to_first_token(task.await.unwrap());
    }
    assert!(
        start.elapsed() < Duration::from_secs(20),
        "{:?}",
        start.elapsed()
    );
}

#[tokio::test(start_paused = true)]
async fn groups_that_need_the_same_engines_do_not_deadlock() {
    let fleet = start_fleet(FleetConfig::default()).await;
    let send = |i: u64| fleet.send((i % 3) as usize, fleet.request(i, 900_000, 50, LIMIT));
    let groups: Vec<_> = (0..6).map(send).collect();
    for group in groups {
        time_to_first_token(group.await.unwrap());
    }
    sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.held_memory(), 0);
}

#[tokio::test(start_paused = true)]
async fn groups_and_single_prompts_do_not_starve_each_other() {
    let fleet = start_fleet(FleetConfig::default()).await;
    let mut tasks = Vec::new();
    for i in 0..60_u64 {
        let prompt = if i % 10 == 5 { 900_000 } else { 40_000 };
        tasks.push(fleet.send((i % 3) as usize, fleet.request(i, prompt, 50, LIMIT)));
        sleep(Duration::from_millis(700)).await;
    }
    for task in tasks {
        time_to_first_token(task.await.unwrap());
    }
}

#[tokio::test(start_paused = true)]
async fn a_group_request_survives_the_failure_of_its_coordinator() {
    let mut fleet = start_fleet(FleetConfig::default()).await;
    let busy = fleet.send(0, fleet.request(7, 390_000, 50, LIMIT));
    sleep(Duration::from_millis(500)).await;
    let group = fleet.send(0, fleet.request(1, 1_300_000, 50, LIMIT));
    sleep(Duration::from_millis(500)).await;
    let is_coordinator = |i: &usize| fleet.node(*i).unwrap().dump().permits > 1;
    let coordinator = (1..3).find(is_coordinator);
    if let Some(coordinator) = coordinator {
        fleet.kill(coordinator);
    }
    time_to_first_token(busy.await.unwrap());
    time_to_first_token(group.await.unwrap());
    sleep(Duration::from_secs(20)).await;
    assert_eq!(fleet.held_memory(), 0);
}

#[tokio::test(start_paused = true)]
async fn requests_that_cannot_finish_in_time_are_refused_at_once() {
    let fleet = start_fleet(FleetConfig {
        engines: 1,
        ..FleetConfig::default()
    })
    .await;
    for i in 0..5 {
        let prompt = 50_000 + 60_000 * i;
        time_to_first_token(
            fleet
                .send(0, fleet.request(i, prompt, 20, LIMIT))
                .await
                .unwrap(),
        );
    }
    let too_late = fleet.request(10, 200_000, 20, Duration::from_secs(2));
    let Outcome::Refused { refusal, after } = fleet.send(1, too_late).await.unwrap() else {
        panic!("request was admitted");
    };
    assert_eq!(
        (refusal.reason, refusal.retry_after),
        (Reason::Deadline, None)
    );
    assert!(after < Duration::from_millis(50), "{after:?}");
    let running = fleet.send(0, fleet.request(11, 300_000, 20, LIMIT));
    sleep(Duration::from_millis(500)).await;
    let limited_request = |i| fleet.request(i, 100_000, 20, Duration::from_secs(8));
    let Outcome::Refused { refusal, after } = fleet.send(1, limited_request(12)).await.unwrap()
    else {
        return assert_served(running.await.unwrap());
    };
    assert!(after < Duration::from_millis(50), "{after:?}");
    let retry_after = refusal.retry_after.expect("request fits later");
    sleep(retry_after.into()).await;
    time_to_first_token(fleet.send(1, limited_request(13)).await.unwrap());
}

fn assert_served(served: Outcome) {
    time_to_first_token(served);
}

#[tokio::test(start_paused = true)]
async fn limits_hold_across_the_fleet_and_are_shared_between_nodes() {
    let mut limited = account("account-0", 1);
    limited.requests_per_second = Some(RequestRate::new(10));
    let fleet = start_fleet(FleetConfig {
        accounts: vec![limited],
        ..FleetConfig::default()
    })
    .await;
    let plain = |i: u64| AdmissionRequest {
        service: plain_service(),
        account: "account-0".parse().unwrap(),
        prompt: Tokens::new(0),
        ..fleet.request(i, 0, 0, LIMIT)
    };
    for nodes in [1_u64, 3] {
        let (mut admitted, start) = (0.0, Instant::now());
        for i in 0..1_000_u64 {
            let node = fleet.node((i % nodes) as usize).unwrap();
            if let Ok(permit) = node.admit(plain(i)).await {
                admitted += 1.0;
                permit.close(Completion::Finished {
                    tokens: Tokens::new(0),
                });
            }
            sleep(Duration::from_millis(10)).await;
        }
        let max_admitted = 10.0 * start.elapsed().as_secs_f64() + 11.0;
        assert!(
            (0.9 * max_admitted..=max_admitted).contains(&admitted),
            "{admitted} through {nodes} nodes"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_leaving_engine_gets_no_new_work() {
    use oleanderpost_admission::UpstreamState;
    let fleet = start_fleet(FleetConfig::default()).await;
    for upstreams in fleet.environment.upstreams.lock().unwrap().values_mut() {
        upstreams[0].state = UpstreamState::Leaving;
    }
    sleep(Duration::from_secs(1)).await;
    for i in 0..40 {
        time_to_first_token(
            fleet
                .send((i % 3) as usize, fleet.request(i, 2_000, 10, LIMIT))
                .await
                .unwrap(),
        );
    }
    let runs = fleet
        .environment
        .engine(&support::engine_id(0))
        .evidence()
        .runs;
    assert!(runs.is_empty());
}

#[tokio::test(start_paused = true)]
async fn plain_requests_are_balanced_and_failing_upstreams_avoided() {
    let fleet = start_fleet(FleetConfig::default()).await;
    let node = fleet.node(0).unwrap();
    let plain = |i: u64| AdmissionRequest {
        service: plain_service(),
        ..fleet.request(i, 0, 0, LIMIT)
    };
    let mut used = [0_u32; 3];
    let mut permits = Vec::new();
    for i in 0..30 {
        let permit = node.admit(plain(i)).await.unwrap();
        let name = permit.upstream().as_str().to_owned();
        used[name.trim_start_matches("plain-").parse::<usize>().unwrap()] += 1;
        permits.push(permit);
    }
    assert_eq!(used, [10, 10, 10]);
    for permit in permits {
        let is_failing = permit.upstream().as_str() == "plain-1";
        permit.close(if is_failing {
            Completion::Failed
        } else {
            Completion::Finished {
                tokens: Tokens::new(0),
            }
        });
    }
    let mut permits = Vec::new();
    for i in 100..120 {
        let permit = node.admit(plain(i)).await.unwrap();
        assert_ne!(permit.upstream().as_str(), "plain-1");
        permits.push(permit);
    }
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_disconnects_while_queued_leaves_no_state() {
    let fleet = start_fleet(FleetConfig {
        engines: 1,
        ..FleetConfig::default()
    })
    .await;
    let running = fleet.send(0, fleet.request(1, 300_000, 20, LIMIT));
    sleep(Duration::from_millis(100)).await;
    let node = fleet.node(1).unwrap();
    let waiting = node.admit(fleet.request(2, 300_000, 20, LIMIT));
    assert!(timeout(Duration::from_secs(1), waiting).await.is_err());
    sleep(Duration::from_millis(200)).await;
    let queues = (0..3).flat_map(|i| fleet.node(i).unwrap().dump().engines);
    assert_eq!(queues.map(|engine| engine.queued).sum::<usize>(), 0);
    time_to_first_token(running.await.unwrap());
    sleep(Duration::from_secs(2)).await;
    let dumps = (0..3).flat_map(|i| fleet.node(i).unwrap().dump().engines);
    let remaining: usize = dumps.map(|engine| engine.permits + engine.queued).sum();
    assert_eq!(remaining, 0);
}

#[tokio::test(start_paused = true)]
async fn a_known_prefix_is_routed_to_its_cache_unless_that_engine_is_busy() {
    use oleanderpost_admission::Fingerprint;
    let fleet = start_fleet(FleetConfig::default()).await;
    let node = fleet.node(0).unwrap();
    for i in 0..8 {
        time_to_first_token(
            fleet
                .send(0, fleet.request(i, 30_000 + 5_000 * i, 10, LIMIT))
                .await
                .unwrap(),
        );
    }
    let request = |i| AdmissionRequest {
        prefix: vec![Fingerprint {
            hash: 7,
            tokens: Tokens::new(38_000),
        }],
        ..fleet.request(i, 40_000, 10, LIMIT)
    };
    let first = node.admit(request(100)).await.unwrap();
    let cached_on = first.upstream().clone();
    assert_eq!(first.cached_tokens(), Tokens::new(0));
    first.close(Completion::Finished {
        tokens: Tokens::new(10),
    });
    for i in 101..111 {
        sleep(Duration::from_secs(3)).await;
        let permit = node.admit(request(i)).await.unwrap();
        assert_eq!(
            (permit.upstream(), permit.cached_tokens()),
            (&cached_on, Tokens::new(38_000))
        );
        permit.close(Completion::Finished {
            tokens: Tokens::new(10),
        });
    }
    sleep(Duration::from_secs(3)).await;
    let busy = node.admit(AdmissionRequest {
        excluded: (0..4)
            .map(support::engine_id)
            .filter(|id| *id != cached_on)
            .collect(),
        ..fleet.request(200, 95_000, 10, LIMIT)
    });
    let _busy = busy.await.unwrap();
    assert_ne!(
        node.admit(request(201)).await.unwrap().upstream(),
        &cached_on
    );
}
