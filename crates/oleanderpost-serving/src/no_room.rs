//! [`NoRoom`].

use std::collections::HashMap;

use crate::Work;

/// Requests for which no engine had room during one review, so that longer ones need not be tried.
#[derive(Debug, Default)]
pub(crate) struct NoRoom {
    /// Tokens of the prompt, and of prompt and answer; none covers another.
    refused: Vec<(f64, f64)>,
    /// What all light requests that wait, and all heavy ones, need at least; heavy ones under `true`.
    least: HashMap<bool, Work>,
}

impl NoRoom {
    /// Nothing is known yet about the requests that wait; each comes with whether it is heavy.
    pub(crate) fn new<'a>(waiting: impl Iterator<Item = (bool, &'a Work)>) -> Self {
        let mut least: HashMap<bool, Work> = HashMap::new();
        for (heavy, work) in waiting {
            least
                .entry(heavy)
                .and_modify(|least| lower(least, work))
                .or_insert_with(|| Work {
                    excluded: Vec::new(),
                    ..work.clone()
                });
        }
        Self {
            refused: Vec::new(),
            least,
        }
    }

    /// Notes that no engine had room for a request.
    ///
    /// One that avoids some engines says nothing about others.
    pub(crate) fn note(&mut self, work: &Work) {
        if !work.excluded.is_empty() || self.covers(work) {
            return;
        }
        let (prompt, memory) = tokens(work);
        self.refused.retain(|(p, m)| *p < prompt || *m < memory);
        self.refused.push((prompt, memory));
    }

    /// Whether a request that needs no more had no room.
    pub(crate) fn covers(&self, work: &Work) -> bool {
        let (prompt, memory) = tokens(work);
        let mut refused = self.refused.iter();
        refused.any(|(p, m)| *p <= prompt && *m <= memory)
    }

    /// What all requests of a kind need at least, once: if there is no room for it, the others need no try.
    pub(crate) fn take_least(&mut self, heavy: bool) -> Option<Work> {
        self.least.remove(&heavy)
    }
}

/// Reduces `least` to what both requests need.
fn lower(least: &mut Work, other: &Work) {
    let ((prompt, memory), (other_prompt, other_memory)) = (tokens(least), tokens(other));
    least.prompt = prompt.min(other_prompt);
    least.answer_limit = (memory.min(other_memory) - least.prompt).max(0.0);
}

fn tokens(work: &Work) -> (f64, f64) {
    (work.prompt, work.prompt + work.answer_limit)
}
