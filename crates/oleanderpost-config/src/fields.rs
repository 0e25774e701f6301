//! [`Fields`].

use std::{ops::RangeInclusive, str::FromStr};

use crate::{
    allowed,
    node::Node,
    place::{Place, Placed},
    reader::Reader,
};

/// The fields of one mapping.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    entries: &'a [(Placed<String>, Placed<Node>)],
    at: Place,
    path: String,
}

impl<'a> Fields<'a> {
    /// Reads a mapping, and notes its unknown and doubled fields; `None` if the value is none.
    pub(crate) fn read(
        reader: &mut Reader,
        node: &'a Placed<Node>,
        path: &str,
        known: &[&str],
    ) -> Option<Self> {
        let Node::Map(entries) = &node.value else {
            reader.note_value(node, path, &format!("a mapping with {}", known.join(", ")));
            return None;
        };
        let fields = Self {
            entries,
            at: node.referenced,
            path: path.to_owned(),
        };
        for (key, _) in entries {
            if !known.contains(&key.value.as_str()) {
                let path = fields.path_of(&key.value);
                let message = "unknown field".to_owned();
                reader.note(key.referenced, &path, message, &known.join(", "));
            }
        }
        let keys = entries.iter().map(|(key, _)| {
            let path = fields.path_of(&key.value);
            (key.value.as_str(), key.referenced, path)
        });
        reader.unique("field", keys);
        Some(fields)
    }

    /// Path of a field within the file.
    pub(crate) fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            return name.to_owned();
        }
        format!("{}.{name}", self.path)
    }

    /// Value of a field that may be absent; `null` counts as absent.
    pub(crate) fn optional(&self, name: &str) -> Option<&'a Placed<Node>> {
        let (_, node) = self.entries.iter().find(|(key, _)| key.value == name)?;
        (!matches!(node.value, Node::Null)).then_some(node)
    }

    /// Value of a field that must be there.
    pub(crate) fn required(&self, reader: &mut Reader, name: &str) -> Option<&'a Placed<Node>> {
        let node = self.optional(name);
        if node.is_none() {
            let message = "required field is missing".to_owned();
            reader.note(
                self.at,
                &self.path_of(name),
                message,
                &format!("{name}: VALUE"),
            );
        }
        node
    }

    /// A name that must be there.
    pub(crate) fn required_name<T: FromStr>(&self, reader: &mut Reader, name: &str) -> Option<T> {
        let node = self.required(reader, name)?;
        reader.text(node, &self.path_of(name), allowed::NAME)
    }

    /// A number that may be absent; the outer `None` stands for a finding.
    pub(crate) fn optional_number(
        &self,
        reader: &mut Reader,
        name: &str,
        bounds: RangeInclusive<u64>,
    ) -> Option<Option<u64>> {
        let Some(node) = self.optional(name) else {
            return Some(None);
        };
        reader.number(node, &self.path_of(name), bounds).map(Some)
    }

    /// A number with a default.
    pub(crate) fn number_or(
        &self,
        reader: &mut Reader,
        name: &str,
        bounds: RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        let value = self.optional_number(reader, name, bounds)?;
        Some(value.unwrap_or(default))
    }

    /// A truth value with a default.
    pub(crate) fn flag_or(&self, reader: &mut Reader, name: &str, default: bool) -> Option<bool> {
        match self.optional(name) {
            Some(node) => reader.flag(node, &self.path_of(name)),
            None => Some(default),
        }
    }

    /// A word with a default.
    pub(crate) fn word_or<T: Copy + Default>(
        &self,
        reader: &mut Reader,
        name: &str,
        words: &[(&str, T)],
    ) -> Option<T> {
        match self.optional(name) {
            Some(node) => reader.word(node, &self.path_of(name), words),
            None => Some(T::default()),
        }
    }

    /// A list of items that may be absent; `None` if one item has a finding.
    pub(crate) fn items<T>(
        &self,
        reader: &mut Reader,
        name: &str,
        read: impl Fn(&mut Reader, &Placed<Node>, &str) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Some(node) = self.optional(name) else {
            return Some(Vec::new());
        };
        let path = self.path_of(name);
        let list = reader.list(node, &path)?;
        let mut items = Vec::with_capacity(list.len());
        for (i, node) in list.iter().enumerate() {
            items.push(read(reader, node, &format!("{path}[{i}]")));
        }
        items.into_iter().collect()
    }

    /// A list of names, each once.
    pub(crate) fn names<T: FromStr>(&self, reader: &mut Reader, name: &str) -> Option<Vec<T>> {
        let names = self.items(reader, name, |reader, node, path| {
            reader.text(node, path, allowed::NAME)
        });
        let places = self.children(name).filter_map(|(node, path)| {
            let text = node.value.text()?;
            Some((text, node.referenced, path))
        });
        reader.unique("name", places);
        names
    }

    /// The items of a list field with their paths.
    pub(crate) fn children(&self, name: &str) -> impl Iterator<Item = (&'a Placed<Node>, String)> {
        let path = self.path_of(name);
        let items = self
            .optional(name)
            .map_or(&[][..], |node| node.value.items());
        let numbered = items.iter().enumerate();
        numbered.map(move |(i, node)| (node, format!("{path}[{i}]")))
    }

    /// One text field of each item of a list field, with its place and path.
    pub(crate) fn texts(
        &self,
        list: &str,
        field: &'static str,
    ) -> impl Iterator<Item = (&'a str, Place, String)> {
        self.children(list).filter_map(move |(node, path)| {
            let value = node.value.field(field)?;
            Some((
                value.value.text()?,
                value.referenced,
                format!("{path}.{field}"),
            ))
        })
    }
}
