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

/// Routes of an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineService {
    pub(crate) engine: Arc<Engine>,
    pub(crate) gates: FaultInjector,
}

#[derive(Clone, Copy)]
enum Call {
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
    call: Call,
}

#[async_trait]
impl Handler for Route {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        reply::render(self.service.call(self.call, req).await, res);
    }
}

impl EngineService {
    fn route(&self, call: Call) -> Route {
        let service = self.clone();
        Route { service, call }
    }

    /// Everything that nodes and tests call.
    pub(crate) fn router(&self) -> Router {
        let stream = Router::with_path("v1/streams/{key}")
            .get(self.route(Call::Status))
            .delete(self.route(Call::Cancel));
        let reservation =
            Router::with_path("v1/reservations/{key}").delete(self.route(Call::Release));
        let export =
            Router::with_path("v1/kv/export/{key}").delete(self.route(Call::ReleaseExport));
        let resume = Router::with_path("v1/streams/{key}/events").get(self.route(Call::Resume));
        self.control_router()
            .push(stream)
            .push(resume)
            .push(reservation)
            .push(export)
            .push(self.post("v1/completions", Call::Submit))
            .push(self.post("v1/reservations", Call::Reserve))
            .push(self.post("v1/orders", Call::Order))
            .push(self.post("v1/kv/export", Call::Export))
            .push(self.post("v1/kv/import", Call::Import))
            .push(self.get("v1/holdings", Call::Holdings))
            .push(self.get("v1/load", Call::Load))
            .push(self.get("v1/state", Call::State))
            .push(self.get("v1/cache/events", Call::CacheEvents))
    }

    /// What tests call while the engine is dead or frozen.
    pub(crate) fn control_router(&self) -> Router {
        let faults = Router::with_path("v1/faults")
            .get(self.route(Call::Faults))
            .put(self.route(Call::SetFaults));
        let evidence = self.get("v1/evidence", Call::Evidence);
        Router::new().push(faults).push(evidence)
    }

    fn get(&self, path: &str, call: Call) -> Router {
        Router::with_path(path).get(self.route(call))
    }

    fn post(&self, path: &str, call: Call) -> Router {
        Router::with_path(path).post(self.route(call))
    }

    async fn call(&self, call: Call, req: &mut Request) -> Result<Reply> {
        match call {
            Call::Evidence => return Ok(Reply::json(&self.engine.evidence())),
            Call::Faults => return Ok(Reply::json(&self.engine.faults())),
            Call::SetFaults => {
                self.set_faults(reply::body(req).await?);
                return Ok(Reply::Empty);
            }
            _ => self.engine.thawed().await,
        }
        let engine = &self.engine;
        match call {
            Call::Submit => self.submit(req).await,
            Call::Status => Ok(Reply::json(&engine.status(reply::param(req, "key")?))),
            Call::Resume => self.resume(req),
            Call::Cancel => self.cancel(req),
            Call::Holdings => Ok(Reply::json(&engine.holdings())),
            Call::Load => Ok(Reply::json(&engine.load())),
            Call::Reserve => {
                let reservation = reply::body(req).await?;
                engine.reserve(&reservation)?;
                Ok(Reply::Empty)
            }
            Call::Release => freed(engine.release(reply::param(req, "key")?)),
            Call::Order => self.order(req).await,
            Call::State => Ok(Reply::json(&engine.state())),
            Call::Export => Ok(Reply::json(&engine.export(&reply::body(req).await?)?)),
            Call::ReleaseExport => freed(engine.release_export(reply::param(req, "key")?)),
            Call::Import => Ok(Reply::json(&engine.import(&reply::body(req).await?))),
            Call::CacheEvents => {
                let after = reply::query(req, "after")?.unwrap_or_default();
                Ok(Reply::json(&engine.cache_events(after)))
            }
            Call::Evidence | Call::Faults | Call::SetFaults => Ok(Reply::Empty),
        }
    }

    async fn submit(&self, req: &mut Request) -> Result<Reply> {
        let request: CompletionRequest = reply::body(req).await?;
        let key = reply::header(req, header::REQUEST_KEY)?.unwrap_or_else(RequestKey::new);
        let block = self.engine.settings().block;
        let submission = Submission::with_request(key, &request, block);
        let events = self.engine.submit(with_headers(submission, req)?)?;
        if request.stream {
            return Ok(Reply::Events(events));
        }
        collect(events).await
    }

    fn resume(&self, req: &Request) -> Result<Reply> {
        let key = reply::param(req, "key")?;
        let attempt = reply::query(req, "attempt")?;
        let offset = reply::query(req, "offset")?.unwrap_or_default();
        Ok(Reply::Events(self.engine.resume(key, attempt, offset)?))
    }

    fn cancel(&self, req: &Request) -> Result<Reply> {
        let key = reply::param(req, "key")?;
        let attempt = reply::query(req, "attempt")?;
        Ok(Reply::json(&self.engine.cancel(key, attempt)))
    }

    async fn order(&self, req: &mut Request) -> Result<Reply> {
        if let Some(token) = self.engine.settings().order_token {
            let given = req.headers().get(AUTHORIZATION);
            let given = given
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default();
            if given.strip_prefix("Bearer ") != Some(&token) {
                let detail = "orders need a bearer token".to_owned();
                return Err(Error::refused(
                    "unauthenticated",
                    401,
                    Outcome::NotRun,
                    detail,
                ));
            }
        }
        let order = reply::body(req).await?;
        Ok(Reply::json(&self.engine.order(order)?))
    }

    /// Replaces the faults, those of the connections included.
    pub(crate) fn set_faults(&self, faults: EngineFaults) {
        self.engine.set_faults(faults);
        if faults.silence_open {
            self.gates.silence_connections();
        }
        self.gates.set_refusing(faults.dead);
        if faults.dead {
            self.gates.reset_connections();
        }
    }
}

fn with_headers(submission: Submission, req: &Request) -> Result<Submission> {
    let attempt = reply::header(req, header::ATTEMPT)?.unwrap_or_default();
    let priority = reply::header(req, header::PRIORITY)?.unwrap_or_default();
    let group_size = reply::header(req, header::GROUP_SIZE)?.unwrap_or(1);
    let mut submission = submission
        .with_attempt(attempt)
        .with_priority(priority)
        .with_group_size(group_size);
    if let Some(holder) = reply::header(req, header::HOLDER)? {
        submission = submission.with_holder(holder);
    }
    if let Some(reservation) = reply::header(req, header::RESERVATION)? {
        submission = submission.with_reservation(reservation);
    }
    if let Some(limit) = reply::header::<Millis>(req, header::TIME_LIMIT_MS)? {
        submission = submission.with_time_limit(limit.into());
    }
    Ok(submission)
}

async fn collect(mut events: EventStream) -> Result<Reply> {
    let mut whole = String::new();
    loop {
        match events.next().await {
            Some(StreamEvent::Token { text, .. }) => whole.push_str(&text),
            Some(StreamEvent::End {
                tokens,
                finish_reason,
            }) => {
                return Ok(Reply::json(&CompletionReply {
                    text: whole,
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

fn freed(freed: bool) -> Result<Reply> {
    if freed {
        return Ok(Reply::Empty);
    }
    let detail = "nothing is held under this key".to_owned();
    Err(Error::refused("absent", 404, Outcome::NotRun, detail))
}
