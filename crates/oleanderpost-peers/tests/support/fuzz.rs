//! Seeds and generated operations for stateful fuzzing.

use bolero::{TypeGenerator, ValueGenerator, generator::bolero_generator::driver};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Seeds of this run: those of `OLEANDERPOST_FUZZ_SEEDS=first:count`, or `fixed` if it is not set.
pub fn seeds_or(fixed: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("OLEANDERPOST_FUZZ_SEEDS") else {
        return fixed;
    };
    let (first, count) = text.split_once(':').expect("first:count");
    let first = first.parse().expect("first seed");
    first..first + count.parse::<u64>().expect("number of seeds")
}

/// Generates `count` operations from `seed`.
pub fn generate_operations<T: TypeGenerator>(seed: u64, count: usize) -> Vec<T> {
    let mut bytes = vec![0; count * 16];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let options = driver::Options::default().with_max_len(bytes.len());
    let mut driver = driver::ByteSliceDriver::new(&bytes, &options);
    let generator = bolero::generator::produce::<T>();
    let drawn = (0..count).map(|_| generator.generate(&mut driver).expect("an operation"));
    drawn.collect()
}
