//! Orders to engines: derivation of targets, fencing, outdated orders, and limits on loads.

mod engines;

use std::{sync::Arc, time::Duration};

use oleanderpost_claims::{OrderLimits, OrderStatus, fencing_number};
use oleanderpost_types::{EngineRole, FencingNumber, Generation, ModelName, Order, Revision, VmId};
use tokio::time::{Instant, sleep};

use crate::engines::{Engines, OrderingNode, engine_name, service};

/// Limits that do not delay loads.
fn unpaced_limits() -> OrderLimits {
    OrderLimits {
        max_concurrent_loads: 100,
        loads_per_second: 1_000.0,
        ..OrderLimits::default()
    }
}

fn versions(engines: &Engines, count: usize) -> Vec<u64> {
    (0..count)
        .map(|number| engines.state(&engine_name(number)).version)
        .collect()
}

fn order_for(version: u64, fencing: u64) -> Order {
    Order {
        fencing: FencingNumber::new(fencing),
        holder: VmId::new("entry-9").unwrap(),
        model: ModelName::new("drafting").unwrap(),
        version,
        adapters: Vec::new(),
        role: EngineRole::Both,
    }
}

#[test]
fn rollouts_only_grow_with_the_percentage_and_ignore_the_order_of_engines() {
    let mut before: Vec<_> = Vec::new();
    for percent in 0..=100 {
        let mut plan = service(16, 1, percent);
        let targets = plan.engine_targets();
        plan.engines.reverse();
        assert_eq!(targets, plan.engine_targets());
        let changed: Vec<_> = targets
            .iter()
            .filter(|t| t.version == 2)
            .map(|t| t.engine.clone())
            .collect();
        assert_eq!(changed.len(), (16 * usize::from(percent)).div_ceil(100));
        assert!(before.iter().all(|engine| changed.contains(engine)));
        before = changed;
    }
}

#[test]
fn fencing_numbers_rise_with_each_change_of_a_file() {
    let number = |files: &[(u64, u64)]| {
        let files = files
            .iter()
            .map(|(g, r)| (Generation::new(*g), Revision::new(*r)));
        fencing_number(files)
    };
    assert!(number(&[(5, 10)]) > number(&[(4, 11)]));
    assert!(number(&[(5, 11)]) > number(&[(5, 10)]));
    assert!(number(&[(5, 10), (1, 12)]) > number(&[(5, 10)]));
    assert!(number(&[(1, 1)]) < number(&[(1_765_000_000, 2)]));
    assert!(number(&[(u64::MAX, 1)]) >= number(&[(u64::MAX - 1, 1)]));
    assert_eq!(number(&[(5, 10), (1, 12)]), number(&[(1, 12), (5, 10)]));
}

#[tokio::test(start_paused = true)]
async fn engines_reach_their_targets() {
    let engines = Engines::new(14, true);
    let node = OrderingNode::new(0, &engines, unpaced_limits());
    node.accept(7, &service(14, 1, 50), |_| true);
    sleep(Duration::from_secs(9)).await;
    let held = versions(&engines, 14)
        .iter()
        .filter(|version| **version == 2)
        .count();
    assert_eq!(held, 7);
    let dump = node.reconciler.dump();
    assert!(
        dump.engines
            .values()
            .all(|status| *status == OrderStatus::Held)
    );
    assert_eq!(dump.orders, 7);
}

#[tokio::test(start_paused = true)]
async fn outdated_order_is_corrected_if_the_engine_ignores_fencing() {
    let engines = Engines::new(3, false);
    let node = OrderingNode::new(0, &engines, unpaced_limits());
    node.accept(7, &service(3, 1, 100), |_| true);
    sleep(Duration::from_secs(9)).await;
    engines
        .apply_order(&engine_name(1), order_for(1, 3))
        .unwrap();
    let started = Instant::now();
    while engines.state(&engine_name(1)).loading || engines.state(&engine_name(1)).version != 2 {
        node.accept(7, &service(3, 1, 100), |_| true);
        sleep(Duration::from_millis(100)).await;
    }
    assert!(
        started.elapsed() <= Duration::from_secs(9),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(node.reconciler.dump().corrections, 1);
}

#[tokio::test(start_paused = true)]
async fn outdated_order_is_refused_if_the_engine_honours_fencing() {
    let engines = Engines::new(3, true);
    let node = OrderingNode::new(0, &engines, unpaced_limits());
    node.accept(7, &service(3, 1, 100), |_| true);
    sleep(Duration::from_secs(9)).await;
    engines
        .apply_order(&engine_name(1), order_for(1, 3))
        .unwrap_err();
    assert_eq!(engines.state(&engine_name(1)).version, 2);
}

#[tokio::test(start_paused = true)]
async fn node_resumed_with_an_outdated_plan_sends_no_order() {
    for honours_fencing in [false, true] {
        let engines = Engines::new(3, honours_fencing);
        let outdated = OrderingNode::new(0, &engines, unpaced_limits());
        engines.set_paused(&outdated.vm, true);
        outdated.accept(6, &service(3, 1, 0), |_| true);
        sleep(Duration::from_secs(30)).await;
        let node = OrderingNode::new(1, &engines, unpaced_limits());
        node.accept(7, &service(3, 1, 100), |_| true);
        sleep(Duration::from_secs(9)).await;
        engines.set_paused(&outdated.vm, false);
        sleep(Duration::from_secs(9)).await;
        assert_eq!(versions(&engines, 3), [2, 2, 2]);
        let holders = engines.orders.lock().unwrap();
        assert!(holders.iter().all(|(_, order)| order.holder == node.vm));
    }
}

#[tokio::test(start_paused = true)]
async fn no_order_is_sent_for_an_unconfirmed_configuration() {
    let engines = Engines::new(3, false);
    let node = OrderingNode::new(0, &engines, unpaced_limits());
    node.accept(7, &service(3, 1, 0), |_| true);
    sleep(Duration::from_secs(20)).await;
    engines
        .apply_order(&engine_name(0), order_for(2, 1))
        .unwrap();
    sleep(Duration::from_secs(20)).await;
    assert_eq!(versions(&engines, 3), [2, 1, 1]);
    assert_eq!(
        node.reconciler.dump().engines[&engine_name(0)],
        OrderStatus::Stale
    );
}

#[tokio::test(start_paused = true)]
async fn loads_are_paced_across_the_fleet_and_limited_per_node() {
    let engines = Engines::new(20, true);
    let limits = OrderLimits {
        loads_per_second: 0.5,
        ..OrderLimits::default()
    };
    let nodes: Vec<_> = (0..2)
        .map(|number| OrderingNode::new(number, &engines, limits))
        .collect();
    let nodes = Arc::new(nodes);
    for _ in 0..60 {
        for (number, node) in nodes.iter().enumerate() {
            let number = u32::try_from(number).unwrap();
            node.accept(7, &service(20, 1, 100), |target| target.rank % 2 == number);
        }
        sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(versions(&engines, 20), [2; 20]);
    let max_loads = *engines.max_concurrent_loads.lock().unwrap();
    assert!(max_loads <= 3, "{max_loads} loads at once");
    let orders = engines.orders.lock().unwrap();
    let span = orders.last().unwrap().0 - orders[0].0;
    assert!(span >= Duration::from_secs(36), "{span:?}");
}

#[tokio::test(start_paused = true)]
async fn node_with_an_older_configuration_sends_no_order_if_the_engine_ignores_fencing() {
    let engines = Engines::new(1, false);
    let node = OrderingNode::new(0, &engines, unpaced_limits());
    let newer = fencing_number([(Generation::new(7), Revision::new(7))]);
    engines
        .apply_order(&engine_name(0), order_for(2, newer.get()))
        .unwrap();
    for _ in 0..20 {
        node.accept(6, &service(1, 1, 0), |_| true);
        sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(versions(&engines, 1), [2]);
    assert_eq!(
        node.reconciler.dump().engines[&engine_name(0)],
        OrderStatus::Outranked
    );
}

#[tokio::test(start_paused = true)]
async fn correction_of_an_engine_is_not_paced() {
    let engines = Engines::new(6, false);
    let limits = OrderLimits {
        loads_per_second: 0.001,
        ..OrderLimits::default()
    };
    let node = OrderingNode::new(0, &engines, limits);
    let plan = service(6, 1, 0);
    let last = plan.engine_targets().pop().unwrap().engine;
    node.accept(7, &plan, |_| true);
    sleep(Duration::from_secs(3)).await;
    engines.apply_order(&last, order_for(2, 1)).unwrap();
    for _ in 0..10 {
        node.accept(7, &plan, |_| true);
        sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(versions(&engines, 6), [1; 6]);
}

#[tokio::test(start_paused = true)]
async fn concurrent_loads_of_one_node_are_limited() {
    let engines = Engines::new(8, true);
    let limits = OrderLimits {
        max_concurrent_loads: 2,
        ..unpaced_limits()
    };
    let node = OrderingNode::new(0, &engines, limits);
    for _ in 0..40 {
        node.accept(7, &service(8, 1, 100), |_| true);
        sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(versions(&engines, 8), [2; 8]);
    assert_eq!(*engines.max_concurrent_loads.lock().unwrap(), 2);
}
