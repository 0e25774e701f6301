//! [`SlowEngineTable`].

use std::collections::BTreeMap;

use crate::{SignalVersion, SlowEngine, SlowEngineChanges, UpstreamId};

/// Maximum number of changes in one message, some seven kilobytes; later messages carry the others.
const MAX_CHANGES: usize = 64;
/// Minimum time between two comparisons with the measured speeds, in milliseconds. Nodes send heartbeats twice per
/// second, so shorter intervals would not reach them sooner.
const MIN_UPDATE_INTERVAL_MS: f64 = 250.0;
/// Relative difference from which on a factor counts as changed. Measured factors vary by as much between first events.
const MIN_CHANGE: f64 = 0.2;
/// Age of a stated measurement after which a newer one counts as a change, in milliseconds: half of the time for which
/// measurements are valid.
const RENEWAL_MS: f64 = 1_000.0;
/// Time for which nodes are told that an engine is no longer slow, in milliseconds; longer than a node is silent
/// before its requests are dropped.
const ENDED_TTL_MS: f64 = 10_000.0;

/// Speed of an engine as last told to nodes.
#[derive(Clone, Debug)]
struct Stated {
    started_at: Option<u64>,
    factor: f64,
    measured_at: f64,
    /// Number of the change.
    number: u64,
}

/// The changes in the measured speeds of engines, numbered so that each node is told only what it has not seen.
///
/// All times are milliseconds on a clock supplied by the caller.
#[derive(Debug, Default)]
pub(crate) struct SlowEngineTable {
    stated: BTreeMap<UpstreamId, Stated>,
    version: SignalVersion,
    updated_at: Option<f64>,
}

impl SlowEngineTable {
    /// Creates an empty table. `start_id` must be unique among all starts of all nodes.
    pub(crate) fn new(start_id: u64) -> Self {
        Self {
            version: SignalVersion {
                start_id,
                number: 0,
            },
            ..Self::default()
        }
    }

    /// Whether the table should be compared with the measured speeds again.
    pub(crate) fn is_due(&self, now: f64) -> bool {
        self.updated_at
            .is_none_or(|at| now - at >= MIN_UPDATE_INTERVAL_MS)
    }

    /// Compares the table with all slow engines at present.
    pub(crate) fn update(&mut self, now: f64, slow: &[SlowEngine]) {
        self.updated_at = Some(now);
        for engine in slow {
            let measured_at = now - engine.age_ms;
            let is_same = self.stated.get(&engine.upstream).is_some_and(|stated| {
                stated.started_at == engine.started_at
                    && (stated.factor - engine.factor).abs() <= stated.factor * MIN_CHANGE
                    && measured_at - stated.measured_at <= RENEWAL_MS
            });
            if !is_same {
                self.state(
                    &engine.upstream,
                    engine.started_at,
                    engine.factor,
                    measured_at,
                );
            }
        }
        let is_slow = |id: &UpstreamId| slow.iter().any(|engine| engine.upstream == *id);
        let ended: Vec<_> = self
            .stated
            .iter()
            .filter(|(id, stated)| stated.factor > 1.0 && !is_slow(id))
            .map(|(id, stated)| (id.clone(), stated.started_at))
            .collect();
        for (id, started_at) in ended {
            self.state(&id, started_at, 1.0, now);
        }
        self.stated
            .retain(|_, stated| stated.factor > 1.0 || now - stated.measured_at <= ENDED_TTL_MS);
    }

    /// The oldest changes after `seen`, at most [`MAX_CHANGES`]; `None` if there are none.
    pub(crate) fn changes_since(&self, now: f64, seen: SignalVersion) -> Option<SlowEngineChanges> {
        let after = if seen.start_id == self.version.start_id {
            seen.number
        } else {
            0
        };
        let mut unseen: Vec<_> = self
            .stated
            .iter()
            .filter(|(_, stated)| stated.number > after)
            .collect();
        unseen.sort_by_key(|(_, stated)| stated.number);
        unseen.truncate(MAX_CHANGES);
        let number = unseen.last()?.1.number;
        let engines = unseen.into_iter().map(|(id, stated)| SlowEngine {
            upstream: id.clone(),
            started_at: stated.started_at,
            factor: stated.factor,
            age_ms: now - stated.measured_at,
        });
        Some(SlowEngineChanges {
            version: SignalVersion {
                number,
                ..self.version
            },
            engines: engines.collect(),
        })
    }

    fn state(&mut self, id: &UpstreamId, started_at: Option<u64>, factor: f64, measured_at: f64) {
        self.version.number += 1;
        let stated = Stated {
            started_at,
            factor,
            measured_at,
            number: self.version.number,
        };
        self.stated.insert(id.clone(), stated);
    }
}
