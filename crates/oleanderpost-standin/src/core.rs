//! [`Core`].

use std::time::Duration;

use tokio::{sync::watch, time::Instant};

use oleanderpost_types::{
    Attempt, EngineState, Holding, HoldingKind, LoadReport, Millis, Order, Outcome, RequestKey,
    ReservationRequest, StreamStatus, Tokens,
};

use crate::{
    EngineEvidence, EngineFaults, EngineSettings, Error, KvCache, KvExport, Result, RunEnd,
    Submission,
    block_cache::BlockCache,
    load_history::LoadHistory,
    loaded_model::LoadedModel,
    memory_leases::{MemoryLease, MemoryLeases},
    run_log::RunLog,
    step_plan::StepPlan,
    stream_entry::{Phase, Progress, StreamEntry},
    streams::{StreamId, Streams},
};

/// State of an engine, guarded by the lock in [`Shared`](crate::shared::Shared).
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) settings: EngineSettings,
    pub(crate) faults: EngineFaults,
    pub(crate) model: LoadedModel,
    pub(crate) streams: Streams,
    pub(crate) reservations: MemoryLeases,
    pub(crate) exports: MemoryLeases,
    pub(crate) cache: BlockCache,
    pub(crate) load: LoadHistory,
    pub(crate) frozen_until: Option<Instant>,
    runs: RunLog,
    last_step: Duration,
    sequence: u64,
}

impl Core {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let mut core = Self {
            model: LoadedModel::new(&settings),
            cache: BlockCache::new(&settings),
            settings,
            faults: EngineFaults::default(),
            streams: Streams::default(),
            reservations: MemoryLeases::new(HoldingKind::Reservation),
            exports: MemoryLeases::new(HoldingKind::Export),
            load: LoadHistory::default(),
            frozen_until: None,
            runs: RunLog::new(),
            last_step: Duration::ZERO,
            sequence: 0,
        };
        core.record_load();
        core
    }

    /// Accepts a request. A refused request has not run.
    pub(crate) fn submit(&mut self, submission: Submission) -> Result<StreamId> {
        self.expire();
        if let Some(model) = &submission.model {
            self.model.check(model)?;
        }
        self.check_duplicate(&submission)?;
        let share = submission.prompt.get().div_ceil(submission.group_size);
        let answer = submission.max_tokens.div_ceil(submission.group_size);
        let blocks = self.settings.blocks(share + answer);
        self.check_capacity(&submission, blocks)?;
        let reservation = submission.reservation;
        let id = self.insert(submission, share, blocks);
        if let Some(key) = reservation {
            self.reservations.remove(key);
            self.start(id);
        }
        self.admit();
        self.record_load();
        Ok(id)
    }

    fn check_duplicate(&self, submission: &Submission) -> Result<()> {
        let found = self.streams.find(submission.key, Some(submission.attempt));
        if found.is_none() {
            return Ok(());
        }
        let detail = format!("attempt {} is known here", submission.attempt);
        Err(Error::refused("duplicate", 409, Outcome::Unknown, detail))
    }

    fn check_capacity(&self, submission: &Submission, blocks: u64) -> Result<()> {
        if blocks > self.settings.total_blocks() {
            let detail = format!("{blocks} blocks are more than the engine has");
            return Err(Error::refused("too-large", 503, Outcome::NotRun, detail));
        }
        if let Some(key) = submission.reservation {
            return self.check_reservation(key, blocks);
        }
        let waiting = self.count_streams(|entry| entry.phase == Phase::Waiting);
        let fits_now = waiting == 0 && self.fits(blocks);
        if fits_now || waiting < self.settings.queue_bound {
            return Ok(());
        }
        let detail = format!("{blocks} blocks are not free and {waiting} requests wait");
        Err(Error::refused("engine-full", 503, Outcome::NotRun, detail))
    }

    fn check_reservation(&self, key: RequestKey, blocks: u64) -> Result<()> {
        let Some(reserved) = self.reservations.blocks_of(key) else {
            let detail = format!("no reservation {key}");
            return Err(Error::refused(
                "reservation-gone",
                503,
                Outcome::NotRun,
                detail,
            ));
        };
        if self.held_blocks() - reserved + blocks <= self.settings.total_blocks() {
            return Ok(());
        }
        let detail =
            format!("{blocks} blocks are more than the {reserved} reserved and those free");
        Err(Error::refused("engine-full", 503, Outcome::NotRun, detail))
    }

    fn insert(&mut self, submission: Submission, prompt: u64, blocks: u64) -> StreamId {
        let now = Instant::now();
        let run = self
            .runs
            .record_arrival(&submission, self.settings.tokens(blocks));
        self.sequence += 1;
        self.streams.insert(StreamEntry {
            phase: Phase::Waiting,
            arrived: now,
            sequence: self.sequence,
            deadline: submission.time_limit.map(|limit| now + limit),
            prompt,
            prefilled: 0,
            generated: 0,
            blocks,
            readers: 0,
            unread_since: Some(now),
            ended: None,
            run,
            tx: watch::Sender::new(Progress::default()),
            submission,
        })
    }

    /// Moves waiting streams into the batch in scheduling order, up to the first one that does not fit.
    fn admit(&mut self) {
        for id in self.streams.live_ids() {
            let entry = self.streams.get(id).expect("the stream is live");
            if entry.phase != Phase::Waiting {
                continue;
            }
            if !self.fits(entry.blocks) {
                break;
            }
            self.start(id);
        }
    }

    fn start(&mut self, id: StreamId) {
        let entry = self.streams.get_mut(id).expect("the stream is live");
        let block = self.settings.block_size();
        let cached = self.cache.lookup(&entry.submission.prefix) * block;
        // The last prompt token is always processed, because it yields the first token of the answer.
        let limit = entry.prompt.saturating_sub(1);
        entry.prefilled = (cached / entry.submission.group_size).min(limit);
        entry.phase = Phase::Prefill;
        self.runs.record_start(entry.run);
        self.shrink_cache();
    }

    /// Plans the next step and returns it with its duration; `None` if there is nothing to do.
    pub(crate) fn plan_step(&mut self) -> Option<(StepPlan, Duration)> {
        self.expire();
        self.admit();
        let plan = StepPlan::new(&self.streams, self.settings.chunk.get().max(1));
        if plan.is_empty() {
            return None;
        }
        let step = self
            .settings
            .scaled(self.settings.step.step_duration(&plan.work));
        self.last_step = step;
        Some((plan, step))
    }

    /// Applies the results of a step whose duration has passed.
    pub(crate) fn apply_step(&mut self, plan: &StepPlan) {
        for id in &plan.decode {
            self.advance_stream(*id, StreamEntry::decode);
        }
        for (id, chunk) in &plan.prefill {
            self.advance_stream(*id, |entry| entry.prefill(*chunk));
        }
        self.record_load();
    }

    fn advance_stream(&mut self, id: StreamId, step: impl FnOnce(&mut StreamEntry)) {
        let Some(entry) = self
            .streams
            .get_mut(id)
            .filter(|entry| entry.holds_memory())
        else {
            return;
        };
        step(entry);
        self.runs.set_generated(entry.run, entry.generated);
        if entry.phase != Phase::Finished {
            return;
        }
        let prefix = entry.submission.prefix.clone();
        self.close_run(id, RunEnd::Finished);
        self.store(&prefix);
    }

    /// Stores blocks in the prefix cache, as far as memory allows.
    pub(crate) fn store(&mut self, prefix: &[u64]) {
        self.cache.store(prefix, self.free_blocks());
    }

    fn shrink_cache(&mut self) {
        self.cache.shrink(self.free_blocks());
    }

    /// Returns the number of blocks that are not held.
    fn free_blocks(&self) -> u64 {
        self.settings
            .total_blocks()
            .saturating_sub(self.held_blocks())
    }

    /// Ends a stream that waits or runs, and frees its memory.
    pub(crate) fn abort(&mut self, id: StreamId, end: RunEnd) {
        let Some(entry) = self.streams.get_mut(id).filter(|entry| entry.is_live()) else {
            return;
        };
        entry.abort(end);
        self.close_run(id, end);
        self.record_load();
    }

    fn close_run(&mut self, id: StreamId, end: RunEnd) {
        let entry = self.streams.get_mut(id).expect("the stream is known");
        entry.ended = Some(Instant::now());
        self.runs.record_end(entry.run, end);
        self.streams.retire(id);
    }

    /// Removes expired reservations and exports, ends expired streams and removes old answers.
    pub(crate) fn expire(&mut self) {
        let now = Instant::now();
        self.reservations.expire(now);
        self.exports.expire(now);
        self.model.expire(now);
        for (id, end) in self.expired_streams(now) {
            self.abort(id, end);
        }
        if let Some(limit) = now.checked_sub(self.settings.retain_ms.into()) {
            self.streams.remove_ended(limit);
        }
    }

    /// Returns the expired streams, each with the reason.
    fn expired_streams(&self, now: Instant) -> Vec<(StreamId, RunEnd)> {
        let passed = |at: Option<Instant>| at.is_some_and(|at| at <= now);
        let expired = self.streams.live().filter_map(|(id, entry)| {
            if passed(entry.deadline) {
                return Some((id, RunEnd::TimedOut));
            }
            passed(self.resumable_until(entry)).then_some((id, RunEnd::Abandoned))
        });
        expired.collect()
    }

    fn resumable_until(&self, entry: &StreamEntry) -> Option<Instant> {
        Some(entry.unread_since? + self.settings.resume_window_ms.into())
    }

    /// Returns the time of the next expiry.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        let expiries =
            |(_, entry): (StreamId, &StreamEntry)| [entry.deadline, self.resumable_until(entry)];
        let streams = self.streams.live().flat_map(expiries);
        let oldest_end = self.streams.oldest_end();
        let others = [
            oldest_end.map(|ended| ended + self.settings.retain_ms.into()),
            self.reservations.next_expiry(),
            self.exports.next_expiry(),
            self.model.next_expiry(),
        ];
        streams.chain(others).flatten().min()
    }

    pub(crate) fn reserve(&mut self, req: &ReservationRequest) -> Result<()> {
        self.expire();
        let blocks = self.settings.blocks(req.tokens.get());
        let current = self.reservations.blocks_of(req.key).unwrap_or(0);
        if self.held_blocks() - current + blocks > self.settings.total_blocks() {
            let detail = format!("{blocks} blocks are not free");
            return Err(Error::refused("engine-full", 503, Outcome::NotRun, detail));
        }
        let holder = Some(req.holder.clone());
        let lease = MemoryLease::new(Attempt::default(), blocks, holder, req.expires.into());
        self.reservations.insert(req.key, lease);
        self.shrink_cache();
        self.record_load();
        Ok(())
    }

    pub(crate) fn apply_order(&mut self, order: Order) -> Result<EngineState> {
        self.expire();
        let check_fencing = self.settings.honours_fencing && !self.faults.ignore_fencing;
        self.model.apply_order(order, check_fencing, &self.settings)
    }

    pub(crate) fn export(&mut self, req: &KvExport) -> Result<KvCache> {
        let id = self.streams.find(req.key, Some(req.attempt));
        let Some(entry) = id.and_then(|id| self.streams.get(id)) else {
            let detail = format!("no attempt {} at {}", req.attempt, req.key);
            return Err(Error::refused("absent", 404, Outcome::NotRun, detail));
        };
        let done = entry.prefilled / self.settings.block_size();
        let prefix = &entry.submission.prefix;
        let blocks = prefix[..prefix.len().min(done as usize)].to_vec();
        let count = blocks.len() as u64;
        if self.held_blocks() + count > self.settings.total_blocks() {
            let detail = format!("{count} blocks are not free");
            return Err(Error::refused("engine-full", 503, Outcome::NotRun, detail));
        }
        let ttl = self.settings.export_ttl_ms.into();
        self.exports.insert(
            req.key,
            MemoryLease::new(req.attempt, count, req.holder.clone(), ttl),
        );
        self.shrink_cache();
        self.record_load();
        let tokens = self.settings.tokens(count);
        Ok(KvCache { blocks, tokens })
    }

    /// Loses all streams, reservations, exports and cached blocks, as a crashed process does.
    pub(crate) fn crash(&mut self) {
        for id in self.streams.live_ids() {
            self.abort(id, RunEnd::Died);
        }
        self.streams.clear();
        self.reservations.clear();
        self.exports.clear();
        self.cache.clear();
        self.record_load();
    }

    pub(crate) fn status(&self, key: RequestKey) -> StreamStatus {
        let entry = self
            .streams
            .find(key, None)
            .and_then(|id| self.streams.get(id));
        entry.map_or(StreamStatus::Absent, StreamEntry::status)
    }

    /// Lists streams that wait or run, reservations and exports.
    pub(crate) fn holdings(&self) -> Vec<Holding> {
        let now = Instant::now();
        let streams = self.streams.live().map(|(_, entry)| Holding {
            key: entry.submission.key,
            attempt: entry.submission.attempt,
            kind: HoldingKind::Stream,
            tokens: self.settings.tokens(entry.blocks),
            holder: entry.submission.holder.clone(),
            age: (now - entry.arrived).into(),
        });
        let mut holdings: Vec<Holding> = streams.collect();
        holdings.extend(self.reservations.holdings(now, &self.settings));
        holdings.extend(self.exports.holdings(now, &self.settings));
        holdings
    }

    /// Returns the number of blocks held by streams in the batch, reservations and exports.
    pub(crate) fn held_blocks(&self) -> u64 {
        let streams = self
            .streams
            .live()
            .filter(|(_, entry)| entry.holds_memory());
        let blocks: u64 = streams.map(|(_, entry)| entry.blocks).sum();
        blocks + self.reservations.blocks() + self.exports.blocks()
    }

    fn fits(&self, blocks: u64) -> bool {
        let running = self.count_streams(StreamEntry::holds_memory);
        running < self.settings.max_batch
            && self.held_blocks() + blocks <= self.settings.total_blocks()
    }

    fn count_streams(&self, wanted: impl Fn(&StreamEntry) -> bool) -> usize {
        self.streams
            .live()
            .filter(|(_, entry)| wanted(entry))
            .count()
    }

    /// Records the current load.
    pub(crate) fn record_load(&mut self) {
        let backlog = self
            .streams
            .live()
            .map(|(_, entry)| entry.prefill_backlog())
            .sum();
        let report = LoadReport {
            memory: self.settings.memory,
            held: self.settings.tokens(self.held_blocks()),
            prefill_backlog: Tokens::new(backlog),
            decoding: self.count_streams(|entry| entry.phase == Phase::Decode) as u32,
            waiting: self.count_streams(StreamEntry::is_unstarted) as u32,
            step: self.last_step.into(),
            age: Millis::default(),
        };
        self.load.record(Instant::now(), report);
    }

    /// Returns which requests ran and what memory is held.
    pub(crate) fn evidence(&self) -> EngineEvidence {
        EngineEvidence {
            runs: self.runs.runs().to_vec(),
            held: self.settings.tokens(self.held_blocks()),
            holdings: self.holdings(),
            orders: self.model.orders().to_vec(),
        }
    }
}
