//! [`UnmetNeeds`].

use std::collections::HashMap;

use crate::Work;

/// What decides whether an engine has room for a request, however late.
#[derive(Clone, Copy, Debug)]
struct ResourceNeed {
    /// Tokens of the prompt.
    prompt: f64,
    /// Tokens of prompt and answer.
    memory: f64,
    /// Longest pause that the caller expects, in milliseconds.
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

    /// Whether it asks for no more than `other`.
    fn is_within(&self, other: &Self) -> bool {
        self.prompt <= other.prompt
            && self.memory <= other.memory
            && self.pause_ms >= other.pause_ms
    }
}

/// Requests for which no engine had room during one review, so that longer ones need not be tried.
#[derive(Debug, Default)]
pub(crate) struct UnmetNeeds {
    /// None covers another.
    unmet: Vec<ResourceNeed>,
    /// What all light requests that wait, and all heavy ones, need at least; heavy ones under `true`.
    minimums: HashMap<bool, Work>,
}

impl UnmetNeeds {
    /// Nothing is known yet about the requests that wait; each comes with whether it is heavy.
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

    /// Notes that no engine had room for a request.
    ///
    /// One that avoids some engines says nothing about others.
    pub(crate) fn note_unmet(&mut self, work: &Work) {
        if !work.excluded.is_empty() || self.rules_out(work) {
            return;
        }
        let need = ResourceNeed::of(work);
        self.unmet.retain(|other| !need.is_within(other));
        self.unmet.push(need);
    }

    /// Whether a request that needs no more had no room.
    pub(crate) fn rules_out(&self, work: &Work) -> bool {
        let need = ResourceNeed::of(work);
        self.unmet.iter().any(|other| other.is_within(&need))
    }

    /// What all requests of a kind need at least, once: if there is no room for it, the others need no try.
    pub(crate) fn take_minimum(&mut self, heavy: bool) -> Option<Work> {
        self.minimums.remove(&heavy)
    }
}

/// Reduces `least` to what both requests need.
fn reduce_to_common_minimum(minimum: &mut Work, other: &Work) {
    let (need, other_need) = (ResourceNeed::of(minimum), ResourceNeed::of(other));
    minimum.prompt = need.prompt.min(other_need.prompt);
    minimum.answer_limit = (need.memory.min(other_need.memory) - minimum.prompt).max(0.0);
    minimum.pause_ms = need.pause_ms.max(other_need.pause_ms);
}
