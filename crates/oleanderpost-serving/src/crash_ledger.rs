//! [`CrashLedger`].

use std::collections::{HashMap, HashSet, VecDeque};

use crate::{PartId, Quarantine, ServiceName, UpstreamId};

/// Number of incidents after which parts are quarantined. Two may hit the same caller by chance: a request that
/// lost its engine is sent to another one.
const MIN_INCIDENTS: usize = 3;
/// Crashes within this time after the first one are one incident, such as the loss of a rack.
pub(crate) const INCIDENT_MS: f64 = 100.0;
/// Number of incidents from which on a part is quarantined whatever else happened at the same time.
const MAX_UNCERTAIN_INCIDENTS: usize = 6;
/// Crashes within this time of each other may have one cause. An upstream that crashed without the suspect then shows
/// that the cause is another one.
pub(crate) const SIMULTANEOUS_MS: f64 = 50.0;
/// Time without a crash after its first event for which a request must run to count as sound.
const SOUND_AFTER_MS: f64 = 150.0;
/// Longest time between two reports of the same crash.
pub(crate) const SAME_CRASH_MS: f64 = 1_000.0;
/// Time for which messages from before a crash may still arrive.
const MESSAGE_DELAY_MS: f64 = 100.0;
/// Duration of the first quarantine of parts. Each further incident doubles it.
pub(crate) const QUARANTINE_MS: f64 = 300_000.0;
/// Longest quarantine, an hour.
pub(crate) const MAX_QUARANTINE_MS: f64 = 3_600_000.0;
/// Time for which a crash is remembered. Longer than any quarantine, so that one more crash renews it.
const CRASH_TTL_MS: f64 = 2.0 * MAX_QUARANTINE_MS;
/// Maximum number of remembered crashes.
const MAX_CRASHES: usize = 64;
/// Maximum number of prompts that are remembered of a crash; an engine prefills few at a time.
const MAX_PROMPTS: usize = 64;
/// Maximum number of quarantines that are learned from other nodes.
const MAX_LEARNED: usize = 64;

/// Crash of an engine.
#[derive(Clone, Debug)]
struct Crash {
    engine: UpstreamId,
    at: f64,
    /// Whether the process of the engine is known to be gone. Answers under its identifier then come from another one.
    is_confirmed: bool,
    /// Prompts that the engine had not begun to answer, or only just before.
    prompts: Vec<Vec<PartId>>,
}

/// First event of a request that may still turn out to crash its engine.
#[derive(Clone, Debug)]
struct Start {
    engine: UpstreamId,
    at: f64,
    parts: Vec<PartId>,
}

/// Parts that are quarantined together, on the clock of the ledger.
#[derive(Clone, Debug, PartialEq)]
struct QuarantinedParts {
    parts: Vec<PartId>,
    since: f64,
    until: f64,
}

impl QuarantinedParts {
    fn covers(&self, prompt: &[PartId]) -> bool {
        self.parts.iter().all(|part| prompt.contains(part))
    }
}

/// Part that may be the cause of crashes.
struct Suspect<'a> {
    part: &'a PartId,
    incidents: usize,
    last_at: f64,
    /// Parts that all prompts with this part have in common, without those that have been sound since.
    common: Vec<PartId>,
    /// Number of different prompts with the part.
    distinct_prompts: usize,
    /// Incidents, reduced if the part is in many prompts of each crash.
    score: f64,
}

/// Finds parts of prompts that crash the engines which begin to answer them.
///
/// A part is suspect if engines crashed in several incidents while they had yet to answer a prompt with that part, and
/// no request with it has been sound since. Parts that occur only together with it are quarantined together: requests
/// that have only some of them are served, which shows which parts are sound. An engine that answers later has not
/// crashed; its connections failed for another reason.
///
/// All times are milliseconds on a clock supplied by the caller.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    /// Crashes, oldest first.
    crashes: Vec<Crash>,
    /// Parts of the prompts in `crashes`, with the time of the last request that was sound.
    sound_at: HashMap<PartId, Option<f64>>,
    recent_starts: VecDeque<Start>,
    quarantined: Vec<QuarantinedParts>,
    /// Quarantines of other nodes.
    learned: Vec<QuarantinedParts>,
}

impl CrashLedger {
    /// Whether a request that got its first event at `first_event_at` may still crash its engine at `now`.
    #[must_use]
    pub fn is_unproven(now: f64, first_event_at: Option<f64>) -> bool {
        first_event_at.is_none_or(|at| now - at <= SOUND_AFTER_MS)
    }

    /// Records the first event of a request.
    pub fn note_start(&mut self, now: f64, engine: &UpstreamId, parts: &[PartId]) {
        self.note_alive(now, engine);
        if self.is_idle() {
            return;
        }
        self.recent_starts.push_back(Start {
            engine: engine.clone(),
            at: now,
            parts: parts.to_vec(),
        });
        self.settle(now);
    }

    /// Records that the engine answers requests. If it was taken for crashed, it was not.
    pub fn note_alive(&mut self, now: f64, engine: &UpstreamId) {
        let is_refuted = |crash: &Crash| {
            let is_later = now > crash.at + MESSAGE_DELAY_MS;
            crash.engine == *engine && !crash.is_confirmed && is_later
        };
        if self.crashes.iter().any(is_refuted) {
            self.crashes.retain(|crash| !is_refuted(crash));
            self.update_quarantines(now);
        }
    }

    /// Records that the process of an engine which broke off its requests around `at` is gone.
    pub fn confirm_crash(&mut self, now: f64, at: f64, engine: &UpstreamId) {
        let unconfirmed = self.crashes.iter_mut().find(|crash| {
            let is_same = crash.engine == *engine && (crash.at - at).abs() <= SAME_CRASH_MS;
            is_same && !crash.is_confirmed
        });
        if let Some(crash) = unconfirmed {
            crash.is_confirmed = true;
            self.update_quarantines(now);
        }
    }

    /// Records that the engine broke off its requests, with the prompts for which [`is_unproven`](Self::is_unproven)
    /// holds. Returns whether there are any, and the engine's crash was not known.
    pub fn note_crash(
        &mut self,
        now: f64,
        engine: &UpstreamId,
        prompts: impl IntoIterator<Item = Vec<PartId>>,
    ) -> bool {
        let has_parts = |prompt: &Vec<PartId>| !prompt.is_empty();
        let prompts = prompts.into_iter().filter(has_parts);
        self.settle(now);
        self.recent_starts.retain(|start| start.engine != *engine);
        // Requests are reported one by one, and a connection may have failed shortly before the engine.
        let known = self.crashes.iter().position(|crash| {
            let is_over = crash.is_confirmed && now - crash.at > SAME_CRASH_MS;
            crash.engine == *engine && !is_over
        });
        let mut crash = match known {
            Some(at) => self.crashes.remove(at),
            None => Crash {
                engine: engine.clone(),
                at: now,
                is_confirmed: false,
                prompts: Vec::new(),
            },
        };
        let known_prompts = crash.prompts.len();
        for prompt in prompts {
            if crash.prompts.len() < MAX_PROMPTS && !crash.prompts.contains(&prompt) {
                crash.prompts.push(prompt);
            }
        }
        let has_changed = crash.prompts.len() > known_prompts;
        if !crash.prompts.is_empty() {
            let at = self.crashes.partition_point(|other| other.at <= crash.at);
            self.crashes.insert(at, crash);
        }
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        if has_changed {
            self.update_quarantines(now);
        }
        has_changed && known.is_none()
    }

    /// Time left of the quarantine of a prompt.
    #[must_use]
    pub fn quarantine_left(&self, now: f64, prompt: &[PartId]) -> Option<f64> {
        let covering = self.active(now).filter(|parts| parts.covers(prompt));
        covering.map(|parts| parts.until - now).reduce(f64::max)
    }

    /// The quarantines in force.
    #[must_use]
    pub fn quarantines(&self, now: f64, service: &ServiceName) -> Vec<Quarantine> {
        let quarantines = self.active(now).map(|quarantined| Quarantine {
            service: service.clone(),
            parts: quarantined.parts.clone(),
            age_ms: now - quarantined.since,
            left_ms: quarantined.until - now,
        });
        quarantines.collect()
    }

    /// Adds the quarantines of a node, unless requests with their parts have been sound since.
    pub fn learn<'a>(&mut self, now: f64, quarantines: impl IntoIterator<Item = &'a Quarantine>) {
        self.learned.retain(|learned| learned.until > now);
        for quarantine in quarantines {
            let since = now - quarantine.age_ms;
            let is_sound = |part| self.sound_at(part).is_some_and(|at| at > since);
            let is_known = self
                .active(now)
                .any(|known| known.covers(&quarantine.parts));
            let is_valid = quarantine.left_ms > 0.0 && !quarantine.parts.is_empty();
            if is_known || !is_valid || quarantine.parts.iter().any(is_sound) {
                continue;
            }
            if self.learned.len() < MAX_LEARNED {
                self.learned.push(QuarantinedParts {
                    parts: quarantine.parts.clone(),
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

    fn sound_at(&self, part: &PartId) -> Option<f64> {
        self.sound_at.get(part).copied().flatten()
    }

    fn is_idle(&self) -> bool {
        self.crashes.is_empty() && self.learned.is_empty()
    }

    fn active(&self, now: f64) -> impl Iterator<Item = &QuarantinedParts> {
        let all = self.quarantined.iter().chain(&self.learned);
        all.filter(move |quarantined| quarantined.until > now)
    }

    /// Counts the starts as sound after which enough time has passed without a crash.
    fn settle(&mut self, now: f64) {
        let mut has_changed = false;
        while let Some(start) = self
            .recent_starts
            .pop_front_if(|start| now - start.at > SOUND_AFTER_MS)
        {
            for part in start.parts {
                for learned in &mut self.learned {
                    learned.parts.retain(|learned| *learned != part);
                }
                if let Some(sound_at) = self.sound_at.get_mut(&part) {
                    *sound_at = Some(start.at);
                    let mut quarantined = self.quarantined.iter();
                    has_changed |= quarantined.any(|known| known.parts.contains(&part));
                }
            }
        }
        self.learned.retain(|learned| !learned.parts.is_empty());
        if has_changed {
            self.update_quarantines(now);
        }
    }

    fn update_quarantines(&mut self, now: f64) {
        self.crashes.retain(|crash| now - crash.at <= CRASH_TTL_MS);
        let prompts = self.crashes.iter().flat_map(|crash| &crash.prompts);
        let suspects = prompts.flatten();
        self.sound_at = suspects
            .map(|part| (part.clone(), self.sound_at(part)))
            .collect();
        let mut unexplained: Vec<&Crash> = self.crashes.iter().collect();
        let mut quarantined = Vec::new();
        while let Some(suspect) = self.prime_suspect(&unexplained) {
            let doublings = i32::try_from(suspect.incidents - MIN_INCIDENTS).unwrap_or(i32::MAX);
            let duration = (QUARANTINE_MS * 2_f64.powi(doublings)).min(MAX_QUARANTINE_MS);
            let part = suspect.part.clone();
            quarantined.push(QuarantinedParts {
                parts: suspect.common,
                since: suspect.last_at,
                until: suspect.last_at + duration,
            });
            unexplained.retain(|crash| !crash.prompts.iter().any(|prompt| prompt.contains(&part)));
        }
        self.quarantined = quarantined;
    }

    /// The part that most likely caused the crashes.
    fn prime_suspect<'a>(&self, crashes: &[&'a Crash]) -> Option<Suspect<'a>> {
        let incident_starts = incident_starts(crashes);
        let parts: HashSet<&PartId> = crashes
            .iter()
            .flat_map(|crash| &crash.prompts)
            .flatten()
            .collect();
        let mut suspects: Vec<_> = parts
            .into_iter()
            .filter_map(|part| self.suspect(part, crashes, &incident_starts))
            .collect();
        suspects.sort_by(|a, b| {
            let by_score = b.score.total_cmp(&a.score);
            by_score
                .then(b.distinct_prompts.cmp(&a.distinct_prompts))
                .then(a.part.cmp(b.part))
        });
        let mut prime = 0;
        // A part shared by many prompts is in all crashes of a rarer one.
        while let Some(rarer) = suspects.iter().position(|suspect| {
            let prime = &suspects[prime];
            suspect.distinct_prompts > 1
                && suspect.common.contains(prime.part)
                && !prime.common.contains(suspect.part)
        }) {
            prime = rarer;
        }
        (!suspects.is_empty()).then(|| suspects.swap_remove(prime))
    }

    /// Whether no engine is known to have crashed at the same time without a prompt that has the part.
    fn is_separate(&self, crash: &Crash, part: &PartId) -> bool {
        let mut simultaneous = self
            .crashes
            .iter()
            .filter(|other| other.is_confirmed && (other.at - crash.at).abs() <= SIMULTANEOUS_MS);
        simultaneous.all(|other| other.prompts.iter().any(|prompt| prompt.contains(part)))
    }

    /// What speaks against `part`; `None` if that is not enough.
    fn suspect<'a>(
        &self,
        part: &'a PartId,
        crashes: &[&Crash],
        incident_starts: &[f64],
    ) -> Option<Suspect<'a>> {
        let sound_at = self.sound_at(part);
        let with_part = |crash: &&&Crash| {
            sound_at.is_none_or(|at| crash.at > at)
                && crash.prompts.iter().any(|prompt| prompt.contains(part))
        };
        let crashes: Vec<_> = crashes.iter().filter(with_part).collect();
        let (first_at, last_at) = (crashes.first()?.at, crashes.last()?.at);
        let incident = |crash: &&&Crash| incident_starts.partition_point(|at| *at <= crash.at);
        let incidents: HashSet<_> = crashes.iter().map(incident).collect();
        if incidents.len() < MIN_INCIDENTS {
            return None;
        }
        let separate = crashes.iter().filter(|crash| self.is_separate(crash, part));
        let separate_incidents: HashSet<_> = separate.map(incident).collect();
        let is_certain = separate_incidents.len() >= MIN_INCIDENTS;
        if !is_certain && incidents.len() < MAX_UNCERTAIN_INCIDENTS {
            return None;
        }
        let prompts: Vec<_> = crashes
            .iter()
            .flat_map(|crash| &crash.prompts)
            .filter(|prompt| prompt.contains(part))
            .collect();
        let is_common = |other: &&PartId| {
            let is_sound = self.sound_at(other).is_some_and(|at| at > first_at);
            !is_sound && prompts.iter().all(|prompt| prompt.contains(other))
        };
        let common = prompts.first()?.iter().filter(is_common).cloned().collect();
        let distinct_prompts = prompts.iter().collect::<HashSet<_>>().len();
        Some(Suspect {
            part,
            incidents: incidents.len(),
            last_at,
            common,
            distinct_prompts,
            score: (incidents.len() * crashes.len()) as f64 / prompts.len() as f64,
        })
    }
}

/// Times at which incidents begin.
fn incident_starts(crashes: &[&Crash]) -> Vec<f64> {
    let mut starts: Vec<f64> = Vec::new();
    for crash in crashes {
        if starts
            .last()
            .is_none_or(|start| crash.at - start > INCIDENT_MS)
        {
            starts.push(crash.at);
        }
    }
    starts
}
