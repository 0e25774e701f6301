//! Tests of the coordination parts together: claims, admission and engines under faults, checked by one
//! oracle.
//!
//! `OLEANDERPOST_FUZZ_SEEDS=first:count cargo test --release -p oleanderpost-proof -- --nocapture` runs other
//! seeds than the default ones.
