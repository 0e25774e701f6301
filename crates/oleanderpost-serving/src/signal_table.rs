//! [`SignalTable`].

use std::{collections::HashMap, time::Duration};

use oleanderpost_types::VmId;

use crate::{
    BootTime, MAX_COLD_TIME, RequestRate, ResponseHead, SignalVersion, Upstream, UpstreamId,
    UpstreamSignal,
};

/// Maximum number of changes in one message, some five kilobytes.
const MAX_CHANGES: usize = 64;
/// Time for which the end of a limit is kept for nodes that have not heard of it.
const ENDED_TTL: Duration = Duration::from_secs(60);
/// Time added to the cold time that a response states. Responses that arrive at different delays then state the same
/// end, which is told to other nodes once; network delay within a fleet is a few milliseconds.
const COLD_MARGIN: Duration = Duration::from_millis(200);

/// What one upstream process has stated.
#[derive(Clone, Debug)]
struct Signals {
    /// Start time of the process, as in [`Upstream::started_at`].
    started_at: Option<u64>,
    limit: Option<RequestRate>,
    /// Whether the process is shutting down; it never takes that back.
    leaving: bool,
    /// End of the cold time that the process has stated.
    cold_until: Option<BootTime>,
    /// Time of the response that changed these last.
    as_of: BootTime,
    /// Node that received that response; `None` if it is this node.
    source: Option<VmId>,
    /// Number of the change.
    number: u64,
}

/// Time after which the entry of a process that has just started has arrived: two of its usual write intervals and the
/// delay of the store. A response does not name its process, so a pause from just before a new entry may be that
/// of the new process.
const ENTRY_LAG: Duration = Duration::from_secs(3);

/// A pause that one upstream process wants from this node.
#[derive(Clone, Copy, Debug)]
struct Pause {
    /// Start time of the process, as in [`Upstream::started_at`].
    started_at: Option<u64>,
    told_at: BootTime,
    until: BootTime,
}

/// What the upstreams state about themselves in their responses.
///
/// A pause concerns only the node that was told. Of all else nodes tell each other what they learn, through the node that schedules for all. Responses may overtake each
/// other: one without a limit ends the limit only if its request was sent after the limit had become known.
#[derive(Clone, Debug, Default)]
pub struct SignalTable {
    signals: HashMap<UpstreamId, Signals>,
    version: SignalVersion,
    pauses: HashMap<UpstreamId, Pause>,
    /// Processes whose invalid headers have been reported.
    reported_invalid: HashMap<UpstreamId, Option<u64>>,
    /// Number of the last own change that was returned by [`take_unsent`](Self::take_unsent).
    sent: u64,
}

impl SignalTable {
    /// Creates an empty table. `start_id` must be unique among all starts of all nodes.
    #[must_use]
    pub fn new(start_id: u64) -> Self {
        Self {
            version: SignalVersion {
                start_id,
                number: 0,
            },
            ..Self::default()
        }
    }

    /// Records a response that arrived at `now` for a request sent at `sent_at`; returns whether anything
    /// changed that other nodes should know.
    pub fn note_response(
        &mut self,
        upstream: &Upstream,
        head: &ResponseHead,
        sent_at: BootTime,
        now: BootTime,
    ) -> bool {
        if let Some(pause) = head.pause {
            self.extend_pause(upstream, now, now.after(pause));
        }
        let known = self.known(upstream);
        let known_limit = known.and_then(|signals| signals.limit);
        let known_leaving = known.is_some_and(|signals| signals.leaving);
        let is_newer = known.is_none_or(|signals| sent_at >= signals.as_of);
        let limit = match head.request_limit {
            Some(limit) => Some(limit),
            None if is_newer && head.has_origin_proof => None,
            None => known_limit,
        };
        let leaving = known_leaving || head.leaving;
        let known_cold = known.and_then(|signals| signals.cold_until);
        let cold_until = stated_cold_until(head.cold_left, known_cold, now);
        if (limit, leaving, cold_until) == (known_limit, known_leaving, known_cold) {
            return false;
        }
        let signals = Signals {
            started_at: upstream.started_at,
            limit,
            leaving,
            cold_until,
            as_of: now,
            source: None,
            number: 0,
        };
        self.insert(upstream.id.clone(), signals);
        true
    }

    /// Applies what another node has learned, if it is newer than what is known here; returns whether anything
    /// changed.
    pub fn apply(&mut self, from: &VmId, signal: &UpstreamSignal, now: BootTime) -> bool {
        let as_of = now.before(Duration::from_millis(signal.age_ms));
        let known = self.signals.get(&signal.upstream);
        let is_newer = known.is_none_or(|known| as_of > known.as_of);
        let same_process = known.filter(|known| known.started_at == signal.started_at);
        let limit = match same_process {
            Some(known) if !is_newer => known.limit,
            _ => signal.limit,
        };
        let leaving = signal.leaving || same_process.is_some_and(|known| known.leaving);
        let known_cold = same_process.and_then(|known| known.cold_until);
        let cold_left = signal.cold_left_ms.map(Duration::from_millis);
        let told_cold = cold_left.map(|left| now.after(left.min(MAX_COLD_TIME + COLD_MARGIN)));
        // The time on the way makes what is told end later; that alone is no news.
        let is_longer = told_cold > known_cold.map(|known| known.after(COLD_MARGIN / 2));
        let cold_until = if is_longer { told_cold } else { known_cold };
        let is_change = match same_process {
            Some(known) => is_longer || (known.limit, known.leaving) != (limit, leaving),
            None => is_newer,
        };
        if !is_change {
            return false;
        }
        let signals = Signals {
            started_at: signal.started_at,
            limit,
            leaving,
            cold_until,
            as_of: known.map_or(as_of, |known| known.as_of.max(as_of)),
            source: Some(from.clone()),
            number: 0,
        };
        self.insert(signal.upstream.clone(), signals);
        true
    }

    /// Records that an invalid header of the upstream is reported; returns whether it is the first one of its
    /// process.
    pub fn note_invalid_header(&mut self, upstream: &Upstream) -> bool {
        let before = self
            .reported_invalid
            .insert(upstream.id.clone(), upstream.started_at);
        before != Some(upstream.started_at)
    }

    /// Whether any upstream wants a pause from this node.
    #[must_use]
    pub fn has_pauses(&self) -> bool {
        !self.pauses.is_empty()
    }

    /// Time for which the upstream wants no requests from this node.
    #[must_use]
    pub fn pause_left(&mut self, upstream: &Upstream, now: BootTime) -> Option<Duration> {
        let pause = self.pauses.get_mut(&upstream.id)?;
        if now.since(pause.told_at) <= ENTRY_LAG {
            pause.started_at = upstream.started_at;
        }
        let holds = pause.started_at == upstream.started_at && pause.until > now;
        holds.then(|| pause.until.since(now))
    }

    /// Changes since `seen`, oldest first, and the version that they lead to.
    #[must_use]
    pub fn changes_since(
        &self,
        seen: SignalVersion,
        now: BootTime,
    ) -> (Vec<UpstreamSignal>, SignalVersion) {
        let after = if seen.start_id == self.version.start_id {
            seen.number
        } else {
            0
        };
        let mut changes = self.newer_than(after);
        let is_complete = changes.len() <= MAX_CHANGES;
        changes.truncate(MAX_CHANGES);
        let last = changes.last().map(|(_, signals)| signals.number);
        let number = match last {
            Some(last) if !is_complete => last,
            _ => self.version.number,
        };
        let version = SignalVersion {
            number,
            ..self.version
        };
        (to_messages(changes, now), version)
    }

    /// Changes learned from own responses that have not been returned yet.
    pub fn take_unsent(&mut self, now: BootTime) -> Vec<UpstreamSignal> {
        let mut changes = self.newer_than(self.sent);
        changes.retain(|(_, signals)| signals.source.is_none());
        let messages = to_messages(changes, now);
        self.sent = self.version.number;
        messages
    }

    /// The latest of what this node has learned from own responses.
    #[must_use]
    pub fn own(&self, now: BootTime) -> Vec<UpstreamSignal> {
        let mut own = self.newer_than(0);
        own.retain(|(_, signals)| signals.source.is_none());
        own.drain(..own.len().saturating_sub(MAX_CHANGES));
        to_messages(own, now)
    }

    /// All limits in force, and the processes that are cold or shutting down.
    #[must_use]
    pub fn active(&self, now: BootTime) -> Vec<UpstreamSignal> {
        let mut all = self.newer_than(0);
        all.retain(|(_, signals)| {
            let is_cold = signals.cold_until.is_some_and(|until| until > now);
            signals.limit.is_some() || signals.leaving || is_cold
        });
        to_messages(all, now)
    }

    /// Requests per second that the upstream accepts from all nodes together, if it states a limit.
    #[must_use]
    pub fn limit(&self, upstream: &Upstream) -> Option<RequestRate> {
        self.known(upstream)?.limit
    }

    /// End of the cold time that the upstream's process has stated, if any; it may have passed.
    #[must_use]
    pub fn cold_until(&self, upstream: &Upstream) -> Option<BootTime> {
        self.known(upstream)?.cold_until
    }

    /// Whether the upstream's process has stated that it is shutting down.
    #[must_use]
    pub fn is_leaving(&self, upstream: &Upstream) -> bool {
        self.known(upstream).is_some_and(|signals| signals.leaving)
    }

    /// Describes each upstream's signals in a line, for operators.
    #[must_use]
    pub fn describe(&self, now: BootTime) -> Vec<String> {
        let signals = self.newer_than(0).into_iter().map(|(id, signals)| {
            let source = signals.source.as_ref().map_or("this node", VmId::as_str);
            let limit = signals
                .limit
                .map(|limit| format!("limit {limit} requests/s, "));
            let leaving = if signals.leaving {
                "shutting down, "
            } else {
                ""
            };
            let age_ms = now.since(signals.as_of).as_millis();
            format!(
                "{id}: {}{leaving}told to {source} {age_ms} ms ago",
                limit.unwrap_or_default()
            )
        });
        let pauses = self.pauses.iter().map(|(id, pause)| {
            format!(
                "{id}: wants a pause for {} ms",
                pause.until.since(now).as_millis()
            )
        });
        signals.chain(pauses).collect()
    }

    /// Number of upstreams that state a limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        let all = self.signals.values();
        all.filter(|signals| signals.limit.is_some()).count()
    }

    /// Drops what is known of upstreams that do not satisfy `is_known`, pauses that are over and limits that ended
    /// long ago.
    pub fn retain(&mut self, now: BootTime, is_known: impl Fn(&UpstreamId) -> bool) {
        self.signals.retain(|id, signals| {
            let is_ended = signals.limit.is_none() && !signals.leaving;
            is_known(id) && (!is_ended || now.since(signals.as_of) <= ENDED_TTL)
        });
        self.pauses.retain(|_, pause| pause.until > now);
        self.reported_invalid.retain(|id, _| is_known(id));
    }

    fn extend_pause(&mut self, upstream: &Upstream, now: BootTime, until: BootTime) {
        let pause = Pause {
            started_at: upstream.started_at,
            told_at: now,
            until,
        };
        let known = self.pauses.entry(upstream.id.clone()).or_insert(pause);
        if known.started_at != pause.started_at || known.until < until {
            *known = pause;
        }
    }

    fn insert(&mut self, id: UpstreamId, signals: Signals) {
        self.version.number += 1;
        let number = self.version.number;
        self.signals.insert(id, Signals { number, ..signals });
    }

    /// Signals of the upstream's current process.
    fn known(&self, upstream: &Upstream) -> Option<&Signals> {
        let signals = self.signals.get(&upstream.id);
        signals.filter(|signals| signals.started_at == upstream.started_at)
    }

    fn newer_than(&self, number: u64) -> Vec<(&UpstreamId, &Signals)> {
        let mut changes: Vec<_> = self
            .signals
            .iter()
            .filter(|(_, signals)| signals.number > number)
            .collect();
        changes.sort_by_key(|(_, signals)| signals.number);
        changes
    }
}

/// End of the cold time after a response at `now` that states `left`.
fn stated_cold_until(
    left: Option<Duration>,
    known: Option<BootTime>,
    now: BootTime,
) -> Option<BootTime> {
    let Some(left) = left.filter(|left| !left.is_zero()) else {
        return known;
    };
    let left = left.min(MAX_COLD_TIME);
    if known.is_some_and(|known| now.after(left) <= known) {
        return known;
    }
    Some(now.after(left + COLD_MARGIN))
}

fn to_messages(changes: Vec<(&UpstreamId, &Signals)>, now: BootTime) -> Vec<UpstreamSignal> {
    let messages = changes.into_iter().map(|(id, signals)| UpstreamSignal {
        upstream: id.clone(),
        started_at: signals.started_at,
        limit: signals.limit,
        leaving: signals.leaving,
        cold_left_ms: signals
            .cold_until
            .filter(|until| *until > now)
            .map(|until| u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX)),
        age_ms: u64::try_from(now.since(signals.as_of).as_millis()).unwrap_or(u64::MAX),
    });
    messages.collect()
}
