//! The operator's configuration of all cases.

/// Host of all routes.
pub const HOST: &str = "app.example";

/// A configuration in the platform's schema: a service `llm` of model engines with the routes `/review/` and `/draft/`,
/// a plain service `api` with the routes `/once/` and `/safe/`, and a plain service `cold`, whose servers are cold for 3 s
/// after their start, with the route `/cold/`.
pub fn config(version: u64) -> String {
    config_with(version, 0, "api")
}

/// The same with `idle` more routes that get no requests, and a public route `/moved/` to the service `moved_to`.
pub fn config_with(version: u64, idle: usize, moved_to: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, goal: u32, gap: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"goalMs\":{goal},\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\
             \"public\":true,\"affinity\":{},\"resumable\":{},\"gapTargetMs\":{gap}}}",
            kind == "stream",
            kind == "stream"
        )
    };
    let mut routes = vec![
        route("moved", "safe", moved_to, 1_000, 100, 0),
        route("review", "stream", "llm", 15_000, 3_000, 1_000),
        route("draft", "stream", "llm", 10_000, 300, 250),
        route("cold", "safe", "cold", 1_000, 100, 0),
        route("once", "unsafe", "api", 1_000, 100, 0),
        route("safe", "safe", "api", 1_000, 100, 0),
    ];
    for n in 0..idle {
        routes.push(route(
            &format!("idle{n:06}"),
            "safe",
            "api",
            1_000 + (version % 7) as u32,
            100,
            0,
        ));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConns\":424,\"proto\":\"h1\",\"tls\":false,\"engine\":{{\
         \"slots\":16,\"kvCapacity\":232000,\"stride\":43,\"chunk\":2048,\"step_ms\":1.02,\"per_seq_ms\":0.00226,\
         \"context_per_k\":0.00431,\"read_per_s\":206000.0,\"pairs_per_m\":0.138,\"report_lag_ms\":200.0,\
         \"usual\":{{\"prompt\":12327,\"answer\":1303}},\"hopMs\":0.075}}}},\
         {{\"name\":\"api\",\"healthPath\":\"/healthz\",\"maxConns\":440,\"proto\":\"h1\",\"tls\":false}},\
         {{\"name\":\"cold\",\"healthPath\":\"/healthz\",\"maxConns\":440,\"proto\":\"h1\",\"tls\":false,\"coldS\":3.0,\"coldPerS\":15.0}},\
         {{\"name\":\"api-2\",\"healthPath\":\"/healthz\",\"maxConns\":100,\"proto\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"tenant\",\"apiKeys\":[\"key\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}
