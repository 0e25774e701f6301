//! [`GroupSearch`].

use std::cmp::Ordering;

use crate::{EngineLoad, EngineProfile, Grant, UpstreamId, Work, candidate::Candidate};

/// A larger group is preferred only if its time to the first event is below that of the best smaller group
/// multiplied by this factor.
const SPLIT_TIME_FACTOR: f64 = 0.85;
/// Growth of the group size from one attempt to the next, as a divisor of the last size.
const SIZE_STEP_DIVISOR: usize = 4;

/// Finds engines that share the prefill of one prompt.
///
/// Made for bursts of long prompts that meet a fleet busy with short ones. Waiting for idle engines alone would
/// starve the longest prompts, which need several at once, so engines that decode also prefill parts as long as
/// their callers tolerate the pause. An engine prefills parts ahead of all other prompts; engines with prompts
/// still to prefill are therefore left out.
pub(crate) struct GroupSearch<'a> {
    profile: &'a EngineProfile,
    now: f64,
    work: &'a Work,
    /// Engines that may take part.
    engines: Vec<(&'a UpstreamId, &'a EngineLoad)>,
    /// Number of engines that hold the prompt in memory, the one that decodes included.
    holders: usize,
    /// Number of idle engines that may take part.
    max_idle: usize,
    /// Longest expected time to the first event that meets the objective, in milliseconds.
    on_time_ms: f64,
}

impl<'a> GroupSearch<'a> {
    pub(crate) fn new(
        profile: &'a EngineProfile,
        now: f64,
        work: &'a Work,
        engines: impl Iterator<Item = (&'a UpstreamId, &'a EngineLoad)>,
        holders: usize,
    ) -> Self {
        Self {
            profile,
            now,
            work,
            engines: engines.collect(),
            holders,
            max_idle: usize::MAX,
            on_time_ms: work.objective_ms,
        }
    }

    /// Limits the number of idle engines in the group.
    pub(crate) fn with_max_idle(self, max_idle: usize) -> Self {
        Self { max_idle, ..self }
    }

    /// Sets the longest expected time to the first event that meets the objective.
    pub(crate) fn with_on_time(self, on_time_ms: f64) -> Self {
        Self { on_time_ms, ..self }
    }

    /// Finds the smallest group that meets the objective; if no group of up to `max_size` engines can, one that
    /// is not much slower than the largest.
    pub(crate) fn find(&self, min_size: usize, max_size: usize) -> Option<Grant> {
        let on_time = self.on_time_ms;
        let decode_ms = self.profile.decode_pass_ms(1, self.work.prompt);
        let prefill_ms = self.profile.prefill_ms(self.work.prompt);
        let reachable = prefill_ms / max_size as f64 + decode_ms <= on_time;
        let mut size = if reachable {
            ((prefill_ms / (on_time - decode_ms)).ceil() as usize).max(min_size)
        } else {
            min_size
        };
        let mut best: Option<Grant> = None;
        while size <= max_size {
            let patience_ms = self.work.patience_ms.unwrap_or(f64::INFINITY);
            let in_time = |grant: &Grant| grant.first_event_ms <= patience_ms;
            if let Some(grant) = self.find_of_size(size).filter(in_time) {
                if grant.first_event_ms <= on_time {
                    return Some(grant);
                }
                let clearly_sooner = best.as_ref().is_none_or(|best| {
                    grant.first_event_ms < best.first_event_ms * SPLIT_TIME_FACTOR
                });
                if !reachable && clearly_sooner {
                    best = Some(grant);
                }
            }
            size += size.div_ceil(SIZE_STEP_DIVISOR);
        }
        best
    }

    /// Finds the smallest group whose first event comes within `limit_ms`.
    pub(crate) fn find_before(
        &self,
        min_size: usize,
        max_size: usize,
        limit_ms: f64,
    ) -> Option<Grant> {
        let mut grants = (min_size..=max_size).filter_map(|size| self.find_of_size(size));
        grants.find(|grant| grant.first_event_ms <= limit_ms)
    }

    /// Whether there are enough engines for the smallest group or for one of `max_size`, regardless of time.
    pub(crate) fn has_room(&self, max_size: usize) -> bool {
        self.find_of_size(max_size).is_some() || self.find_of_size(self.holders.max(2)).is_some()
    }

    /// Selects the best group of exactly `size` engines.
    fn find_of_size(&self, size: usize) -> Option<Grant> {
        let mut candidates = self.candidates(size);
        let reserves_memory = self.holders > 1;
        let part_memory = (self.work.prompt + self.work.answer_limit) / self.holders as f64;
        let mut max_idle = self.max_idle;
        let mut chosen: Vec<Candidate<'a>> = Vec::with_capacity(size);
        // The engine that decodes comes first, then those that hold parts in memory.
        for n in 0..size {
            let memory = if n < self.holders { part_memory } else { 0.0 };
            let fits = |c: &Candidate<'_>| {
                c.load.has_room(self.profile, memory) && (max_idle > 0 || !c.load.is_empty())
            };
            let at = candidates.iter().position(fits)?;
            let candidate = candidates.remove(at);
            max_idle -= usize::from(candidate.load.is_empty());
            chosen.push(candidate);
        }
        let prefill_ends = chosen.iter().map(|c| c.estimate.prefill_until);
        let prefill_until = prefill_ends.fold(f64::NEG_INFINITY, f64::max);
        let mut ids = chosen.iter().map(|c| c.id.clone());
        let primary = chosen.first()?;
        let context = primary.load.memory() + self.work.prompt;
        let decode_pass_ms = self.profile.decode_pass_ms(primary.load.len() + 1, context);
        let engine = ids.next()?;
        let holding = if reserves_memory {
            self.holders - 1
        } else {
            size - 1
        };
        Some(Grant {
            engine,
            helpers: ids.by_ref().take(holding).collect(),
            readers: ids.collect(),
            reserve_tokens: reserves_memory.then(|| part_memory.ceil()),
            first_event_ms: prefill_until - self.now + decode_pass_ms,
            limited: Vec::new(),
        })
    }

    /// Engines that can prefill one of `size` parts without too long pauses for their callers, the best first: warm ones
    /// before cold ones, then idle ones, then those that are done soonest.
    fn candidates(&self, size: usize) -> Vec<Candidate<'a>> {
        let share = 1.0 / size as f64;
        let mut candidates: Vec<_> = self
            .engines
            .iter()
            .filter(|(_, load)| load.has_room(self.profile, 0.0))
            .filter(|(_, load)| !load.is_prefilling())
            .map(|(id, load)| Candidate {
                id,
                load,
                estimate: load.estimate(self.profile, self.now, self.work.prompt, share),
            })
            .filter(|c| c.estimate.keeps_pauses)
            .collect();
        candidates.sort_by(|a, b| {
            let key = |c: &Candidate<'_>| {
                (
                    c.load.is_cold(),
                    !c.load.is_empty(),
                    c.estimate.prefill_until,
                    c.load.memory(),
                )
            };
            let order = key(a).partial_cmp(&key(b)).unwrap_or(Ordering::Equal);
            order.then_with(|| a.id.cmp(b.id))
        });
        candidates
    }
}
