//! [`Service`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{Millis, Priority, ServiceName};

use crate::{
    CallRule, Fencing, LengthClass, ModelVersion, OrderAuthentication, ServiceKind, Upstream,
    allowed, fields::Fields, position::Positioned, validator::Validator, yaml_node::YamlNode,
};

/// A service to which callers send requests, with its upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Kind of the upstreams.
    pub kind: ServiceKind,
    /// Model of an engine service.
    #[serde(default)]
    pub model: Option<ModelVersion>,
    /// Upstreams of the service.
    pub upstreams: Vec<Upstream>,
    /// Classes of requests by prompt length, in ascending order.
    #[serde(default)]
    pub classes: Vec<LengthClass>,
    /// Maximum time limit of a request, in milliseconds.
    pub time_limit_ms: Millis,
    /// Priority at the engines, unless the client account has one.
    #[serde(default)]
    pub priority: Priority,
    /// Rules for calls of a plain service; the first matching rule applies.
    #[serde(default)]
    pub calls: Vec<CallRule>,
    /// Whether requests may be repeated if neither the caller nor a rule specifies it.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether the engines refuse orders with an old fencing number.
    #[serde(default)]
    pub fencing: Fencing,
    /// Whether the upstreams authenticate the sender of an order.
    #[serde(default)]
    pub orders: OrderAuthentication,
}

impl Service {
    const FIELDS: [&str; 11] = [
        "name",
        "kind",
        "model",
        "upstreams",
        "classes",
        "time_limit_ms",
        "priority",
        "calls",
        "repeatable",
        "fencing",
        "orders",
    ];

    pub(crate) fn read(
        validator: &mut Validator,
        node: &Positioned<YamlNode>,
        path: &str,
    ) -> Option<Self> {
        let fields = Fields::read(validator, node, path, &Self::FIELDS)?;
        let name = fields.required_name(validator, "name");
        let kind = fields.required(validator, "kind").and_then(|node| {
            let variants = [
                ("engines", ServiceKind::Engines),
                ("plain", ServiceKind::Plain),
            ];
            validator.one_of(node, &fields.path_of("kind"), &variants)
        });
        let model = match fields.optional("model") {
            Some(node) => ModelVersion::read(validator, node, &fields.path_of("model")).map(Some),
            None => Some(None),
        };
        fields.required(validator, "upstreams");
        let upstreams = fields.list(validator, "upstreams", Upstream::read);
        let classes = fields.list(validator, "classes", LengthClass::read);
        let time_limit = fields
            .required(validator, "time_limit_ms")
            .and_then(|node| {
                let bounds = 1..=allowed::MAX_TIME_LIMIT_MS;
                validator.number(node, &fields.path_of("time_limit_ms"), bounds)
            });
        let priority = fields.number_or(validator, "priority", 0..=u8::MAX.into(), 0);
        let calls = fields.list(validator, "calls", CallRule::read);
        let repeatable = fields.boolean_or(validator, "repeatable", false);
        let fencing = fields.one_of_or_default(validator, "fencing", &Fencing::VARIANTS);
        let orders = fields.one_of_or_default(validator, "orders", &OrderAuthentication::VARIANTS);
        if let Some(kind) = kind {
            check_kind(validator, &fields, kind);
        }
        check_lists(validator, &fields);
        Some(Self {
            name: name?,
            kind: kind?,
            model: model?,
            upstreams: upstreams?,
            classes: classes?,
            time_limit_ms: Millis::new(time_limit?),
            priority: Priority::new(u8::try_from(priority?).ok()?),
            calls: calls?,
            repeatable: repeatable?,
            fencing: fencing?,
            orders: orders?,
        })
    }
}

/// Checks the fields that depend on the kind of the service.
fn check_kind(validator: &mut Validator, fields: &Fields<'_>, kind: ServiceKind) {
    let (required, forbidden): (&[&str], &[&str]) = match kind {
        ServiceKind::Engines => (&["model"], &["calls"]),
        ServiceKind::Plain => (&[], &["model", "classes", "fencing", "orders"]),
    };
    for name in required {
        fields.required(validator, name);
    }
    for name in forbidden {
        if let Some(node) = fields.optional(name) {
            let message = "field does not apply to this kind of service".to_owned();
            validator.add_finding(
                node.position,
                &fields.path_of(name),
                message,
                "leave it out",
            );
        }
    }
    for (node, path) in fields.list_items("upstreams") {
        let memory = node.value.field("memory");
        let is_zero = memory.is_none_or(|memory| matches!(memory.value, YamlNode::Int(0)));
        let position = memory.map_or(node.position, |memory| memory.position);
        let path = format!("{path}.memory");
        match kind {
            ServiceKind::Engines if is_zero => {
                validator.add_finding(
                    position,
                    &path,
                    "an engine needs memory".to_owned(),
                    "tokens, 1 or more",
                );
            }
            ServiceKind::Plain if !is_zero => {
                validator.add_finding(
                    position,
                    &path,
                    "a plain service has no memory".to_owned(),
                    "leave it out",
                );
            }
            _ => {}
        }
    }
}

/// Checks the lists of the service: at least one upstream, ascending classes and no duplicates.
fn check_lists(validator: &mut Validator, fields: &Fields<'_>) {
    if let Some(node) = fields.optional("upstreams")
        && matches!(&node.value, YamlNode::List(list) if list.is_empty())
    {
        validator.add_invalid_value(node, &fields.path_of("upstreams"), "at least one upstream");
    }
    validator.check_unique("class", fields.item_texts("classes", "name"));
    let mut previous_bound = 0;
    for (node, path) in fields.list_items("classes") {
        let Some(up_to) = node.value.field("up_to") else {
            continue;
        };
        let YamlNode::Int(bound) = up_to.value else {
            continue;
        };
        if bound <= previous_bound {
            let allowed = format!("more than {previous_bound}, the bound of the class before");
            validator.add_invalid_value(up_to, &format!("{path}.up_to"), &allowed);
        }
        previous_bound = previous_bound.max(bound);
    }
    let calls = fields.list_items("calls").filter_map(|(node, path)| {
        let method = node.value.field("method")?.value.as_text()?;
        let path_prefix = node.value.field("path")?.value.as_text()?;
        Some((format!("{method} {path_prefix}"), node.position, path))
    });
    validator.check_unique("call", calls);
}
