//! Routes of the listeners for callers and operators.

use std::sync::Arc;

use salvo::Router;

use crate::{
    AdminHandler, AdminPage, CompletionsHandler, Node, PlainCallsHandler,
    plain_calls_handler::{REST_PARAM, SERVICE_PARAM},
};

/// Routes of the listener for callers.
pub(crate) fn callers(node: &Arc<Node>) -> Router {
    let plain = format!("v1/services/{{{SERVICE_PARAM}}}/{{**{REST_PARAM}}}");
    Router::new()
        .push(Router::with_path("v1/completions").post(CompletionsHandler::new(node.clone())))
        .push(Router::with_path(plain).goal(PlainCallsHandler::new(node.clone())))
        .push(Router::with_path("healthz").get(AdminHandler::new(node.clone(), AdminPage::Health)))
        .push(Router::with_path("readyz").get(AdminHandler::new(node.clone(), AdminPage::Ready)))
}

/// Routes of the listener for operators.
pub(crate) fn admin(node: &Arc<Node>) -> Router {
    let page =
        |path: &str, page| Router::with_path(path).get(AdminHandler::new(node.clone(), page));
    Router::new()
        .push(page("healthz", AdminPage::Health))
        .push(page("readyz", AdminPage::Ready))
        .push(page("metrics", AdminPage::Metrics))
        .push(page("status", AdminPage::Status))
        .push(page("dump", AdminPage::Dump))
}
