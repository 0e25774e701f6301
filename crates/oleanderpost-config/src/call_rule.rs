//! [`CallRule`].

use serde::{Deserialize, Serialize};

use crate::{
    allowed, fields::Fields, position::Positioned, validator::Validator, yaml_node::YamlNode,
};

/// Rule for calls of a plain service with a given method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// HTTP method.
    pub method: String,
    /// Prefix of the path within the service.
    pub path: String,
    /// Whether a call may be repeated.
    pub repeatable: bool,
}

impl CallRule {
    pub(crate) fn read(
        validator: &mut Validator,
        node: &Positioned<YamlNode>,
        path: &str,
    ) -> Option<Self> {
        let fields = Fields::read(validator, node, path, &["method", "path", "repeatable"])?;
        let method = fields.required(validator, "method").and_then(|node| {
            let variants = allowed::METHODS.map(|method| (method, method));
            validator.one_of(node, &fields.path_of("method"), &variants)
        });
        let path_prefix = fields.required(validator, "path").and_then(|node| {
            let text: String = validator.parse(node, &fields.path_of("path"), allowed::PATH)?;
            let is_valid = text.starts_with('/') && !text.contains(char::is_whitespace);
            if !is_valid {
                validator.add_invalid_value(node, &fields.path_of("path"), allowed::PATH);
            }
            is_valid.then_some(text)
        });
        let repeatable = fields
            .required(validator, "repeatable")
            .and_then(|node| validator.boolean(node, &fields.path_of("repeatable")));
        Some(Self {
            method: method?.to_owned(),
            path: path_prefix?,
            repeatable: repeatable?,
        })
    }
}
