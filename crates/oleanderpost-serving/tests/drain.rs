//! What a node that is told to stop still takes.

use std::time::Duration;

use oleanderpost_serving::{BootTime, Drain};

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

/// Play `mix --seed 205564905160` of agceg-citas: a stream that came 4.76 s after SIGTERM was cut when the
/// node stopped at 7.5 s.
#[test]
fn long_request_late_in_the_drain_is_not_begun() {
    let began = BootTime::new(secs(100.0));
    let drain = Drain::new(began, secs(7.5));
    assert!(!drain.admits(began.after(secs(4.76)), secs(10.0)));
}

#[test]
fn long_request_early_in_the_drain_is_begun() {
    let began = BootTime::new(secs(100.0));
    let drain = Drain::new(began, secs(7.5));
    assert!(drain.admits(began.after(secs(1.0)), secs(10.0)));
}

#[test]
fn short_request_is_begun_while_its_limit_fits() {
    let began = BootTime::new(secs(100.0));
    let drain = Drain::new(began, secs(7.5));
    assert!(drain.admits(began.after(secs(6.0)), secs(1.0)));
    assert!(!drain.admits(began.after(secs(6.6)), secs(1.0)));
}
