//! [`CompletionsHandler`].

use std::sync::Arc;

use futures_util::StreamExt;
use oleanderpost::{
    config::ServiceKind,
    types::{
        CompletionReply, CompletionRequest, FinishReason, Outcome, Problem, StreamEvent, Tokens,
    },
};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, sse, writing::Json};
use tokio::sync::mpsc;

use crate::{Call, CallReader, CompletionTask, Node, ProblemKind, response};

/// Maximum number of events buffered for a slow caller; when the buffer is full, the engine's stream is not
/// read any further.
const EVENT_QUEUE_CAPACITY: usize = 64;

/// Maximum number of tokens that a caller may request.
const MAX_TOKENS: u32 = 1_000_000;

/// HTTP handler of `POST /v1/completions`.
pub(crate) struct CompletionsHandler {
    node: Arc<Node>,
}

impl CompletionsHandler {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    async fn serve(&self, req: &mut Request, res: &mut Response) -> Result<(), Problem> {
        let reader = CallReader::new(self.node.clone(), req)?;
        let body = reader.read_body(req).await?;
        let completion = parse_request(body)?;
        let service = reader.find_service(&completion.model, ServiceKind::Engines)?;
        let repeatable = service.repeatable;
        let prompt = completion.prompt.len();
        let max_tokens = Tokens::new(u64::from(completion.max_tokens));
        let call = reader.into_call(service, repeatable, prompt, max_tokens);
        let stream = completion.stream;
        let mut rx = self.spawn_task(call, completion);
        let first = next_event(&mut rx).await?;
        if stream {
            render_stream(res, first, rx);
            return Ok(());
        }
        res.render(Json(collect_reply(first, rx).await?));
        Ok(())
    }

    fn spawn_task(&self, call: Call, completion: CompletionRequest) -> mpsc::Receiver<StreamEvent> {
        let (tx, rx) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let task = CompletionTask::new(self.node.clone(), call, completion, tx);
        self.node.tasks.spawn(task.run());
        rx
    }
}

#[async_trait]
impl Handler for CompletionsHandler {
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

fn parse_request(body: &[u8]) -> Result<CompletionRequest, Problem> {
    let refusal = |detail: String| ProblemKind::BadRequest.refusal(detail);
    let completion: CompletionRequest =
        serde_json::from_slice(body).map_err(|e| refusal(format!("body: {e}")))?;
    if completion.prompt.is_empty() {
        return Err(refusal("prompt: must not be empty".to_owned()));
    }
    if !(1..=MAX_TOKENS).contains(&completion.max_tokens) {
        let detail = format!("max_tokens: allowed is 1 to {MAX_TOKENS}");
        return Err(refusal(detail));
    }
    Ok(completion)
}

async fn next_event(rx: &mut mpsc::Receiver<StreamEvent>) -> Result<StreamEvent, Problem> {
    match rx.recv().await {
        Some(StreamEvent::Error(problem)) => Err(problem),
        Some(event) => Ok(event),
        None => Err(ProblemKind::UpstreamFailed.problem(Outcome::Failed, "the answer broke off")),
    }
}

fn render_stream(res: &mut Response, first: StreamEvent, rx: mpsc::Receiver<StreamEvent>) {
    let rest = futures_util::stream::unfold(rx, |mut rx| async {
        let event = rx.recv().await?;
        Some((event, rx))
    });
    let events = futures_util::stream::iter([first]).chain(rest);
    sse::stream(res, events.map(|event| response::sse_event(&event)));
}

async fn collect_reply(
    first: StreamEvent,
    mut rx: mpsc::Receiver<StreamEvent>,
) -> Result<CompletionReply, Problem> {
    let mut reply = CompletionReply {
        text: String::new(),
        tokens: 0,
        finish_reason: FinishReason::Stop,
    };
    let mut event = first;
    loop {
        match event {
            StreamEvent::Token { text, .. } => reply.text.push_str(&text),
            StreamEvent::End {
                tokens,
                finish_reason,
            } => {
                reply.tokens = tokens;
                reply.finish_reason = finish_reason;
                return Ok(reply);
            }
            StreamEvent::Error(problem) => return Err(problem),
        }
        event = next_event(&mut rx).await?;
    }
}
