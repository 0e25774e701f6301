//! Functions that read settings and fleet files.

use std::path::Path;

use serde::de::DeserializeOwned;

use oleanderpost::types::FileName;

use crate::{Error, Result};

/// Reads a file as text.
pub(crate) fn read_text(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::ReadFile {
        path: path.to_owned(),
        source,
    })
}

/// Reads a file as bytes.
pub(crate) fn read_bytes(path: &Path) -> Result<Vec<u8>> {
    std::fs::read(path).map_err(|source| Error::ReadFile {
        path: path.to_owned(),
        source,
    })
}

/// Name of a fleet file: the file name of `path` without extension.
pub(crate) fn file_name(path: &Path) -> Result<FileName> {
    let stem = path.file_stem().and_then(|stem| stem.to_str());
    let name = stem.unwrap_or_default().parse();
    name.map_err(|error| Error::Settings {
        path: path.to_owned(),
        detail: format!("{error}"),
    })
}

/// Reads a YAML settings file, or returns the defaults if no path is given.
pub(crate) fn read<T: DeserializeOwned + Default>(path: Option<&Path>) -> Result<T> {
    path.map_or_else(|| Ok(T::default()), read_yaml)
}

/// Reads a YAML file.
pub(crate) fn read_yaml<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = read_text(path)?;
    serde_saphyr::from_str(&text).map_err(|error| Error::Settings {
        path: path.to_owned(),
        detail: error.to_string(),
    })
}
