//! [`Validator`].

use std::{collections::BTreeMap, fmt::Display, str::FromStr};

use crate::{
    Finding, Findings,
    allowed::MAX_FINDINGS,
    position::{Position, Positioned},
    yaml_node::YamlNode,
};

/// Converts YAML nodes into typed values and collects the findings.
///
/// Methods return `None` after they have added a finding, so that the caller continues with the next field.
#[derive(Debug, Default)]
pub(crate) struct Validator {
    findings: Vec<Finding>,
}

impl Validator {
    /// Adds a finding, up to [`MAX_FINDINGS`].
    pub(crate) fn add_finding(
        &mut self,
        position: Position,
        field: &str,
        message: String,
        allowed: &str,
    ) {
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
            line: position.line(),
            column: position.column(),
            field: field.to_owned(),
            message,
            allowed: allowed.to_owned(),
        });
    }

    /// Adds a finding for a value that is not allowed.
    pub(crate) fn add_invalid_value(
        &mut self,
        node: &Positioned<YamlNode>,
        field: &str,
        allowed: &str,
    ) {
        let message = format!("found {}", node.value.describe());
        self.add_finding(node.position, field, message, allowed);
    }

    /// Reads a list.
    pub(crate) fn list<'a>(
        &mut self,
        node: &'a Positioned<YamlNode>,
        path: &str,
    ) -> Option<&'a [Positioned<YamlNode>]> {
        match &node.value {
            YamlNode::List(list) => Some(list),
            _ => {
                self.add_invalid_value(node, path, "a list");
                None
            }
        }
    }

    /// Reads an integer within bounds.
    pub(crate) fn number(
        &mut self,
        node: &Positioned<YamlNode>,
        path: &str,
        bounds: std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        if let YamlNode::Int(value) = node.value
            && let Ok(value) = u64::try_from(value)
            && bounds.contains(&value)
        {
            return Some(value);
        }
        let allowed = format!("a whole number, {} to {}", bounds.start(), bounds.end());
        self.add_invalid_value(node, path, &allowed);
        None
    }

    /// Reads `true` or `false`.
    pub(crate) fn boolean(&mut self, node: &Positioned<YamlNode>, path: &str) -> Option<bool> {
        if let YamlNode::Bool(value) = node.value {
            return Some(value);
        }
        self.add_invalid_value(node, path, "true or false");
        None
    }

    /// Reads a string that can be parsed as `T`.
    pub(crate) fn parse<T: FromStr>(
        &mut self,
        node: &Positioned<YamlNode>,
        path: &str,
        allowed: &str,
    ) -> Option<T> {
        if let YamlNode::Text(text) = &node.value
            && let Ok(value) = text.parse()
        {
            return Some(value);
        }
        let hint = match node.value {
            YamlNode::Text(_) => allowed.to_owned(),
            _ => format!("{allowed} (in quotes if it looks like a number or a truth value)"),
        };
        self.add_invalid_value(node, path, &hint);
        None
    }

    /// Reads one of several keywords.
    pub(crate) fn one_of<T: Copy>(
        &mut self,
        node: &Positioned<YamlNode>,
        path: &str,
        variants: &[(&str, T)],
    ) -> Option<T> {
        if let YamlNode::Text(text) = &node.value
            && let Some((_, value)) = variants.iter().find(|(keyword, _)| keyword == text)
        {
            return Some(*value);
        }
        let allowed: Vec<&str> = variants.iter().map(|(keyword, _)| *keyword).collect();
        self.add_invalid_value(node, path, &allowed.join(", "));
        None
    }

    /// Adds a finding for each value that occurs again.
    pub(crate) fn check_unique<T: Ord + Display>(
        &mut self,
        what: &str,
        values: impl IntoIterator<Item = (T, Position, String)>,
    ) {
        let mut first_lines = BTreeMap::new();
        for (value, position, path) in values {
            if let Some(line) = first_lines.get(&value) {
                let message = format!("{what} {value} stands twice, first in line {line}");
                self.add_finding(position, &path, message, &format!("each {what} once"));
                continue;
            }
            first_lines.insert(value, position.line());
        }
    }

    /// Whether there are no findings so far.
    pub(crate) fn has_no_findings(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings.
    pub(crate) fn into_findings(self) -> Findings {
        Findings::new(self.findings)
    }
}
