//! `oleanderpost check`.

use std::{
    fmt,
    path::{Path, PathBuf},
};

use clap::Args;
use serde::Serialize;

use oleanderpost::{
    config::{Check, Findings},
    types::Generation,
};

use crate::{Output, Result, settings};

/// Arguments of `oleanderpost check`.
#[derive(Clone, Debug, Args)]
pub struct CheckArgs {
    /// Fleet files to check.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Format of the result.
    #[arg(long, value_enum, default_value = "text")]
    output: Output,
}

/// Result of the check of one file.
#[derive(Debug, Serialize)]
struct FileCheck {
    file: PathBuf,
    valid: bool,
    generation: Option<Generation>,
    findings: Findings,
}

/// Results for all files.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct FileChecks(Vec<FileCheck>);

/// Checks files. Returns `false` if any of them is not valid.
pub(crate) fn run(args: &CheckArgs) -> Result<bool> {
    let checks = args.files.iter().map(|path| FileCheck::new(path));
    let checks = FileChecks(checks.collect::<Result<_>>()?);
    args.output.write(&checks)?;
    Ok(checks.0.iter().all(|check| check.valid))
}

impl FileCheck {
    fn new(path: &Path) -> Result<Self> {
        let check = Check::new(&settings::read_bytes(path)?);
        Ok(Self {
            file: path.to_owned(),
            valid: check.file().is_some(),
            generation: check.generation(),
            findings: check.findings().clone(),
        })
    }
}

impl fmt::Display for FileChecks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|check| check.fmt(f))
    }
}

impl fmt::Display for FileCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        match self.generation {
            Some(generation) if self.valid => {
                writeln!(f, "{file}: valid, generation {generation}")?
            }
            _ if self.valid => writeln!(f, "{file}: valid")?,
            _ => {}
        }
        for finding in &self.findings {
            writeln!(f, "{file}:{finding}")?;
        }
        Ok(())
    }
}
