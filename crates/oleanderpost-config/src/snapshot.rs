//! [`Snapshot`].

use std::{collections::BTreeMap, sync::Arc};

use oleanderpost_types::{AccountName, ServiceName};

use crate::{ClientAccount, FleetFile, Rollout, Service, TokenHash};

/// The configuration in force, merged from all accepted files. A snapshot is immutable; changes create a
/// new one.
///
/// Unchanged objects are shared between snapshots, because each request holds the snapshot that was in
/// force when it was admitted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    services: BTreeMap<ServiceName, Arc<Service>>,
    accounts: BTreeMap<AccountName, Arc<ClientAccount>>,
    rollouts: Vec<Rollout>,
}

impl Snapshot {
    /// Merges files. If two files define the same name, the first definition wins.
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

    /// Service with the given name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name).map(AsRef::as_ref)
    }

    /// All services, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values().map(AsRef::as_ref)
    }

    /// Client account with the given name.
    #[must_use]
    pub fn account(&self, name: &AccountName) -> Option<&ClientAccount> {
        self.accounts.get(name).map(AsRef::as_ref)
    }

    /// All client accounts, ordered by name.
    pub fn accounts(&self) -> impl Iterator<Item = &ClientAccount> {
        self.accounts.values().map(AsRef::as_ref)
    }

    /// Rollouts in progress.
    #[must_use]
    pub fn rollouts(&self) -> &[Rollout] {
        &self.rollouts
    }

    /// Client account whose token has this hash. Compares the hash with those of all accounts, each in
    /// constant time.
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
