//! [`Builder`].

use std::sync::Arc;

use oleanderpost_types::{DataCentre, VmId};

use crate::{
    Admission, Directory, EngineProbe, Error, PeerClient, Result, Settings,
    shared::{Dependencies, Shared},
};

/// Puts an [`Admission`] together.
#[derive(Default)]
pub struct Builder {
    directory: Option<Arc<dyn Directory>>,
    client: Option<Arc<dyn PeerClient>>,
    probe: Option<Arc<dyn EngineProbe>>,
    settings: Settings,
    seed: u64,
}

impl Builder {
    /// Source of services, upstreams and nodes.
    #[must_use]
    pub fn with_directory(mut self, directory: Arc<dyn Directory>) -> Self {
        self.directory = Some(directory);
        self
    }

    /// Link to the other nodes.
    #[must_use]
    pub fn with_client(mut self, client: Arc<dyn PeerClient>) -> Self {
        self.client = Some(client);
        self
    }

    /// Link to the engines.
    #[must_use]
    pub fn with_probe(mut self, probe: Arc<dyn EngineProbe>) -> Self {
        self.probe = Some(probe);
        self
    }

    /// Times and bounds.
    #[must_use]
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Seed of the random choices.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Builds the admission of the node on `vm`.
    ///
    /// # Errors
    ///
    /// [`Error::Missing`] when directory, client or probe is not given.
    pub fn build(self, vm: VmId, data_centre: DataCentre) -> Result<Admission> {
        let directory = self.directory.ok_or(Error::Missing("directory"))?;
        let client = self.client.ok_or(Error::Missing("client"))?;
        let probe = self.probe.ok_or(Error::Missing("probe"))?;
        let parts = Dependencies {
            directory,
            client,
            probe,
        };
        let shared = Shared::new(vm, data_centre, parts, self.settings, self.seed);
        Ok(Admission::new(shared))
    }
}
