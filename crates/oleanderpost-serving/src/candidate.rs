//! [`Candidate`].

use std::cmp::{Ordering, Reverse};

use crate::{EngineLoad, Grant, PlacementEstimate, UpstreamId, Work};

/// An engine that could serve a request.
pub(crate) struct Candidate<'a> {
    pub(crate) id: &'a UpstreamId,
    pub(crate) load: &'a EngineLoad,
    pub(crate) estimate: PlacementEstimate,
}

impl<'a> Candidate<'a> {
    /// Grants this engine alone.
    pub(crate) fn grant(&self) -> Grant {
        Grant {
            engine: self.id.clone(),
            helpers: Vec::new(),
            readers: Vec::new(),
            reserve_tokens: None,
            first_event_ms: self.estimate.first_event_ms,
            limited: Vec::new(),
        }
    }

    /// Orders candidates; the greatest is the best.
    ///
    /// First come the engines with a caller who tolerates no longer pauses than the caller of `work`, the
    /// fullest of them before the others; then idle engines; then engines whose callers all tolerate longer
    /// pauses, because the request would prevent them from taking similar ones. Engines that are slower than
    /// comparable ones come after these. Cold engines come last, those with the fewest requests first, so that the
    /// requests are spread over them.
    pub(crate) fn compare(&self, other: &Self, work: &Work) -> Ordering {
        let key = |c: &Candidate<'a>| {
            let preference = if c.load.is_empty() {
                1
            } else if c.load.shortest_pause() <= work.pause_ms * 1.01 {
                2
            } else {
                0
            };
            let cold_load = if c.load.is_cold() { c.load.len() } else { 0 };
            let same_data_centre = c.load.data_centre == work.data_centre;
            (
                !c.load.is_cold(),
                !c.estimate.slow,
                Reverse(cold_load),
                preference,
                c.load.len(),
                same_data_centre,
                c.id,
            )
        };
        key(self).cmp(&key(other))
    }
}
