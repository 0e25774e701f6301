//! [`Snapshot`].

use std::{collections::BTreeMap, sync::Arc};

use oleanderpost_types::{AccountName, ServiceName};

use crate::{ClientAccount, FleetFile, Rollout, Service, TokenHash};

/// The configuration in force: all accepted files together. It never changes; a newer one replaces it.
///
/// Parts that do not change are shared between snapshots, since requests hold the one they were
/// admitted under.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    services: BTreeMap<ServiceName, Arc<Service>>,
    accounts: BTreeMap<AccountName, Arc<ClientAccount>>,
    rollouts: Vec<Rollout>,
}

impl Snapshot {
    /// Joins files; where two define the same name, the first one counts.
    #[must_use]
    pub fn from_files<'a>(files: impl IntoIterator<Item = &'a FleetFile>) -> Self {
        let mut snapshot = Self::default();
        for file in files {
            for service in &file.services {
                let slot = snapshot.services.entry(service.name.clone());
                slot.or_insert_with(|| service.clone());
            }
            for account in &file.accounts {
                let slot = snapshot.accounts.entry(account.name.clone());
                slot.or_insert_with(|| account.clone());
            }
            snapshot.rollouts.extend(file.rollouts.iter().cloned());
        }
        snapshot
    }

    /// Service of that name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name).map(AsRef::as_ref)
    }

    /// All services in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values().map(AsRef::as_ref)
    }

    /// Account of that name.
    #[must_use]
    pub fn account(&self, name: &AccountName) -> Option<&ClientAccount> {
        self.accounts.get(name).map(AsRef::as_ref)
    }

    /// All client accounts in the order of their names.
    pub fn accounts(&self) -> impl Iterator<Item = &ClientAccount> {
        self.accounts.values().map(AsRef::as_ref)
    }

    /// Rollouts under way.
    #[must_use]
    pub fn rollouts(&self) -> &[Rollout] {
        &self.rollouts
    }

    /// Account whose token has this hash; every account is compared, each in constant time.
    #[must_use]
    pub fn account_with_token(&self, hash: &TokenHash) -> Option<&ClientAccount> {
        let mut found = None;
        for account in self.accounts() {
            if account.token_sha256.matches(hash) {
                found = Some(account);
            }
        }
        found
    }
}
