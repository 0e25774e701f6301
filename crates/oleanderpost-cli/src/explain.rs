//! `oleanderpost explain`.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{Write, stdout},
    path::PathBuf,
};

use clap::Args;
use serde_json::{Map, Value};

use crate::{Result, log_record::LogRecord};

/// Fields that are printed first, in this order.
const LEADING_FIELDS: [&str; 4] = ["outcome", "status", "upstream", "cause"];
/// Fields that are not printed, because the records were selected by them.
const OMITTED_FIELDS: [&str; 2] = ["request", "work"];

/// Arguments of `oleanderpost explain`.
#[derive(Clone, Debug, Args)]
pub struct ExplainArgs {
    /// Identifier of the request.
    request: String,
    /// Log files of nodes, as JSON lines; standard input if left out.
    logs: Vec<PathBuf>,
}

/// Writes the log records of one request in order of time. Returns `false` if there are none.
pub(crate) fn run(args: &ExplainArgs) -> Result<bool> {
    let records = LogRecord::read_all(&args.logs)?;
    let selected = request_records(&records, &args.request);
    let mut out = stdout().lock();
    let first = selected.first().map_or(0, |record| record.timestamp_ms);
    for record in &selected {
        writeln!(
            out,
            "{:>7} ms  {}  {}{}",
            record.timestamp_ms - first,
            record.source,
            record.message,
            format_fields(&record.fields)
        )?;
    }
    Ok(!selected.is_empty())
}

/// Records of the request, and records of schedulers that share a work identifier with it, in order of time.
fn request_records<'a>(records: &'a [LogRecord], request: &str) -> Vec<&'a LogRecord> {
    let own = records
        .iter()
        .filter(|record| record.field_text("request") == Some(request));
    let work_ids: BTreeSet<_> = own.filter_map(|record| record.field_text("work")).collect();
    let belongs = |record: &&LogRecord| {
        record.field_text("request") == Some(request)
            || record
                .field_text("work")
                .is_some_and(|work| work_ids.contains(work))
    };
    let mut selected: Vec<_> = records.iter().filter(belongs).collect();
    selected.sort_by_key(|record| record.timestamp_ms);
    selected
}

fn format_fields(fields: &Map<String, Value>) -> String {
    let rank = |name: &str| {
        LEADING_FIELDS
            .iter()
            .position(|first| *first == name)
            .unwrap_or(LEADING_FIELDS.len())
    };
    let shown = fields
        .iter()
        .filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()));
    let sorted: BTreeMap<_, _> = shown
        .map(|(name, value)| ((rank(name), name.as_str()), value))
        .collect();
    let texts = sorted.into_iter().map(|((_, name), value)| match value {
        Value::String(text) => format!("  {name}={text}"),
        other => format!("  {name}={other}"),
    });
    texts.collect()
}
