//! Scheduling: short prompts beside long ones, fair sharing between accounts, groups, limits, refusals.

mod support;

use std::time::Duration;

use oleanderpost_admission::{AdmissionRequest, Completion, Reason};
use oleanderpost_types::{RequestRate, Tokens};
use support::{Plan, Served, TestFleet, account, booking};
use tokio::time::{Instant, sleep, timeout};

const LIMIT: Duration = Duration::from_secs(300);

async fn settled(plan: Plan) -> TestFleet {
    let fleet = TestFleet::new(plan);
    sleep(Duration::from_secs(4)).await;
    fleet
}

fn first_token(served: Served) -> Duration {
    match served {
        Served::Whole { first_token, .. } => first_token,
        other => panic!("not served: {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn short_prompts_do_not_wait_behind_long_ones() {
    let fleet = settled(Plan {
        engines: 1,
        ..Plan::default()
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
        let first = first_token(short);
        assert!(first < Duration::from_millis(250), "{first:?}");
    }
    first_token(long.await.unwrap());
    first_token(other.await.unwrap());
}

#[tokio::test(start_paused = true)]
async fn a_long_prompt_is_not_starved_of_memory() {
    let fleet = settled(Plan {
        engines: 1,
        ..Plan::default()
    })
    .await;
    let mut mediums = Vec::new();
    for i in 0..120 {
        mediums.push(fleet.send(0, fleet.request(100 + i, 60_000, 400, LIMIT)));
        if i == 10 {
            mediums.push(fleet.send(1, fleet.request(1, 390_000, 50, LIMIT)));
        }
        sleep(Duration::from_millis(1_200)).await;
    }
    let long = mediums.remove(11).await.unwrap();
    let first = first_token(long);
    assert!(first < Duration::from_secs(100), "{first:?}");
}

#[tokio::test(start_paused = true)]
async fn shares_are_fair_when_engines_are_full() {
    let accounts = vec![account("account-0", 1), account("account-1", 3)];
    let fleet = settled(Plan {
        engines: 1,
        accounts,
        ..Plan::default()
    })
    .await;
    let start = Instant::now();
    let mut tasks = Vec::new();
    for i in 0..200_u64 {
        // Account 0 sends three requests for each one of account 1, and sends first.
        let who = u64::from(i % 4 == 3);
        let mut req = fleet.request(i, 30_000, 20, Duration::from_secs(100));
        req.account = format!("account-{who}").parse().unwrap();
        tasks.push((who, fleet.send((i % 3) as usize, req)));
    }
    let mut whole = [0_u32; 2];
    for (who, task) in tasks {
        if let Served::Whole { total, .. } = task.await.unwrap()
            && start + total < start + Duration::from_secs(40)
        {
            whole[who as usize] += 1;
        }
    }
    assert!(whole[1] >= 2 * whole[0], "{whole:?}");
    assert!(whole[0] > 0, "{whole:?}");
}

#[tokio::test(start_paused = true)]
async fn an_unused_share_is_lent() {
    let accounts = vec![account("account-0", 1), account("account-1", 9)];
    let fleet = settled(Plan {
        engines: 1,
        accounts,
        ..Plan::default()
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
        first_token(task.await.unwrap());
    }
    assert!(
        start.elapsed() < Duration::from_secs(20),
        "{:?}",
        start.elapsed()
    );
}

#[tokio::test(start_paused = true)]
async fn groups_that_want_the_same_engines_do_not_deadlock() {
    let fleet = settled(Plan::default()).await;
    let send = |i: u64| fleet.send((i % 3) as usize, fleet.request(i, 900_000, 50, LIMIT));
    let groups: Vec<_> = (0..6).map(send).collect();
    for group in groups {
        first_token(group.await.unwrap());
    }
    sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.held(), 0);
}

#[tokio::test(start_paused = true)]
async fn groups_and_single_prompts_do_not_starve_each_other() {
    let fleet = settled(Plan::default()).await;
    let mut tasks = Vec::new();
    for i in 0..60_u64 {
        let prompt = if i % 10 == 5 { 900_000 } else { 40_000 };
        tasks.push(fleet.send((i % 3) as usize, fleet.request(i, prompt, 50, LIMIT)));
        sleep(Duration::from_millis(700)).await;
    }
    for task in tasks {
        first_token(task.await.unwrap());
    }
}

#[tokio::test(start_paused = true)]
async fn a_group_survives_its_coordinator() {
    let mut fleet = settled(Plan::default()).await;
    let busy = fleet.send(0, fleet.request(7, 390_000, 50, LIMIT));
    sleep(Duration::from_millis(500)).await;
    let group = fleet.send(0, fleet.request(1, 1_300_000, 50, LIMIT));
    sleep(Duration::from_millis(500)).await;
    let coordinates = |i: &usize| fleet.node(*i).unwrap().dump().permits > 1;
    let coordinator = (1..3).find(coordinates);
    if let Some(coordinator) = coordinator {
        fleet.kill(coordinator);
    }
    first_token(busy.await.unwrap());
    first_token(group.await.unwrap());
    sleep(Duration::from_secs(20)).await;
    assert_eq!(fleet.held(), 0);
}

#[tokio::test(start_paused = true)]
async fn what_cannot_finish_is_refused_at_once() {
    let fleet = settled(Plan {
        engines: 1,
        ..Plan::default()
    })
    .await;
    for i in 0..5 {
        let prompt = 50_000 + 60_000 * i;
        first_token(
            fleet
                .send(0, fleet.request(i, prompt, 20, LIMIT))
                .await
                .unwrap(),
        );
    }
    let hopeless = fleet.request(10, 200_000, 20, Duration::from_secs(2));
    let Served::Refused { refusal, after } = fleet.send(1, hopeless).await.unwrap() else {
        panic!("admitted");
    };
    assert_eq!(
        (refusal.reason, refusal.retry_after),
        (Reason::Deadline, None)
    );
    assert!(after < Duration::from_millis(50), "{after:?}");
    let running = fleet.send(0, fleet.request(11, 300_000, 20, LIMIT));
    sleep(Duration::from_millis(500)).await;
    let late = |i| fleet.request(i, 100_000, 20, Duration::from_secs(8));
    let Served::Refused { refusal, after } = fleet.send(1, late(12)).await.unwrap() else {
        return first_token_of(running.await.unwrap());
    };
    assert!(after < Duration::from_millis(50), "{after:?}");
    let back = refusal.retry_after.expect("it fits later");
    sleep(back.into()).await;
    first_token(fleet.send(1, late(13)).await.unwrap());
}

fn first_token_of(served: Served) {
    first_token(served);
}

#[tokio::test(start_paused = true)]
async fn limits_hold_over_the_fleet_and_are_lent_between_nodes() {
    let mut limited = account("account-0", 1);
    limited.requests_per_second = Some(RequestRate::new(10));
    let fleet = settled(Plan {
        accounts: vec![limited],
        ..Plan::default()
    })
    .await;
    let plain = |i: u64| AdmissionRequest {
        service: booking(),
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
        let most = 10.0 * start.elapsed().as_secs_f64() + 11.0;
        assert!(
            (0.9 * most..=most).contains(&admitted),
            "{admitted} through {nodes} nodes"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_leaving_engine_gets_no_new_work() {
    use oleanderpost_admission::UpstreamState;
    let fleet = settled(Plan::default()).await;
    for upstreams in fleet.world.upstreams.lock().unwrap().values_mut() {
        upstreams[0].state = UpstreamState::Leaving;
    }
    sleep(Duration::from_secs(1)).await;
    for i in 0..40 {
        first_token(
            fleet
                .send((i % 3) as usize, fleet.request(i, 2_000, 10, LIMIT))
                .await
                .unwrap(),
        );
    }
    let runs = fleet.world.engine(&support::engine_id(0)).evidence().runs;
    assert!(runs.is_empty());
}

#[tokio::test(start_paused = true)]
async fn plain_services_are_shared_out_and_broken_ones_avoided() {
    let fleet = settled(Plan::default()).await;
    let node = fleet.node(0).unwrap();
    let plain = |i: u64| AdmissionRequest {
        service: booking(),
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
        let bad = permit.upstream().as_str() == "plain-1";
        permit.close(if bad {
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
async fn a_caller_that_hangs_up_in_the_queue_leaves_nothing() {
    let fleet = settled(Plan {
        engines: 1,
        ..Plan::default()
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
    first_token(running.await.unwrap());
    sleep(Duration::from_secs(2)).await;
    let dumps = (0..3).flat_map(|i| fleet.node(i).unwrap().dump().engines);
    let left: usize = dumps.map(|engine| engine.permits + engine.queued).sum();
    assert_eq!(left, 0);
}

#[tokio::test(start_paused = true)]
async fn a_known_prefix_goes_where_it_is_cached_unless_that_engine_is_busy() {
    use oleanderpost_admission::Fingerprint;
    let fleet = settled(Plan::default()).await;
    let node = fleet.node(0).unwrap();
    for i in 0..8 {
        first_token(
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
    let home = first.upstream().clone();
    assert_eq!(first.cached_tokens(), Tokens::new(0));
    first.close(Completion::Finished {
        tokens: Tokens::new(10),
    });
    for i in 101..111 {
        sleep(Duration::from_secs(3)).await;
        let permit = node.admit(request(i)).await.unwrap();
        assert_eq!(
            (permit.upstream(), permit.cached_tokens()),
            (&home, Tokens::new(38_000))
        );
        permit.close(Completion::Finished {
            tokens: Tokens::new(10),
        });
    }
    sleep(Duration::from_secs(3)).await;
    let busy = node.admit(AdmissionRequest {
        excluded: (0..4)
            .map(support::engine_id)
            .filter(|id| *id != home)
            .collect(),
        ..fleet.request(200, 95_000, 10, LIMIT)
    });
    let _busy = busy.await.unwrap();
    assert_ne!(node.admit(request(201)).await.unwrap().upstream(), &home);
}
