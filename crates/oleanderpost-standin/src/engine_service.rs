//! [`EngineService`].

use std::sync::Arc;

use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, http::header::AUTHORIZATION,
};

use oleanderpost_types::{
    CompletionReply, CompletionRequest, Millis, Outcome, RequestKey, StreamEvent, header,
};

use crate::{
    Engine, EngineFaults, Error, EventStream, FaultInjector, Result, Submission,
    reply::{self, Reply},
};

/// HTTP routes of an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineService {
    pub(crate) engine: Arc<Engine>,
    pub(crate) injector: FaultInjector,
}

#[derive(Clone, Copy)]
enum Endpoint {
    Submit,
    Status,
    Resume,
    Cancel,
    Holdings,
    Load,
    Reserve,
    Release,
    Order,
    State,
    Export,
    ReleaseExport,
    Import,
    CacheEvents,
    Evidence,
    Faults,
    SetFaults,
}

#[derive(Clone)]
struct Route {
    service: EngineService,
    endpoint: Endpoint,
}

#[async_trait]
impl Handler for Route {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        reply::render(self.service.call(self.endpoint, req).await, res);
    }
}

impl EngineService {
    fn route(&self, endpoint: Endpoint) -> Route {
        let service = self.clone();
        Route { service, endpoint }
    }

    /// All routes, for nodes and tests.
    pub(crate) fn router(&self) -> Router {
        let stream = Router::with_path("v1/streams/{key}")
            .get(self.route(Endpoint::Status))
            .delete(self.route(Endpoint::Cancel));
        let reservation =
            Router::with_path("v1/reservations/{key}").delete(self.route(Endpoint::Release));
        let export =
            Router::with_path("v1/kv/export/{key}").delete(self.route(Endpoint::ReleaseExport));
        let resume = Router::with_path("v1/streams/{key}/events").get(self.route(Endpoint::Resume));
        self.control_router()
            .push(stream)
            .push(resume)
            .push(reservation)
            .push(export)
            .push(self.post("v1/completions", Endpoint::Submit))
            .push(self.post("v1/reservations", Endpoint::Reserve))
            .push(self.post("v1/orders", Endpoint::Order))
            .push(self.post("v1/kv/export", Endpoint::Export))
            .push(self.post("v1/kv/import", Endpoint::Import))
            .push(self.get("v1/holdings", Endpoint::Holdings))
            .push(self.get("v1/load", Endpoint::Load))
            .push(self.get("v1/state", Endpoint::State))
            .push(self.get("v1/cache/events", Endpoint::CacheEvents))
    }

    /// Routes that stay available to tests while the engine is dead or frozen.
    pub(crate) fn control_router(&self) -> Router {
        let faults = Router::with_path("v1/faults")
            .get(self.route(Endpoint::Faults))
            .put(self.route(Endpoint::SetFaults));
        let evidence = self.get("v1/evidence", Endpoint::Evidence);
        Router::new().push(faults).push(evidence)
    }

    fn get(&self, path: &str, endpoint: Endpoint) -> Router {
        Router::with_path(path).get(self.route(endpoint))
    }

    fn post(&self, path: &str, endpoint: Endpoint) -> Router {
        Router::with_path(path).post(self.route(endpoint))
    }

    async fn call(&self, endpoint: Endpoint, req: &mut Request) -> Result<Reply> {
        match endpoint {
            Endpoint::Evidence => return Ok(Reply::json(&self.engine.evidence())),
            Endpoint::Faults => return Ok(Reply::json(&self.engine.faults())),
            Endpoint::SetFaults => {
                self.set_faults(reply::json_body(req).await?);
                return Ok(Reply::Empty);
            }
            _ => self.engine.wait_while_frozen().await,
        }
        let engine = &self.engine;
        match endpoint {
            Endpoint::Submit => self.submit(req).await,
            Endpoint::Status => Ok(Reply::json(&engine.status(reply::path_param(req, "key")?))),
            Endpoint::Resume => self.resume(req),
            Endpoint::Cancel => self.cancel(req),
            Endpoint::Holdings => Ok(Reply::json(&engine.holdings())),
            Endpoint::Load => Ok(Reply::json(&engine.load())),
            Endpoint::Reserve => {
                let reservation = reply::json_body(req).await?;
                engine.reserve(&reservation)?;
                Ok(Reply::Empty)
            }
            Endpoint::Release => release_reply(engine.release(reply::path_param(req, "key")?)),
            Endpoint::Order => self.order(req).await,
            Endpoint::State => Ok(Reply::json(&engine.state())),
            Endpoint::Export => Ok(Reply::json(&engine.export(&reply::json_body(req).await?)?)),
            Endpoint::ReleaseExport => {
                release_reply(engine.release_export(reply::path_param(req, "key")?))
            }
            Endpoint::Import => Ok(Reply::json(&engine.import(&reply::json_body(req).await?))),
            Endpoint::CacheEvents => {
                let after = reply::query_param(req, "after")?.unwrap_or_default();
                Ok(Reply::json(&engine.cache_events(after)))
            }
            Endpoint::Evidence | Endpoint::Faults | Endpoint::SetFaults => Ok(Reply::Empty),
        }
    }

    async fn submit(&self, req: &mut Request) -> Result<Reply> {
        let request: CompletionRequest = reply::json_body(req).await?;
        let key = reply::header_value(req, header::REQUEST_KEY)?.unwrap_or_else(RequestKey::new);
        let block = self.engine.settings().block;
        let submission = Submission::with_request(key, &request, block);
        let events = self.engine.submit(with_headers(submission, req)?)?;
        if request.stream {
            return Ok(Reply::Events(events));
        }
        collect_reply(events).await
    }

    fn resume(&self, req: &Request) -> Result<Reply> {
        let key = reply::path_param(req, "key")?;
        let attempt = reply::query_param(req, "attempt")?;
        let offset = reply::query_param(req, "offset")?.unwrap_or_default();
        Ok(Reply::Events(self.engine.resume(key, attempt, offset)?))
    }

    fn cancel(&self, req: &Request) -> Result<Reply> {
        let key = reply::path_param(req, "key")?;
        let attempt = reply::query_param(req, "attempt")?;
        Ok(Reply::json(&self.engine.cancel(key, attempt)))
    }

    async fn order(&self, req: &mut Request) -> Result<Reply> {
        if let Some(token) = self.engine.settings().order_token {
            let authorization = req.headers().get(AUTHORIZATION);
            let authorization = authorization
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default();
            if authorization.strip_prefix("Bearer ") != Some(&token) {
                let detail = "orders need a bearer token".to_owned();
                return Err(Error::refused(
                    "unauthenticated",
                    401,
                    Outcome::NotRun,
                    detail,
                ));
            }
        }
        let order = reply::json_body(req).await?;
        Ok(Reply::json(&self.engine.order(order)?))
    }

    /// Replaces the faults of the engine and of its connections.
    pub(crate) fn set_faults(&self, faults: EngineFaults) {
        self.engine.set_faults(faults);
        if faults.silence_open {
            self.injector.silence_connections();
        }
        self.injector.set_refusing(faults.dead);
        if faults.dead {
            self.injector.reset_connections();
        }
    }
}

fn with_headers(submission: Submission, req: &Request) -> Result<Submission> {
    let attempt = reply::header_value(req, header::ATTEMPT)?.unwrap_or_default();
    let priority = reply::header_value(req, header::PRIORITY)?.unwrap_or_default();
    let group_size = reply::header_value(req, header::GROUP_SIZE)?.unwrap_or(1);
    let mut submission = submission
        .with_attempt(attempt)
        .with_priority(priority)
        .with_group_size(group_size);
    if let Some(holder) = reply::header_value(req, header::HOLDER)? {
        submission = submission.with_holder(holder);
    }
    if let Some(reservation) = reply::header_value(req, header::RESERVATION)? {
        submission = submission.with_reservation(reservation);
    }
    if let Some(limit) = reply::header_value::<Millis>(req, header::TIME_LIMIT_MS)? {
        submission = submission.with_time_limit(limit.into());
    }
    Ok(submission)
}

async fn collect_reply(mut events: EventStream) -> Result<Reply> {
    let mut answer = String::new();
    loop {
        match events.next().await {
            Some(StreamEvent::Token { text, .. }) => answer.push_str(&text),
            Some(StreamEvent::End {
                tokens,
                finish_reason,
            }) => {
                return Ok(Reply::json(&CompletionReply {
                    text: answer,
                    tokens,
                    finish_reason,
                }));
            }
            Some(StreamEvent::Error(problem)) => return Err(Error::Refused(problem)),
            None => {
                let detail = "the engine died".to_owned();
                return Err(Error::refused("dead", 500, Outcome::Failed, detail));
            }
        }
    }
}

fn release_reply(released: bool) -> Result<Reply> {
    if released {
        return Ok(Reply::Empty);
    }
    let detail = "nothing is held under this key".to_owned();
    Err(Error::refused("absent", 404, Outcome::NotRun, detail))
}
