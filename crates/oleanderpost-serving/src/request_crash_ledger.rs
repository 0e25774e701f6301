//! [`RequestCrashLedger`].

use std::collections::{HashMap, HashSet};

use crate::{
    RequestCrash, RequestFingerprint, RequestQuarantine, RequestVerdicts, UpstreamId,
    crash_ledger::{INCIDENT_MS, MAX_QUARANTINE_MS, QUARANTINE_MS, SAME_CRASH_MS, SIMULTANEOUS_MS},
};

/// Number of crashes after which a request is quarantined. Two may hit the same caller by chance: a request that lost
/// its upstream is sent to another one.
const MIN_CRASHES: usize = 3;
/// Number of crashes after which complete responses to a request are reported.
const MIN_SUSPECT_CRASHES: usize = 2;
/// Number of crashes from which on a request counts as their cause whatever else happened at the same time.
const MAX_UNCERTAIN_CRASHES: usize = 6;
/// Duration of a quarantine while it is not certain that the request is the cause.
const UNCERTAIN_QUARANTINE_MS: f64 = 2_000.0;
/// Time for which a crash is remembered. Longer than any quarantine, so that one more crash renews it.
const CRASH_TTL_MS: f64 = 2.0 * MAX_QUARANTINE_MS;
/// Time since its last crash for which a request is a suspect to other nodes, which hash all requests meanwhile.
const SUSPECT_TTL_MS: f64 = 600_000.0;
/// Time for which a complete response counts against quarantines that other nodes still report.
const SOUND_TTL_MS: f64 = 60_000.0;
/// Maximum number of remembered crashes.
const MAX_CRASHES: usize = 256;
/// Maximum number of requests that are remembered of a crash.
const MAX_REQUESTS: usize = 64;
/// Maximum number of requests that are compared, told to other nodes, or learned from them.
const MAX_NAMED: usize = 64;

/// Crash of the process of an upstream.
#[derive(Clone, Debug)]
struct Crash {
    upstream: UpstreamId,
    started_at: Option<u64>,
    at: f64,
    /// Requests that the process had.
    requests: Vec<RequestFingerprint>,
}

impl Crash {
    fn is_same(&self, report: &RequestCrash, at: f64) -> bool {
        self.upstream == report.upstream
            && self.started_at == report.started_at
            && (self.at - at).abs() <= SAME_CRASH_MS
    }
}

/// Quarantine of a request, on the clock of the ledger.
#[derive(Clone, Debug, PartialEq)]
struct QuarantinedRequest {
    request: RequestFingerprint,
    since: f64,
    until: f64,
}

/// Finds requests that crash the upstreams that run them.
///
/// A request is quarantined if several upstreams crashed while they had it and no response to it has been complete
/// since. As long as the crashes may have had another cause, such as another request that all these upstreams had as
/// well, or the loss of a rack, the quarantine is short: afterwards a request that is sound gets a response, and one that
/// is not crashes an upstream under other circumstances.
///
/// All times are milliseconds on a clock supplied by the caller.
#[derive(Clone, Debug, Default)]
pub struct RequestCrashLedger {
    /// Crashes, oldest first.
    crashes: Vec<Crash>,
    /// Times of the last complete responses.
    sound_at: HashMap<RequestFingerprint, f64>,
    /// Requests with several crashes, and the time of the last one.
    suspects: Vec<(RequestFingerprint, f64)>,
    quarantined: Vec<QuarantinedRequest>,
    /// Quarantines of other nodes.
    learned: Vec<QuarantinedRequest>,
}

impl RequestCrashLedger {
    /// Records a crash, which may have been reported before.
    pub fn note_crash(&mut self, now: f64, report: &RequestCrash) {
        let at = now - report.age_ms.clamp(0.0, CRASH_TTL_MS);
        let had_request = |crash: &Crash| crash.requests.contains(&report.request);
        let is_repeated = self.crashes.iter().any(had_request);
        let known = self
            .crashes
            .iter_mut()
            .find(|crash| crash.is_same(report, at));
        let is_new = known.is_none();
        if let Some(crash) = known {
            let is_known = crash.requests.contains(&report.request);
            if is_known || crash.requests.len() >= MAX_REQUESTS {
                return;
            }
            crash.requests.push(report.request);
        } else {
            let crash = Crash {
                upstream: report.upstream.clone(),
                started_at: report.started_at,
                at,
                requests: vec![report.request],
            };
            let index = self.crashes.partition_point(|other| other.at <= at);
            self.crashes.insert(index, crash);
            if self.crashes.len() > MAX_CRASHES {
                self.crashes.remove(0);
            }
        }
        // Most requests that an upstream had are in no other crash, which changes no verdict.
        if is_repeated || (is_new && !self.suspects.is_empty()) {
            self.update(now);
        }
    }

    /// Records a complete response to a request.
    pub fn note_sound(&mut self, now: f64, request: RequestFingerprint) {
        self.learned.retain(|learned| learned.request != request);
        self.sound_at.insert(request, now);
        self.update(now);
    }

    /// Time left of the quarantine of a request.
    #[must_use]
    pub fn quarantine_left(&self, now: f64, request: RequestFingerprint) -> Option<f64> {
        let active = self.active(now).filter(|active| active.request == request);
        active.map(|active| active.until - now).reduce(f64::max)
    }

    /// The quarantines in force, and the requests that may become quarantined.
    #[must_use]
    pub fn verdicts(&self, now: f64) -> RequestVerdicts {
        let quarantines = self.active(now).map(|active| RequestQuarantine {
            request: active.request,
            age_ms: now - active.since,
            left_ms: active.until - now,
        });
        let is_recent = |(_, last_at): &&(_, f64)| now - last_at <= SUSPECT_TTL_MS;
        let suspects = self.suspects.iter().filter(is_recent);
        RequestVerdicts {
            quarantines: quarantines.collect(),
            suspects: suspects.map(|(request, _)| *request).collect(),
        }
    }

    /// Adds the quarantines of a node, unless responses to these requests have been complete since.
    pub fn learn<'a>(
        &mut self,
        now: f64,
        quarantines: impl IntoIterator<Item = &'a RequestQuarantine>,
    ) {
        self.learned.retain(|learned| learned.until > now);
        for quarantine in quarantines {
            let request = quarantine.request;
            let since = now - quarantine.age_ms;
            let is_sound = self.sound_at.get(&request).is_some_and(|at| *at > since);
            let is_known = self.quarantine_left(now, request).is_some();
            // A quarantine that is not a positive number has ended.
            let is_over = quarantine.left_ms.partial_cmp(&0.0) != Some(std::cmp::Ordering::Greater);
            if !is_sound && !is_known && !is_over && self.learned.len() < MAX_NAMED {
                self.learned.push(QuarantinedRequest {
                    request,
                    since,
                    until: now + quarantine.left_ms.min(MAX_QUARANTINE_MS),
                });
            }
        }
    }

    /// Drops the quarantines of other nodes.
    pub fn forget_learned(&mut self) {
        self.learned.clear();
    }

    fn active(&self, now: f64) -> impl Iterator<Item = &QuarantinedRequest> {
        let all = self.quarantined.iter().chain(&self.learned);
        all.filter(move |quarantined| quarantined.until > now)
    }

    /// The requests with the most crashes since their last complete response, with the indices of these crashes.
    fn find_suspects(&self) -> Vec<(RequestFingerprint, Vec<usize>)> {
        let mut by_request: HashMap<RequestFingerprint, Vec<usize>> = HashMap::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            for request in &crash.requests {
                if self.sound_at.get(request).is_none_or(|at| crash.at > *at) {
                    by_request.entry(*request).or_default().push(index);
                }
            }
        }
        let mut suspects: Vec<_> = by_request
            .into_iter()
            .filter(|(_, crashes)| crashes.len() >= MIN_SUSPECT_CRASHES)
            .collect();
        suspects.sort_by_key(|(request, crashes)| (std::cmp::Reverse(crashes.len()), *request));
        suspects.truncate(MAX_NAMED);
        suspects
    }

    fn update(&mut self, now: f64) {
        self.crashes.retain(|crash| now - crash.at <= CRASH_TTL_MS);
        let requests = self.crashes.iter().flat_map(|crash| &crash.requests);
        let in_crashes: HashSet<_> = requests.collect();
        self.sound_at
            .retain(|request, at| now - *at <= SOUND_TTL_MS || in_crashes.contains(request));
        let suspects = self.find_suspects();
        let quarantined = suspects
            .iter()
            .filter_map(|suspect| self.quarantine(suspect, &suspects));
        self.quarantined = quarantined.collect();
        let with_last = suspects.iter().filter_map(|(request, crashes)| {
            let last = crashes.last()?;
            Some((*request, self.crashes[*last].at))
        });
        self.suspects = with_last.collect();
    }

    /// The quarantine of a suspect, unless there are too few crashes.
    fn quarantine(
        &self,
        (request, crashes): &(RequestFingerprint, Vec<usize>),
        suspects: &[(RequestFingerprint, Vec<usize>)],
    ) -> Option<QuarantinedRequest> {
        if crashes.len() < MIN_CRASHES {
            return None;
        }
        let mut others = suspects.iter().filter(|(other, _)| other != request);
        let is_shared =
            others.any(|(_, of_other)| crashes.iter().all(|crash| of_other.contains(crash)));
        let separate = crashes
            .iter()
            .filter(|crash| self.is_separate(**crash, *request));
        let is_unexplained = !is_shared && separate.count() >= MIN_CRASHES;
        let is_certain = self.has_several_incidents(crashes)
            && (is_unexplained || crashes.len() >= MAX_UNCERTAIN_CRASHES);
        let duration = if is_certain {
            let doublings = i32::try_from(crashes.len() - MIN_CRASHES).unwrap_or(i32::MAX);
            (QUARANTINE_MS * 2_f64.powi(doublings)).min(MAX_QUARANTINE_MS)
        } else {
            UNCERTAIN_QUARANTINE_MS
        };
        let since = self.crashes[*crashes.last()?].at;
        Some(QuarantinedRequest {
            request: *request,
            since,
            until: since + duration,
        })
    }

    /// Whether no other upstream crashed at the same time without having the request.
    fn is_separate(&self, index: usize, request: RequestFingerprint) -> bool {
        let at = self.crashes[index].at;
        let is_simultaneous = |crash: &&Crash| (crash.at - at).abs() <= SIMULTANEOUS_MS;
        let mut simultaneous = self.crashes.iter().filter(is_simultaneous);
        simultaneous.all(|crash| crash.requests.contains(&request))
    }

    /// Whether the crashes are too far apart to have one cause that is not a request, such as the loss of a rack.
    fn has_several_incidents(&self, crashes: &[usize]) -> bool {
        let mut times = crashes.iter().map(|crash| self.crashes[*crash].at);
        let (first, last) = (times.next(), times.next_back());
        first
            .zip(last)
            .is_some_and(|(first, last)| last - first > INCIDENT_MS)
    }
}
