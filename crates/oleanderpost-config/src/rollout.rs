//! [`Rollout`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::ServiceName;

use crate::{ModelVersion, allowed, fields::Fields, node::Node, place::Placed, reader::Reader};

/// A change of a service's model, engine after engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Service that changes.
    pub service: ServiceName,
    /// Model to change to.
    pub to: ModelVersion,
    /// Share of the engines that hold the new version, in percent.
    pub percent: u8,
}

impl Rollout {
    pub(crate) fn read(reader: &mut Reader, node: &Placed<Node>, path: &str) -> Option<Self> {
        let fields = Fields::read(reader, node, path, &["service", "to", "percent"])?;
        let service = fields
            .required(reader, "service")
            .and_then(|node| reader.text(node, &fields.path_of("service"), allowed::NAME));
        let to = fields
            .required(reader, "to")
            .and_then(|node| ModelVersion::read(reader, node, &fields.path_of("to")));
        let percent = fields
            .required(reader, "percent")
            .and_then(|node| reader.number(node, &fields.path_of("percent"), 0..=100));
        Some(Self {
            service: service?,
            to: to?,
            percent: u8::try_from(percent?).ok()?,
        })
    }
}
