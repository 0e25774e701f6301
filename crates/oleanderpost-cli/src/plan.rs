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
    /// Address of the configuration service, or a second fleet file, to compare with.
    #[arg(long, value_name = "ADDRESS|FILE")]
    against: String,
    /// Name of the file in the configuration service; the file name without extension if left out.
    #[arg(long)]
    name: Option<FileName>,
    /// Format of the result.
    #[arg(long, value_enum, default_value = "text")]
    output: Output,
}

/// Effect of applying a file.
#[derive(Debug, Serialize)]
struct FilePlan {
    name: FileName,
    generation: Generation,
    /// Generation that is in force now.
    current: Option<Generation>,
    effect: Effect,
    changes: Plan,
}

/// Whether a file would come into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Effect {
    /// The file is identical to the one in force.
    Nothing,
    /// The generation is greater than the one in force, so the file replaces it.
    Applies,
    /// The generation equals the one in force, but the content differs.
    Conflicts,
    /// The generation is less than the one in force, which stays.
    Stays,
}

/// Compares a file with the one in force. Returns `false` if applying it would change something or if it
/// would not come into force.
pub(crate) async fn run(args: &PlanArgs) -> Result<bool> {
    let new_file = read_fleet_file(&args.file)?;
    let name = match &args.name {
        Some(name) => name.clone(),
        None => settings::file_name(&args.file)?,
    };
    let current = match args.against.parse() {
        Ok(address) => fetch_current(address, &name).await?,
        Err(_) => Some(read_fleet_file(Path::new(&args.against))?),
    };
    let plan = FilePlan::new(name, &new_file, current.as_ref());
    args.output.write(&plan)?;
    Ok(plan.effect == Effect::Nothing)
}

fn read_fleet_file(path: &Path) -> Result<FleetFile> {
    parse_fleet_file(&path.display().to_string(), &settings::read_bytes(path)?)
}

fn parse_fleet_file(source: &str, bytes: &[u8]) -> Result<FleetFile> {
    let file = Check::new(bytes).into_file();
    file.map_err(|findings| Error::FleetFile {
        source_name: source.to_owned(),
        findings,
    })
}

/// Fetches the file from the configuration service. Returns `None` if the service does not hold it.
async fn fetch_current(address: SocketAddr, name: &FileName) -> Result<Option<FleetFile>> {
    let reply: ConfigReply = HttpClient::new().get(address, "/v1/config?after=0").await?;
    let entry = reply.entries.into_iter().find(|entry| entry.name == *name);
    let content = entry.and_then(|entry| entry.content);
    let source = format!("{address}: {name}");
    content
        .map(|content| parse_fleet_file(&source, content.as_bytes()))
        .transpose()
}

impl FilePlan {
    fn new(name: FileName, new_file: &FleetFile, current: Option<&FleetFile>) -> Self {
        let effect = match current {
            Some(current) if current == new_file => Effect::Nothing,
            Some(current) => match new_file.generation.cmp(&current.generation) {
                Ordering::Greater => Effect::Applies,
                Ordering::Equal => Effect::Conflicts,
                Ordering::Less => Effect::Stays,
            },
            None => Effect::Applies,
        };
        let before = Snapshot::from_files(current);
        let after = Snapshot::from_files([new_file]);
        Self {
            name,
            generation: new_file.generation,
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
