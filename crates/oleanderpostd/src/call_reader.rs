//! [`CallReader`].

use std::{sync::Arc, time::Duration};

use oleanderpost::{
    config::{ClientAccount, Service, ServiceKind, Snapshot},
    types::{Problem, RequestId, ServiceName, Tokens},
};
use salvo::{Request, http::ParseError};
use tokio::time::Instant;

use crate::{Call, CallHeaders, Node, ProblemKind};

/// Timeout for reading the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Reads a request of a caller and checks it against the configuration in force at its arrival.
pub(crate) struct CallReader {
    node: Arc<Node>,
    snapshot: Arc<Snapshot>,
    headers: CallHeaders,
    account: ClientAccount,
    arrived: Instant,
}

impl CallReader {
    /// Parses the headers and finds the account. Does not read the body.
    ///
    /// # Errors
    ///
    /// A refusal when a header is not valid or the token is unknown.
    pub(crate) fn new(node: Arc<Node>, req: &Request) -> Result<Self, Problem> {
        let arrived = Instant::now();
        let snapshot = node.snapshot()?;
        let headers = CallHeaders::read(req.headers())?;
        let found = snapshot.account_with_token(&headers.token_hash).cloned();
        let unknown = || ProblemKind::Unauthorized.refusal("the bearer token is not known");
        Ok(Self {
            account: found.ok_or_else(unknown)?,
            node,
            snapshot,
            headers,
            arrived,
        })
    }

    /// Reads the body, up to the configured size and within [`BODY_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// A refusal when the body is too large, was not received in time or is incomplete.
    pub(crate) async fn read_body<'r>(&self, req: &'r mut Request) -> Result<&'r [u8], Problem> {
        let limit = usize::try_from(self.node.settings.body_limit.get()).unwrap_or(usize::MAX);
        let read = tokio::time::timeout(BODY_TIMEOUT, req.payload_with_max_size(limit)).await;
        match read {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(ParseError::PayloadTooLarge)) => {
                let detail = format!("the body is longer than {limit} bytes");
                Err(ProblemKind::TooLarge.refusal(detail))
            }
            Ok(Err(e)) => Err(ProblemKind::BadRequest.refusal(format!("body: {e}"))),
            Err(_) => Err(ProblemKind::BadRequest.refusal("body: not received in time")),
        }
    }

    /// Finds the service and checks that the account may call it.
    ///
    /// # Errors
    ///
    /// A refusal when no service of this kind has the name, or the account may not call it.
    pub(crate) fn find_service(&self, name: &str, kind: ServiceKind) -> Result<Service, Problem> {
        let parsed = ServiceName::new(name).ok();
        let found = parsed.and_then(|name| self.snapshot.service(&name));
        let Some(service) = found.filter(|service| service.kind == kind) else {
            let detail = format!("no service {name:?} of this kind");
            return Err(ProblemKind::UnknownService.refusal(detail));
        };
        if !self.account.services.contains(&service.name) {
            let detail = format!("account {} may not call {name}", self.account.name);
            return Err(ProblemKind::Forbidden.refusal(detail));
        }
        Ok(service.clone())
    }

    /// Creates the call from the headers and the given values.
    ///
    /// `repeatable` is the service's setting; the caller's header overrides it.
    pub(crate) fn into_call(
        self,
        service: Service,
        repeatable: bool,
        prompt: Tokens,
        max_tokens: Tokens,
    ) -> Call {
        let service_limit = Duration::from(service.time_limit_ms);
        Call {
            id: RequestId::new(),
            key: self.headers.key.unwrap_or_default(),
            key_from_caller: self.headers.key.is_some(),
            account: self.account,
            repeatable: self.headers.repeatable.unwrap_or(repeatable),
            arrived: self.arrived,
            time_limit: self
                .headers
                .time_limit
                .map_or(service_limit, |limit| limit.min(service_limit)),
            service,
            prompt,
            max_tokens,
        }
    }
}
