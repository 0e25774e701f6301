//! Fencing numbers derived from the published configuration files.

use oleanderpost_types::{FencingNumber, Generation, Revision};

/// Number of low bits of a fencing number used for the revision.
const REVISION_BITS: u32 = 24;

/// Fencing number of a configuration, computed from the generation and revision of each file, including
/// deleted ones.
///
/// Nodes keep the greater (generation, revision) of each file. Each such change increases the sum over the
/// files, so a newer configuration has a greater number on every node, and equal configurations have equal
/// numbers. This no longer holds once the sum of the generations reaches 2^40, or if two files of one
/// generation both have revisions above 2^24.
#[must_use]
pub fn fencing_number(files: impl IntoIterator<Item = (Generation, Revision)>) -> FencingNumber {
    let sum = files
        .into_iter()
        .fold(0, |sum: u64, (generation, revision)| {
            let generation = generation.get().saturating_mul(1 << REVISION_BITS);
            let revision = revision.get().min((1 << REVISION_BITS) - 1);
            sum.saturating_add(generation.saturating_add(revision))
        });
    FencingNumber::new(sum)
}
