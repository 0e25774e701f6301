//! [`PlatformServer`].

use std::{net::SocketAddr, sync::Arc};

use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use oleanderpost_types::Vm;

use crate::{
    FaultInjector, Platform, PlatformSettings, Result,
    reply::{self, Reply, bad_request},
    server::Server,
};

/// HTTP server of the platform.
#[derive(Debug)]
pub struct PlatformServer {
    platform: Arc<Platform>,
    server: Server,
}

impl PlatformServer {
    /// Starts a platform that serves HTTP on `listen`.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`](crate::Error::Listen).
    pub async fn new(settings: PlatformSettings, listen: SocketAddr) -> Result<Self> {
        let platform = Arc::new(Platform::new(settings));
        let server = Server::new(listen, router(&platform), FaultInjector::new()).await?;
        Ok(Self { platform, server })
    }

    /// Returns the address of the listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the platform.
    #[must_use]
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Closes all connections and stops listening.
    pub async fn close(self) {
        self.server.close().await;
    }
}

#[derive(Clone, Copy)]
enum Endpoint {
    Config,
    PutFile,
    DeleteFile,
    Vms,
    PutVm,
    RemoveVm,
    Weights,
    Calls,
    Faults,
    SetFaults,
}

struct Route {
    platform: Arc<Platform>,
    endpoint: Endpoint,
}

#[async_trait]
impl Handler for Route {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        reply::render(self.call(req).await, res);
    }
}

impl Route {
    async fn call(&self, req: &mut Request) -> Result<Reply> {
        let platform = &self.platform;
        match self.endpoint {
            Endpoint::Config => {
                let (after, wait) = reply::long_poll(req)?;
                Ok(Reply::json(&platform.config(after, wait).await?))
            }
            Endpoint::PutFile => self.put_file(req).await,
            Endpoint::DeleteFile => {
                let name = reply::path_param(req, "name")?;
                Ok(Reply::json(&platform.delete_file(name)))
            }
            Endpoint::Vms => {
                let (after, wait) = reply::long_poll(req)?;
                Ok(Reply::json(&platform.vms(after, wait).await?))
            }
            Endpoint::PutVm => self.put_vm(req).await,
            Endpoint::RemoveVm => {
                let id = reply::path_param(req, "id")?;
                Ok(Reply::json(&platform.remove_vm(&id)))
            }
            Endpoint::Weights => {
                let model = reply::path_param(req, "model")?;
                let version = reply::path_param(req, "version")?;
                Ok(Reply::Bytes(platform.weights(&model, version).await?))
            }
            Endpoint::Calls => Ok(Reply::json(&platform.calls())),
            Endpoint::Faults => Ok(Reply::json(&platform.faults())),
            Endpoint::SetFaults => {
                platform.set_faults(reply::json_body(req).await?);
                Ok(Reply::Empty)
            }
        }
    }

    async fn put_file(&self, req: &mut Request) -> Result<Reply> {
        let name = reply::path_param(req, "name")?;
        let content = reply::raw_body(req).await?;
        let content = String::from_utf8(content.into());
        let content = content.map_err(|error| bad_request(&format!("body: {error}")))?;
        Ok(Reply::json(&self.platform.put_file(name, content)?))
    }

    async fn put_vm(&self, req: &mut Request) -> Result<Reply> {
        let vm: Vm = reply::json_body(req).await?;
        if vm.id != reply::path_param(req, "id")? {
            return Err(bad_request("the id in the path is not that in the body"));
        }
        Ok(Reply::json(&self.platform.put_vm(vm)))
    }
}

fn router(platform: &Arc<Platform>) -> Router {
    let route = |endpoint| Route {
        platform: platform.clone(),
        endpoint,
    };
    let file = Router::with_path("v1/config/{name}")
        .put(route(Endpoint::PutFile))
        .delete(route(Endpoint::DeleteFile));
    let vm = Router::with_path("v1/vms/{id}")
        .put(route(Endpoint::PutVm))
        .delete(route(Endpoint::RemoveVm));
    let faults = Router::with_path("v1/faults")
        .get(route(Endpoint::Faults))
        .put(route(Endpoint::SetFaults));
    let weights = Router::with_path("v1/weights/{model}/{version}").get(route(Endpoint::Weights));
    Router::new()
        .push(file)
        .push(vm)
        .push(faults)
        .push(weights)
        .push(Router::with_path("v1/config").get(route(Endpoint::Config)))
        .push(Router::with_path("v1/vms").get(route(Endpoint::Vms)))
        .push(Router::with_path("v1/calls").get(route(Endpoint::Calls)))
}
