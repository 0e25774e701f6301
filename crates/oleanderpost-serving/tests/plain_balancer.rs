//! Selection of upstreams of plain services.

use std::{sync::Arc, time::Duration};

use oleanderpost_serving::{
    BootTime, DataCentreName, PlainBalancer, ServiceName, Upstream, UpstreamId,
};

fn upstreams() -> Vec<Arc<Upstream>> {
    let upstream = |id: &str| {
        Arc::new(Upstream {
            id: UpstreamId::new(id),
            service: ServiceName::new("api"),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: DataCentreName::new("dc-a"),
            slots: 6,
            draining: false,
            started_at: None,
            cold_left_ms: None,
        })
    };
    vec![upstream("a"), upstream("b")]
}

fn choose(balancer: &PlainBalancer, tried: &[UpstreamId], now: BootTime) -> UpstreamId {
    let chosen = balancer.choose(&upstreams(), tried, &DataCentreName::new("dc-a"), now);
    chosen.expect("an upstream").id.clone()
}

#[test]
fn upstream_whose_limit_has_ended_is_not_avoided_until_its_limit_would_have_allowed_a_request() {
    let (a, b) = (UpstreamId::new("a"), UpstreamId::new("b"));
    let balancer = PlainBalancer::default();
    let now = BootTime::now();
    balancer.begin_request(&b);
    balancer.note_permit_wait(&a, now.after(Duration::from_secs(10)));
    assert_eq!(choose(&balancer, &[], now), b);
    assert!(balancer.permit_wait(&a, now).is_some());
    balancer.retain_permit_waits(|id| *id == a);
    assert_eq!(choose(&balancer, &[], now), b);
    balancer.retain_permit_waits(|_| false);
    assert_eq!(choose(&balancer, &[], now), a);
    assert_eq!(balancer.permit_wait(&a, now), None);
}

#[test]
fn upstream_that_wanted_a_pause_gets_one_request_at_a_time_until_it_responds() {
    let (a, b) = (UpstreamId::new("a"), UpstreamId::new("b"));
    let balancer = PlainBalancer::default();
    let now = BootTime::now();
    balancer.note_pause(&a);
    for _ in 0..3 {
        balancer.begin_request(&b);
    }
    assert_eq!(choose(&balancer, &[], now), a);
    balancer.begin_request(&a);
    assert_eq!(choose(&balancer, &[], now), b);
    balancer.note_response(&a, false, Duration::from_millis(10), None, now);
    assert_eq!(choose(&balancer, &[], now), a);
}

/// Guards against attempts that are ended at a multiple of the objective: all responses of an upstream that is slower than
/// that were given up and asked for again.
#[test]
fn response_is_taken_to_be_lost_by_the_measured_service_time() {
    let (a, b) = (UpstreamId::new("a"), UpstreamId::new("b"));
    let balancer = PlainBalancer::default();
    let now = BootTime::now();
    assert_eq!(balancer.loss_timeout(&a), None);
    for n in 0..100 {
        let steady = Duration::from_millis(600);
        let varying = Duration::from_millis(if n % 2 == 0 { 100 } else { 300 });
        balancer.note_response(&a, false, steady, None, now);
        balancer.note_response(&b, false, varying, None, now);
    }
    let timeout = balancer.loss_timeout(&a).unwrap();
    let expected = Duration::from_millis(600)..Duration::from_millis(700);
    assert!(expected.contains(&timeout), "{timeout:?}");
    // The longest responses of an upstream with varying times are not lost.
    let timeout = balancer.loss_timeout(&b).unwrap();
    let expected = Duration::from_millis(400)..Duration::from_millis(1_000);
    assert!(expected.contains(&timeout), "{timeout:?}");
}
