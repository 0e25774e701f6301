//! [`PlainServer`].

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use tokio::time::sleep;

use oleanderpost_types::header;

use crate::{
    FaultInjector, PlainEvidence, PlainFaults, PlainRun, Result,
    reply::{self, Reply},
    server::Server,
};

/// A plain service that echoes each call as JSON and records the runs.
#[derive(Debug)]
pub struct PlainServer {
    service: Arc<Service>,
    server: Server,
    control: Server,
}

impl PlainServer {
    /// Starts a service with a listener for callers on `listen` and one for tests on `control`.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`](crate::Error::Listen).
    pub async fn new(listen: SocketAddr, control: SocketAddr) -> Result<Self> {
        let service = Arc::new(Service::default());
        let route = |endpoint| Route {
            service: service.clone(),
            endpoint,
        };
        let control_router = || {
            let faults = Router::with_path("v1/faults")
                .get(route(Endpoint::Faults))
                .put(route(Endpoint::SetFaults));
            let evidence = Router::with_path("v1/evidence").get(route(Endpoint::Evidence));
            Router::new().push(faults).push(evidence)
        };
        let echo = Router::with_path("{**path}").goal(route(Endpoint::Echo));
        let router = control_router().push(echo);
        let server = Server::new(listen, router, service.injector.clone()).await?;
        let control = Server::new(control, control_router(), FaultInjector::new()).await?;
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

    /// Returns the calls that ran.
    #[must_use]
    pub fn evidence(&self) -> PlainEvidence {
        self.service.inner().evidence.clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlainFaults) {
        self.service.set_faults(faults);
    }

    /// Closes all connections and stops listening.
    pub async fn close(self) {
        self.server.close().await;
        self.control.close().await;
    }
}

#[derive(Debug, Default)]
struct Service {
    inner: Mutex<Inner>,
    injector: FaultInjector,
}

#[derive(Debug, Default)]
struct Inner {
    faults: PlainFaults,
    evidence: PlainEvidence,
}

#[derive(Clone, Copy)]
enum Endpoint {
    Echo,
    Evidence,
    Faults,
    SetFaults,
}

struct Route {
    service: Arc<Service>,
    endpoint: Endpoint,
}

#[async_trait]
impl Handler for Route {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match self.service.call(self.endpoint, req).await {
            Some(reply) => reply::render(reply, res),
            None => std::future::pending().await,
        }
    }
}

impl Service {
    /// Handles a call. Returns `None` if the answer is to be lost.
    async fn call(&self, endpoint: Endpoint, req: &mut Request) -> Option<Result<Reply>> {
        match endpoint {
            Endpoint::Echo => self.echo(req).await,
            Endpoint::Evidence => Some(Ok(Reply::json(&self.inner().evidence))),
            Endpoint::Faults => Some(Ok(Reply::json(&self.inner().faults))),
            Endpoint::SetFaults => {
                let faults = reply::json_body(req)
                    .await
                    .map(|faults| self.set_faults(faults));
                Some(faults.map(|()| Reply::Empty))
            }
        }
    }

    async fn echo(&self, req: &mut Request) -> Option<Result<Reply>> {
        let body = match reply::raw_body(req).await {
            Ok(body) => body,
            Err(error) => return Some(Err(error)),
        };
        let key = req.headers().get(header::REQUEST_KEY);
        let run = PlainRun {
            key: key.and_then(|key| key.to_str().ok()).map(str::to_owned),
            method: req.method().to_string(),
            path: req
                .uri()
                .path_and_query()
                .map(ToString::to_string)
                .unwrap_or_default(),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let reply = Reply::json(&run);
        let slow = self.inner().faults.slow_ms;
        self.inner().evidence.runs.push(run);
        sleep(slow.into()).await;
        if self.take_lost_answer() {
            self.injector.reset_connections();
            return None;
        }
        Some(Ok(reply))
    }

    fn take_lost_answer(&self) -> bool {
        let mut inner = self.inner();
        let lost = inner.faults.lose_answers > 0;
        inner.faults.lose_answers = inner.faults.lose_answers.saturating_sub(1);
        lost
    }

    fn set_faults(&self, faults: PlainFaults) {
        self.inner().faults = faults;
        self.injector.set_refusing(faults.down);
        if faults.silence_open {
            self.injector.silence_connections();
        }
        if faults.down {
            self.injector.reset_connections();
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
