//! `oleanderpost explain`.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::File,
    io::{BufRead, BufReader, Write, stdin, stdout},
    path::PathBuf,
};

use clap::Args;
use serde_json::{Map, Value};

use crate::{Error, Result};

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

/// One record of a node's log.
#[derive(Clone, Debug)]
struct LogRecord {
    /// Milliseconds since 1970.
    timestamp_ms: i64,
    /// Log file or node that the record comes from.
    source: String,
    message: String,
    fields: Map<String, Value>,
}

impl LogRecord {
    /// Parses a line. Text before the JSON object, as log collectors add it, is taken as the node's name.
    /// Returns `None` if the line is not a log record.
    fn parse(text: &str, source: &str) -> Option<Self> {
        let start = text.find('{')?;
        let value: Value = serde_json::from_str(&text[start..]).ok()?;
        let prefix = text[..start].trim();
        let source = if prefix.is_empty() { source } else { prefix };
        Some(Self {
            timestamp_ms: value.get("timestamp")?.as_i64()?,
            source: source.to_owned(),
            message: value.get("payload")?.as_str()?.to_owned(),
            fields: value
                .get("kv")
                .and_then(Value::as_object)
                .cloned()
                .unwrap_or_default(),
        })
    }

    fn field_text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }
}

/// Writes the log records of one request in order of time. Returns `false` if there are none.
pub(crate) fn run(args: &ExplainArgs) -> Result<bool> {
    let mut records = Vec::new();
    if args.logs.is_empty() {
        read_log(stdin().lock(), "stdin", &mut records)?;
    }
    for path in &args.logs {
        let file = File::open(path).map_err(|source| Error::ReadFile {
            path: path.clone(),
            source,
        })?;
        read_log(
            BufReader::new(file),
            &path.display().to_string(),
            &mut records,
        )?;
    }
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

fn read_log(log: impl BufRead, source: &str, records: &mut Vec<LogRecord>) -> Result<()> {
    for text in log.lines() {
        records.extend(LogRecord::parse(&text?, source));
    }
    Ok(())
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
