//! [`Plan`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    Action, Change, ChangeKind, ClientAccount, FieldChange, Rollout, Service, Snapshot, Upstream,
};

/// Differences between two configurations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Plan(Vec<Change>);

impl Plan {
    /// Compares two configurations.
    #[must_use]
    pub fn new(before: &Snapshot, after: &Snapshot) -> Self {
        let mut changes = Vec::new();
        compare(
            &mut changes,
            ChangeKind::Service,
            services(before),
            services(after),
            service_fields,
        );
        compare(
            &mut changes,
            ChangeKind::Upstream,
            upstreams(before),
            upstreams(after),
            upstream_fields,
        );
        compare(
            &mut changes,
            ChangeKind::Account,
            accounts(before),
            accounts(after),
            account_fields,
        );
        compare(
            &mut changes,
            ChangeKind::Rollout,
            rollouts(before),
            rollouts(after),
            rollout_fields,
        );
        Self(changes)
    }

    /// The changes, ordered by kind; within a kind, removals come first, then the others by name.
    pub fn iter(&self) -> std::slice::Iter<'_, Change> {
        self.0.iter()
    }

    /// Whether there are no changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl<'a> IntoIterator for &'a Plan {
    type Item = &'a Change;
    type IntoIter = std::slice::Iter<'a, Change>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl std::fmt::Display for Plan {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, change) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            change.fmt(f)?;
        }
        Ok(())
    }
}

type ByName<'a, T> = BTreeMap<String, &'a T>;
type FieldValues = Vec<(&'static str, String)>;

fn services(snapshot: &Snapshot) -> ByName<'_, Service> {
    let name = |service: &'_ Service| service.name.to_string();
    snapshot.services().map(|s| (name(s), s)).collect()
}

fn accounts(snapshot: &Snapshot) -> ByName<'_, ClientAccount> {
    snapshot
        .accounts()
        .map(|a| (a.name.to_string(), a))
        .collect()
}

fn rollouts(snapshot: &Snapshot) -> ByName<'_, Rollout> {
    let rollouts = snapshot.rollouts().iter();
    rollouts.map(|r| (r.service.to_string(), r)).collect()
}

fn upstreams(snapshot: &Snapshot) -> ByName<'_, Upstream> {
    let mut by_name = BTreeMap::new();
    for service in snapshot.services() {
        for upstream in &service.upstreams {
            by_name.insert(format!("{}/{}", service.name, upstream.id), upstream);
        }
    }
    by_name
}

fn compare<T: PartialEq>(
    changes: &mut Vec<Change>,
    kind: ChangeKind,
    before: ByName<'_, T>,
    after: ByName<'_, T>,
    fields: fn(&T) -> FieldValues,
) {
    let removed = before.keys().filter(|name| !after.contains_key(*name));
    changes.extend(removed.map(|name| without_fields(Action::Removed, kind, name)));
    for (name, new) in &after {
        let Some(old) = before.get(name) else {
            changes.push(without_fields(Action::Added, kind, name));
            continue;
        };
        let differences = changed_fields(fields(old), fields(new));
        if !differences.is_empty() {
            changes.push(Change {
                action: Action::Changed,
                kind,
                name: name.clone(),
                fields: differences,
            });
        }
    }
}

fn without_fields(action: Action, kind: ChangeKind, name: &str) -> Change {
    Change {
        action,
        kind,
        name: name.to_owned(),
        fields: Vec::new(),
    }
}

fn changed_fields(before: FieldValues, after: FieldValues) -> Vec<FieldChange> {
    let pairs = before.into_iter().zip(after);
    let changed = pairs.filter(|((_, old), (_, new))| old != new);
    changed
        .map(|((field, before), (_, after))| FieldChange {
            field: field.to_owned(),
            before,
            after,
        })
        .collect()
}

fn service_fields(service: &Service) -> FieldValues {
    vec![
        ("kind", format!("{:?}", service.kind).to_lowercase()),
        (
            "model",
            service
                .model
                .as_ref()
                .map_or_else(none, ToString::to_string),
        ),
        (
            "classes",
            list(&service.classes, |c| {
                format!("{} up to {}", c.name, c.up_to)
            }),
        ),
        ("time_limit_ms", service.time_limit_ms.to_string()),
        ("priority", service.priority.to_string()),
        (
            "calls",
            list(&service.calls, |c| {
                format!("{} {} repeatable {}", c.method, c.path, c.repeatable)
            }),
        ),
        ("repeatable", service.repeatable.to_string()),
        ("fencing", format!("{:?}", service.fencing).to_lowercase()),
        ("orders", format!("{:?}", service.orders).to_lowercase()),
    ]
}

fn upstream_fields(upstream: &Upstream) -> FieldValues {
    vec![
        ("vm", upstream.vm.to_string()),
        ("address", upstream.address.to_string()),
        ("data_centre", upstream.data_centre.to_string()),
        ("memory", upstream.memory.to_string()),
    ]
}

fn account_fields(account: &ClientAccount) -> FieldValues {
    vec![
        ("token_sha256", account.token_sha256.to_string()),
        ("services", list(&account.services, ToString::to_string)),
        ("share", account.share.to_string()),
        (
            "priority",
            account.priority.map_or_else(none, |p| p.to_string()),
        ),
        (
            "requests_per_second",
            account
                .requests_per_second
                .map_or_else(none, |r| r.to_string()),
        ),
        (
            "tokens_per_second",
            account
                .tokens_per_second
                .map_or_else(none, |r| r.to_string()),
        ),
    ]
}

fn rollout_fields(rollout: &Rollout) -> FieldValues {
    vec![
        ("to", rollout.to.to_string()),
        ("percent", rollout.percent.to_string()),
    ]
}

fn none() -> String {
    "none".to_owned()
}

fn list<T>(items: &[T], format_item: impl Fn(&T) -> String) -> String {
    let items: Vec<String> = items.iter().map(format_item).collect();
    format!("[{}]", items.join(", "))
}
