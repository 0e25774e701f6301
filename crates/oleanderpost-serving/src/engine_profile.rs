//! [`EngineProfile`].

use serde::{Deserialize, Serialize};

/// Speed and size of the model engines of a service, as configured by the operator. Times in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: f64,
    /// Decode steps in one pass; events are sent at the end of a pass.
    pub steps_per_pass: f64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub chunk_tokens: f64,
    /// Duration of a step without requests.
    pub step_ms: f64,
    /// Added to each step for every request that is being decoded.
    #[serde(rename = "per_writer_ms")]
    pub per_sequence_ms: f64,
    /// Added to each step per 1,000 tokens of context of the requests being decoded.
    pub per_context_ms: f64,
    /// Prompt tokens prefilled in a millisecond.
    #[serde(rename = "read_per_ms")]
    pub prefill_tokens_per_ms: f64,
    /// Added to the prefill time per million attention pairs, each a token and an earlier token.
    pub per_pairs_ms: f64,
    /// Added to each step of a request whose prompt is distributed over several engines.
    pub hop_ms: f64,
    /// Mean prompt length in tokens.
    pub usual_prompt: f64,
    /// Mean answer length in tokens.
    pub usual_answer: f64,
}

impl EngineProfile {
    /// Returns the profile of the same engines with all speeds divided by `factor`.
    #[must_use]
    pub fn slowed(&self, factor: f64) -> Self {
        Self {
            step_ms: self.step_ms * factor,
            per_sequence_ms: self.per_sequence_ms * factor,
            per_context_ms: self.per_context_ms * factor,
            prefill_tokens_per_ms: self.prefill_tokens_per_ms / factor,
            per_pairs_ms: self.per_pairs_ms * factor,
            hop_ms: self.hop_ms * factor,
            ..self.clone()
        }
    }

    /// Prefill time of a prompt, alone on one engine.
    #[must_use]
    pub fn prefill_ms(&self, prompt: f64) -> f64 {
        prompt / self.prefill_tokens_per_ms + self.per_pairs_ms * (prompt * prompt / 2.0) / 1e6
    }

    /// Maximum prefill time in one pass for `share` of a prompt.
    ///
    /// Prefill becomes slower towards the end of a prompt. The parts of a split prompt are chosen to cost
    /// the same.
    #[must_use]
    pub fn prefill_pass_ms(&self, prompt: f64, share: f64) -> f64 {
        let max_pass_tokens = self.steps_per_pass * self.chunk_tokens;
        if share < 1.0 {
            let pass_share = (max_pass_tokens / (prompt * share).max(1.0)).min(1.0);
            return self.prefill_ms(prompt) * share * pass_share;
        }
        let tokens = prompt.min(max_pass_tokens);
        let earlier_tokens = prompt - tokens;
        let pairs = earlier_tokens * tokens + tokens * tokens / 2.0;
        tokens / self.prefill_tokens_per_ms + self.per_pairs_ms * pairs / 1e6
    }

    /// Duration of a pass with `decoding` requests whose contexts total `context` tokens, without prefill.
    #[must_use]
    pub fn decode_pass_ms(&self, decoding: usize, context: f64) -> f64 {
        let step = self.step_ms
            + self.per_sequence_ms * decoding as f64
            + self.per_context_ms * context / 1e3;
        self.steps_per_pass * step
    }

    /// Time to the first event of a request on an engine whose other slots are all taken by similar requests: half of the
    /// pass in progress, then prefill beside one more pass.
    #[must_use]
    pub fn shared_first_event_ms(&self, prompt: f64, answer: f64) -> f64 {
        let others = self.slots.saturating_sub(1) as usize;
        let context = others as f64 * (prompt + answer / 2.0);
        let pass_ms = self.decode_pass_ms(others, context);
        pass_ms * 1.5 + self.prefill_ms(prompt) + self.decode_pass_ms(1, prompt)
    }

    /// Service time of a request on an engine whose slots are all taken by similar requests.
    #[must_use]
    pub fn shared_service_ms(&self, prompt: f64, answer: f64) -> f64 {
        let passes = (answer / self.steps_per_pass).ceil();
        let slots = f64::from(self.slots);
        let context = slots * (prompt + answer / 2.0);
        let prefills_per_pass = (slots / passes.max(1.0)).min(1.0);
        let pass_ms = self.decode_pass_ms(self.slots as usize, context)
            + self.prefill_ms(prompt) * prefills_per_pass;
        passes * pass_ms
    }
}
