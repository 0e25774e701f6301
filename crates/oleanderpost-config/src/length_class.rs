//! [`LengthClass`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{ServiceName, Tokens};

use crate::{
    allowed, fields::Fields, position::Positioned, validator::Validator, yaml_node::YamlNode,
};

/// A class of requests by prompt length.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthClass {
    /// Name of the class, used in metrics.
    pub name: String,
    /// Maximum prompt length of the class.
    pub up_to: Tokens,
}

impl LengthClass {
    pub(crate) fn read(
        validator: &mut Validator,
        node: &Positioned<YamlNode>,
        path: &str,
    ) -> Option<Self> {
        let fields = Fields::read(validator, node, path, &["name", "up_to"])?;
        let name = fields.required(validator, "name").and_then(|node| {
            let name: ServiceName =
                validator.parse(node, &fields.path_of("name"), allowed::NAME)?;
            Some(name.to_string())
        });
        let up_to = fields.required(validator, "up_to").and_then(|node| {
            validator.number(
                node,
                &fields.path_of("up_to"),
                1..=allowed::MAX_PROMPT_TOKENS,
            )
        });
        Some(Self {
            name: name?,
            up_to: Tokens::new(up_to?),
        })
    }
}
