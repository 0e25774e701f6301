//! [`LogRecord`].

use std::{
    fs::File,
    io::{BufRead, BufReader, stdin},
    path::PathBuf,
};

use serde_json::{Map, Value};

use crate::{Error, Result};

/// One record of a node's log.
#[derive(Clone, Debug)]
pub(crate) struct LogRecord {
    /// Milliseconds since 1970.
    pub(crate) timestamp_ms: i64,
    /// Log file or node that the record comes from.
    pub(crate) source: String,
    pub(crate) message: String,
    pub(crate) fields: Map<String, Value>,
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

    /// Reads log files of nodes, or standard input if there are none.
    ///
    /// # Errors
    ///
    /// A file that can't be read.
    pub(crate) fn read_all(logs: &[PathBuf]) -> Result<Vec<Self>> {
        let mut records = Vec::new();
        if logs.is_empty() {
            Self::read(stdin().lock(), "stdin", &mut records)?;
        }
        for path in logs {
            let file = File::open(path).map_err(|source| Error::ReadFile {
                path: path.clone(),
                source,
            })?;
            let source = path.display().to_string();
            Self::read(BufReader::new(file), &source, &mut records)?;
        }
        Ok(records)
    }

    fn read(log: impl BufRead, source: &str, records: &mut Vec<Self>) -> Result<()> {
        for text in log.lines() {
            records.extend(Self::parse(&text?, source));
        }
        Ok(())
    }

    pub(crate) fn field_number(&self, field: &str) -> Option<f64> {
        self.fields.get(field)?.as_f64()
    }

    pub(crate) fn field_text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }
}
