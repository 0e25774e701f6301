//! [`EngineSim`].

use oleanderpost_serving::EngineProfile;

/// What an engine has done by the end of a pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Progress {
    /// A part of a prompt was read.
    PartRead(usize),
    /// An event of a request came.
    Event(usize),
    /// The answer of a request ended.
    Ended(usize),
}

#[derive(Clone, Debug)]
struct Reading {
    id: usize,
    /// Tokens of the part, and how many are read.
    tokens: f64,
    done: f64,
    /// Pairs of the whole part.
    pairs: f64,
    writes: bool,
}

#[derive(Clone, Debug)]
struct Writing {
    id: usize,
    context: f64,
    left: f64,
}

/// One engine: reads prompts in chunks between the token steps of the requests that write.
///
/// A pass with writers has a fixed number of steps; each step reads one chunk at most. A step without
/// writers is a pass of its own. Events come at the end of a pass.
#[derive(Clone, Debug)]
pub(crate) struct EngineSim {
    profile: EngineProfile,
    readings: Vec<Reading>,
    writings: Vec<Writing>,
    /// Factor on the length of its passes.
    pub(crate) slowness: f64,
    /// End of the pass under way.
    pub(crate) busy_until: f64,
}

impl EngineSim {
    pub(crate) fn new(profile: EngineProfile) -> Self {
        Self {
            profile,
            readings: Vec::new(),
            writings: Vec::new(),
            slowness: 1.0,
            busy_until: 0.0,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.readings.is_empty() && self.writings.is_empty()
    }

    /// Takes a part of a prompt.
    pub(crate) fn read(&mut self, id: usize, prompt: f64, share: f64, writes: bool) {
        let pairs = prompt * prompt / 2.0 * share;
        self.readings.push(Reading {
            id,
            tokens: prompt * share,
            done: 0.0,
            pairs,
            writes,
        });
    }

    /// Begins to write an answer whose prompt is read.
    pub(crate) fn write(&mut self, id: usize, context: f64, tokens: f64) {
        self.writings.push(Writing {
            id,
            context,
            left: tokens,
        });
    }

    /// Plays one pass from `now` on: its end, and what has been done by then.
    pub(crate) fn pass(&mut self, now: f64) -> (f64, Vec<Progress>) {
        let steps = if self.writings.is_empty() {
            1
        } else {
            self.profile.steps_per_pass as usize
        };
        let context: f64 = self.writings.iter().map(|w| w.context).sum();
        let step = self.profile.step_ms
            + self.profile.per_sequence_ms * self.writings.len() as f64
            + self.profile.per_context_ms * context / 1e3;
        let mut done = Vec::new();
        let mut span = 0.0;
        for _ in 0..steps {
            span += step + self.read_chunk(&mut done);
        }
        for writing in &mut self.writings {
            writing.left -= self.profile.steps_per_pass;
            writing.context += self.profile.steps_per_pass;
            done.push(if writing.left > 0.0 {
                Progress::Event(writing.id)
            } else {
                Progress::Ended(writing.id)
            });
        }
        self.writings.retain(|w| w.left > 0.0);
        self.busy_until = now + span * self.slowness;
        (self.busy_until, done)
    }

    fn read_chunk(&mut self, done: &mut Vec<Progress>) -> f64 {
        let mut room = self.profile.chunk_tokens;
        let mut span = 0.0;
        while room > 0.0 && !self.readings.is_empty() {
            let reading = &mut self.readings[0];
            let tokens = room.min(reading.tokens - reading.done);
            let share = |done: f64| done * done / (reading.tokens * reading.tokens);
            let pairs = reading.pairs * (share(reading.done + tokens) - share(reading.done));
            span += tokens / self.profile.prefill_tokens_per_ms
                + self.profile.per_pairs_ms * pairs / 1e6;
            reading.done += tokens;
            room -= tokens;
            if reading.done >= reading.tokens - 0.5 {
                done.push(Progress::PartRead(reading.id));
                self.readings.remove(0);
            }
        }
        span
    }
}
