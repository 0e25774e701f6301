//! A simulated engine whose connections and status answers fail according to a script.

use std::{
    collections::VecDeque,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bolero::TypeGenerator;
use oleanderpost_dispatch::{Error, Result, StreamConnection, StreamSource};
use oleanderpost_types::{FinishReason, Outcome, Problem, RequestKey, StreamEvent, StreamStatus};
use tokio::time::{Instant, sleep};

/// Interval between two tokens.
const TOKEN_INTERVAL: Duration = Duration::from_millis(35);
/// Time after which an unanswered status query fails.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Text of the tokens `from` to `to`.
pub(crate) fn text(from: u64, to: u64) -> String {
    (from..to).map(|i| format!("t{i} ")).collect()
}

/// How one connection fails.
#[derive(Clone, Copy, Debug, TypeGenerator)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// The connection ends after some events.
    Ends { after: u8 },
    /// The connection breaks with an error after some events.
    Breaks { after: u8 },
    /// The connection yields nothing more after some events.
    Stalls { after: u8 },
    /// An event is sent twice.
    Repeats { at: u8 },
    /// An event is omitted.
    Skips { at: u8 },
    /// Two events are swapped.
    Swaps { at: u8 },
    /// The end of the answer is sent too early, with too few tokens.
    EndsShort { after: u8 },
    /// The upstream refuses the request.
    Refuses,
}

/// How one status query is answered.
#[derive(Clone, Copy, Debug, TypeGenerator)]
pub(crate) enum StatusAnswer {
    /// Correctly.
    Correct,
    /// Correctly as well; makes correct answers more frequent than the faulty ones.
    AlsoCorrect,
    /// No answer.
    None,
    /// The engine has lost the stream.
    Lost,
}

/// One generated history of an engine.
#[derive(Clone, Debug, TypeGenerator)]
pub(crate) struct Script {
    /// Number of tokens of the answer.
    len: u8,
    /// Number of tokens per event, minus one.
    #[generator(0u8..4)]
    chunk: u8,
    /// Delay of the first token, in tenths of a second.
    #[generator(0u16..300)]
    first_token_delay: u16,
    /// Number of connections with faults.
    #[generator(0usize..5)]
    fault_count: usize,
    /// Faults of the connections, in the order in which they are opened.
    faults: [Fault; 4],
    /// Number of status queries that are answered according to `answers`.
    #[generator(0usize..4)]
    answer_count: usize,
    /// Answers to the status queries, in order.
    answers: [StatusAnswer; 4],
}

impl Script {
    /// The first connection ends at once without an event; the first resume is refused.
    pub(crate) fn with_refused_resume() -> Self {
        let mut script = Self::with_late_start(Duration::ZERO);
        script.fault_count = 2;
        script.faults[0] = Fault::Ends { after: 0 };
        script.faults[1] = Fault::Refuses;
        script
    }

    /// One connection without faults whose first token is delayed.
    pub(crate) fn with_late_start(first_token_delay: Duration) -> Self {
        Self {
            len: 3,
            chunk: 0,
            first_token_delay: u16::try_from(first_token_delay.as_millis() / 100)
                .unwrap_or(u16::MAX),
            fault_count: 0,
            faults: [Fault::None; 4],
            answer_count: 0,
            answers: [StatusAnswer::Correct; 4],
        }
    }
}

/// A simulated engine.
pub(crate) struct Engine {
    script: Script,
    first_token_delay: Duration,
    started: Instant,
    connections: AtomicUsize,
    status_calls: AtomicUsize,
    lost: Mutex<bool>,
}

impl Engine {
    pub(crate) fn new(script: Script) -> Self {
        let first_token_delay = Duration::from_millis(u64::from(script.first_token_delay) * 100);
        Self {
            script,
            first_token_delay,
            started: Instant::now(),
            connections: AtomicUsize::new(0),
            status_calls: AtomicUsize::new(0),
            lost: Mutex::default(),
        }
    }

    /// The script of this engine.
    pub(crate) fn script(&self) -> &Script {
        &self.script
    }

    /// Number of tokens of the answer.
    pub(crate) fn len(&self) -> u64 {
        u64::from(self.script.len)
    }

    /// Delay of the first token; an idle connection is no fault before that.
    pub(crate) fn first_token_delay(&self) -> Duration {
        self.first_token_delay
    }

    /// Whether the connection that carried the request refused it.
    pub(crate) fn refused(&self) -> bool {
        matches!(self.fault(0), Fault::Refuses)
    }

    /// Whether the stream may legitimately be reported as lost: the engine lost it, sent its end too early,
    /// or the faults and unanswered status queries together reach the limit of three tries.
    pub(crate) fn may_lose_stream(&self) -> bool {
        let faults = self.used_faults().filter(|f| !matches!(f, Fault::None));
        let ends_short = self
            .used_faults()
            .any(|f| matches!(f, Fault::EndsShort { .. }));
        let unanswered = self.script.answers.iter().take(self.script.answer_count);
        let unanswered = unanswered.filter(|a| matches!(a, StatusAnswer::None));
        *self.lost.lock().unwrap() || ends_short || faults.count() + unanswered.count() >= 3
    }

    fn used_faults(&self) -> impl Iterator<Item = Fault> + '_ {
        (0..self.connections.load(Ordering::Relaxed)).map(|i| self.fault(i))
    }

    fn fault(&self, connection: usize) -> Fault {
        let faults = self.script.faults.iter().take(self.script.fault_count);
        faults.copied().nth(connection).unwrap_or(Fault::None)
    }

    /// Opens a connection that yields the tokens from `offset` on.
    pub(crate) fn connect(&self, offset: u64) -> Box<dyn StreamConnection> {
        let connection = self.connections.fetch_add(1, Ordering::Relaxed);
        let fault = self.fault(connection);
        let chunk = u64::from(self.script.chunk) + 1;
        Box::new(Connection {
            items: items(offset, self.len(), chunk, fault),
            available_at: self.started + self.first_token_delay,
        })
    }

    fn generated(&self) -> u64 {
        let running = self.started.elapsed().checked_sub(self.first_token_delay);
        let tokens = running.map_or(0, |span| span.as_millis() / TOKEN_INTERVAL.as_millis());
        self.len().min(u64::try_from(tokens).unwrap_or(u64::MAX))
    }
}

#[async_trait::async_trait]
impl StreamSource for Engine {
    async fn status(&self, _key: RequestKey) -> Result<StreamStatus> {
        let status_call = self.status_calls.fetch_add(1, Ordering::Relaxed);
        let answers = self.script.answers.iter().take(self.script.answer_count);
        match answers.copied().nth(status_call) {
            Some(StatusAnswer::None) => {
                sleep(STATUS_TIMEOUT).await;
                Err(broken("no answer"))
            }
            Some(StatusAnswer::Lost) => {
                *self.lost.lock().unwrap() = true;
                Ok(StreamStatus::Absent)
            }
            _ => {
                let tokens = self.generated();
                if tokens == self.len() && self.started.elapsed() >= self.first_token_delay {
                    return Ok(StreamStatus::Finished { tokens });
                }
                Ok(StreamStatus::Running { tokens })
            }
        }
    }

    async fn resume(&self, _key: RequestKey, offset: u64) -> Result<Box<dyn StreamConnection>> {
        Ok(self.connect(offset))
    }
}

/// What a connection yields next.
enum Item {
    Event(StreamEvent),
    Break,
    Stall,
    Refusal,
}

struct Connection {
    items: VecDeque<Item>,
    available_at: Instant,
}

#[async_trait::async_trait]
impl StreamConnection for Connection {
    async fn next(&mut self) -> Result<Option<StreamEvent>> {
        if let Some(Item::Refusal) = self.items.front() {
            return Err(refusal());
        }
        tokio::time::sleep_until(self.available_at).await;
        if let Some(Item::Stall) = self.items.front() {
            return std::future::pending().await;
        }
        sleep(TOKEN_INTERVAL).await;
        match self.items.pop_front() {
            Some(Item::Event(event)) => Ok(Some(event)),
            Some(_) => Err(broken("reset")),
            None => Ok(None),
        }
    }
}

fn items(offset: u64, len: u64, chunk: u64, fault: Fault) -> VecDeque<Item> {
    let mut events = VecDeque::new();
    let mut from = offset;
    while from < len {
        let to = (from + chunk).min(len);
        events.push_back(token(from, to));
        from = to;
    }
    events.push_back(end(len));
    apply(fault, events, offset)
}

fn apply(fault: Fault, mut events: VecDeque<StreamEvent>, offset: u64) -> VecDeque<Item> {
    let index = |n: u8| usize::from(n) % events.len();
    let mut last = None;
    match fault {
        Fault::None => {}
        Fault::Ends { after } => events.truncate(index(after)),
        Fault::Breaks { after } => {
            events.truncate(index(after));
            last = Some(Item::Break);
        }
        Fault::Stalls { after } => {
            events.truncate(index(after));
            last = Some(Item::Stall);
        }
        Fault::Repeats { at } => {
            let at = index(at);
            let event = events[at].clone();
            events.insert(at, event);
        }
        Fault::Skips { at } => {
            events.remove(index(at));
        }
        Fault::Swaps { at } => {
            let at = index(at);
            events.swap(at, (at + 1) % events.len());
        }
        Fault::EndsShort { after } => {
            events.truncate(index(after));
            let sent = offset + events.iter().map(count).sum::<u64>();
            // An end that matches the tokens sent could not be recognised as wrong.
            if sent > 0 {
                events.push_back(end(sent - 1));
            }
        }
        Fault::Refuses => {
            events.clear();
            last = Some(Item::Refusal);
        }
    }
    events.into_iter().map(Item::Event).chain(last).collect()
}

fn token(from: u64, to: u64) -> StreamEvent {
    StreamEvent::Token {
        offset: from,
        count: to - from,
        text: text(from, to),
    }
}

fn end(tokens: u64) -> StreamEvent {
    StreamEvent::End {
        tokens,
        finish_reason: FinishReason::Length,
    }
}

fn count(event: &StreamEvent) -> u64 {
    match event {
        StreamEvent::Token { count, .. } => *count,
        _ => 0,
    }
}

fn broken(detail: &str) -> Error {
    Error::Exchange {
        step: "test",
        upstream: "e1".parse().unwrap(),
        detail: detail.to_owned(),
    }
}

fn refusal() -> Error {
    Error::Refused {
        step: "test",
        upstream: "e1".parse().unwrap(),
        problem: Box::new(Problem {
            kind: "overloaded".to_owned(),
            status: 503,
            detail: "full".to_owned(),
            outcome: Outcome::NotRun,
            retry_after_ms: None,
        }),
    }
}
