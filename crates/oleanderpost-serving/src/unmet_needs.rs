//! [`UnmetNeeds`].

use std::collections::HashMap;

use crate::Work;

/// Properties of a request that determine whether an engine has capacity for it, regardless of time.
#[derive(Clone, Copy, Debug)]
struct ResourceNeed {
    /// Tokens in the prompt.
    prompt: f64,
    /// Tokens in prompt and answer.
    memory: f64,
    /// Longest pause that the caller tolerates, in milliseconds.
    pause_ms: f64,
}

impl ResourceNeed {
    fn of(work: &Work) -> Self {
        Self {
            prompt: work.prompt,
            memory: work.prompt + work.answer_limit,
            pause_ms: work.pause_ms,
        }
    }

    /// Whether these needs are no greater than `other`.
    fn is_within(&self, other: &Self) -> bool {
        self.prompt <= other.prompt
            && self.memory <= other.memory
            && self.pause_ms >= other.pause_ms
    }
}

/// Needs that no engine could meet during one scheduling round; requests that need at least as much are
/// skipped.
#[derive(Debug, Default)]
pub(crate) struct UnmetNeeds {
    /// No entry rules out another.
    unmet: Vec<ResourceNeed>,
    /// Smallest needs among the waiting requests, of light ones under `false` and of heavy ones under
    /// `true`.
    minimums: HashMap<bool, Work>,
}

impl UnmetNeeds {
    /// Starts a round with the waiting requests; each comes with a flag that tells whether it is heavy.
    pub(crate) fn new<'a>(waiting: impl Iterator<Item = (bool, &'a Work)>) -> Self {
        let mut minimums: HashMap<bool, Work> = HashMap::new();
        for (heavy, work) in waiting {
            minimums
                .entry(heavy)
                .and_modify(|minimum| reduce_to_common_minimum(minimum, work))
                .or_insert_with(|| Work {
                    excluded: Vec::new(),
                    ..work.clone()
                });
        }
        Self {
            unmet: Vec::new(),
            minimums,
        }
    }

    /// Records that no engine had capacity for a request.
    ///
    /// Ignored if the request excludes engines: the others may still have capacity for other requests.
    pub(crate) fn note_unmet(&mut self, work: &Work) {
        if !work.excluded.is_empty() || self.rules_out(work) {
            return;
        }
        let need = ResourceNeed::of(work);
        self.unmet.retain(|other| !need.is_within(other));
        self.unmet.push(need);
    }

    /// Whether a request with the same or smaller needs did not fit.
    pub(crate) fn rules_out(&self, work: &Work) -> bool {
        let need = ResourceNeed::of(work);
        self.unmet.iter().any(|other| other.is_within(&need))
    }

    /// Returns the smallest needs among the light or heavy requests, once. If these do not fit, none of the
    /// others has to be tried.
    pub(crate) fn take_minimum(&mut self, heavy: bool) -> Option<Work> {
        self.minimums.remove(&heavy)
    }
}

/// Reduces `minimum` to the smaller needs of both requests.
fn reduce_to_common_minimum(minimum: &mut Work, other: &Work) {
    let (need, other_need) = (ResourceNeed::of(minimum), ResourceNeed::of(other));
    minimum.prompt = need.prompt.min(other_need.prompt);
    minimum.answer_limit = (need.memory.min(other_need.memory) - minimum.prompt).max(0.0);
    minimum.pause_ms = need.pause_ms.max(other_need.pause_ms);
}
