//! [`Check`].

use std::{collections::BTreeMap, sync::Arc};

use serde_saphyr::DuplicateKeyPolicy;

use oleanderpost_types::Generation;

use crate::{
    ClientAccount, Findings, FleetFile, Rollout, Service,
    allowed::{FORMAT, MAX_FILE_LEN},
    fields::Fields,
    node::Node,
    place::{Place, Placed},
    reader::Reader,
};

const FIELDS: [&str; 6] = [
    "format",
    "generation",
    "deleted",
    "services",
    "accounts",
    "rollouts",
];

/// What the check of a file's bytes gives.
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

    /// Checks as a program does that reads no newer format than `newest`.
    #[must_use]
    pub fn with_newest_format(bytes: &[u8], newest: u64) -> Self {
        let mut reader = Reader::default();
        let Some(root) = read_root(&mut reader, bytes) else {
            return Self::with_findings(None, reader);
        };
        let generation = root
            .value
            .field("generation")
            .and_then(|node| match node.value {
                Node::Int(value) => u64::try_from(value).ok().map(Generation::new),
                _ => None,
            });
        let file = read_file(&mut reader, &root, newest);
        if reader.is_clean() && file.is_some() {
            return Self {
                generation,
                file,
                findings: Findings::default(),
            };
        }
        Self::with_findings(generation, reader)
    }

    fn with_findings(generation: Option<Generation>, reader: Reader) -> Self {
        Self {
            generation,
            file: None,
            findings: reader.close(),
        }
    }

    /// Generation that the file states, also if the file is refused.
    #[must_use]
    pub const fn generation(&self) -> Option<Generation> {
        self.generation
    }

    /// The file, if nothing was found.
    #[must_use]
    pub const fn file(&self) -> Option<&FleetFile> {
        self.file.as_ref()
    }

    /// What was found.
    #[must_use]
    pub const fn findings(&self) -> &Findings {
        &self.findings
    }

    /// The file or what was found.
    ///
    /// # Errors
    ///
    /// The findings of a refused file.
    pub fn into_file(self) -> Result<FleetFile, Findings> {
        self.file.ok_or(self.findings)
    }
}

/// The tree of the file; syntax errors end the reading.
fn read_root(reader: &mut Reader, bytes: &[u8]) -> Option<Placed<Node>> {
    if bytes.len() > MAX_FILE_LEN {
        let message = format!("the file has {} bytes", bytes.len());
        reader.note(
            Place::UNKNOWN,
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
            let at = e.location().map_or(Place::UNKNOWN, Place::from);
            let message = e.without_snippet().to_string();
            reader.note(at, "", message, "one YAML document in UTF-8");
            None
        }
    }
}

fn read_file(reader: &mut Reader, root: &Placed<Node>, newest: u64) -> Option<FleetFile> {
    if let Some(format) = root.value.field("format") {
        let newer = matches!(format.value, Node::Int(value) if value > i128::from(newest));
        if newer {
            let message = format!("the file has format {}", format.value.describe());
            let allowed =
                format!("format 1 to {newest}; a newer program version reads newer formats");
            reader.note(format.referenced, "format", message, &allowed);
            return None;
        }
    }
    let fields = Fields::read(reader, root, "", &FIELDS)?;
    let format = fields.number_or(reader, "format", 1..=newest, 1);
    let generation = fields
        .required(reader, "generation")
        .and_then(|node| reader.number(node, "generation", 1..=u64::MAX));
    let deleted = fields.flag_or(reader, "deleted", false);
    let services = fields.items(reader, "services", Service::read);
    let accounts = fields.items(reader, "accounts", ClientAccount::read);
    let rollouts = fields.items(reader, "rollouts", Rollout::read);
    check_names(reader, &fields);
    check_references(reader, &fields);
    if deleted == Some(true) {
        check_deleted(reader, &fields);
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

/// Names that must be unique in the file.
fn check_names(reader: &mut Reader, fields: &Fields<'_>) {
    reader.unique("service", fields.texts("services", "name"));
    reader.unique("account", fields.texts("accounts", "name"));
    reader.unique("token hash", fields.texts("accounts", "token_sha256"));
    reader.unique("rollout of service", fields.texts("rollouts", "service"));
    for field in ["id", "address"] {
        let mut places = Vec::new();
        for (service, path) in fields.children("services") {
            let upstreams = service.value.field("upstreams");
            let items = upstreams.map_or(&[][..], |node| node.value.items());
            for (i, upstream) in items.iter().enumerate() {
                let Some(node) = upstream.value.field(field) else {
                    continue;
                };
                let Some(text) = node.value.text() else {
                    continue;
                };
                places.push((
                    text,
                    node.referenced,
                    format!("{path}.upstreams[{i}].{field}"),
                ));
            }
        }
        reader.unique(&format!("upstream {field}"), places);
    }
}

/// References to services of the same file. A file that defines none may refer to those of other files.
fn check_references(reader: &mut Reader, fields: &Fields<'_>) {
    let services: BTreeMap<&str, Option<&str>> = fields
        .children("services")
        .filter_map(|(service, _)| {
            let name = service.value.field("name")?.value.text()?;
            let kind = service
                .value
                .field("kind")
                .and_then(|node| node.value.text());
            Some((name, kind))
        })
        .collect();
    if services.is_empty() {
        return;
    }
    for (name, at, path) in fields.texts("rollouts", "service") {
        if services.get(name) == Some(&Some("plain")) {
            reader.note(
                at,
                &path,
                format!("{name:?} is a plain service"),
                "a service of engines",
            );
        }
    }
    let mut references: Vec<_> = fields.texts("rollouts", "service").collect();
    for (account, path) in fields.children("accounts") {
        let names = account.value.field("services");
        let items = names.map_or(&[][..], |node| node.value.items());
        for (i, node) in items.iter().enumerate() {
            let Some(text) = node.value.text() else {
                continue;
            };
            references.push((text, node.referenced, format!("{path}.services[{i}]")));
        }
    }
    let allowed = "a service of this file; accounts for services of other files stand in a file without services";
    for (name, at, path) in references {
        if !services.contains_key(name) {
            reader.note(at, &path, format!("unknown service {name:?}"), allowed);
        }
    }
}

/// A deleted file defines nothing.
fn check_deleted(reader: &mut Reader, fields: &Fields<'_>) {
    for name in ["services", "accounts", "rollouts"] {
        if let Some(node) = fields.optional(name)
            && !node.value.items().is_empty()
        {
            let message = "a deleted file defines nothing".to_owned();
            reader.note(
                node.referenced,
                name,
                message,
                "leave it out, or set deleted to false",
            );
        }
    }
}
