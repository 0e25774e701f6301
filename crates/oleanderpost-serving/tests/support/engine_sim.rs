//! [`EngineSim`].

use oleanderpost_serving::EngineProfile;

/// Result of a pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PassResult {
    /// A part of a prompt has been prefilled.
    PartPrefilled(usize),
    /// A request has produced an event.
    Event(usize),
    /// The answer of a request is complete.
    Ended(usize),
}

#[derive(Clone, Debug)]
struct Prefill {
    id: usize,
    /// Tokens in the part, and how many of them have been prefilled.
    tokens: f64,
    done: f64,
    /// Attention pairs of the whole part.
    pairs: f64,
    is_part: bool,
}

#[derive(Clone, Debug)]
struct Decode {
    id: usize,
    context: f64,
    tokens_left: f64,
    hop_ms: f64,
}

/// Simulates one engine, which prefills prompts in chunks between the decode steps of other requests.
///
/// A pass with decoding requests has a fixed number of steps, and each step prefills at most one chunk.
/// Without decoding requests, a pass has a single step. Events are sent at the end of a pass.
#[derive(Clone, Debug)]
pub(crate) struct EngineSim {
    profile: EngineProfile,
    prefills: Vec<Prefill>,
    decodes: Vec<Decode>,
    /// Parts of prompts that other engines decode, with their tokens.
    held: Vec<(usize, f64)>,
    /// Factor on the duration of passes.
    pub(crate) slowdown: f64,
    /// End of the current pass.
    pub(crate) busy_until: f64,
}

impl EngineSim {
    pub(crate) fn new(profile: EngineProfile) -> Self {
        Self {
            profile,
            prefills: Vec::new(),
            decodes: Vec::new(),
            held: Vec::new(),
            slowdown: 1.0,
            busy_until: 0.0,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.prefills.is_empty() && self.decodes.is_empty()
    }

    /// Adds a prompt to prefill, or a part of one. Parts are prefilled ahead of whole prompts.
    pub(crate) fn add_prefill(&mut self, id: usize, prompt: f64, share: f64) {
        let pairs = prompt * prompt / 2.0 * share;
        let prefill = Prefill {
            id,
            tokens: prompt * share,
            done: 0.0,
            pairs,
            is_part: share < 1.0,
        };
        let at = if prefill.is_part {
            self.prefills
                .iter()
                .take_while(|other| other.is_part)
                .count()
        } else {
            self.prefills.len()
        };
        self.prefills.insert(at, prefill);
    }

    /// Starts to decode an answer with `context` tokens of its prompt in the memory of this engine; `holders`
    /// other engines hold the rest.
    pub(crate) fn start_decode(&mut self, id: usize, context: f64, tokens: f64, holders: usize) {
        let hop_ms = if holders > 0 {
            self.profile.hop_ms
        } else {
            0.0
        };
        self.decodes.push(Decode {
            id,
            context,
            tokens_left: tokens,
            hop_ms,
        });
    }

    /// Holds a part of a prompt in memory while another engine decodes the answer.
    pub(crate) fn hold(&mut self, id: usize, context: f64) {
        self.held.push((id, context));
    }

    /// Drops a request whose caller has left.
    pub(crate) fn cancel(&mut self, id: usize) {
        self.prefills.retain(|prefill| prefill.id != id);
        self.decodes.retain(|decode| decode.id != id);
        self.release(id);
    }

    /// Ends the holding of a part.
    pub(crate) fn release(&mut self, id: usize) {
        self.held.retain(|(held, _)| *held != id);
    }

    /// Runs one pass that starts at `now`; returns its end and what it completed.
    pub(crate) fn run_pass(&mut self, now: f64) -> (f64, Vec<PassResult>) {
        let steps = if self.decodes.is_empty() {
            1
        } else {
            self.profile.steps_per_pass as usize
        };
        let decoded: f64 = self.decodes.iter().map(|decode| decode.context).sum();
        let held: f64 = self.held.iter().map(|(_, context)| context).sum();
        let context = decoded + held;
        let hop_ms: f64 = self.decodes.iter().map(|decode| decode.hop_ms).sum();
        let step = self.profile.step_ms
            + self.profile.per_sequence_ms * self.decodes.len() as f64
            + self.profile.per_context_ms * context / 1e3
            + hop_ms;
        let mut done = Vec::new();
        let mut duration = 0.0;
        for _ in 0..steps {
            duration += step + self.prefill_chunk(&mut done);
        }
        for decode in &mut self.decodes {
            decode.tokens_left -= self.profile.steps_per_pass;
            decode.context += self.profile.steps_per_pass;
            done.push(if decode.tokens_left > 0.0 {
                PassResult::Event(decode.id)
            } else {
                PassResult::Ended(decode.id)
            });
        }
        self.decodes.retain(|decode| decode.tokens_left > 0.0);
        self.busy_until = now + duration * self.slowdown;
        (self.busy_until, done)
    }

    fn prefill_chunk(&mut self, done: &mut Vec<PassResult>) -> f64 {
        let mut chunk_left = self.profile.chunk_tokens;
        let mut duration = 0.0;
        while chunk_left > 0.0 && !self.prefills.is_empty() {
            let prefill = &mut self.prefills[0];
            let tokens = chunk_left.min(prefill.tokens - prefill.done);
            let share = |done: f64| done * done / (prefill.tokens * prefill.tokens);
            let pairs = prefill.pairs * (share(prefill.done + tokens) - share(prefill.done));
            duration += tokens / self.profile.prefill_tokens_per_ms
                + self.profile.per_pairs_ms * pairs / 1e6;
            prefill.done += tokens;
            chunk_left -= tokens;
            if prefill.done >= prefill.tokens - 0.5 {
                done.push(PassResult::PartPrefilled(prefill.id));
                self.prefills.remove(0);
            }
        }
        duration
    }
}
