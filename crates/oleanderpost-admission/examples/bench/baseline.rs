//! Baseline policies that choose engines without owners.

use std::{
    cell::RefCell,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use oleanderpost_admission::{AdmissionRequest, Band};
use oleanderpost_standin::{EventStream, Submission};
use oleanderpost_types::{Priority, ReservationRequest, StreamEvent, Tokens};
use tokio::time::{Instant, sleep, timeout_at};

use super::Policy;
use crate::support::{Outcome, TestFleet, engine_id, vm};

/// Delay before a full engine or group is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Number of requests in flight by node and engine.
pub(super) struct InFlight(Vec<Vec<u32>>);

impl InFlight {
    pub(super) fn new(nodes: usize, engines: usize) -> Self {
        Self(vec![vec![0; engines]; nodes])
    }
}

/// Chooses `count` engines; the first one receives the request.
fn choose(
    fleet: &TestFleet,
    policy: Policy,
    round_robin: &AtomicUsize,
    in_flight: &RefCell<InFlight>,
    node: usize,
    count: usize,
) -> Vec<usize> {
    let engines = fleet.config.engines;
    let start = round_robin.fetch_add(1, Ordering::Relaxed);
    let mut order: Vec<usize> = (0..engines).map(|i| (start + i) % engines).collect();
    match policy {
        Policy::RoundRobin => {}
        Policy::EqualShares => {
            let is_other_share = |i: &usize| *i * 7 / engines != node;
            order.sort_by_key(|i| (is_other_share(i), in_flight.borrow().0[node][*i]));
        }
        _ => order.sort_by_key(|i| in_flight.borrow().0[node][*i]),
    }
    order.truncate(count);
    order.sort_unstable();
    order
}

pub(super) async fn run_request(
    fleet: &TestFleet,
    policy: Policy,
    round_robin: &Arc<AtomicUsize>,
    in_flight: &RefCell<InFlight>,
    node: usize,
    req: AdmissionRequest,
) -> Outcome {
    let start = Instant::now();
    let need = req.prompt.get() + req.max_tokens.get();
    let count = need.div_ceil(fleet.config.memory) as usize;
    loop {
        let chosen = choose(fleet, policy, round_robin, in_flight, node, count);
        if let Some(events) = submit(fleet, policy, &chosen, &req) {
            chosen
                .iter()
                .for_each(|i| in_flight.borrow_mut().0[node][*i] += 1);
            let served = read_answer(events, start, &req).await;
            if matches!(served, Outcome::Failed { .. }) {
                fleet
                    .environment
                    .engine(&engine_id(chosen[0]))
                    .cancel(req.key, None);
            }
            release(fleet, &chosen, &req);
            chosen
                .iter()
                .for_each(|i| in_flight.borrow_mut().0[node][*i] -= 1);
            return served;
        }
        if Instant::now() + RETRY_DELAY >= req.deadline {
            return Outcome::Failed {
                after: start.elapsed(),
            };
        }
        sleep(RETRY_DELAY).await;
    }
}

fn submit(
    fleet: &TestFleet,
    policy: Policy,
    chosen: &[usize],
    req: &AdmissionRequest,
) -> Option<EventStream> {
    let count = chosen.len() as u64;
    let part = (req.prompt.get() + req.max_tokens.get()).div_ceil(count) + 256;
    if count > 1 {
        let reservation = ReservationRequest {
            key: req.key,
            tokens: Tokens::new(part),
            holder: vm(0),
            expires: (req.deadline - Instant::now()).into(),
        };
        let reserved = chosen.iter().all(|i| {
            fleet
                .environment
                .engine(&engine_id(*i))
                .reserve(&reservation)
                .is_ok()
        });
        if !reserved {
            release(fleet, chosen, req);
            return None;
        }
    }
    let band = Band::with_prompt(req.prompt, &[4_000, 100_000, 1_000_000].map(Tokens::new));
    let priority = match policy {
        Policy::LeastInFlightWithPriority => band.priority(Priority::default()),
        _ => Priority::default(),
    };
    let mut submission = Submission::new(req.key, req.prompt, req.max_tokens.get())
        .with_priority(priority)
        .with_group_size(count);
    if count > 1 {
        submission = submission.with_reservation(req.key);
    }
    fleet
        .environment
        .engine(&engine_id(chosen[0]))
        .submit(submission)
        .ok()
}

fn release(fleet: &TestFleet, chosen: &[usize], req: &AdmissionRequest) {
    for i in chosen {
        fleet.environment.engine(&engine_id(*i)).release(req.key);
    }
}

async fn read_answer(mut events: EventStream, start: Instant, req: &AdmissionRequest) -> Outcome {
    let mut first_token = None;
    loop {
        match timeout_at(req.deadline, events.next()).await {
            Ok(Some(StreamEvent::Token { .. })) => {
                first_token.get_or_insert(start.elapsed());
            }
            Ok(Some(StreamEvent::End { .. })) => {
                let total = start.elapsed();
                let first_token = first_token.unwrap_or(total);
                return Outcome::Completed { first_token, total };
            }
            _ => {
                return Outcome::Failed {
                    after: start.elapsed(),
                };
            }
        }
    }
}
