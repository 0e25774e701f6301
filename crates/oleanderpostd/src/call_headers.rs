//! [`CallHeaders`].

use std::{str::FromStr, time::Duration};

use oleanderpost::{
    config::TokenHash,
    types::{Millis, Problem, RequestKey, header},
};
use salvo::http::HeaderMap;

use crate::ProblemKind;

/// Values of the request headers that the node uses.
#[derive(Clone, Debug)]
pub(crate) struct CallHeaders {
    /// Hash of the bearer token, which identifies the account.
    pub(crate) token_hash: TokenHash,
    /// Idempotency key, if the caller sent one.
    pub(crate) key: Option<RequestKey>,
    /// Time limit, if the caller stated one.
    pub(crate) time_limit: Option<Duration>,
    /// Whether the request may run more than once, if the caller stated it.
    pub(crate) repeatable: Option<bool>,
}

impl CallHeaders {
    /// Parses the headers.
    ///
    /// # Errors
    ///
    /// A refusal that names the header and the allowed values.
    pub(crate) fn read(headers: &HeaderMap) -> Result<Self, Problem> {
        let key = parse_header(headers, header::IDEMPOTENCY_KEY, "a UUID")?;
        let limit: Option<Millis> = parse_header(headers, header::TIME_LIMIT_MS, "milliseconds")?;
        if limit == Some(Millis::new(0)) {
            let detail = format!("{}: must be above zero", header::TIME_LIMIT_MS);
            return Err(ProblemKind::BadRequest.refusal(detail));
        }
        Ok(Self {
            token_hash: bearer_token_hash(headers)?,
            key,
            time_limit: limit.map(Duration::from),
            repeatable: parse_header(headers, header::REPEATABLE, "true or false")?,
        })
    }
}

fn bearer_token_hash(headers: &HeaderMap) -> Result<TokenHash, Problem> {
    let value = headers
        .get("authorization")
        .and_then(|value| value.to_str().ok());
    let token = value.and_then(|text| text.strip_prefix("Bearer "));
    let Some(token) = token else {
        return Err(ProblemKind::Unauthorized.refusal("authorization: a bearer token is needed"));
    };
    Ok(TokenHash::of_token(token))
}

fn parse_header<T: FromStr>(
    headers: &HeaderMap,
    name: &str,
    allowed: &str,
) -> Result<Option<T>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    let refusal = || ProblemKind::BadRequest.refusal(format!("{name}: allowed is {allowed}"));
    parsed.map(Some).ok_or_else(refusal)
}
