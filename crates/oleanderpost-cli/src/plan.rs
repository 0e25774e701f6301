//! `oleanderpost plan`.

use std::{
    cmp::Ordering,
    fmt,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use clap::Args;
use serde::Serialize;

use oleanderpost::{
    config::{Check, FleetFile, Plan, Snapshot},
    types::{ConfigReply, FileName, Generation},
};

use crate::{Error, Output, Result, http_client::HttpClient, settings};

/// Arguments of `oleanderpost plan`.
#[derive(Clone, Debug, Args)]
#[command(
    after_help = "The exit code is 0 if applying the file changes nothing, 1 if it \
changes something or does not come into force, 2 if a file is not valid."
)]
pub struct PlanArgs {
    /// Fleet file to compare.
    file: PathBuf,
    /// Address of the configuration service, or another file.
    #[arg(long, value_name = "ADDRESS|FILE")]
    against: String,
    /// Name of the file in the configuration service; the file's stem if left out.
    #[arg(long)]
    name: Option<FileName>,
    /// Form of the result.
    #[arg(long, value_enum, default_value = "text")]
    output: Output,
}

/// What applying a file would do.
#[derive(Debug, Serialize)]
struct FilePlan {
    name: FileName,
    generation: Generation,
    /// Generation that it would replace.
    current: Option<Generation>,
    effect: Effect,
    changes: Plan,
}

/// Whether a file would come into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Effect {
    /// It is what is in force.
    Nothing,
    /// Its generation is greater: it replaces the present one.
    Applies,
    /// Its generation is the same, but not its content.
    Conflicts,
    /// Its generation is less: the present one stays.
    Stays,
}

/// Compares a file with that in force; `false` if something would change or stay against the wish.
pub(crate) async fn run(args: &PlanArgs) -> Result<bool> {
    let wanted = read_file(&args.file)?;
    let name = match &args.name {
        Some(name) => name.clone(),
        None => settings::file_name(&args.file)?,
    };
    let current = match args.against.parse() {
        Ok(address) => fetch(address, &name).await?,
        Err(_) => Some(read_file(Path::new(&args.against))?),
    };
    let plan = FilePlan::new(name, &wanted, current.as_ref());
    args.output.write(&plan)?;
    Ok(plan.effect == Effect::Nothing)
}

fn read_file(path: &Path) -> Result<FleetFile> {
    parse(&path.display().to_string(), &settings::read_bytes(path)?)
}

fn parse(source: &str, bytes: &[u8]) -> Result<FleetFile> {
    let file = Check::new(bytes).into_file();
    file.map_err(|findings| Error::FleetFile {
        source_name: source.to_owned(),
        findings,
    })
}

/// The file as the configuration service holds it.
async fn fetch(address: SocketAddr, name: &FileName) -> Result<Option<FleetFile>> {
    let reply: ConfigReply = HttpClient::new().get(address, "/v1/config?after=0").await?;
    let entry = reply.entries.into_iter().find(|entry| entry.name == *name);
    let content = entry.and_then(|entry| entry.content);
    let source = format!("{address}: {name}");
    content
        .map(|content| parse(&source, content.as_bytes()))
        .transpose()
}

impl FilePlan {
    fn new(name: FileName, wanted: &FleetFile, current: Option<&FleetFile>) -> Self {
        let effect = match current {
            Some(current) if current == wanted => Effect::Nothing,
            Some(current) => match wanted.generation.cmp(&current.generation) {
                Ordering::Greater => Effect::Applies,
                Ordering::Equal => Effect::Conflicts,
                Ordering::Less => Effect::Stays,
            },
            None => Effect::Applies,
        };
        let before = Snapshot::from_files(current);
        let after = Snapshot::from_files([wanted]);
        Self {
            name,
            generation: wanted.generation,
            current: current.map(|file| file.generation),
            effect,
            changes: Plan::new(&before, &after),
        }
    }
}

impl fmt::Display for FilePlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, new) = (&self.name, self.generation);
        match (self.effect, self.current) {
            (Effect::Nothing, _) => writeln!(f, "{name}: generation {new} is there already")?,
            (Effect::Applies, None) => writeln!(f, "{name}: generation {new} is new")?,
            (Effect::Applies, Some(old)) => {
                writeln!(f, "{name}: generation {new} replaces {old}")?;
            }
            (Effect::Conflicts, _) => writeln!(
                f,
                "{name}: generation {new} is there with another content: use a greater one"
            )?,
            (Effect::Stays, old) => writeln!(
                f,
                "{name}: generation {new} does not come into force: {} is there",
                old.unwrap_or_default()
            )?,
        }
        if self.changes.is_empty() {
            return Ok(());
        }
        writeln!(f, "{}", self.changes)
    }
}
