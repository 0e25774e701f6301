//! [`Rollout`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::ServiceName;

use crate::{
    ModelVersion, allowed, fields::Fields, position::Positioned, validator::Validator,
    yaml_node::YamlNode,
};

/// A rollout of another model version to the engines of a service, one engine after the other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Service whose engines change.
    pub service: ServiceName,
    /// Model version to roll out.
    pub to: ModelVersion,
    /// Share of the engines that should have the new version, in percent.
    pub percent: u8,
}

impl Rollout {
    pub(crate) fn read(
        validator: &mut Validator,
        node: &Positioned<YamlNode>,
        path: &str,
    ) -> Option<Self> {
        let fields = Fields::read(validator, node, path, &["service", "to", "percent"])?;
        let service = fields
            .required(validator, "service")
            .and_then(|node| validator.parse(node, &fields.path_of("service"), allowed::NAME));
        let to = fields
            .required(validator, "to")
            .and_then(|node| ModelVersion::read(validator, node, &fields.path_of("to")));
        let percent = fields
            .required(validator, "percent")
            .and_then(|node| validator.number(node, &fields.path_of("percent"), 0..=100));
        Some(Self {
            service: service?,
            to: to?,
            percent: u8::try_from(percent?).ok()?,
        })
    }
}
