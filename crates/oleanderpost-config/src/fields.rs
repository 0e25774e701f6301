//! [`Fields`].

use std::{ops::RangeInclusive, str::FromStr};

use crate::{
    allowed,
    position::{Position, Positioned},
    validator::Validator,
    yaml_node::YamlNode,
};

/// The fields of one mapping.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    entries: &'a [(Positioned<String>, Positioned<YamlNode>)],
    position: Position,
    path: String,
}

impl<'a> Fields<'a> {
    /// Reads a mapping, and adds findings for unknown and duplicate fields. Returns `None` if the value is
    /// not a mapping.
    pub(crate) fn read(
        validator: &mut Validator,
        node: &'a Positioned<YamlNode>,
        path: &str,
        known: &[&str],
    ) -> Option<Self> {
        let YamlNode::Map(entries) = &node.value else {
            validator.add_invalid_value(
                node,
                path,
                &format!("a mapping with {}", known.join(", ")),
            );
            return None;
        };
        let fields = Self {
            entries,
            position: node.position,
            path: path.to_owned(),
        };
        for (key, _) in entries {
            if !known.contains(&key.value.as_str()) {
                let path = fields.path_of(&key.value);
                let message = "unknown field".to_owned();
                validator.add_finding(key.position, &path, message, &known.join(", "));
            }
        }
        let keys = entries.iter().map(|(key, _)| {
            let path = fields.path_of(&key.value);
            (key.value.as_str(), key.position, path)
        });
        validator.check_unique("field", keys);
        Some(fields)
    }

    /// Path of a field within the file.
    pub(crate) fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            return name.to_owned();
        }
        format!("{}.{name}", self.path)
    }

    /// Value of an optional field; `null` counts as absent.
    pub(crate) fn optional(&self, name: &str) -> Option<&'a Positioned<YamlNode>> {
        let (_, node) = self.entries.iter().find(|(key, _)| key.value == name)?;
        (!matches!(node.value, YamlNode::Null)).then_some(node)
    }

    /// Value of a required field.
    pub(crate) fn required(
        &self,
        validator: &mut Validator,
        name: &str,
    ) -> Option<&'a Positioned<YamlNode>> {
        let node = self.optional(name);
        if node.is_none() {
            let message = "required field is missing".to_owned();
            validator.add_finding(
                self.position,
                &self.path_of(name),
                message,
                &format!("{name}: VALUE"),
            );
        }
        node
    }

    /// Reads a required name.
    pub(crate) fn required_name<T: FromStr>(
        &self,
        validator: &mut Validator,
        name: &str,
    ) -> Option<T> {
        let node = self.required(validator, name)?;
        validator.parse(node, &self.path_of(name), allowed::NAME)
    }

    /// Reads an optional number; the outer `None` means that a finding was added.
    pub(crate) fn optional_number(
        &self,
        validator: &mut Validator,
        name: &str,
        bounds: RangeInclusive<u64>,
    ) -> Option<Option<u64>> {
        let Some(node) = self.optional(name) else {
            return Some(None);
        };
        validator
            .number(node, &self.path_of(name), bounds)
            .map(Some)
    }

    /// Reads a number with a default.
    pub(crate) fn number_or(
        &self,
        validator: &mut Validator,
        name: &str,
        bounds: RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        let value = self.optional_number(validator, name, bounds)?;
        Some(value.unwrap_or(default))
    }

    /// Reads a boolean with a default.
    pub(crate) fn boolean_or(
        &self,
        validator: &mut Validator,
        name: &str,
        default: bool,
    ) -> Option<bool> {
        match self.optional(name) {
            Some(node) => validator.boolean(node, &self.path_of(name)),
            None => Some(default),
        }
    }

    /// Reads one of several keywords, or returns the default.
    pub(crate) fn one_of_or_default<T: Copy + Default>(
        &self,
        validator: &mut Validator,
        name: &str,
        variants: &[(&str, T)],
    ) -> Option<T> {
        match self.optional(name) {
            Some(node) => validator.one_of(node, &self.path_of(name), variants),
            None => Some(T::default()),
        }
    }

    /// Reads an optional list; `None` if an item has a finding.
    pub(crate) fn list<T>(
        &self,
        validator: &mut Validator,
        name: &str,
        read: impl Fn(&mut Validator, &Positioned<YamlNode>, &str) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Some(node) = self.optional(name) else {
            return Some(Vec::new());
        };
        let path = self.path_of(name);
        let list = validator.list(node, &path)?;
        let mut items = Vec::with_capacity(list.len());
        for (i, node) in list.iter().enumerate() {
            items.push(read(validator, node, &format!("{path}[{i}]")));
        }
        items.into_iter().collect()
    }

    /// Reads a list of distinct names.
    pub(crate) fn names<T: FromStr>(
        &self,
        validator: &mut Validator,
        name: &str,
    ) -> Option<Vec<T>> {
        let names = self.list(validator, name, |validator, node, path| {
            validator.parse(node, path, allowed::NAME)
        });
        let occurrences = self.list_items(name).filter_map(|(node, path)| {
            let text = node.value.as_text()?;
            Some((text, node.position, path))
        });
        validator.check_unique("name", occurrences);
        names
    }

    /// Items of a list field with their paths.
    pub(crate) fn list_items(
        &self,
        name: &str,
    ) -> impl Iterator<Item = (&'a Positioned<YamlNode>, String)> {
        let path = self.path_of(name);
        let items = self
            .optional(name)
            .map_or(&[][..], |node| node.value.items());
        let numbered = items.iter().enumerate();
        numbered.map(move |(i, node)| (node, format!("{path}[{i}]")))
    }

    /// One string field of each item of a list field, with its position and path.
    pub(crate) fn item_texts(
        &self,
        list: &str,
        field: &'static str,
    ) -> impl Iterator<Item = (&'a str, Position, String)> {
        self.list_items(list).filter_map(move |(node, path)| {
            let value = node.value.field(field)?;
            Some((
                value.value.as_text()?,
                value.position,
                format!("{path}.{field}"),
            ))
        })
    }
}
