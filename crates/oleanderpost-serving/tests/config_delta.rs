//! Differences between configurations that nodes send to each other.

use std::time::Duration;

use oleanderpost_serving::{
    Account, AccountName, CallerLimits, Route, Service, ServiceName, ServingConfig,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha20Rng;

/// A configuration with a random part of a few routes, services and keys.
fn random_config(rng: &mut ChaCha20Rng, version: u64) -> ServingConfig {
    let service = ServiceName::new("a");
    let mut routes = Vec::new();
    for n in 0..12 {
        if rng.random_bool(0.6) {
            let (host, prefix) = (format!("host-{}", n % 3), format!("/{n}/"));
            let target = (service.clone(), 1);
            let mut route = Route::new(&format!("r{n}"), &host, &prefix, [target]);
            route.timeout = Duration::from_secs(rng.random_range(1..4));
            routes.push(route);
        }
    }
    let accounts = (0..4).map(|n| {
        let account = Account {
            name: AccountName::new(&format!("account-{n}")),
            priority: rng.random_bool(0.5).then_some(n),
        };
        let keys = (0..3).filter(|_| rng.random_bool(0.6));
        (account, keys.map(|key| format!("key-{n}-{key}")).collect())
    });
    let accounts: Vec<(Account, Vec<String>)> = accounts.collect();
    let services = [(
        service,
        Service {
            max_connections: Some(rng.random_range(1..3)),
            engine: None,
            cold: None,
        },
    )];
    let config = ServingConfig::new(version)
        .with_routes(routes)
        .with_services(services)
        .with_caller_limits(CallerLimits {
            body_bytes: rng.random_range(1..3),
            ..CallerLimits::default()
        });
    if rng.random_bool(0.8) {
        config.with_accounts(accounts)
    } else {
        config
    }
}

#[test]
fn delta_leads_from_any_configuration_to_any_other() {
    let mut rng = ChaCha20Rng::seed_from_u64(1);
    for _ in 0..500 {
        let old = random_config(&mut rng, 3);
        let new = random_config(&mut rng, 9);
        let delta = new.delta_from(&old);
        let mut bytes = Vec::new();
        ciborium::into_writer(&delta, &mut bytes).unwrap();
        let delta = ciborium::from_reader(bytes.as_slice()).unwrap();
        assert_eq!(old.with_delta(delta), Some(new));
    }
}

#[test]
fn delta_from_another_version_is_refused() {
    let mut rng = ChaCha20Rng::seed_from_u64(2);
    let old = random_config(&mut rng, 3);
    let new = random_config(&mut rng, 9);
    let delta = new.delta_from(&old);
    assert_eq!(new.with_delta(delta), None);
}

#[test]
fn delta_between_similar_configurations_is_small() {
    let route = |n: u32| {
        let target = (ServiceName::new("a"), 1);
        Route::new(&format!("r{n}"), "host", &format!("/{n}/"), [target])
    };
    let old = ServingConfig::new(1).with_routes((0..1_000).map(route));
    let new = ServingConfig::new(2).with_routes((1..1_001).map(route));
    let delta = new.delta_from(&old);
    assert_eq!(delta.len(), 2);
    assert!(!delta.is_empty());
}
