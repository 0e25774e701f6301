//! Headers forwarded between callers and plain services.

use hyper::{
    HeaderMap,
    header::{
        ACCEPT, ACCEPT_LANGUAGE, CACHE_CONTROL, CONTENT_DISPOSITION, CONTENT_LANGUAGE,
        CONTENT_TYPE, ETAG, HeaderName, IF_MATCH, IF_NONE_MATCH, LOCATION, RETRY_AFTER,
    },
};

const TO_UPSTREAM: [HeaderName; 6] = [
    ACCEPT,
    ACCEPT_LANGUAGE,
    CONTENT_LANGUAGE,
    CONTENT_TYPE,
    IF_MATCH,
    IF_NONE_MATCH,
];

const TO_CALLER: [HeaderName; 7] = [
    CACHE_CONTROL,
    CONTENT_DISPOSITION,
    CONTENT_LANGUAGE,
    CONTENT_TYPE,
    ETAG,
    LOCATION,
    RETRY_AFTER,
];

/// Headers of a caller's request that are forwarded to the upstream.
pub(crate) fn to_upstream(headers: &HeaderMap) -> HeaderMap {
    pick(headers, &TO_UPSTREAM)
}

/// Headers of an upstream's response that are forwarded to the caller.
pub(crate) fn to_caller(headers: &HeaderMap) -> HeaderMap {
    pick(headers, &TO_CALLER)
}

fn pick(headers: &HeaderMap, names: &[HeaderName]) -> HeaderMap {
    let mut picked = HeaderMap::new();
    for name in names {
        for value in headers.get_all(name) {
            picked.append(name, value.clone());
        }
    }
    picked
}
