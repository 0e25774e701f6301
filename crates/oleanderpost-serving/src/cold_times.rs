//! [`ColdTimes`].

use std::{collections::HashMap, time::Duration};

use crate::{BootTime, ColdLimit, Upstream, UpstreamId};

/// Longest cold time that is believed. An upstream that states more is asked again by the next requests.
pub const MAX_COLD_TIME: Duration = Duration::from_secs(60);

/// What the entries of one upstream process state about its cold time.
#[derive(Clone, Copy, Debug)]
struct ColdTime {
    /// Start time of the process, as in [`Upstream::started_at`].
    started_at: Option<u64>,
    /// Value in the latest entry.
    stated: Option<u64>,
    /// End of the stated cold time.
    until: BootTime,
    /// When the process appeared, if it started while the node was running and stated no cold time.
    appeared_at: Option<BootTime>,
    seen_at: BootTime,
}

/// Until when upstream processes are cold, according to their entries in the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdTimes {
    processes: HashMap<UpstreamId, ColdTime>,
    /// Whether the upstreams that ran before this node are known, so that any other is a new process.
    is_complete: bool,
}

impl ColdTimes {
    /// Records that the full state has been read.
    pub(crate) fn set_complete(&mut self) {
        self.is_complete = true;
    }

    /// Records an entry; returns whether the upstream has become cold by it.
    ///
    /// The cold time of a process never becomes shorter: an entry that was copied from a peer may be older than what is
    /// known.
    pub(crate) fn note_entry(&mut self, upstream: &Upstream, now: BootTime) -> bool {
        let stated = upstream.cold_left_ms;
        let known = self.processes.get(&upstream.id).copied();
        let known = known.filter(|known| known.started_at == upstream.started_at);
        let stated_until =
            |stated: u64| now.after(Duration::from_millis(stated).min(MAX_COLD_TIME));
        let cold_time = match known {
            Some(known) if known.stated == stated => ColdTime {
                seen_at: now,
                ..known
            },
            Some(known) => ColdTime {
                stated,
                until: stated.map_or(known.until, |ms| known.until.max(stated_until(ms))),
                seen_at: now,
                ..known
            },
            None => ColdTime {
                started_at: upstream.started_at,
                stated,
                until: stated.map_or(now, stated_until),
                appeared_at: (self.is_complete && stated.is_none()).then_some(now),
                seen_at: now,
            },
        };
        self.processes.insert(upstream.id.clone(), cold_time);
        let was_cold = known.is_some_and(|known| known.until > now);
        let appeared = known.is_none() && cold_time.appeared_at.is_some();
        appeared || (cold_time.until > now && !was_cold)
    }

    /// End of the cold time of the upstream's process; it may have passed.
    pub(crate) fn until(&self, upstream: &Upstream, limit: &ColdLimit) -> Option<BootTime> {
        let known = self.processes.get(&upstream.id);
        let known = known.filter(|known| known.started_at == upstream.started_at)?;
        let assumed = known.appeared_at.map(|at| at.after(limit.duration));
        Some(assumed.map_or(known.until, |assumed| assumed.max(known.until)))
    }

    /// Drops what is known of upstreams that do not satisfy `is_known`. The latest are kept, since an entry that
    /// returns within that time may be of the same process.
    pub(crate) fn retain(&mut self, now: BootTime, is_known: impl Fn(&UpstreamId) -> bool) {
        self.processes
            .retain(|id, time| is_known(id) || now.since(time.seen_at) <= MAX_COLD_TIME);
    }
}
