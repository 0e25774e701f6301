//! [`YamlNode`].

use crate::position::Positioned;
use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};

/// A YAML value that keeps the position of each nested value and duplicate keys of mappings.
#[derive(Clone, Debug)]
pub(crate) enum YamlNode {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<Positioned<Self>>),
    Map(Vec<(Positioned<String>, Positioned<Self>)>),
}

impl YamlNode {
    /// Describes the value in findings.
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::Null => "nothing".to_owned(),
            Self::Bool(value) => value.to_string(),
            Self::Int(value) => value.to_string(),
            Self::Float(value) => value.to_string(),
            Self::Text(text) => format!("{text:?}"),
            Self::List(_) => "a list".to_owned(),
            Self::Map(_) => "a mapping".to_owned(),
        }
    }
}

impl YamlNode {
    /// Value of a field, if this is a mapping that contains it.
    pub(crate) fn field(&self, name: &str) -> Option<&Positioned<Self>> {
        let Self::Map(entries) = self else {
            return None;
        };
        let (_, node) = entries.iter().find(|(key, _)| key.value == name)?;
        Some(node)
    }

    /// The text, if this is a string.
    pub(crate) fn as_text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    /// The items of a list; empty for other values.
    pub(crate) fn items(&self) -> &[Positioned<Self>] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

impl<'de> Deserialize<'de> for YamlNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(YamlNodeVisitor)
    }
}

struct YamlNodeVisitor;

impl<'de> Visitor<'de> for YamlNodeVisitor {
    type Value = YamlNode;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<YamlNode, E> {
        Ok(YamlNode::Null)
    }

    fn visit_none<E>(self) -> Result<YamlNode, E> {
        Ok(YamlNode::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<YamlNode, D::Error> {
        YamlNode::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<YamlNode, E> {
        Ok(YamlNode::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<YamlNode, E> {
        Ok(YamlNode::Int(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<YamlNode, E> {
        Ok(YamlNode::Int(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<YamlNode, E> {
        Ok(YamlNode::Float(value))
    }

    fn visit_str<E>(self, text: &str) -> Result<YamlNode, E> {
        Ok(YamlNode::Text(text.to_owned()))
    }

    fn visit_string<E>(self, text: String) -> Result<YamlNode, E> {
        Ok(YamlNode::Text(text))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<YamlNode, A::Error> {
        let mut list = Vec::new();
        while let Some(node) = seq.next_element()? {
            list.push(node);
        }
        Ok(YamlNode::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<YamlNode, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key()? {
            entries.push((key, map.next_value()?));
        }
        Ok(YamlNode::Map(entries))
    }
}
