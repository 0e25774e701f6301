//! [`Caller`].

use std::net::SocketAddr;

use hyper::{Method, StatusCode};
use oleanderpost::types::StreamEvent;
use serde_json::json;

use super::{Reply, TOKEN, send_request};

/// Client that sends requests to one node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    node: SocketAddr,
}

/// Events of a streamed answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    /// Tokens received.
    pub(crate) tokens: u64,
    /// Text received.
    pub(crate) text: String,
    /// Whether the end event came and its token count is the number of tokens received.
    pub(crate) complete: bool,
}

impl Caller {
    /// Creates a client of the node at `node`.
    pub(crate) fn new(node: SocketAddr) -> Self {
        Self { node }
    }

    /// Streams a completion of a prompt of `prompt` tokens; returns the reply as `Err` when its status is not
    /// 200.
    pub(crate) async fn stream(&self, prompt: usize, max_tokens: u32) -> Result<Answer, Reply> {
        let body = completion(prompt, max_tokens, true);
        let reply = self.post("/v1/completions", &[], body).await;
        if reply.status != StatusCode::OK {
            return Err(reply);
        }
        Ok(Answer::read(&reply))
    }

    /// Posts to the plain service `booking`.
    pub(crate) async fn book(&self, path: &str, headers: &[(&str, &str)], body: &str) -> Reply {
        let path = format!("/v1/services/booking{path}");
        self.post(&path, headers, body.to_owned()).await
    }

    /// Posts a body with the bearer token of the client account.
    pub(crate) async fn post(&self, path: &str, headers: &[(&str, &str)], body: String) -> Reply {
        let token = format!("Bearer {TOKEN}");
        let mut all = vec![("authorization", token.as_str())];
        all.extend(headers);
        let reply = send_request(self.node, Method::POST, path, &all, body).await;
        reply.expect("the node must answer")
    }
}

/// JSON body of a completion request with a prompt of `prompt` tokens.
pub(crate) fn completion(prompt: usize, max_tokens: u32, stream: bool) -> String {
    let prompt: Vec<u32> = (0..prompt as u32).collect();
    json!({
        "model": "drafting", "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
    })
    .to_string()
}

impl Answer {
    /// Parses the server-sent events of a streamed answer.
    pub(crate) fn read(reply: &Reply) -> Self {
        let body = String::from_utf8_lossy(&reply.body);
        let mut answer = Self::default();
        let lines = body.lines().filter_map(|line| line.strip_prefix("data: "));
        for line in lines {
            match serde_json::from_str(line).expect("each data line must be a stream event") {
                StreamEvent::Token {
                    offset,
                    count,
                    text,
                } => {
                    assert_eq!(
                        offset, answer.tokens,
                        "tokens must come in order, once each"
                    );
                    answer.tokens += count;
                    answer.text.push_str(&text);
                }
                StreamEvent::End { tokens, .. } => answer.complete = tokens == answer.tokens,
                StreamEvent::Error(_) => {}
            }
        }
        answer
    }
}
