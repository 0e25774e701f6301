//! Which requests a draining node admits.

use std::time::Duration;

use oleanderpost_serving::{BootTime, Drain};

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

/// Guards against a fault seen in the agceg-citas run `mix --seed 205564905160`: a stream that arrived 4.76 s
/// after SIGTERM was admitted, and was cut off when the node stopped at 7.5 s.
#[test]
fn long_request_is_rejected_late_in_the_drain() {
    let started_at = BootTime::new(secs(100.0));
    let drain = Drain::new(started_at, secs(7.5));
    assert!(!drain.admits(started_at.after(secs(4.76)), secs(10.0)));
}

#[test]
fn long_request_is_admitted_early_in_the_drain() {
    let started_at = BootTime::new(secs(100.0));
    let drain = Drain::new(started_at, secs(7.5));
    assert!(drain.admits(started_at.after(secs(1.0)), secs(10.0)));
}

#[test]
fn short_request_is_admitted_while_its_time_limit_fits() {
    let started_at = BootTime::new(secs(100.0));
    let drain = Drain::new(started_at, secs(7.5));
    assert!(drain.admits(started_at.after(secs(6.0)), secs(1.0)));
    assert!(!drain.admits(started_at.after(secs(6.6)), secs(1.0)));
}
