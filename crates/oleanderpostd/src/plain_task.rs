//! [`PlainTask`].

use std::{sync::Arc, time::Duration};

use oleanderpost::{
    admission::{Completion, Permit},
    types::{Problem, Tokens},
};
use tokio::time::timeout;

use crate::{Call, CallDispatcher, Failure, Node, PlainRequest, PlainResponse, UpstreamAddress};

/// An attempt at a repeatable request may take the time left divided by this number, so that time for another
/// attempt remains when the connection is silent.
const TIME_LEFT_DIVISOR: u32 = 2;

/// Task that serves one request to a plain service.
pub(crate) struct PlainTask {
    dispatcher: CallDispatcher,
    req: PlainRequest,
    /// Whether a byte of the current attempt may have been written.
    written: bool,
}

impl PlainTask {
    pub(crate) fn new(node: Arc<Node>, call: Call, req: PlainRequest) -> Self {
        Self {
            dispatcher: CallDispatcher::new(node, call),
            req,
            written: false,
        }
    }

    /// Runs the request until it has a response or has failed, at the latest until its deadline.
    pub(crate) async fn run(mut self) -> Result<PlainResponse, Problem> {
        let left = self.dispatcher.call.time_left();
        let result = timeout(left, self.serve()).await;
        let may_have_run = self.dispatcher.may_have_run() || self.written;
        let failure = match result {
            Ok(Ok(response)) => {
                self.dispatcher.finish();
                return Ok(response);
            }
            Ok(Err(failure)) => failure,
            Err(_) => self.dispatcher.timeout_failure(may_have_run),
        };
        Err(self.dispatcher.give_up(failure, may_have_run).await)
    }

    async fn serve(&mut self) -> Result<PlainResponse, Failure> {
        self.dispatcher.claim().await?;
        loop {
            let failure = match self.attempt().await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            if !self.dispatcher.wait_for_retry(&failure).await {
                return Err(failure);
            }
        }
    }

    async fn attempt(&mut self) -> Result<PlainResponse, Failure> {
        let permit = self.dispatcher.admit(Vec::new()).await?;
        let to = self.dispatcher.node.leader_address(&permit)?;
        let limit = self.attempt_timeout();
        let exchange = self.exchange(&permit, &to);
        let result = timeout(limit, exchange)
            .await
            .unwrap_or_else(|_| Err(Failure::Lost("no answer in time".to_owned())));
        if let Err(failure) = &result {
            self.dispatcher
                .record_failure(failure, &to.id, self.written);
        }
        self.written = false;
        permit.close(completion_of(&result));
        result
    }

    fn attempt_timeout(&self) -> Duration {
        let left = self.dispatcher.call.time_left();
        if self.dispatcher.call.repeatable {
            return left / TIME_LEFT_DIVISOR;
        }
        left
    }

    async fn exchange(
        &mut self,
        permit: &Permit,
        to: &UpstreamAddress,
    ) -> Result<PlainResponse, Failure> {
        self.dispatcher.begin_attempt(to);
        let client = &self.dispatcher.node.plain_client;
        let opened = client.open(to).await;
        let conn = opened.map_err(|e| Failure::from_error(&e))?;
        self.dispatcher.check_may_send(permit)?;
        self.written = true;
        let attempt = self.dispatcher.attempt();
        let call = &self.dispatcher.call;
        let response = client.send(conn, to, call, attempt, &self.req).await;
        response.map_err(|e| Failure::from_error(&e))
    }
}

fn completion_of(result: &Result<PlainResponse, Failure>) -> Completion {
    match result {
        Ok(_) => Completion::Finished {
            tokens: Tokens::default(),
        },
        Err(Failure::NotRun(_) | Failure::Leaving(_)) => Completion::Declined,
        Err(_) => Completion::Failed,
    }
}
