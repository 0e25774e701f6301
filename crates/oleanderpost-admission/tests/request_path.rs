//! Requests through a small fleet complete.

mod support;

use std::time::Duration;

use oleanderpost_admission::Reason;
use support::{FleetConfig, Outcome, TestFleet, run_request, vm};
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(120);

async fn send_through(fleet: &TestFleet, node: usize, i: u64, prompt: u64) -> Outcome {
    let req = fleet.request(i, prompt, 32, LIMIT);
    let admission = fleet.node(node).unwrap();
    run_request(fleet.environment.clone(), admission, vm(node), req).await
}

#[tokio::test(start_paused = true)]
async fn prompts_of_every_length_complete_through_any_node() {
    let fleet = TestFleet::new(FleetConfig::default());
    sleep(Duration::from_secs(3)).await;
    for (i, prompt) in [1_000, 50_000, 300_000, 399_000, 900_000]
        .into_iter()
        .enumerate()
    {
        for node in 0..3 {
            let result = send_through(&fleet, node, (i * 3 + node) as u64, prompt).await;
            assert!(
                matches!(result, Outcome::Completed { .. }),
                "{prompt} via {node}: {result:?}"
            );
            println!("{prompt} via {node}: {result:?}");
        }
    }
    sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.held_memory(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_service_is_known_as_soon_as_the_directory_is_read() {
    let fleet = TestFleet::new(FleetConfig::default());
    sleep(Duration::from_secs(3)).await;
    let admission = fleet.node(0).unwrap();
    let services = std::mem::take(&mut *fleet.environment.services.lock().unwrap());
    admission.refresh();
    let refused = admission.admit(fleet.request(1, 1_000, 32, LIMIT)).await;
    assert_eq!(refused.unwrap_err().reason, Reason::UnknownService);
    *fleet.environment.services.lock().unwrap() = services;
    admission.refresh();
    let admitted = admission.admit(fleet.request(2, 1_000, 32, LIMIT)).await;
    assert!(admitted.is_ok(), "{admitted:?}");
}
