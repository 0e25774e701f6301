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
/// Weight of a new decision in the served shares of a class; they cover some tens of requests.
const SHARE_STEP: f64 = 0.04;
/// Weight of a new decision in the served share of the largest requests of a class, of which there are fewer.
const LARGE_STEP: f64 = 0.1;
/// Share of the requests of a class that count as large: the largest tenth and the fifth below it, for which the users
/// state a requirement.
const LARGE_SHARE: f64 = 0.3;
/// Step by which the size from which requests are large moves with each arrival.
const SIZE_STEP: f64 = 0.05;
/// Large requests go first once their served share is below that of their class times this factor. The users require
/// half for the largest tenth; the fifth below it is served more often. With 0.75 the longest tenth on 45 engines gets
/// 0.35, with 0.95 it gets 0.58.
const BEHIND_FACTOR: f64 = 0.95;
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

/// What has been decided about the requests of one class.
#[derive(Clone, Debug)]
struct TrafficClass {
    /// Share of recent requests that were placed, of all and of large ones.
    served: f64,
    large_served: f64,
    /// Prompt length from which a request is large.
    large_prompt: f64,
    /// Number of requests that may be admitted while light ones need all slots; grows by [`HEAVY_SHARE`] with each
    /// arrival.
    credit: f64,
}

impl TrafficClass {
    fn new(prompt: f64) -> Self {
        Self {
            served: 1.0,
            large_served: 1.0,
            large_prompt: prompt,
            credit: 1.0,
        }
    }

    fn note_decision(&mut self, work: &Work, placed: bool) {
        let placed = f64::from(u8::from(placed));
        self.served += (placed - self.served) * SHARE_STEP;
        if work.prompt >= self.large_prompt {
            self.large_served += (placed - self.large_served) * LARGE_STEP;
        }
    }
}

/// What the scheduler knows of past decisions, as a basis for placing, queueing or rejecting the next requests.
///
/// Built for loads of 2.5 to 4 times the usual one. Whatever fits first is placed then, so that the largest prompts of a
/// kind, which need several engines at once, are hardly ever served, and requests wait that are never served.
#[derive(Debug, Default)]
pub(crate) struct AdmissionPolicy {
    classes: BTreeMap<ClassKey, TrafficClass>,
    /// Last parts of the prompts of rejected requests, and the times of their rejection.
    rejected: HashMap<PartId, f64>,
}

impl AdmissionPolicy {
    /// Records the arrival of a request. Returns whether it returns after a rejection.
    pub(crate) fn note_arrival(&mut self, now: f64, work: &Work) -> bool {
        if let Some(class) = self.class_mut(work) {
            let step = if work.prompt > class.large_prompt {
                1.0 + SIZE_STEP * (1.0 - LARGE_SHARE)
            } else {
                1.0 - SIZE_STEP * LARGE_SHARE
            };
            class.large_prompt *= step;
        }
        let last = work.parts.last();
        last.and_then(|part| self.rejected.remove(part))
            .is_some_and(|at| now - at <= RETURN_WINDOW_MS)
    }

    /// Records that a request was placed.
    pub(crate) fn note_placement(&mut self, work: &Work) {
        if let Some(class) = self.class_mut(work) {
            class.note_decision(work, true);
        }
    }

    /// Records that a request was rejected, to recognize its return.
    pub(crate) fn note_rejection(&mut self, now: f64, work: &Work) {
        if let Some(class) = self.class_mut(work) {
            class.note_decision(work, false);
        }
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

    /// Whether the request is among the large ones of its class and these have been served much less often than the class.
    pub(crate) fn is_behind(&self, work: &Work) -> bool {
        self.classes.get(&ClassKey::new(work)).is_some_and(|class| {
            work.prompt >= class.large_prompt && class.large_served < class.served * BEHIND_FACTOR
        })
    }

    fn class_mut(&mut self, work: &Work) -> Option<&mut TrafficClass> {
        let key = ClassKey::new(work);
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&key) {
            return None;
        }
        let class = self.classes.entry(key);
        Some(class.or_insert_with(|| TrafficClass::new(work.prompt)))
    }
}
