//! [`Reader`].

use std::{collections::BTreeMap, fmt::Display, str::FromStr};

use crate::{
    Finding, Findings,
    allowed::MAX_FINDINGS,
    node::Node,
    place::{Place, Placed},
};

/// Collects the findings while a tree of nodes is read into typed values.
///
/// Each method gives `None` after it has noted a finding, so that reading goes on to the next field.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    findings: Vec<Finding>,
}

impl Reader {
    /// Notes a finding at a place.
    pub(crate) fn note(&mut self, at: Place, field: &str, message: String, allowed: &str) {
        if self.findings.len() > MAX_FINDINGS {
            return;
        }
        if self.findings.len() == MAX_FINDINGS {
            self.findings.push(Finding {
                line: u32::MAX,
                column: 0,
                field: String::new(),
                message: "there are more findings".to_owned(),
                allowed: "a file without findings".to_owned(),
            });
            return;
        }
        self.findings.push(Finding {
            line: at.line(),
            column: at.column(),
            field: field.to_owned(),
            message,
            allowed: allowed.to_owned(),
        });
    }

    /// Notes that a value is not of the wanted form.
    pub(crate) fn note_value(&mut self, node: &Placed<Node>, field: &str, allowed: &str) {
        let message = format!("found {}", node.value.describe());
        self.note(node.referenced, field, message, allowed);
    }

    /// A list.
    pub(crate) fn list<'a>(
        &mut self,
        node: &'a Placed<Node>,
        path: &str,
    ) -> Option<&'a [Placed<Node>]> {
        match &node.value {
            Node::List(list) => Some(list),
            _ => {
                self.note_value(node, path, "a list");
                None
            }
        }
    }

    /// A whole number within bounds.
    pub(crate) fn number(
        &mut self,
        node: &Placed<Node>,
        path: &str,
        bounds: std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        if let Node::Int(value) = node.value
            && let Ok(value) = u64::try_from(value)
            && bounds.contains(&value)
        {
            return Some(value);
        }
        let allowed = format!("a whole number, {} to {}", bounds.start(), bounds.end());
        self.note_value(node, path, &allowed);
        None
    }

    /// `true` or `false`.
    pub(crate) fn flag(&mut self, node: &Placed<Node>, path: &str) -> Option<bool> {
        if let Node::Bool(value) = node.value {
            return Some(value);
        }
        self.note_value(node, path, "true or false");
        None
    }

    /// A text that parses.
    pub(crate) fn text<T: FromStr>(
        &mut self,
        node: &Placed<Node>,
        path: &str,
        allowed: &str,
    ) -> Option<T> {
        if let Node::Text(text) = &node.value
            && let Ok(value) = text.parse()
        {
            return Some(value);
        }
        let hint = match node.value {
            Node::Text(_) => allowed.to_owned(),
            _ => format!("{allowed} (in quotes if it looks like a number or a truth value)"),
        };
        self.note_value(node, path, &hint);
        None
    }

    /// One of a few words.
    pub(crate) fn word<T: Copy>(
        &mut self,
        node: &Placed<Node>,
        path: &str,
        words: &[(&str, T)],
    ) -> Option<T> {
        if let Node::Text(text) = &node.value
            && let Some((_, value)) = words.iter().find(|(word, _)| word == text)
        {
            return Some(*value);
        }
        let allowed: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        self.note_value(node, path, &allowed.join(", "));
        None
    }

    /// Notes each value that stands twice.
    pub(crate) fn unique<T: Ord + Display>(
        &mut self,
        what: &str,
        values: impl IntoIterator<Item = (T, Place, String)>,
    ) {
        let mut first = BTreeMap::new();
        for (value, at, path) in values {
            if let Some(line) = first.get(&value) {
                let message = format!("{what} {value} stands twice, first in line {line}");
                self.note(at, &path, message, &format!("each {what} once"));
                continue;
            }
            first.insert(value, at.line());
        }
    }

    /// Whether nothing has been found so far.
    pub(crate) fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    /// Ends the reading.
    pub(crate) fn close(self) -> Findings {
        Findings::new(self.findings)
    }
}
