//! [`Server`].

use std::net::SocketAddr;

use salvo::{Router, server::ServerHandle};
use tokio::{net::TcpListener, task::JoinHandle};

use crate::{
    Error, Result, fault_injecting_acceptor::FaultInjectingAcceptor, fault_injector::FaultInjector,
};

/// An HTTP server of a stand-in.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address`; port 0 selects a free port.
    pub(crate) async fn new(
        address: SocketAddr,
        router: Router,
        injector: FaultInjector,
    ) -> Result<Self> {
        let failed = |source| Error::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let acceptor = FaultInjectingAcceptor::new(listener, injector).map_err(failed)?;
        let address = acceptor.address();
        let server = salvo::Server::new(acceptor).disable_fuse();
        let handle = server.handle();
        let task = tokio::spawn(server.serve(router));
        Ok(Self {
            address,
            handle,
            task,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and stops listening.
    pub(crate) async fn close(self) {
        self.handle.stop_forceful();
        let _ = self.task.await;
    }
}
