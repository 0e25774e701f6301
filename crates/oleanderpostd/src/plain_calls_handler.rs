//! [`PlainCallsHandler`].

use std::sync::Arc;

use bytes::Bytes;
use oleanderpost::{
    config::{Service, ServiceKind},
    types::{Problem, Tokens},
};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use crate::{CallReader, Node, PlainRequest, PlainTask, ProblemKind, forwarded_headers, response};

/// Path parameter with the name of the service.
pub(crate) const SERVICE_PARAM: &str = "service";
/// Path parameter with the path within the service.
pub(crate) const REST_PARAM: &str = "rest";

/// HTTP handler of `/v1/services/{service}/...`, for plain services.
pub(crate) struct PlainCallsHandler {
    node: Arc<Node>,
}

impl PlainCallsHandler {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    async fn serve(&self, req: &mut Request, res: &mut Response) -> Result<(), Problem> {
        let reader = CallReader::new(self.node.clone(), req)?;
        let name: String = req.param(SERVICE_PARAM).unwrap_or_default();
        let service = reader.find_service(&name, ServiceKind::Plain)?;
        let body = Bytes::copy_from_slice(reader.read_body(req).await?);
        let plain = PlainRequest {
            method: req.method().clone(),
            path: path_and_query(req),
            headers: forwarded_headers::to_upstream(req.headers()),
            body,
        };
        let repeatable = is_repeatable(&service, &plain);
        let call = reader.into_call(service, repeatable, Tokens::default(), Tokens::default());
        let task = PlainTask::new(self.node.clone(), call, plain);
        // A separate task also runs to its end when the caller disconnects, so that the exchange is completed,
        // its permit is closed, and its claim is released if the request did not run.
        let joined = self.node.tasks.spawn(task.run()).await;
        let task_failed = || {
            let outcome = oleanderpost::types::Outcome::Unknown;
            ProblemKind::UpstreamFailed.problem(outcome, "the call broke off")
        };
        let response = joined.map_err(|_| task_failed())??;
        res.status_code(response.status);
        res.headers_mut().extend(response.headers);
        res.body(response.body);
        Ok(())
    }
}

#[async_trait]
impl Handler for PlainCallsHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if let Err(problem) = self.serve(req, res).await {
            self.node.metrics.count_refusal(&problem.kind);
            response::render_problem(res, &problem);
        }
    }
}

fn path_and_query(req: &Request) -> String {
    let rest: String = req.param(REST_PARAM).unwrap_or_default();
    match req.uri().query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    }
}

/// Whether the request may run more than once: the first matching rule of the service decides, otherwise the
/// service's own setting.
fn is_repeatable(service: &Service, req: &PlainRequest) -> bool {
    let matches = |rule: &&oleanderpost::config::CallRule| {
        rule.method == req.method.as_str() && req.path.starts_with(&rule.path)
    };
    let rule = service.calls.iter().find(matches);
    rule.map_or(service.repeatable, |rule| rule.repeatable)
}
