//! `oleanderpost load`.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::{
    sync::mpsc,
    time::{Instant, interval, sleep_until},
};

use oleanderpost::types::{RequestKey, Tokens};

use crate::{
    LoadAccount, LoadArgs, Result,
    arrivals::{Arrival, Arrivals},
    audit::Audit,
    caller::{Call, Caller, Seen},
    ending::Ending,
    load_report::{ClassReport, LoadReport, PhaseReport, SecondReport},
    progress::Progress,
    prompt_form::PromptSeed,
    tally::Tally,
};

/// Time before its arrival at which a request is made ready.
const LEAD: Duration = Duration::from_millis(200);
/// Time after the last answer after which the engines' evidence is read.
const SETTLE: Duration = Duration::from_millis(500);

/// Runs a load and writes its report; `false` if a promise was broken.
pub(crate) async fn run(args: LoadArgs) -> Result<bool> {
    let output = args.output;
    let report = measure(args).await?;
    output.write(&report)?;
    Ok(report.is_kept())
}

/// Runs a load.
pub(crate) async fn measure(mut args: LoadArgs) -> Result<LoadReport> {
    args.classes.sort();
    let (tx, rx) = mpsc::unbounded_channel();
    let sender = tokio::spawn(send_all(args.clone(), tx));
    let mut collector = Collector::new(&args);
    collector.collect(rx).await;
    let _ = sender.await;
    collector.report().await
}

/// A request with what the caller saw.
struct Done {
    arrival: Arrival,
    key: RequestKey,
    seen: Seen,
}

/// Starts each request at its time, whatever became of those before.
async fn send_all(args: LoadArgs, tx: mpsc::UnboundedSender<Done>) {
    let (targets, accounts) = if args.direct.is_empty() {
        (args.targets.clone(), args.accounts.clone())
    } else {
        (args.direct.clone(), Vec::new())
    };
    let caller = Arc::new(Caller::new(
        targets,
        args.time_limit_ms.into(),
        args.repeatable,
    ));
    let arrivals = Arrivals::new(args.phases.clone(), args.mix.clone(), &accounts, args.seed);
    let start = Instant::now() + LEAD;
    for arrival in arrivals {
        let intended = start + arrival.at;
        sleep_until(intended - LEAD).await;
        let key = new_key(arrival.key);
        // Each request in progress holds a clone of the sender.
        if tx.strong_count() > args.max_open {
            let seen = unsent();
            let _ = tx.send(Done { arrival, key, seen });
            continue;
        }
        let (tx, caller) = (tx.clone(), caller.clone());
        let token = accounts
            .get(arrival.account)
            .map(|account: &LoadAccount| account.token.clone());
        let prompt = prompt_seed(&args, &arrival);
        let (service, answer) = (args.service.clone(), args.answer);
        tokio::spawn(async move {
            let body = prompt.body(&service, answer);
            sleep_until(intended).await;
            let call = Call {
                key,
                token,
                body,
                answer: u64::from(answer),
                intended,
            };
            let seen = caller.call(call).await;
            let _ = tx.send(Done { arrival, key, seen });
        });
    }
}

fn prompt_seed(args: &LoadArgs, arrival: &Arrival) -> PromptSeed {
    PromptSeed {
        form: args.form,
        len: arrival.prompt,
        seed: arrival.seed,
        shared: args.shared_prefix,
        shared_seed: args.seed.wrapping_add(arrival.account as u64),
    }
}

fn unsent() -> Seen {
    Seen {
        ending: Ending::Unsent,
        detail: None,
        first_token: None,
        gaps: Vec::new(),
        tokens: 0,
    }
}

/// A key with the present time and a random part that follows from the seed.
fn new_key(random: [u8; 10]) -> RequestKey {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    let uuid = uuid::Builder::from_unix_timestamp_millis(millis, &random);
    RequestKey::from_uuid(uuid.into_uuid())
}

/// Gathers what the callers saw.
struct Collector {
    args: LoadArgs,
    tallies: Vec<Vec<Tally>>,
    seconds: Vec<SecondReport>,
    details: BTreeMap<String, u64>,
    seen: HashMap<RequestKey, Ending>,
}

impl Collector {
    fn new(args: &LoadArgs) -> Self {
        let classes = || args.classes.iter().map(|_| Tally::new()).collect();
        Self {
            args: args.clone(),
            tallies: args.phases.iter().map(|_| classes()).collect(),
            seconds: Vec::new(),
            details: BTreeMap::new(),
            seen: HashMap::new(),
        }
    }

    async fn collect(&mut self, mut rx: mpsc::UnboundedReceiver<Done>) {
        let progress = Progress::new();
        let mut ticks = interval(Progress::PERIOD);
        loop {
            tokio::select! {
                done = rx.recv() => match done {
                    Some(done) => self.add(done),
                    None => break,
                },
                _ = ticks.tick() => progress.show(&self.progress(rx.sender_strong_count())),
            }
        }
        progress.close();
    }

    fn progress(&self, open: usize) -> String {
        let done = self.seen.len();
        let whole = self
            .seen
            .values()
            .filter(|ending| **ending == Ending::Whole)
            .count();
        format!("{done} done, {whole} whole, {open} open")
    }

    fn add(&mut self, done: Done) {
        let class = class_of(&self.args.classes, done.arrival.prompt);
        self.tallies[done.arrival.phase][class].add(&done.seen);
        let second = done.arrival.at.as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondReport::default());
        }
        self.seconds[second].offered += 1;
        self.seconds[second].whole += u64::from(done.seen.ending == Ending::Whole);
        if let Some(detail) = done.seen.detail {
            *self.details.entry(detail).or_default() += 1;
        }
        self.seen.insert(done.key, done.seen.ending);
    }

    async fn report(self) -> Result<LoadReport> {
        let audit = self.audit().await?;
        let phases = self.args.phases.iter().zip(&self.tallies);
        let phases = phases.map(|(phase, tallies)| {
            let seconds = phase.span.as_secs_f64();
            let per_second = |count: u64| count as f64 / seconds.max(f64::MIN_POSITIVE);
            let classes = self.args.classes.iter().zip(tallies);
            let endings = tallies
                .iter()
                .fold(Default::default(), |sum, t| t.endings + sum);
            PhaseReport {
                rate: phase.rate,
                seconds,
                endings,
                goodput: per_second(endings.whole),
                tokens_per_second: per_second(tallies.iter().map(|tally| tally.tokens).sum()),
                classes: classes
                    .map(|(up_to, tally)| ClassReport::new(*up_to, tally))
                    .collect(),
            }
        });
        Ok(LoadReport {
            seed: self.args.seed,
            phases: phases.collect(),
            seconds: self.seconds,
            details: self.details,
            audit,
        })
    }

    async fn audit(&self) -> Result<Option<Audit>> {
        if self.args.evidence.is_empty() {
            return Ok(None);
        }
        tokio::time::sleep(SETTLE).await;
        let repeatable = self.args.repeatable.unwrap_or(true);
        Audit::new(&self.args.evidence, &self.seen, repeatable)
            .await
            .map(Some)
    }
}

/// Index of the class of a prompt; what is longer than all belongs to the last.
fn class_of(classes: &[Tokens], prompt: Tokens) -> usize {
    let found = classes.iter().position(|up_to| prompt <= *up_to);
    found.unwrap_or(classes.len() - 1)
}
