//! Stateful fuzzing of claims: random operations and faults, and an oracle that counts the runs of each key.
//!
//! `OLEANDERPOST_FUZZ_SEEDS=first:count` runs other seeds than the default ones.

mod fleet;
mod history;

use bolero::{ValueGenerator, generator::bolero_generator::driver};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::history::{History, Operation};

/// Seeds of the default run: first seed and number of seeds.
const DEFAULT_SEEDS: (u64, u64) = (1, 60);
/// Seeds that found a violation in an earlier version of the protocol, or in a version with one of its rules
/// removed.
const REGRESSION_SEEDS: [u64; 7] = [1_060, 1_724, 2_362, 2_755, 3_306, 5_313, 6_979];
/// Number of operations in one history.
const OPERATIONS: usize = 100;

fn seeds() -> (u64, u64) {
    let Ok(text) = std::env::var("OLEANDERPOST_FUZZ_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (first, count) = text.split_once(':').expect("first:count");
    (
        first.parse().expect("first seed"),
        count.parse().expect("number of seeds"),
    )
}

fn operations(seed: u64) -> Vec<Operation> {
    let mut bytes = vec![0; OPERATIONS * size_of::<Operation>()];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let options = driver::Options::default();
    let mut driver = driver::ByteSliceDriver::new(&bytes, &options);
    let generator = bolero::generator::produce::<Operation>();
    (0..OPERATIONS)
        .map(|_| generator.generate(&mut driver).expect("an operation"))
        .collect()
}

#[test]
fn no_key_runs_twice() {
    let (first, count) = seeds();
    let mut total = history::Totals::default();
    for seed in (first..first + count).chain(REGRESSION_SEEDS) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let totals = runtime.block_on(History::run_operations(seed, &operations(seed)));
        total.add(&totals);
    }
    println!("{total:?}");
    assert!(total.runs > 0 && total.refused > 0);
}
