//! [`Upstream`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use oleanderpost_types::{DataCentre, Tokens, UpstreamId, VmId};

use crate::{
    allowed, fields::Fields, position::Positioned, validator::Validator, yaml_node::YamlNode,
};

/// One upstream of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// VM on which it runs; the VM's state in the platform's VM list applies to the upstream.
    pub vm: VmId,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// Memory for KV cache; zero for plain services.
    #[serde(default)]
    pub memory: Tokens,
}

impl Upstream {
    const FIELDS: [&str; 5] = ["id", "vm", "address", "data_centre", "memory"];

    pub(crate) fn read(
        validator: &mut Validator,
        node: &Positioned<YamlNode>,
        path: &str,
    ) -> Option<Self> {
        let fields = Fields::read(validator, node, path, &Self::FIELDS)?;
        let id = fields.required_name(validator, "id");
        let vm = fields.required_name(validator, "vm");
        let address = fields
            .required(validator, "address")
            .and_then(|node| read_address(validator, node, &fields.path_of("address")));
        let data_centre = fields.required_name(validator, "data_centre");
        let memory = match fields.optional("memory") {
            Some(node) => validator.number(node, &fields.path_of("memory"), 0..=u64::MAX),
            None => Some(0),
        };
        Some(Self {
            id: id?,
            vm: vm?,
            address: address?,
            data_centre: data_centre?,
            memory: Tokens::new(memory?),
        })
    }
}

fn read_address(
    validator: &mut Validator,
    node: &Positioned<YamlNode>,
    path: &str,
) -> Option<SocketAddr> {
    let address: SocketAddr = validator.parse(node, path, allowed::ADDRESS)?;
    let is_valid = address.port() != 0 && !address.ip().is_unspecified();
    if !is_valid {
        validator.add_invalid_value(node, path, allowed::ADDRESS);
    }
    is_valid.then_some(address)
}
