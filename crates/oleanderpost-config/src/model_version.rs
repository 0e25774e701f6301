//! [`ModelVersion`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::ModelName;

use crate::{allowed, fields::Fields, node::Node, place::Placed, reader::Reader};

/// A model with its version and adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// Name of the model.
    pub name: ModelName,
    /// Version.
    pub version: u64,
    /// Adapters loaded beside it.
    #[serde(default)]
    pub adapters: Vec<ModelName>,
}

impl ModelVersion {
    pub(crate) fn read(reader: &mut Reader, node: &Placed<Node>, path: &str) -> Option<Self> {
        let fields = Fields::read(reader, node, path, &["name", "version", "adapters"])?;
        let name = fields
            .required(reader, "name")
            .and_then(|node| reader.text(node, &fields.path_of("name"), allowed::NAME));
        let version = fields
            .required(reader, "version")
            .and_then(|node| reader.number(node, &fields.path_of("version"), 0..=u64::MAX));
        let adapters = fields.names(reader, "adapters");
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
