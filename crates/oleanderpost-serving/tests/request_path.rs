//! Unit tests of the request path: retries, evidence, routes, upstream directory, event streams and settings.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use oleanderpost_serving::{
    Account, AccountName, Attempts, BootTime, DataCentreName, Event, EventSplitter, Evidence,
    RetryBudget, RetryPolicy, RetryTerms, Route, RouteKind, RouteName, RunStatus, ServiceName,
    ServingConfig, Settings, Upstream, UpstreamDirectory, UpstreamId, idle_connection_limit,
};

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(1_000_000 + ms))
}

fn route(prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: RouteName::new(prefix),
        host: "app.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_secs(10),
        objective: Duration::from_millis(300),
        max_event_gap: None,
        patience: None,
        priority: 1,
        targets: vec![(ServiceName::new("a"), 90), (ServiceName::new("b"), 10)],
        max_attempts: 2,
        is_public: false,
    }
}

fn upstream(id: &str, draining: bool, started_at: Option<u64>) -> Upstream {
    Upstream {
        id: UpstreamId::new(id),
        service: ServiceName::new("a"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: DataCentreName::new("dc-a"),
        slots: 6,
        draining,
        started_at,
        cold_left_ms: None,
    }
}

#[test]
fn retries_of_one_node_stay_within_its_budget() {
    let mut budget = RetryBudget::new(0.2, 100.0, Duration::from_secs(10));
    let mut retries = 0;
    for ms in 0..5_000 {
        if ms % 10 == 0 {
            budget.note_request(at(ms));
        }
        retries += usize::from(budget.try_retry(at(ms)));
    }
    let allowed = 0.2 * 500.0 + 100.0;
    assert!(retries as f64 <= allowed, "{retries} of {allowed}");
    assert!(
        retries as f64 >= allowed * 0.7,
        "{retries} of {allowed}: most of the budget must be usable"
    );
}

#[test]
fn retry_budget_is_restored_after_the_window() {
    let mut budget = RetryBudget::new(0.0, 5.0, Duration::from_secs(10));
    assert!((0..4).all(|_| budget.try_retry(at(0))));
    assert!(!budget.try_retry(at(9_000)));
    assert!(budget.try_retry(at(10_100)));
}

#[test]
fn only_idempotent_requests_are_retried_after_they_may_have_run() {
    let policy = RetryPolicy::new(1.0, 1_000.0, Duration::from_secs(10));
    let service = ServiceName::new("a");
    let time_left = Duration::from_secs(1);
    let allows = |kind, attempts| {
        policy.allows(
            route("/x/", kind).retry_terms(),
            &service,
            attempts,
            time_left,
            at(0),
        )
    };
    let ran = Attempts {
        may_have_run: 1,
        ..Attempts::default()
    };
    let refused = Attempts {
        not_run: 2,
        ..Attempts::default()
    };
    for kind in [RouteKind::Once, RouteKind::OnceStream] {
        assert!(!allows(kind, ran), "{kind:?}");
        assert!(allows(kind, refused), "{kind:?}");
    }
    for kind in [RouteKind::Idempotent, RouteKind::ResumableStream] {
        assert!(allows(kind, ran), "{kind:?}");
        assert!(
            !allows(
                kind,
                Attempts {
                    may_have_run: 2,
                    ..Attempts::default()
                }
            ),
            "{kind:?}"
        );
    }
}

#[test]
fn refusals_do_not_count_as_runs() {
    let mut attempts = Attempts::default();
    attempts.note_failure(RunStatus::NotRun);
    attempts.note_failure(RunStatus::InstanceGone);
    attempts.note_failure(RunStatus::MayHaveRun);
    assert_eq!(
        attempts,
        Attempts {
            may_have_run: 1,
            not_run: 2,
            may_have_arrived: true
        }
    );
}

#[test]
fn older_response_does_not_replace_newer_evidence() {
    let mut evidence = Evidence::default();
    assert!(!evidence.is_fresh(at(0), Duration::from_secs(5)));
    evidence.confirm(at(1_000));
    evidence.confirm(at(500));
    assert_eq!(evidence.age(at(3_000)), Some(Duration::from_secs(2)));
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let routes = [
        route("/", RouteKind::Once),
        route("/a/b/", RouteKind::Once),
        route("/a/", RouteKind::Once),
    ];
    let config = ServingConfig::new(1).with_routes(routes);
    let find = |path| {
        config
            .route("App.Example", path)
            .map(|route| route.prefix.as_str())
    };
    assert_eq!(find("/a/b/c"), Some("/a/b/"));
    assert_eq!(find("/a/bc"), Some("/a/"));
    assert_eq!(find("/z"), Some("/"));
    assert!(config.route("other.example", "/a/").is_none());
}

#[test]
fn requests_are_split_by_weight() {
    let route = route("/x/", RouteKind::Once);
    let second = (0..10_000_u32)
        .filter(|hash| route.select_service(*hash) == Some(&ServiceName::new("b")))
        .count();
    assert_eq!(second, 1_000);
    let without_weights = Route {
        targets: vec![(ServiceName::new("a"), 0)],
        ..route
    };
    assert_eq!(
        without_weights.select_service(7),
        Some(&ServiceName::new("a"))
    );
}

#[test]
fn api_key_identifies_its_account() {
    let account = Account {
        name: AccountName::new("one"),
        priority: Some(2),
    };
    let config = ServingConfig::new(1).with_accounts([(account.clone(), vec!["k".to_owned()])]);
    assert_eq!(**config.account_for_key("k").unwrap(), account);
    assert!(config.account_for_key("other").is_none());
    assert!(config.requires_api_key() && !ServingConfig::new(1).requires_api_key());
}

#[test]
fn leaving_mark_holds_for_one_process_only() {
    let mut directory = UpstreamDirectory::default();
    let id = UpstreamId::new("u");
    directory.put(upstream("u", false, Some(1)));
    assert!(directory.is_usable(&id));
    directory.mark_leaving(&id);
    directory.put(upstream("u", false, Some(1)));
    assert!(!directory.is_usable(&id), "the same process stays unusable");
    directory.put(upstream("u", false, Some(2)));
    assert!(directory.is_usable(&id), "another process is usable");
    directory.remove(&id);
    directory.put(upstream("u", true, Some(2)));
    assert!(!directory.is_usable(&id));
}

#[test]
fn missing_upstream_is_kept_until_its_deadline() {
    let mut directory = UpstreamDirectory::default();
    let id = UpstreamId::new("u");
    directory.put(upstream("u", false, None));
    directory.mark_missing(&id, at(2_000));
    directory.mark_missing(&id, at(9_000));
    assert!(directory.remove_expired(at(1_999)).is_empty() && directory.is_usable(&id));
    assert_eq!(directory.remove_expired(at(2_000)), vec![id.clone()]);
    assert!(!directory.is_usable(&id));
    directory.put(upstream("u", false, None));
    directory.mark_missing(&id, at(2_000));
    directory.put(upstream("u", false, None));
    assert!(
        directory.remove_expired(at(3_000)).is_empty(),
        "the entry reappeared"
    );
}

#[test]
fn events_are_complete_for_any_chunk_boundaries() {
    bolero::check!()
        .with_type::<(Vec<(u16, String)>, Vec<u8>)>()
        .for_each(|(events, cuts)| {
            let text: Vec<(u16, String)> = events
                .iter()
                .map(|(id, data)| (*id, data.replace(['\n', '\r'], " ")))
                .collect();
            let bytes: Vec<u8> = text
                .iter()
                .flat_map(|(id, data)| format!("id: {id}\ndata: {data}\n\n").into_bytes())
                .collect();
            let mut splitter = EventSplitter::default();
            let mut seen = Vec::new();
            let mut rest = bytes.as_slice();
            let mut cuts = cuts.iter().cycle();
            while !rest.is_empty() {
                let n = usize::from(*cuts.next().unwrap_or(&7) % 16 + 1).min(rest.len());
                splitter.push(&rest[..n]);
                rest = &rest[n..];
                while let Some(event) = splitter.next_event() {
                    seen.push(event);
                }
            }
            assert_eq!(splitter.buffered_len(), 0);
            assert_eq!(
                seen.iter()
                    .flat_map(|event| event.bytes.to_vec())
                    .collect::<Vec<_>>(),
                bytes
            );
            let ids: Vec<_> = seen.iter().map(|event| event.id).collect();
            assert_eq!(
                ids,
                text.iter()
                    .map(|(id, _)| Some(u64::from(*id)))
                    .collect::<Vec<_>>()
            );
        });
}

#[test]
fn incomplete_event_is_not_returned() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n");
    assert!(matches!(
        splitter.next_event(),
        Some(Event { id: Some(1), .. })
    ));
    assert_eq!(splitter.next_event(), None);
    assert_eq!(splitter.buffered_len(), 14);
}

/// Guards against a search of the whole event after each piece, which takes all processor time of a node.
#[test]
fn event_that_arrives_byte_by_byte_is_searched_once() {
    let started_at = Instant::now();
    let mut splitter = EventSplitter::default();
    for _ in 0..100_000 {
        splitter.push(b"x");
        assert_eq!(splitter.next_event(), None);
    }
    splitter.push(b"\n\n");
    let event = splitter.next_event().expect("an event");
    assert_eq!(event.bytes.len(), 100_002);
    assert!(started_at.elapsed() < Duration::from_secs(1));
}

#[test]
fn all_invalid_settings_are_reported_together() {
    let text = "name: n\ndata_centre: ''\ncallers_listen: 127.0.0.1:1\nadmin_listen: 127.0.0.1:2\n\
                links_listen: 127.0.0.1:3\nlink_key: short\nstore: 127.0.0.1:4\ndescriptors: 10\nmemory_mb: 1\n\
                revoke_ms: 1\n";
    let error = Settings::parse(text).unwrap_err().to_string();
    for field in [
        "data_centre",
        "link_key",
        "descriptors",
        "memory_mb",
        "revoke_ms",
    ] {
        assert!(error.contains(field), "{field}: {error}");
    }
}

#[test]
fn idle_connections_of_all_nodes_use_at_most_half_of_the_limit() {
    for nodes in [1, 7, 84, 340] {
        for max_connections in [0, 1, 30, 120, 268] {
            let idle_limit = idle_connection_limit(Some(max_connections), nodes);
            assert!(
                idle_limit * nodes * 2 <= max_connections as usize,
                "{idle_limit} of {max_connections} at {nodes} nodes"
            );
        }
    }
    assert_eq!(
        idle_connection_limit(Some(268), 8),
        16,
        "limit per node and upstream"
    );
    assert_eq!(idle_connection_limit(None, 340), 16);
}

#[test]
fn route_defaults_to_at_most_once_and_requires_a_key() {
    let route = Route::new("r", "App.Example", "/r/", [(ServiceName::new("a"), 1)]);
    assert_eq!(
        (route.kind, route.max_attempts, route.is_public),
        (RouteKind::Once, 1, false)
    );
    assert_eq!(route.host, "app.example");
    assert_eq!(
        (route.timeout, route.objective),
        (Duration::from_secs(30), Duration::from_secs(1))
    );
}

#[test]
fn requests_refill_an_exhausted_retry_budget() {
    let policy = RetryPolicy::new(0.5, 10.0, Duration::from_secs(10));
    let service = ServiceName::new("a");
    let terms = RetryTerms {
        repeatable: false,
        max_attempts: None,
    };
    let allows = |attempts| policy.allows(terms, &service, attempts, Duration::from_secs(1), at(0));
    let mut initial_retries = 0;
    while allows(Attempts::default()) {
        initial_retries += 1;
    }
    assert!(
        (1..=10).contains(&initial_retries),
        "{initial_retries} without any request"
    );
    for _ in 0..10 {
        policy.note_request(&service, at(0));
    }
    let mut refilled_retries = 0;
    while allows(Attempts::default()) {
        refilled_retries += 1;
    }
    assert!(
        (1..=5).contains(&refilled_retries),
        "{refilled_retries} for ten requests"
    );
    for _ in 0..100 {
        policy.note_request(&service, at(0));
    }
    let ran = Attempts {
        may_have_run: 1,
        ..Attempts::default()
    };
    assert!(
        !allows(ran),
        "the request may have run and must not run twice"
    );
}

#[test]
fn missing_and_mistyped_settings_are_reported_together() {
    let text = "name: n\ncallers_listen: nowhere\nlinks_listen: 127.0.0.1:3\nlink_key: a key for the tests only\n\
                grace_s: 1e300\nrevoke_ms: soon\nretry_slack: -1\nseeds: [here]\nunknown: 1\n";
    let error = Settings::parse(text).unwrap_err().to_string();
    for field in [
        "data_centre: missing",
        "callers_listen: an address",
        "admin_listen: missing",
        "seeds: a list",
        "store: missing",
        "grace_s: a number of 0.5 to",
        "revoke_ms: a number of 500 to",
        "retry_slack: a number of 0 to",
        "descriptors: missing",
        "memory_mb: missing",
    ] {
        assert!(error.contains(field), "{field}: {error}");
    }
    for field in ["unknown", "links_listen", "link_key"] {
        assert!(!error.contains(field), "{field}: {error}");
    }
}
