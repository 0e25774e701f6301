//! Test values generated from fixed seeds.

use bolero::generator::{
    TypeGenerator,
    bolero_generator::driver::{Options, bytes::Driver},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of random bytes from which one value is generated.
const INPUT_LEN: usize = 4096;

/// Seeds of this run: the range `OLEANDERPOST_FUZZ_SEEDS=START..END` if set, or else `0..count`.
pub(crate) fn seeds(count: u64) -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("OLEANDERPOST_FUZZ_SEEDS") else {
        return 0..count;
    };
    let (start, end) = text.split_once("..").expect("START..END");
    start.parse().expect("a start")..end.parse().expect("an end")
}

/// Generates the value for a seed.
pub(crate) fn value<T: TypeGenerator>(seed: u64) -> T {
    let mut input = vec![0; INPUT_LEN];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut input);
    let options = Options::default().with_max_len(INPUT_LEN);
    let mut driver = Driver::new(input, &options);
    T::generate(&mut driver).expect("enough bytes")
}
