//! [`FaultInjectingAcceptor`].

use std::{io::Result, net::SocketAddr};

use salvo::{
    conn::{Accepted, Acceptor, ConnCtrl, Holding, StraightStream, tcp::TcpCoupler},
    fuse::ArcFusePolicy,
    http::{Version, uri::Scheme},
};
use tokio::net::{TcpListener, TcpStream};

use crate::{fault_injecting_stream::FaultInjectingStream, fault_injector::FaultInjector};

/// Accepts connections, each behind a gate.
///
/// Small writes go out at once: a token must not wait for the acknowledgement of the one before.
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

    /// The next connection on which Nagle's algorithm is off; a connection that is gone already is skipped.
    async fn accept_nodelay(&self) -> Result<(TcpStream, SocketAddr)> {
        loop {
            let (conn, remote) = self.listener.accept().await?;
            if conn.set_nodelay(true).is_ok() {
                return Ok((conn, remote));
            }
        }
    }

    /// Address of the listener.
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
