//! CPU time of submitting one request and of one pass over the waiting requests, by the number of engines and
//! of waiting requests.

use std::time::{Duration, Instant};

use clap::Parser;
use oleanderpost_serving::{
    DataCentreName, EngineProfile, Scheduler, UpstreamId, Work, WorkEnd, WorkId,
};
use oleanderpost_types::VmId;

/// Engine counts of the two current fleets, of the two grown fleets, and of one cell of the fleet expected
/// in two years.
const ENGINES: [usize; 4] = [6, 18, 54, 480];
/// Fraction of the engine slots that running requests occupy.
const OCCUPANCY: f64 = 0.95;
/// Deadline of each request, in milliseconds.
const DEADLINE_MS: f64 = 10_000.0;

#[derive(Clone, Copy, Debug, Parser)]
struct Args {
    /// Repetitions of each operation; the median is printed.
    #[arg(long, default_value_t = 31)]
    repeat: usize,
}

fn main() {
    let args = Args::parse();
    println!("engines waiting ask_us review_us");
    for engines in ENGINES {
        for waiting in [0, 20, 200] {
            measure(engines, waiting, args.repeat);
        }
    }
}

fn measure(engines: usize, waiting: u64, repeat: usize) {
    let mut scheduler = full_scheduler(engines);
    let node = VmId::new("node-1").expect("the name is short");
    for id in 0..waiting {
        // One in ten waiting requests has a long prompt.
        let work = if id % 10 == 0 {
            long_request(id)
        } else {
            short_request(id)
        };
        scheduler.submit(1_000.0, &node, work);
    }
    let waiting_count = scheduler.waiting();
    let mut submit_times = Vec::new();
    let mut schedule_times = Vec::new();
    for round in 0..repeat {
        let work = short_request(1_000_000 + round as u64);
        let id = work.id;
        let start = Instant::now();
        scheduler.submit(1_001.0, &node, work);
        submit_times.push(start.elapsed());
        scheduler.note_end(1_001.0, id, WorkEnd::Cancelled);
        let start = Instant::now();
        scheduler.schedule_waiting(1_001.0);
        schedule_times.push(start.elapsed());
    }
    println!(
        "{engines} {waiting_count} {:.1} {:.1}",
        micros(submit_times),
        micros(schedule_times)
    );
}

/// Returns a scheduler whose engines are filled to [`OCCUPANCY`] with short requests that are decoding.
fn full_scheduler(engines: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(profile());
    scheduler.set_engines((0..engines).map(|number| {
        let id = UpstreamId::new(&format!("i-{number:08x}"));
        (id, DataCentreName::new("dc-a"))
    }));
    let node = VmId::new("node-0").expect("the name is short");
    let running = (engines as f64 * f64::from(profile().slots) * OCCUPANCY) as u64;
    for number in 0..running {
        let work = short_request(10_000_000 + number);
        let engine = UpstreamId::new(&format!("i-{:08x}", number % engines as u64));
        scheduler.adopt(0.0, &node, &work, &engine, true);
    }
    scheduler
}

fn short_request(id: u64) -> Work {
    Work {
        id: WorkId(1, id),
        prompt: 5_000.0 + (id % 97) as f64 * 100.0,
        answer: 1_300.0,
        answer_limit: 2_600.0,
        objective_ms: 300.0,
        pause_ms: 250.0,
        deadline_ms: DEADLINE_MS,
        priority: 1,
        data_centre: DataCentreName::new("dc-a"),
        excluded: Vec::new(),
        parts: Vec::new(),
        patience_ms: None,
        node_stops_ms: None,
    }
}

fn long_request(id: u64) -> Work {
    Work {
        prompt: 190_000.0,
        objective_ms: 3_000.0,
        pause_ms: 1_000.0,
        ..short_request(id)
    }
}

/// Profile of the engines of the grown fleets, as stated by their operator.
fn profile() -> EngineProfile {
    EngineProfile {
        slots: 12,
        memory_tokens: 197_200.0,
        steps_per_pass: 48.0,
        chunk_tokens: 2_048.0,
        step_ms: 1.02,
        per_sequence_ms: 0.00226,
        per_context_ms: 0.00431,
        prefill_tokens_per_ms: 206.0,
        per_pairs_ms: 0.138,
        hop_ms: 0.075,
        usual_prompt: 12_000.0,
        usual_answer: 1_300.0,
    }
}

/// Returns the median in microseconds.
fn micros(mut times: Vec<Duration>) -> f64 {
    times.sort();
    times[times.len() / 2].as_secs_f64() * 1e6
}
