//! [`EngineProfile`].

use serde::{Deserialize, Serialize};

/// Speed and size of the model engines of a service, as the operator states them. Times in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: f64,
    /// Token steps of a pass in which requests write.
    pub steps_per_pass: f64,
    /// Most prompt tokens that one step reads.
    pub chunk_tokens: f64,
    /// Length of a step without requests.
    pub step_ms: f64,
    /// Added to each step by a request that writes.
    #[serde(rename = "per_writer_ms")]
    pub per_sequence_ms: f64,
    /// Added to each step by 1,000 tokens of a writer's context.
    pub per_context_ms: f64,
    /// Prompt tokens read in a millisecond.
    #[serde(rename = "read_per_ms")]
    pub prefill_tokens_per_ms: f64,
    /// Added to reading by a million pairs of a token and an earlier one.
    pub per_pairs_ms: f64,
    /// Added to each step of a request whose prompt lies on several engines.
    pub hop_ms: f64,
    /// Mean length of a prompt in tokens.
    pub usual_prompt: f64,
    /// Mean length of an answer in tokens.
    pub usual_answer: f64,
}

impl EngineProfile {
    /// The same engines, `factor` times as slow.
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

    /// Time for reading a prompt, alone on one engine.
    #[must_use]
    pub fn prefill_ms(&self, prompt: f64) -> f64 {
        prompt / self.prefill_tokens_per_ms + self.per_pairs_ms * (prompt * prompt / 2.0) / 1e6
    }

    /// Most time that one pass spends on reading `share` of a prompt.
    ///
    /// Reading gets slower towards the end of a prompt; parts of a shared prompt are of even cost.
    #[must_use]
    pub fn prefill_pass_ms(&self, prompt: f64, share: f64) -> f64 {
        let most = self.steps_per_pass * self.chunk_tokens;
        if share < 1.0 {
            let fits = (most / (prompt * share).max(1.0)).min(1.0);
            return self.prefill_ms(prompt) * share * fits;
        }
        let tokens = prompt.min(most);
        let before = prompt - tokens;
        let pairs = before * tokens + tokens * tokens / 2.0;
        tokens / self.prefill_tokens_per_ms + self.per_pairs_ms * pairs / 1e6
    }

    /// Length of a pass for writers with `context` tokens together, without reading.
    #[must_use]
    pub fn decode_pass_ms(&self, writers: usize, context: f64) -> f64 {
        let step = self.step_ms
            + self.per_sequence_ms * writers as f64
            + self.per_context_ms * context / 1e3;
        self.steps_per_pass * step
    }
}
