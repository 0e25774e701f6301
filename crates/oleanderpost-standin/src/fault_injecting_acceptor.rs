//! [`FaultInjectingAcceptor`].

use std::{io::Result, net::SocketAddr};

use salvo::{
    conn::{Accepted, Acceptor, ConnCtrl, Holding, StraightStream, tcp::TcpCoupler},
    fuse::ArcFusePolicy,
    http::{Version, uri::Scheme},
};
use tokio::net::{TcpListener, TcpStream};

use crate::{fault_injecting_stream::FaultInjectingStream, fault_injector::FaultInjector};

/// Accepts connections and registers each with a [`FaultInjector`].
///
/// Nagle's algorithm is off, so that a token is sent without waiting for the acknowledgement of the previous
/// one.
pub(crate) struct FaultInjectingAcceptor {
    listener: TcpListener,
    address: SocketAddr,
    holdings: Vec<Holding>,
    injector: FaultInjector,
}

impl FaultInjectingAcceptor {
    pub(crate) fn new(listener: TcpListener, injector: FaultInjector) -> Result<Self> {
        let address = listener.local_addr()?;
        let holding = Holding {
            local_addr: address.into(),
            http_versions: vec![Version::HTTP_11],
            http_scheme: Scheme::HTTP,
        };
        Ok(Self {
            listener,
            address,
            holdings: vec![holding],
            injector,
        })
    }

    /// Accepts the next connection and turns off Nagle's algorithm on it.
    /// Connections that are already closed are skipped.
    async fn accept_nodelay(&self) -> Result<(TcpStream, SocketAddr)> {
        loop {
            let (conn, remote) = self.listener.accept().await?;
            if conn.set_nodelay(true).is_ok() {
                return Ok((conn, remote));
            }
        }
    }

    /// Returns the address of the listener.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Acceptor for FaultInjectingAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = FaultInjectingStream<StraightStream<TcpStream>>;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        _: Option<ArcFusePolicy>,
    ) -> Result<Accepted<Self::Coupler, Self::Stream>> {
        let (conn, remote) = self.accept_nodelay().await?;
        let conn_ctrl = ConnCtrl::new();
        let stream = StraightStream::new(conn, None, conn_ctrl.clone(), None);
        Ok(Accepted {
            coupler: TcpCoupler::new(),
            stream: FaultInjectingStream::new(stream, self.injector.add_connection()),
            fuse_config: None,
            conn_ctrl,
            local_addr: self.address.into(),
            remote_addr: remote.into(),
            http_scheme: Scheme::HTTP,
        })
    }
}
