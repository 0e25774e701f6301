//! Rendezvous hashing: all nodes that know the same candidates choose the same one.

use std::hash::Hasher;

use xxhash_rust::xxh3::Xxh3;

/// Weight of a candidate for an item; the candidate with the greatest weight is chosen.
pub(crate) fn weight(item: &str, candidate: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(item.as_bytes());
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    hasher.finish()
}
