//! A fake engine whose connections and answers fail by a script.

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

/// Time between two tokens.
const TOKEN_TIME: Duration = Duration::from_millis(35);
/// Time after which a question that is not answered fails.
const QUESTION_TIME: Duration = Duration::from_secs(2);

/// Text of the tokens `from` to `to`.
pub(crate) fn text(from: u64, to: u64) -> String {
    (from..to).map(|i| format!("t{i} ")).collect()
}

/// How one connection fails.
#[derive(Clone, Copy, Debug, TypeGenerator)]
pub(crate) enum Fault {
    /// It does not.
    None,
    /// It ends after some events.
    Ends { after: u8 },
    /// It breaks with an error after some events.
    Breaks { after: u8 },
    /// It goes silent after some events.
    Silent { after: u8 },
    /// It repeats an earlier event.
    Repeats { at: u8 },
    /// It leaves out an event.
    Skips { at: u8 },
    /// It swaps two events.
    Swaps { at: u8 },
    /// It says too early that the answer is whole.
    EndsShort { after: u8 },
    /// The upstream refuses the request.
    Refuses,
}

/// How one question about the stream is answered.
#[derive(Clone, Copy, Debug, TypeGenerator)]
pub(crate) enum Answer {
    /// Truthfully.
    True,
    /// Truthfully as well; more often than what follows.
    AlsoTrue,
    /// Not at all.
    None,
    /// The engine has lost the stream.
    Lost,
}

/// One history.
#[derive(Clone, Debug, TypeGenerator)]
pub(crate) struct Script {
    /// Tokens of the answer.
    len: u8,
    /// Tokens of one event, less one.
    #[generator(0u8..4)]
    chunk: u8,
    /// Time before the first token, in tenths of a second.
    #[generator(0u16..300)]
    late: u16,
    /// Number of connections with faults.
    #[generator(0usize..5)]
    faulty: usize,
    /// Faults of the connections, one after the other.
    faults: [Fault; 4],
    /// Number of questions whose answer may not be true.
    #[generator(0usize..4)]
    doubtful: usize,
    /// Answers to questions, one after the other.
    answers: [Answer; 4],
}

impl Script {
    /// A request that is accepted on a connection that ends at once, and a resume that is refused.
    pub(crate) fn with_refused_resume() -> Self {
        let mut script = Self::with_late_start(Duration::ZERO);
        script.faulty = 2;
        script.faults[0] = Fault::Ends { after: 0 };
        script.faults[1] = Fault::Refuses;
        script
    }

    /// One connection without fault whose first token comes late.
    pub(crate) fn with_late_start(late: Duration) -> Self {
        Self {
            len: 3,
            chunk: 0,
            late: u16::try_from(late.as_millis() / 100).unwrap_or(u16::MAX),
            faulty: 0,
            faults: [Fault::None; 4],
            doubtful: 0,
            answers: [Answer::True; 4],
        }
    }
}

/// The engine.
pub(crate) struct Engine {
    script: Script,
    late: Duration,
    started: Instant,
    connections: AtomicUsize,
    questions: AtomicUsize,
    lost: Mutex<bool>,
}

impl Engine {
    pub(crate) fn new(script: Script) -> Self {
        let late = Duration::from_millis(u64::from(script.late) * 100);
        Self {
            script,
            late,
            started: Instant::now(),
            connections: AtomicUsize::new(0),
            questions: AtomicUsize::new(0),
            lost: Mutex::default(),
        }
    }

    /// The history.
    pub(crate) fn script(&self) -> &Script {
        &self.script
    }

    /// Tokens of the answer.
    pub(crate) fn len(&self) -> u64 {
        u64::from(self.script.len)
    }

    /// Longest time without an event that is no fault.
    pub(crate) fn longest_wait(&self) -> Duration {
        self.late
    }

    /// Whether the connection that carried the request refused it.
    pub(crate) fn refused(&self) -> bool {
        matches!(self.fault(0), Fault::Refuses)
    }

    /// Whether the history has a cause for losing the stream: an engine that lost it, questions without
    /// answer, an end that came too early, or several faults in a row.
    pub(crate) fn may_lose(&self) -> bool {
        let faults = self.used_faults().filter(|f| !matches!(f, Fault::None));
        let short = self
            .used_faults()
            .any(|f| matches!(f, Fault::EndsShort { .. }));
        let silent = self.script.answers.iter().take(self.script.doubtful);
        let silent = silent.filter(|a| matches!(a, Answer::None));
        *self.lost.lock().unwrap() || short || faults.count() + silent.count() >= 3
    }

    fn used_faults(&self) -> impl Iterator<Item = Fault> + '_ {
        (0..self.connections.load(Ordering::Relaxed)).map(|i| self.fault(i))
    }

    fn fault(&self, connection: usize) -> Fault {
        let faults = self.script.faults.iter().take(self.script.faulty);
        faults.copied().nth(connection).unwrap_or(Fault::None)
    }

    /// Opens a connection that gives the tokens from `offset` on.
    pub(crate) fn connect(&self, offset: u64) -> Box<dyn StreamConnection> {
        let connection = self.connections.fetch_add(1, Ordering::Relaxed);
        let fault = self.fault(connection);
        let chunk = u64::from(self.script.chunk) + 1;
        Box::new(Connection {
            items: items(offset, self.len(), chunk, fault),
            start: self.started + self.late,
        })
    }

    fn generated(&self) -> u64 {
        let running = self.started.elapsed().checked_sub(self.late);
        let tokens = running.map_or(0, |span| span.as_millis() / TOKEN_TIME.as_millis());
        self.len().min(u64::try_from(tokens).unwrap_or(u64::MAX))
    }
}

#[async_trait::async_trait]
impl StreamSource for Engine {
    async fn status(&self, _key: RequestKey) -> Result<StreamStatus> {
        let question = self.questions.fetch_add(1, Ordering::Relaxed);
        let answers = self.script.answers.iter().take(self.script.doubtful);
        match answers.copied().nth(question) {
            Some(Answer::None) => {
                sleep(QUESTION_TIME).await;
                Err(broken("no answer"))
            }
            Some(Answer::Lost) => {
                *self.lost.lock().unwrap() = true;
                Ok(StreamStatus::Absent)
            }
            _ => {
                let tokens = self.generated();
                if tokens == self.len() && self.started.elapsed() >= self.late {
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

/// What a connection gives next.
enum Item {
    Event(StreamEvent),
    Break,
    Silence,
    Refusal,
}

struct Connection {
    items: VecDeque<Item>,
    start: Instant,
}

#[async_trait::async_trait]
impl StreamConnection for Connection {
    async fn next(&mut self) -> Result<Option<StreamEvent>> {
        if let Some(Item::Refusal) = self.items.front() {
            return Err(refusal());
        }
        tokio::time::sleep_until(self.start).await;
        if let Some(Item::Silence) = self.items.front() {
            return std::future::pending().await;
        }
        sleep(TOKEN_TIME).await;
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
    let place = |n: u8| usize::from(n) % events.len();
    let mut last = None;
    match fault {
        Fault::None => {}
        Fault::Ends { after } => events.truncate(place(after)),
        Fault::Breaks { after } => {
            events.truncate(place(after));
            last = Some(Item::Break);
        }
        Fault::Silent { after } => {
            events.truncate(place(after));
            last = Some(Item::Silence);
        }
        Fault::Repeats { at } => {
            let at = place(at);
            let event = events[at].clone();
            events.insert(at, event);
        }
        Fault::Skips { at } => {
            events.remove(place(at));
        }
        Fault::Swaps { at } => {
            let at = place(at);
            events.swap(at, (at + 1) % events.len());
        }
        Fault::EndsShort { after } => {
            events.truncate(place(after));
            let told = offset + events.iter().map(count).sum::<u64>();
            // An end that fits what was told can't be known for wrong.
            if told > 0 {
                events.push_back(end(told - 1));
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
