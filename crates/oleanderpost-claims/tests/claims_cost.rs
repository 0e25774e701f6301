//! Measures the time of a witness's answer for different numbers of nodes.
//!
//! `cargo test --release -p oleanderpost-claims --test claims_cost -- --nocapture` prints the figures;
//! `OLEANDERPOST_COST_NODES` sets other numbers of nodes, separated by commas.

mod fleet;

use oleanderpost_claims::{ClaimId, ClaimMessage, Limits};

use crate::fleet::{Fleet, vm_name};

/// Number of keys that the witness is asked to grant.
const KEYS: u64 = 3_000;

fn sizes() -> Vec<usize> {
    let text = std::env::var("OLEANDERPOST_COST_NODES").unwrap_or_else(|_| "7,20".to_owned());
    text.split(',')
        .map(|size| size.parse().expect("a number of nodes"))
        .collect()
}

#[tokio::test(start_paused = true)]
async fn cost_of_a_witness_answer() {
    for nodes in sizes() {
        let fleet = Fleet::with_nodes(nodes, Limits::default()).await;
        let witness = fleet.node(0);
        let keys: Vec<_> = (0..KEYS).map(|random| fleet.key_now(random)).collect();
        let started = std::time::Instant::now();
        let mut granted = 0;
        for key in keys {
            let claim = ClaimId::new();
            let answer = witness.handle(&vm_name(1), ClaimMessage::Ask { key, claim });
            granted += u64::from(matches!(answer, Some(ClaimMessage::Granted { .. })));
        }
        let micros_per_answer =
            started.elapsed().as_secs_f64() * 1e6 / f64::from(u32::try_from(KEYS).unwrap());
        let confirms = witness.dump().counters.confirms_sent;
        println!(
            "{nodes} nodes: {micros_per_answer:.2} us an answer, {granted} of {KEYS} granted, {confirms} confirms in 20 s"
        );
        assert!(granted > 0);
    }
}
