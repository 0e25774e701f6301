//! [`AdmissionPolicy`].

use std::collections::{BTreeMap, HashMap};

use crate::{PartId, Work};

/// Share of the heavy requests of each class that are admitted while light ones need all slots. The users require a
/// quarter of the served share of all requests.
const HEAVY_SHARE: f64 = 0.3;
/// Most credit of a class, so that the first heavy requests of an overload are not all admitted.
const MAX_CREDIT: f64 = 2.0;
/// Most classes; a deployment has three to five.
const MAX_CLASSES: usize = 16;
/// Time for which a rejected request is remembered, in milliseconds: callers honour `Retry-After` up to a third of
/// a deadline of 15 s.
const RETURN_WINDOW_MS: f64 = 6_000.0;
/// Most rejected requests remembered.
const MAX_RETURNS: usize = 4_096;

/// Requests with the same priority and tolerated pause, which are those of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClassKey {
    priority: u8,
    pause_ms: u32,
}

impl ClassKey {
    pub(crate) fn new(work: &Work) -> Self {
        Self {
            priority: work.priority,
            pause_ms: work.pause_ms as u32,
        }
    }
}

/// Heavy requests of one class.
#[derive(Clone, Debug)]
struct TrafficClass {
    /// Number of requests that may be admitted while light ones need all slots; grows by [`HEAVY_SHARE`] with each
    /// arrival.
    credit: f64,
}

impl Default for TrafficClass {
    fn default() -> Self {
        Self { credit: 1.0 }
    }
}

/// What the scheduler knows of past decisions, as a basis for placing, queueing or rejecting the next requests.
///
/// Built for loads of 2.5 to 4 times the usual one, at which light requests need all slots: heavy ones would then wait
/// for engines that never fall idle, and light ones for slots that come too late.
#[derive(Debug, Default)]
pub(crate) struct AdmissionPolicy {
    classes: BTreeMap<ClassKey, TrafficClass>,
    /// Last parts of the prompts of rejected requests, and the times of their rejection.
    rejected: HashMap<PartId, f64>,
}

impl AdmissionPolicy {
    /// Whether a request that arrives returns after a rejection.
    pub(crate) fn take_return(&mut self, now: f64, work: &Work) -> bool {
        let last = work.parts.last();
        last.and_then(|part| self.rejected.remove(part))
            .is_some_and(|at| now - at <= RETURN_WINDOW_MS)
    }

    /// Records that a request was rejected, to recognize its return.
    pub(crate) fn note_rejection(&mut self, now: f64, work: &Work) {
        let Some(part) = work.parts.last() else {
            return;
        };
        if self.rejected.len() >= MAX_RETURNS {
            self.rejected.retain(|_, at| now - *at <= RETURN_WINDOW_MS);
        }
        if self.rejected.len() < MAX_RETURNS {
            self.rejected.insert(part.clone(), now);
        }
    }

    /// Whether one more heavy request may be admitted while light ones need all slots.
    pub(crate) fn admit_heavy(&mut self, work: &Work, returns: bool) -> bool {
        let Some(class) = self.class_mut(work) else {
            return true;
        };
        if !returns {
            class.credit = (class.credit + HEAVY_SHARE).min(MAX_CREDIT);
        }
        let admitted = class.credit >= 1.0;
        if admitted {
            class.credit -= 1.0;
        }
        admitted
    }

    fn class_mut(&mut self, work: &Work) -> Option<&mut TrafficClass> {
        let key = ClassKey::new(work);
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&key) {
            return None;
        }
        let class = self.classes.entry(key);
        Some(class.or_default())
    }
}
