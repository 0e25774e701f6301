//! [`ModelVersion`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::ModelName;

use crate::{
    allowed, fields::Fields, position::Positioned, validator::Validator, yaml_node::YamlNode,
};

/// A model with its version and adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// Name of the model.
    pub name: ModelName,
    /// Version of the model.
    pub version: u64,
    /// Adapters loaded with the model.
    #[serde(default)]
    pub adapters: Vec<ModelName>,
}

impl ModelVersion {
    pub(crate) fn read(
        validator: &mut Validator,
        node: &Positioned<YamlNode>,
        path: &str,
    ) -> Option<Self> {
        let fields = Fields::read(validator, node, path, &["name", "version", "adapters"])?;
        let name = fields
            .required(validator, "name")
            .and_then(|node| validator.parse(node, &fields.path_of("name"), allowed::NAME));
        let version = fields
            .required(validator, "version")
            .and_then(|node| validator.number(node, &fields.path_of("version"), 0..=u64::MAX));
        let adapters = fields.names(validator, "adapters");
        Some(Self {
            name: name?,
            version: version?,
            adapters: adapters?,
        })
    }
}

impl std::fmt::Display for ModelVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} version {}", self.name, self.version)?;
        for adapter in &self.adapters {
            write!(f, " + {adapter}")?;
        }
        Ok(())
    }
}
