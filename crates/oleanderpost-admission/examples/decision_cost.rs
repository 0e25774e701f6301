//! Measures CPU time and messages per admission decision, by number of engines and nodes.
//!
//! Requests are admitted through one node and closed one after another. The time covers the entry node,
//! the owner and message handling together, without sockets or serialization.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use oleanderpost_admission::Completion;
use oleanderpost_types::Tokens;
use support::{FleetConfig, TestFleet};

/// Number of decisions measured.
const DECISIONS: u64 = 2_000;
const LIMIT: Duration = Duration::from_secs(60);

fn main() {
    println!(
        "| nodes | engines | short prompt | long prompt | messages per short prompt | messages per long prompt |"
    );
    println!("|---|---|---|---|---|---|");
    for (nodes, engines) in [
        (1, 14),
        (7, 14),
        (7, 50),
        (7, 200),
        (7, 800),
        (30, 200),
        (60, 200),
        (60, 800),
    ] {
        let (short, short_messages) = measure(nodes, engines, 2_000);
        let (long, long_messages) = measure(nodes, engines, 200_000);
        println!(
            "| {nodes} | {engines} | {:.0} us | {:.0} us | {short_messages:.1} | {long_messages:.1} |",
            short.as_secs_f64() * 1e6,
            long.as_secs_f64() * 1e6,
        );
    }
}

fn measure(nodes: usize, engines: usize, prompt: u64) -> (Duration, f64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime can be built");
    runtime.block_on(async {
        let fleet = TestFleet::new(FleetConfig {
            nodes,
            engines,
            ..FleetConfig::default()
        });
        tokio::time::sleep(Duration::from_secs(3)).await;
        *fleet
            .environment
            .latency
            .lock()
            .expect("lock is not poisoned") = Duration::ZERO;
        let node = fleet.node(0).expect("node is running");
        let (mut spent, before) = (
            Duration::ZERO,
            *fleet
                .environment
                .messages
                .lock()
                .expect("lock is not poisoned"),
        );
        for i in 0..DECISIONS {
            let req = fleet.request(i, prompt, 100, LIMIT);
            let start = Instant::now();
            let permit = node
                .admit(req)
                .await
                .expect("an idle fleet admits the request");
            permit.record_first_token();
            permit.close(Completion::Finished {
                tokens: Tokens::new(100),
            });
            spent += start.elapsed();
        }
        let messages = *fleet
            .environment
            .messages
            .lock()
            .expect("lock is not poisoned")
            - before;
        (spent / DECISIONS as u32, messages as f64 / DECISIONS as f64)
    })
}
