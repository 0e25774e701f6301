//! [`ClientAccount`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{AccountName, Priority, RequestRate, ServiceName, TokenRate};

use crate::{
    TokenHash, allowed, fields::Fields, position::Positioned, validator::Validator,
    yaml_node::YamlNode,
};

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Name of the account.
    pub name: AccountName,
    /// SHA-256 of its bearer token, in hexadecimal.
    pub token_sha256: TokenHash,
    /// Services that the account may call.
    pub services: Vec<ServiceName>,
    /// Weight of the account in fair sharing.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Priority at the engines; overrides the priority of the service.
    #[serde(default)]
    pub priority: Option<Priority>,
    /// Limit in requests per second across the whole fleet.
    #[serde(default)]
    pub requests_per_second: Option<RequestRate>,
    /// Limit in tokens (prompt and answer) per second across the whole fleet.
    #[serde(default)]
    pub tokens_per_second: Option<TokenRate>,
}

const fn default_share() -> u32 {
    1
}

impl ClientAccount {
    const FIELDS: [&str; 7] = [
        "name",
        "token_sha256",
        "services",
        "share",
        "priority",
        "requests_per_second",
        "tokens_per_second",
    ];

    pub(crate) fn read(
        validator: &mut Validator,
        node: &Positioned<YamlNode>,
        path: &str,
    ) -> Option<Self> {
        let fields = Fields::read(validator, node, path, &Self::FIELDS)?;
        let name = fields.required_name(validator, "name");
        let token = fields.required(validator, "token_sha256").and_then(|node| {
            validator.parse(node, &fields.path_of("token_sha256"), allowed::TOKEN_HASH)
        });
        fields.required(validator, "services");
        let services = fields.names(validator, "services");
        let share = fields.number_or(validator, "share", 1..=allowed::MAX_SHARE, 1);
        let priority = fields.optional_number(validator, "priority", 0..=u8::MAX.into());
        let requests =
            fields.optional_number(validator, "requests_per_second", 1..=u32::MAX.into());
        let tokens = fields.optional_number(validator, "tokens_per_second", 1..=u64::MAX);
        Some(Self {
            name: name?,
            token_sha256: token?,
            services: services?,
            share: u32::try_from(share?).ok()?,
            priority: priority?.map(|value| Priority::new(value as u8)),
            requests_per_second: requests?.map(|value| RequestRate::new(value as u32)),
            tokens_per_second: tokens?.map(TokenRate::new),
        })
    }
}
