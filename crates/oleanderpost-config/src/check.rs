//! [`Check`].

use std::{collections::BTreeMap, sync::Arc};

use serde_saphyr::DuplicateKeyPolicy;

use oleanderpost_types::Generation;

use crate::{
    ClientAccount, Findings, FleetFile, Rollout, Service,
    allowed::{FORMAT, MAX_FILE_LEN},
    fields::Fields,
    position::{Position, Positioned},
    validator::Validator,
    yaml_node::YamlNode,
};

const FIELDS: [&str; 6] = [
    "format",
    "generation",
    "deleted",
    "services",
    "accounts",
    "rollouts",
];

/// Result of checking the bytes of a fleet file.
#[derive(Clone, Debug, PartialEq)]
pub struct Check {
    generation: Option<Generation>,
    file: Option<FleetFile>,
    findings: Findings,
}

impl Check {
    /// Checks the bytes of a file.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        Self::with_newest_format(bytes, FORMAT)
    }

    /// Checks the bytes of a file like a version of the program that supports formats up to `newest`.
    #[must_use]
    pub fn with_newest_format(bytes: &[u8], newest: u64) -> Self {
        let mut validator = Validator::default();
        let Some(root) = parse_yaml(&mut validator, bytes) else {
            return Self::with_findings(None, validator);
        };
        let generation = root
            .value
            .field("generation")
            .and_then(|node| match node.value {
                YamlNode::Int(value) => u64::try_from(value).ok().map(Generation::new),
                _ => None,
            });
        let file = read_file(&mut validator, &root, newest);
        if validator.has_no_findings() && file.is_some() {
            return Self {
                generation,
                file,
                findings: Findings::default(),
            };
        }
        Self::with_findings(generation, validator)
    }

    fn with_findings(generation: Option<Generation>, validator: Validator) -> Self {
        Self {
            generation,
            file: None,
            findings: validator.into_findings(),
        }
    }

    /// Generation in the file, even if the file is invalid.
    #[must_use]
    pub const fn generation(&self) -> Option<Generation> {
        self.generation
    }

    /// The file, if there are no findings.
    #[must_use]
    pub const fn file(&self) -> Option<&FleetFile> {
        self.file.as_ref()
    }

    /// The findings.
    #[must_use]
    pub const fn findings(&self) -> &Findings {
        &self.findings
    }

    /// The file, or the findings.
    ///
    /// # Errors
    ///
    /// The findings of an invalid file.
    pub fn into_file(self) -> Result<FleetFile, Findings> {
        self.file.ok_or(self.findings)
    }
}

/// Parses the file into a tree of nodes; `None` after a syntax error.
fn parse_yaml(validator: &mut Validator, bytes: &[u8]) -> Option<Positioned<YamlNode>> {
    if bytes.len() > MAX_FILE_LEN {
        let message = format!("the file has {} bytes", bytes.len());
        validator.add_finding(
            Position::UNKNOWN,
            "",
            message,
            &format!("up to {MAX_FILE_LEN} bytes"),
        );
        return None;
    }
    let options = serde_saphyr::options! {
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
    };
    match serde_saphyr::from_slice_with_options(bytes, options) {
        Ok(root) => Some(root),
        Err(e) => {
            let position = e.location().map_or(Position::UNKNOWN, Position::from);
            let message = e.without_snippet().to_string();
            validator.add_finding(position, "", message, "one YAML document in UTF-8");
            None
        }
    }
}

fn read_file(
    validator: &mut Validator,
    root: &Positioned<YamlNode>,
    newest: u64,
) -> Option<FleetFile> {
    if let Some(format) = root.value.field("format") {
        let newer = matches!(format.value, YamlNode::Int(value) if value > i128::from(newest));
        if newer {
            let message = format!("the file has format {}", format.value.describe());
            let allowed =
                format!("format 1 to {newest}; a newer program version reads newer formats");
            validator.add_finding(format.position, "format", message, &allowed);
            return None;
        }
    }
    let fields = Fields::read(validator, root, "", &FIELDS)?;
    let format = fields.number_or(validator, "format", 1..=newest, 1);
    let generation = fields
        .required(validator, "generation")
        .and_then(|node| validator.number(node, "generation", 1..=u64::MAX));
    let deleted = fields.boolean_or(validator, "deleted", false);
    let services = fields.list(validator, "services", Service::read);
    let accounts = fields.list(validator, "accounts", ClientAccount::read);
    let rollouts = fields.list(validator, "rollouts", Rollout::read);
    check_names(validator, &fields);
    check_references(validator, &fields);
    if deleted == Some(true) {
        check_deleted(validator, &fields);
    }
    Some(FleetFile {
        format: format?,
        generation: Generation::new(generation?),
        deleted: deleted?,
        services: services?.into_iter().map(Arc::new).collect(),
        accounts: accounts?.into_iter().map(Arc::new).collect(),
        rollouts: rollouts?,
    })
}

/// Checks that names and addresses are unique in the file.
fn check_names(validator: &mut Validator, fields: &Fields<'_>) {
    validator.check_unique("service", fields.item_texts("services", "name"));
    validator.check_unique("account", fields.item_texts("accounts", "name"));
    validator.check_unique("token hash", fields.item_texts("accounts", "token_sha256"));
    validator.check_unique(
        "rollout of service",
        fields.item_texts("rollouts", "service"),
    );
    for field in ["id", "address"] {
        let mut ids_or_addresses = Vec::new();
        for (service, path) in fields.list_items("services") {
            let upstreams = service.value.field("upstreams");
            let items = upstreams.map_or(&[][..], |node| node.value.items());
            for (i, upstream) in items.iter().enumerate() {
                let Some(node) = upstream.value.field(field) else {
                    continue;
                };
                let Some(text) = node.value.as_text() else {
                    continue;
                };
                ids_or_addresses.push((
                    text,
                    node.position,
                    format!("{path}.upstreams[{i}].{field}"),
                ));
            }
        }
        validator.check_unique(&format!("upstream {field}"), ids_or_addresses);
    }
}

/// Checks that references are to services of the same file. A file without services may refer to services of
/// other files.
fn check_references(validator: &mut Validator, fields: &Fields<'_>) {
    let services: BTreeMap<&str, Option<&str>> = fields
        .list_items("services")
        .filter_map(|(service, _)| {
            let name = service.value.field("name")?.value.as_text()?;
            let kind = service
                .value
                .field("kind")
                .and_then(|node| node.value.as_text());
            Some((name, kind))
        })
        .collect();
    if services.is_empty() {
        return;
    }
    for (name, position, path) in fields.item_texts("rollouts", "service") {
        if services.get(name) == Some(&Some("plain")) {
            validator.add_finding(
                position,
                &path,
                format!("{name:?} is a plain service"),
                "a service of engines",
            );
        }
    }
    let mut references: Vec<_> = fields.item_texts("rollouts", "service").collect();
    for (account, path) in fields.list_items("accounts") {
        let names = account.value.field("services");
        let items = names.map_or(&[][..], |node| node.value.items());
        for (i, node) in items.iter().enumerate() {
            let Some(text) = node.value.as_text() else {
                continue;
            };
            references.push((text, node.position, format!("{path}.services[{i}]")));
        }
    }
    let allowed = "a service of this file; accounts for services of other files stand in a file without services";
    for (name, position, path) in references {
        if !services.contains_key(name) {
            validator.add_finding(
                position,
                &path,
                format!("unknown service {name:?}"),
                allowed,
            );
        }
    }
}

/// Checks that a deleted file defines nothing.
fn check_deleted(validator: &mut Validator, fields: &Fields<'_>) {
    for name in ["services", "accounts", "rollouts"] {
        if let Some(node) = fields.optional(name)
            && !node.value.items().is_empty()
        {
            let message = "a deleted file defines nothing".to_owned();
            validator.add_finding(
                node.position,
                name,
                message,
                "leave it out, or set deleted to false",
            );
        }
    }
}
