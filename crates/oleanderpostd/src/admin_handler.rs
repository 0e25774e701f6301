//! [`AdminHandler`] and [`AdminPage`].

use std::sync::Arc;

use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{HeaderValue, StatusCode, header},
    writing::Json,
};

use crate::{Dump, Node, Status};

const OPEN_METRICS_CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// Page for operators and the load balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdminPage {
    /// Liveness: answers while the process runs.
    Health,
    /// Readiness: whether the node is ready for requests.
    Ready,
    /// Metrics in the OpenMetrics format.
    Metrics,
    /// Status of the configuration on this node and in the fleet.
    Status,
    /// State of all components.
    Dump,
}

/// HTTP handler of one page.
pub(crate) struct AdminHandler {
    node: Arc<Node>,
    page: AdminPage,
}

impl AdminHandler {
    pub(crate) fn new(node: Arc<Node>, page: AdminPage) -> Self {
        Self { node, page }
    }
}

#[async_trait]
impl Handler for AdminHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.page {
            AdminPage::Health => res.render("ok\n"),
            AdminPage::Ready if self.node.is_ready() => res.render("ready\n"),
            AdminPage::Ready => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                res.render("not ready\n");
            }
            AdminPage::Metrics => {
                res.headers_mut()
                    .insert(header::CONTENT_TYPE, OPEN_METRICS_CONTENT_TYPE);
                res.body(self.node.metrics_text());
            }
            AdminPage::Status => {
                let status = Status::read(&self.node, req.query("file")).await;
                res.render(Json(status));
            }
            AdminPage::Dump => res.render(Json(Dump::new(&self.node))),
        }
    }
}
