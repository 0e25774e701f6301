//! [`CallRule`].

use serde::{Deserialize, Serialize};

use crate::{allowed, fields::Fields, node::Node, place::Placed, reader::Reader};

/// Rule for some calls of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// HTTP method.
    pub method: String,
    /// Start of the path within the service.
    pub path: String,
    /// Whether a call may be repeated.
    pub repeatable: bool,
}

impl CallRule {
    pub(crate) fn read(reader: &mut Reader, node: &Placed<Node>, path: &str) -> Option<Self> {
        let fields = Fields::read(reader, node, path, &["method", "path", "repeatable"])?;
        let method = fields.required(reader, "method").and_then(|node| {
            let words = allowed::METHODS.map(|method| (method, method));
            reader.word(node, &fields.path_of("method"), &words)
        });
        let start = fields.required(reader, "path").and_then(|node| {
            let text: String = reader.text(node, &fields.path_of("path"), allowed::PATH)?;
            let good = text.starts_with('/') && !text.contains(char::is_whitespace);
            if !good {
                reader.note_value(node, &fields.path_of("path"), allowed::PATH);
            }
            good.then_some(text)
        });
        let repeatable = fields
            .required(reader, "repeatable")
            .and_then(|node| reader.flag(node, &fields.path_of("repeatable")));
        Some(Self {
            method: method?.to_owned(),
            path: start?,
            repeatable: repeatable?,
        })
    }
}
