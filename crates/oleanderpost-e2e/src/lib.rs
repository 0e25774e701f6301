//! End-to-end tests of oleanderpost with real processes. The tests are in `tests/`.
