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
    call_stats::CallStats,
    caller::{Call, CallResult, Caller},
    ending::Ending,
    load_report::{ClassReport, LoadReport, PhaseReport, SecondReport},
    progress_line::ProgressLine,
    prompt_form::PromptSpec,
};

/// Time before the intended arrival at which a request's body is built, so that it can be sent on time.
const PREPARATION_LEAD: Duration = Duration::from_millis(200);
/// Delay between the last answer and reading the engines' evidence.
const EVIDENCE_DELAY: Duration = Duration::from_millis(500);

/// Runs a load and writes its report. Returns `false` if the load run did not pass.
pub(crate) async fn run(args: LoadArgs) -> Result<bool> {
    let output = args.output;
    let report = run_load(args).await?;
    output.write(&report)?;
    Ok(report.passed())
}

/// Sends the load and returns its report.
pub(crate) async fn run_load(mut args: LoadArgs) -> Result<LoadReport> {
    args.classes.sort();
    let (tx, rx) = mpsc::unbounded_channel();
    let sender = tokio::spawn(send_requests(args.clone(), tx));
    let mut collector = Collector::new(&args);
    collector.collect(rx).await;
    let _ = sender.await;
    collector.report().await
}

/// A request of the run and its result.
struct CallRecord {
    arrival: Arrival,
    key: RequestKey,
    result: CallResult,
}

/// Starts each request at its intended time, regardless of the state of earlier requests (open loop).
async fn send_requests(args: LoadArgs, tx: mpsc::UnboundedSender<CallRecord>) {
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
    let start = Instant::now() + PREPARATION_LEAD;
    for arrival in arrivals {
        let intended_arrival = start + arrival.offset;
        sleep_until(intended_arrival - PREPARATION_LEAD).await;
        let key = new_key(arrival.key_bytes);
        // Each open request holds a clone of `tx`, so the strong count is one more than the open requests.
        if tx.strong_count() > args.max_open {
            let result = unsent_result();
            let _ = tx.send(CallRecord {
                arrival,
                key,
                result,
            });
            continue;
        }
        let (tx, caller) = (tx.clone(), caller.clone());
        let token = accounts
            .get(arrival.account_index)
            .map(|account: &LoadAccount| account.token.clone());
        let prompt = prompt_spec(&args, &arrival);
        let (service, max_tokens) = (args.service.clone(), args.answer);
        tokio::spawn(async move {
            let body = prompt.request_body(&service, max_tokens);
            sleep_until(intended_arrival).await;
            let call = Call {
                key,
                token,
                body,
                requested_tokens: u64::from(max_tokens),
                intended_arrival,
            };
            let result = caller.call(call).await;
            let _ = tx.send(CallRecord {
                arrival,
                key,
                result,
            });
        });
    }
}

fn prompt_spec(args: &LoadArgs, arrival: &Arrival) -> PromptSpec {
    PromptSpec {
        form: args.form,
        len: arrival.prompt_len,
        seed: arrival.prompt_seed,
        shared_prefix: args.shared_prefix,
        shared_prefix_seed: args.seed.wrapping_add(arrival.account_index as u64),
    }
}

fn unsent_result() -> CallResult {
    CallResult {
        ending: Ending::Unsent,
        detail: None,
        first_token: None,
        between_tokens: Vec::new(),
        tokens: 0,
    }
}

/// Creates a request key from the current time and random bytes derived from the load's seed.
fn new_key(random: [u8; 10]) -> RequestKey {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    let uuid = uuid::Builder::from_unix_timestamp_millis(millis, &random);
    RequestKey::from_uuid(uuid.into_uuid())
}

/// Collects the results of all requests.
struct Collector {
    args: LoadArgs,
    /// Statistics by phase and class of prompt length.
    stats: Vec<Vec<CallStats>>,
    seconds: Vec<SecondReport>,
    /// Number of requests by the reason why the answer was not whole.
    details: BTreeMap<String, u64>,
    endings: HashMap<RequestKey, Ending>,
}

impl Collector {
    fn new(args: &LoadArgs) -> Self {
        let classes = || args.classes.iter().map(|_| CallStats::new()).collect();
        Self {
            args: args.clone(),
            stats: args.phases.iter().map(|_| classes()).collect(),
            seconds: Vec::new(),
            details: BTreeMap::new(),
            endings: HashMap::new(),
        }
    }

    async fn collect(&mut self, mut rx: mpsc::UnboundedReceiver<CallRecord>) {
        let progress = ProgressLine::new();
        let mut ticks = interval(ProgressLine::UPDATE_INTERVAL);
        loop {
            tokio::select! {
                record = rx.recv() => match record {
                    Some(record) => self.add(record),
                    None => break,
                },
                _ = ticks.tick() => progress.show(&self.progress_text(rx.sender_strong_count())),
            }
        }
        progress.close();
    }

    fn progress_text(&self, open: usize) -> String {
        let done = self.endings.len();
        let whole = self
            .endings
            .values()
            .filter(|ending| **ending == Ending::Whole)
            .count();
        format!("{done} done, {whole} whole, {open} open")
    }

    fn add(&mut self, record: CallRecord) {
        let class = class_index(&self.args.classes, record.arrival.prompt_len);
        self.stats[record.arrival.phase_index][class].add(&record.result);
        let second = record.arrival.offset.as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondReport::default());
        }
        self.seconds[second].offered += 1;
        self.seconds[second].whole += u64::from(record.result.ending == Ending::Whole);
        if let Some(detail) = record.result.detail {
            *self.details.entry(detail).or_default() += 1;
        }
        self.endings.insert(record.key, record.result.ending);
    }

    async fn report(self) -> Result<LoadReport> {
        let audit = self.audit().await?;
        let phases = self.args.phases.iter().zip(&self.stats);
        let phases = phases.map(|(phase, stats)| {
            let seconds = phase.duration.as_secs_f64();
            let per_second = |count: u64| count as f64 / seconds.max(f64::MIN_POSITIVE);
            let classes = self.args.classes.iter().zip(stats);
            let endings = stats
                .iter()
                .fold(Default::default(), |sum, class| class.endings + sum);
            PhaseReport {
                rate: phase.rate,
                seconds,
                endings,
                goodput: per_second(endings.whole),
                tokens_per_second: per_second(stats.iter().map(|class| class.tokens).sum()),
                classes: classes
                    .map(|(up_to, stats)| ClassReport::new(*up_to, stats))
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
        tokio::time::sleep(EVIDENCE_DELAY).await;
        let repeatable = self.args.repeatable.unwrap_or(true);
        Audit::new(&self.args.evidence, &self.endings, repeatable)
            .await
            .map(Some)
    }
}

/// Index of the class of a prompt. Prompts longer than all classes belong to the last one.
fn class_index(classes: &[Tokens], prompt: Tokens) -> usize {
    let found = classes.iter().position(|up_to| prompt <= *up_to);
    found.unwrap_or(classes.len() - 1)
}
