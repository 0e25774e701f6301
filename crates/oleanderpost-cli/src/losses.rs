//! `oleanderpost losses`.

use std::{
    collections::{BTreeMap, HashMap},
    io::{Write, stdout},
    path::PathBuf,
};

use clap::Args;

use crate::{Result, log_record::LogRecord, request_loss::RequestLoss};

/// Arguments of `oleanderpost losses`.
#[derive(Clone, Debug, Args)]
pub struct LossesArgs {
    /// Length of the intervals in which requests are counted, in seconds.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..))]
    interval: u32,
    /// Log files of nodes, as JSON lines; standard input if left out.
    logs: Vec<PathBuf>,
}

/// Number of requests of one group, and of those not served as expected by cause.
#[derive(Clone, Debug, Default)]
struct LossCounts {
    requests: usize,
    by_cause: BTreeMap<String, usize>,
}

impl LossCounts {
    fn add(&mut self, loss: Option<&RequestLoss>) {
        self.requests += 1;
        if let Some(loss) = loss {
            *self.by_cause.entry(loss.to_string()).or_default() += 1;
        }
    }
}

/// Counts the requests that were not served as expected, by route and prompt length and by time. Returns `false` if the
/// logs have no request.
pub(crate) fn run(args: &LossesArgs) -> Result<bool> {
    let records = LogRecord::read_all(&args.logs)?;
    let mut placements: HashMap<&str, Vec<&LogRecord>> = HashMap::new();
    for record in &records {
        if record.message == "placed"
            && let Some(request) = record.field_text("request")
        {
            placements.entry(request).or_default().push(record);
        }
    }
    let mut by_kind: BTreeMap<String, LossCounts> = BTreeMap::new();
    let mut by_time: BTreeMap<i64, LossCounts> = BTreeMap::new();
    let interval_ms = i64::from(args.interval) * 1_000;
    for record in &records {
        let (kind, loss) = match record.message.as_str() {
            "request ended" => {
                let request = record.field_text("request").unwrap_or_default();
                let placed = placements.get(request).map_or(&[][..], Vec::as_slice);
                (kind_of(record), RequestLoss::of_ended(record, placed))
            }
            "request not admitted" => (
                "not admitted".to_owned(),
                RequestLoss::of_not_admitted(record),
            ),
            _ => continue,
        };
        by_kind.entry(kind).or_default().add(loss.as_ref());
        let interval = record.timestamp_ms.div_euclid(interval_ms);
        by_time.entry(interval).or_default().add(loss.as_ref());
    }
    let mut out = stdout().lock();
    for (kind, counts) in &by_kind {
        write_counts(&mut out, kind, counts)?;
    }
    let first = by_time.keys().next().copied().unwrap_or_default();
    for (interval, counts) in &by_time {
        if !counts.by_cause.is_empty() {
            let seconds = (interval - first) * i64::from(args.interval);
            write_counts(&mut out, &format!("from second {seconds}"), counts)?;
        }
    }
    Ok(!by_kind.is_empty())
}

/// Route of a request and, for prompts, the next power of four of the number of tokens.
fn kind_of(record: &LogRecord) -> String {
    let route = record.field_text("route").unwrap_or_default();
    match record.field_number("prompt") {
        Some(tokens) if tokens >= 1.0 => {
            let bound = 4_f64.powi(tokens.log(4.0).ceil() as i32);
            format!("{route}, up to {bound} tokens")
        }
        _ => route.to_owned(),
    }
}

fn write_counts(out: &mut impl Write, title: &str, counts: &LossCounts) -> Result<()> {
    let lost: usize = counts.by_cause.values().sum();
    writeln!(out, "{title}: {} requests, {lost} lost", counts.requests)?;
    for (cause, count) in &counts.by_cause {
        writeln!(out, "    {count:>6}  {cause}")?;
    }
    Ok(())
}
