//! [`StepPlan`].

use crate::{
    StepWork,
    stream_entry::Phase,
    streams::{StreamId, Streams},
};

/// Work of one step: chunks of prefill and one token for each decoding stream.
#[derive(Debug, Default)]
pub(crate) struct StepPlan {
    pub(crate) decode: Vec<StreamId>,
    pub(crate) prefill: Vec<(StreamId, u64)>,
    pub(crate) work: StepWork,
}

impl StepPlan {
    /// Plans a step with at most `max_prefill` tokens of prefill, allocated in scheduling order.
    pub(crate) fn new(streams: &Streams, max_prefill: u64) -> Self {
        let mut plan = Self::default();
        let mut budget = max_prefill;
        for (id, entry) in streams.live() {
            match entry.phase {
                Phase::Decode => plan.add_decode(id, entry.context()),
                Phase::Prefill => {
                    let tokens = entry.prefill_backlog().min(budget);
                    budget -= tokens;
                    plan.add_prefill(id, tokens, entry.prefilled, entry.prefill_backlog());
                }
                _ => {}
            }
        }
        plan
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.decode.is_empty() && self.prefill.is_empty()
    }

    fn add_decode(&mut self, id: StreamId, context: u64) {
        self.decode.push(id);
        self.work.batch += 1;
        self.work.context += context;
    }

    fn add_prefill(&mut self, id: StreamId, tokens: u64, context: u64, backlog: u64) {
        if tokens == 0 && backlog > 0 {
            return;
        }
        self.prefill.push((id, tokens));
        self.work.chunk += tokens;
        self.work.prefill_context += tokens as f64 * context as f64;
    }
}
