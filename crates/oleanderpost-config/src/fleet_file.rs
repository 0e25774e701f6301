//! [`FleetFile`].

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};

use oleanderpost_types::Generation;

use crate::{ClientAccount, Error, Result, Rollout, Service, check::Check};

/// A declarative configuration file of the operators. It is applied completely or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Format version of the file; the program refuses newer formats than it supports.
    #[serde(default = "default_format")]
    pub format: u64,
    /// Generation of the content; the highest generation is in force.
    pub generation: Generation,
    /// Whether the file is deleted: it defines nothing, and keeps older generations out of force.
    #[serde(default)]
    pub deleted: bool,
    /// Services.
    #[serde(default)]
    pub services: Vec<Arc<Service>>,
    /// Client accounts.
    #[serde(default)]
    pub accounts: Vec<Arc<ClientAccount>>,
    /// Rollouts of model versions in progress.
    #[serde(default)]
    pub rollouts: Vec<Rollout>,
}

const fn default_format() -> u64 {
    1
}

impl FleetFile {
    /// Parses and checks a file. The result depends only on the bytes and on the version of the program.
    ///
    /// # Errors
    ///
    /// [`Error::Findings`] with all errors in the file.
    pub fn from_yaml(bytes: &[u8]) -> Result<Self> {
        Check::new(bytes).into_file().map_err(Error::Findings)
    }

    /// Reuses the services and accounts that are equal in an older version of the file, so that both versions
    /// share their memory.
    pub(crate) fn share_unchanged_with(&mut self, older: &Self) {
        let old: HashMap<_, _> = older.services.iter().map(|s| (&s.name, s)).collect();
        for service in &mut self.services {
            if let Some(old) = old.get(&service.name).filter(|old| **old == service) {
                *service = (*old).clone();
            }
        }
        let old: HashMap<_, _> = older.accounts.iter().map(|a| (&a.name, a)).collect();
        for account in &mut self.accounts {
            if let Some(old) = old.get(&account.name).filter(|old| **old == account) {
                *account = (*old).clone();
            }
        }
    }
}
