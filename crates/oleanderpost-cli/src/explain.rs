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

/// Fields that are shown first, in this order.
const FIRST_FIELDS: [&str; 4] = ["outcome", "status", "upstream", "cause"];
/// Fields that every line of a story has in common.
const COMMON_FIELDS: [&str; 2] = ["request", "work"];

/// Arguments of `oleanderpost explain`.
#[derive(Clone, Debug, Args)]
pub struct ExplainArgs {
    /// Identifier of the request.
    request: String,
    /// Logs of nodes, JSON lines; standard input if left out.
    logs: Vec<PathBuf>,
}

/// One line of a log.
#[derive(Clone, Debug)]
struct Line {
    /// Milliseconds since 1970.
    at: i64,
    /// File or node that it comes from.
    source: String,
    event: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; text before the JSON object names the node, as log collectors put it.
    fn parse(text: &str, source: &str) -> Option<Self> {
        let start = text.find('{')?;
        let value: Value = serde_json::from_str(&text[start..]).ok()?;
        let prefix = text[..start].trim();
        let source = if prefix.is_empty() { source } else { prefix };
        Some(Self {
            at: value.get("timestamp")?.as_i64()?,
            source: source.to_owned(),
            event: value.get("payload")?.as_str()?.to_owned(),
            fields: value
                .get("kv")
                .and_then(Value::as_object)
                .cloned()
                .unwrap_or_default(),
        })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }
}

/// Writes what the logs say of one request, in order of time; `false` if they say nothing.
pub(crate) fn run(args: &ExplainArgs) -> Result<bool> {
    let mut lines = Vec::new();
    if args.logs.is_empty() {
        read(stdin().lock(), "stdin", &mut lines)?;
    }
    for path in &args.logs {
        let file = File::open(path).map_err(|source| Error::Read {
            path: path.clone(),
            source,
        })?;
        read(
            BufReader::new(file),
            &path.display().to_string(),
            &mut lines,
        )?;
    }
    let story = story(&lines, &args.request);
    let mut out = stdout().lock();
    let first = story.first().map_or(0, |line| line.at);
    for line in &story {
        writeln!(
            out,
            "{:>7} ms  {}  {}{}",
            line.at - first,
            line.source,
            line.event,
            describe(&line.fields)
        )?;
    }
    Ok(!story.is_empty())
}

fn read(log: impl BufRead, source: &str, lines: &mut Vec<Line>) -> Result<()> {
    for text in log.lines() {
        lines.extend(Line::parse(&text?, source));
    }
    Ok(())
}

/// The lines of the request, and those of schedulers about its placements.
fn story<'a>(lines: &'a [Line], request: &str) -> Vec<&'a Line> {
    let own = lines
        .iter()
        .filter(|line| line.text("request") == Some(request));
    let works: BTreeSet<_> = own.filter_map(|line| line.text("work")).collect();
    let told = |line: &&Line| {
        line.text("request") == Some(request)
            || line.text("work").is_some_and(|work| works.contains(work))
    };
    let mut story: Vec<_> = lines.iter().filter(told).collect();
    story.sort_by_key(|line| line.at);
    story
}

fn describe(fields: &Map<String, Value>) -> String {
    let rank = |name: &str| {
        FIRST_FIELDS
            .iter()
            .position(|first| *first == name)
            .unwrap_or(FIRST_FIELDS.len())
    };
    let shown = fields
        .iter()
        .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
    let sorted: BTreeMap<_, _> = shown
        .map(|(name, value)| ((rank(name), name.as_str()), value))
        .collect();
    let texts = sorted.into_iter().map(|((_, name), value)| match value {
        Value::String(text) => format!("  {name}={text}"),
        other => format!("  {name}={other}"),
    });
    texts.collect()
}
