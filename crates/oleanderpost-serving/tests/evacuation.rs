//! Evacuation of data centres: decisions of the scheduler, the directory, and messages of earlier versions.

mod support;

use std::time::Duration;

use oleanderpost_serving::{
    BootTime, DataCentreName, Decision, EvacuationChange, PeerChanges, PeerEvidence, PeerState,
    Rejection, Scheduler, SchedulerMessage, ServiceName, ServingConfig, StorePosition, Upstream,
    UpstreamDirectory, UpstreamId, Work, WorkEnd, WorkId,
};
use oleanderpost_types::VmId;
use serde_json::json;
use support::profile;

/// Requests that fill one engine.
const SLOTS: u64 = 16;

fn engine(name: &str, data_centre: &str) -> (UpstreamId, DataCentreName) {
    (UpstreamId::new(name), DataCentreName::new(data_centre))
}

fn node() -> VmId {
    VmId::new("node-1").unwrap()
}

fn request(id: u64) -> Work {
    Work {
        id: WorkId(1, id),
        prompt: 5_000.0,
        answer: 1_300.0,
        answer_limit: 2_600.0,
        objective_ms: 5_000.0,
        pause_ms: 2_000.0,
        deadline_ms: 20_000.0,
        patience_ms: None,
        node_stops_ms: None,
        priority: 1,
        data_centre: DataCentreName::new("dc-a"),
        excluded: Vec::new(),
        parts: Vec::new(),
    }
}

/// Creates a scheduler with the engine `a` in `dc-a`, full, and `b` in `dc-b`, evacuated.
fn scheduler_with_full_engine() -> Scheduler {
    let mut scheduler = Scheduler::new(profile());
    scheduler.set_engines_with_evacuated([engine("a", "dc-a")], [engine("b", "dc-b")]);
    for id in 0..SLOTS {
        let decision = scheduler.submit(0.0, &node(), request(id));
        assert!(matches!(decision, Decision::Run(_)), "{decision:?}");
    }
    scheduler
}

fn load(scheduler: &Scheduler, name: &str) -> usize {
    let mut engines = scheduler.engines();
    let (_, load) = engines.find(|(id, _)| id.as_str() == name).unwrap();
    load.len()
}

/// Guards against an engine that returns to service and is taken for idle although requests still run there.
#[test]
fn load_of_an_evacuated_engine_is_known_when_it_returns() {
    let mut scheduler = scheduler_with_full_engine();
    scheduler.set_engines_with_evacuated([engine("b", "dc-b")], [engine("a", "dc-a")]);
    scheduler.note_first_event(500.0, WorkId(1, 0));
    scheduler.note_end(1_000.0, WorkId(1, 0), WorkEnd::Finished);
    // Another node reports a request that runs there.
    scheduler.adopt(1_000.0, &node(), &request(99), &UpstreamId::new("a"), true);
    scheduler.note_end(1_000.0, WorkId(1, 1), WorkEnd::Cancelled);
    scheduler.set_engines([engine("a", "dc-a"), engine("b", "dc-b")]);
    assert_eq!(load(&scheduler, "a"), SLOTS as usize - 1);
    assert_eq!(load(&scheduler, "b"), 0);
}

#[test]
fn queued_requests_are_not_placed_on_an_evacuated_engine() {
    let mut scheduler = scheduler_with_full_engine();
    assert_eq!(scheduler.submit(0.0, &node(), request(90)), Decision::Wait);
    scheduler.set_engines_with_evacuated([engine("b", "dc-b")], [engine("a", "dc-a")]);
    scheduler.note_end(100.0, WorkId(1, 0), WorkEnd::Finished);
    let decisions = scheduler.schedule_waiting(100.0);
    let [(_, id, Decision::Run(grant))] = &decisions[..] else {
        panic!("{decisions:?}");
    };
    assert_eq!((*id, grant.engine.as_str()), (WorkId(1, 90), "b"));
}

/// Guards against requests that wait until their deadline for engines that are all evacuated.
#[test]
fn requests_are_refused_at_once_while_all_engines_are_evacuated() {
    let mut scheduler = scheduler_with_full_engine();
    assert_eq!(scheduler.submit(0.0, &node(), request(90)), Decision::Wait);
    scheduler.set_engines_with_evacuated([], [engine("a", "dc-a"), engine("b", "dc-b")]);
    let decisions = scheduler.schedule_waiting(10.0);
    assert!(matches!(
        &decisions[..],
        [(_, WorkId(1, 90), Decision::Refuse { .. })]
    ));
    let decision = scheduler.submit(20.0, &node(), request(91));
    assert!(matches!(decision, Decision::Refuse { retry_after_ms } if retry_after_ms > 0.0));
    assert_eq!(scheduler.waiting(), 0);
    // Engines that restart are no evacuation.
    scheduler.set_engines([]);
    assert_eq!(scheduler.submit(30.0, &node(), request(92)), Decision::Wait);
}

fn upstream(id: &str, data_centre: &str, draining: bool) -> Upstream {
    Upstream {
        id: UpstreamId::new(id),
        service: ServiceName::new("api"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: DataCentreName::new(data_centre),
        slots: 1,
        draining,
        started_at: Some(1),
        cold_left_ms: None,
    }
}

#[test]
fn service_is_evacuated_only_if_an_evacuation_is_the_reason() {
    let service = ServiceName::new("api");
    let mut directory = UpstreamDirectory::default();
    directory.begin_evacuation(&DataCentreName::new("dc-a"));
    assert!(!directory.is_service_evacuated(&service), "no upstreams");
    directory.put(upstream("gone", "dc-a", true));
    assert!(!directory.is_service_evacuated(&service), "shutting down");
    directory.put(upstream("a", "dc-a", false));
    directory.put(upstream("leaving", "dc-b", true));
    assert!(directory.is_service_evacuated(&service));
    directory.put(upstream("b", "dc-b", false));
    assert!(!directory.is_service_evacuated(&service));
}

#[test]
fn missing_evacuation_ends_at_its_deadline_unless_it_is_written_again() {
    let (a, b) = (DataCentreName::new("dc-a"), DataCentreName::new("dc-b"));
    let at = |ms| BootTime::new(Duration::from_millis(ms));
    let mut directory = UpstreamDirectory::default();
    for name in [&a, &b] {
        assert!(directory.begin_evacuation(name));
        directory.mark_evacuation_missing(name, at(2_000));
        // A later reading does not extend it.
        directory.mark_evacuation_missing(name, at(9_000));
    }
    assert_eq!(directory.listed_evacuations().count(), 0);
    assert!(!directory.begin_evacuation(&b));
    assert!(directory.end_expired_evacuations(at(1_999)).is_empty());
    assert_eq!(directory.end_expired_evacuations(at(2_000)), [a]);
    assert_eq!(directory.evacuated().collect::<Vec<_>>(), [&b]);
}

/// Guards against messages between versions that can't be decoded, or that are taken for complete.
#[test]
fn messages_of_the_earlier_form_are_decoded_without_evacuations() {
    let evidence = PeerEvidence {
        version: 7,
        age_ms: 5,
        position: StorePosition::new(1, 9),
    };
    let changes = PeerChanges {
        config: None,
        evidence,
        upstreams: Vec::new(),
        evacuations: Some(vec![EvacuationChange::Begun(DataCentreName::new("dc-a"))]),
        missing_grace_ms: 0,
    };
    let state = PeerState {
        evidence,
        config: ServingConfig::new(7),
        upstreams: vec![upstream("a", "dc-a", false)],
        evacuated: Some(vec![DataCentreName::new("dc-a")]),
    };
    let messages = [
        SchedulerMessage::Changes {
            changes: Some(Box::new(changes)),
        },
        SchedulerMessage::State {
            state: Some(Box::new(state)),
        },
    ];
    for msg in messages {
        let mut json = serde_json::to_value(&msg).unwrap();
        assert_eq!(
            serde_json::from_value::<SchedulerMessage>(json.clone()).unwrap(),
            msg
        );
        for (outer, inner) in [("Changes", "changes"), ("State", "state")] {
            if let Some(fields) = json.pointer_mut(&format!("/{outer}/{inner}")) {
                let fields = fields.as_object_mut().unwrap();
                let removed = [fields.remove("evacuations"), fields.remove("evacuated")];
                assert_ne!(removed, [None, None]);
            }
        }
        match serde_json::from_value(json).unwrap() {
            SchedulerMessage::Changes { changes } => {
                assert_eq!(changes.unwrap().evacuations, None);
            }
            SchedulerMessage::State { state } => assert_eq!(state.unwrap().evacuated, None),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(
        json!(EvacuationChange::Ended(DataCentreName::new("x"))),
        json!({"Ended": "x"})
    );
}

#[test]
fn evacuated_is_a_reason_of_its_own_and_states_when_to_retry() {
    let rejection = Rejection::Evacuated;
    assert_eq!(
        (rejection.status().as_u16(), rejection.name()),
        (503, "evacuated")
    );
    assert!(rejection.retry_after().is_some());
}
