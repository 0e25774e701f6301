//! [`Service`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{Millis, Priority, ServiceName};

use crate::{
    CallRule, Fencing, LengthClass, ModelVersion, OrderCheck, ServiceKind, Upstream, allowed,
    fields::Fields, node::Node, place::Placed, reader::Reader,
};

/// A service that callers address, and the upstreams behind it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Engines or plain.
    pub kind: ServiceKind,
    /// Model of an engine service.
    #[serde(default)]
    pub model: Option<ModelVersion>,
    /// Upstreams of the service.
    pub upstreams: Vec<Upstream>,
    /// Classes by prompt length, the shortest first.
    #[serde(default)]
    pub classes: Vec<LengthClass>,
    /// Greatest time limit of a request, in milliseconds.
    pub time_limit_ms: Millis,
    /// Priority at the engines unless the account has its own.
    #[serde(default)]
    pub priority: Priority,
    /// Rules for single calls of a plain service; the first match counts.
    #[serde(default)]
    pub calls: Vec<CallRule>,
    /// Whether requests may be repeated where neither caller nor rule says so.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether the engines refuse orders with an old fencing number.
    #[serde(default)]
    pub fencing: Fencing,
    /// Whether the upstreams check who gives an order.
    #[serde(default)]
    pub orders: OrderCheck,
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

    pub(crate) fn read(reader: &mut Reader, node: &Placed<Node>, path: &str) -> Option<Self> {
        let fields = Fields::read(reader, node, path, &Self::FIELDS)?;
        let name = fields.required_name(reader, "name");
        let kind = fields.required(reader, "kind").and_then(|node| {
            let words = [
                ("engines", ServiceKind::Engines),
                ("plain", ServiceKind::Plain),
            ];
            reader.word(node, &fields.path_of("kind"), &words)
        });
        let model = match fields.optional("model") {
            Some(node) => ModelVersion::read(reader, node, &fields.path_of("model")).map(Some),
            None => Some(None),
        };
        fields.required(reader, "upstreams");
        let upstreams = fields.items(reader, "upstreams", Upstream::read);
        let classes = fields.items(reader, "classes", LengthClass::read);
        let time_limit = fields.required(reader, "time_limit_ms").and_then(|node| {
            let bounds = 1..=allowed::MAX_TIME_LIMIT_MS;
            reader.number(node, &fields.path_of("time_limit_ms"), bounds)
        });
        let priority = fields.number_or(reader, "priority", 0..=u8::MAX.into(), 0);
        let calls = fields.items(reader, "calls", CallRule::read);
        let repeatable = fields.flag_or(reader, "repeatable", false);
        let fencing = fields.word_or(reader, "fencing", &Fencing::WORDS);
        let orders = fields.word_or(reader, "orders", &OrderCheck::WORDS);
        if let Some(kind) = kind {
            check_kind(reader, &fields, kind);
        }
        check_lists(reader, &fields);
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

/// Fields that only one kind of service has.
fn check_kind(reader: &mut Reader, fields: &Fields<'_>, kind: ServiceKind) {
    let (needs, lacks): (&[&str], &[&str]) = match kind {
        ServiceKind::Engines => (&["model"], &["calls"]),
        ServiceKind::Plain => (&[], &["model", "classes", "fencing", "orders"]),
    };
    for name in needs {
        fields.required(reader, name);
    }
    for name in lacks {
        if let Some(node) = fields.optional(name) {
            let message = "field does not apply to this kind of service".to_owned();
            reader.note(
                node.referenced,
                &fields.path_of(name),
                message,
                "leave it out",
            );
        }
    }
    for (node, path) in fields.children("upstreams") {
        let memory = node.value.field("memory");
        let zero = memory.is_none_or(|memory| matches!(memory.value, Node::Int(0)));
        let at = memory.map_or(node.referenced, |memory| memory.referenced);
        let path = format!("{path}.memory");
        match kind {
            ServiceKind::Engines if zero => {
                reader.note(
                    at,
                    &path,
                    "an engine needs memory".to_owned(),
                    "tokens, 1 or more",
                );
            }
            ServiceKind::Plain if !zero => {
                reader.note(
                    at,
                    &path,
                    "a plain service has no memory".to_owned(),
                    "leave it out",
                );
            }
            _ => {}
        }
    }
}

/// What must hold between the items of one service.
fn check_lists(reader: &mut Reader, fields: &Fields<'_>) {
    if let Some(node) = fields.optional("upstreams")
        && matches!(&node.value, Node::List(list) if list.is_empty())
    {
        reader.note_value(node, &fields.path_of("upstreams"), "at least one upstream");
    }
    reader.unique("class", fields.texts("classes", "name"));
    let mut before = 0;
    for (node, path) in fields.children("classes") {
        let Some(up_to) = node.value.field("up_to") else {
            continue;
        };
        let Node::Int(bound) = up_to.value else {
            continue;
        };
        if bound <= before {
            let allowed = format!("more than {before}, the bound of the class before");
            reader.note_value(up_to, &format!("{path}.up_to"), &allowed);
        }
        before = before.max(bound);
    }
    let calls = fields.children("calls").filter_map(|(node, path)| {
        let method = node.value.field("method")?.value.text()?;
        let start = node.value.field("path")?.value.text()?;
        Some((format!("{method} {start}"), node.referenced, path))
    });
    reader.unique("call", calls);
}
