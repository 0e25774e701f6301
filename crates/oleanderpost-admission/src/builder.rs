//! [`Builder`].

use std::sync::Arc;

use oleanderpost_types::{DataCentre, VmId};

use crate::{
    Admission, Directory, EngineProbe, Error, PeerClient, Result, Settings,
    shared::{Dependencies, Shared},
};

/// Builds an [`Admission`].
#[derive(Default)]
pub struct Builder {
    directory: Option<Arc<dyn Directory>>,
    client: Option<Arc<dyn PeerClient>>,
    probe: Option<Arc<dyn EngineProbe>>,
    settings: Settings,
    seed: u64,
}

impl Builder {
    /// Sets the source of services, upstreams and nodes.
    #[must_use]
    pub fn with_directory(mut self, directory: Arc<dyn Directory>) -> Self {
        self.directory = Some(directory);
        self
    }

    /// Sets the client for calls to other nodes.
    #[must_use]
    pub fn with_client(mut self, client: Arc<dyn PeerClient>) -> Self {
        self.client = Some(client);
        self
    }

    /// Sets the client for calls to engines.
    #[must_use]
    pub fn with_probe(mut self, probe: Arc<dyn EngineProbe>) -> Self {
        self.probe = Some(probe);
        self
    }

    /// Sets the periods, timeouts and limits.
    #[must_use]
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Sets the seed of the random number generator.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Builds the admission instance of the node on `vm`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] if the directory, the client or the probe was not set.
    pub fn build(self, vm: VmId, data_centre: DataCentre) -> Result<Admission> {
        let directory = self.directory.ok_or(Error::Missing("directory"))?;
        let client = self.client.ok_or(Error::Missing("client"))?;
        let probe = self.probe.ok_or(Error::Missing("probe"))?;
        let dependencies = Dependencies {
            directory,
            client,
            probe,
        };
        let shared = Shared::new(vm, data_centre, dependencies, self.settings, self.seed);
        Ok(Admission::new(shared))
    }
}
