//! [`EngineServer`].

use std::{net::SocketAddr, sync::Arc};

use crate::{
    Engine, EngineFaults, EngineSettings, FaultInjector, Result, engine_service::EngineService,
    server::Server,
};

/// HTTP server of an engine.
///
/// The control listener serves faults and evidence even while the engine is dead or frozen.
#[derive(Debug)]
pub struct EngineServer {
    service: EngineService,
    server: Server,
    control: Server,
}

impl EngineServer {
    /// Starts an engine with a listener for callers on `listen` and one for tests on `control`.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`](crate::Error::Settings) and [`Error::Listen`](crate::Error::Listen).
    pub async fn new(
        settings: EngineSettings,
        listen: SocketAddr,
        control: SocketAddr,
    ) -> Result<Self> {
        settings.check()?;
        let service = EngineService {
            engine: Arc::new(Engine::new(settings)),
            injector: FaultInjector::new(),
        };
        let server = Server::new(listen, service.router(), service.injector.clone()).await?;
        let control = Server::new(control, service.control_router(), FaultInjector::new()).await?;
        Ok(Self {
            service,
            server,
            control,
        })
    }

    /// Returns the address of the listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address of the control listener.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns the engine.
    #[must_use]
    pub fn engine(&self) -> &Engine {
        &self.service.engine
    }

    /// Replaces the faults of the engine and of its connections.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.service.set_faults(faults);
    }

    /// Closes all connections and stops the engine.
    pub async fn close(self) {
        self.server.close().await;
        self.control.close().await;
        if let Some(engine) = Arc::into_inner(self.service.engine) {
            engine.close().await;
        }
    }
}
