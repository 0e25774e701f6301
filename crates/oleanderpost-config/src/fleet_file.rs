//! [`FleetFile`].

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};

use oleanderpost_types::Generation;

use crate::{ClientAccount, Error, Result, Rollout, Service, check::Check};

/// One declarative file of the operators. It is applied as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Form of the file; a program refuses a greater one than it knows.
    #[serde(default = "default_format")]
    pub format: u64,
    /// Generation of the content; the greater one is in force.
    pub generation: Generation,
    /// Whether the file is deleted: it defines nothing, and older generations stay out of force.
    #[serde(default)]
    pub deleted: bool,
    /// Services.
    #[serde(default)]
    pub services: Vec<Arc<Service>>,
    /// Client accounts.
    #[serde(default)]
    pub accounts: Vec<Arc<ClientAccount>>,
    /// Changes of model versions under way.
    #[serde(default)]
    pub rollouts: Vec<Rollout>,
}

const fn default_format() -> u64 {
    1
}

impl FleetFile {
    /// Parses and checks a file. The verdict depends on nothing but the bytes and this program version.
    ///
    /// # Errors
    ///
    /// [`Error::Findings`] with everything that is wrong.
    pub fn from_yaml(bytes: &[u8]) -> Result<Self> {
        Check::new(bytes).into_file().map_err(Error::Findings)
    }

    /// Takes over the parts that are equal in an older content, so that both share their memory.
    pub(crate) fn share_with(&mut self, older: &Self) {
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
