//! Rate limit of log lines about requests.

use std::time::Duration;

use oleanderpost_serving::{BootTime, LogRateLimiter};

#[test]
fn request_flood_writes_a_bounded_number_of_lines() {
    let at = |ms: u64| BootTime::new(Duration::from_millis(ms));
    let limiter = LogRateLimiter::new(at(0));
    let written = (0..10_000)
        .filter(|ms| (0..10).any(|_| limiter.try_take(at(*ms))))
        .count();
    assert!(written <= 300 + 150 * 10 + 1, "{written}");
    let suppressed = limiter.take_suppressed(at(10_000)).unwrap();
    assert!(suppressed > 0);
    assert_eq!(limiter.take_suppressed(at(10_500)), None);
}
