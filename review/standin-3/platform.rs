//! The operator's configuration and the clients' requests.

use std::{net::SocketAddr, time::Duration};

use crate::http::{self, Answer};

pub const HOST: &str = "app.example";

/// A configuration of the operator.
#[derive(Clone, Debug)]
pub struct Config {
    pub version: u64,
    pub keys: Vec<&'static str>,
    /// Number of further routes.
    pub more_routes: usize,
}

impl Config {
    pub fn to_json(&self) -> String {
        let mut routes = vec![
            route("r-stream", "/stream/", "stream", 15_000, 3_000, "llm", true),
            route("r-safe", "/safe/", "safe", 1_000, 100, "api", false),
            route("r-once", "/once/", "unsafe", 1_000, 100, "api", false),
        ];
        routes.extend((0..self.more_routes).map(|n| {
            route(
                &format!("r-more-{n}"),
                &format!("/more-{n}/"),
                "safe",
                1_000,
                100,
                "api",
                false,
            )
        }));
        let keys: Vec<_> = self.keys.iter().map(|key| format!("\"{key}\"")).collect();
        format!(
            concat!(
                r#"{{"version":{},"routes":[{}],"services":["#,
                r#"{{"name":"llm","healthPath":"/healthz","maxConns":334,"proto":"h1","tls":false,"engine":{{"slots":16,"#,
                r#""kvCapacity":232000,"stride":43,"models":[{{"name":"m"}}],"step_ms":1.02,"per_seq_ms":0.00226,"#,
                r#""context_per_k":0.00431,"read_per_s":206000.0,"pairs_per_m":0.138,"chunk":2048,"report_lag_ms":200.0,"#,
                r#""usual":{{"prompt":12328,"answer":1303}},"hopMs":0.075}}}},"#,
                r#"{{"name":"api","healthPath":"/healthz","maxConns":48,"proto":"h1","tls":false}}],"#,
                r#""limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"#,
                r#""tenants":[{{"name":"tenant-1","apiKeys":[{}],"priority":1}}]}}"#
            ),
            self.version,
            routes.join(","),
            keys.join(",")
        )
    }
}

fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    timeout_ms: u64,
    goal_ms: u64,
    service: &str,
    resumable: bool,
) -> String {
    let gap = if kind == "stream" {
        r#","gapTargetMs":1000"#
    } else {
        ""
    };
    let attempts = if kind == "unsafe" { 1 } else { 2 };
    format!(
        r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","kind":"{kind}","timeoutMs":{timeout_ms},"goalMs":{goal_ms},"priority":1,"service":"{service}","maxAttempts":{attempts},"public":false,"affinity":{resumable},"resumable":{resumable}{gap}}}"#
    )
}

/// A request of a client on a new channel.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline: Duration,
    /// Further header lines.
    pub headers: String,
    pub body: &'a str,
}

impl Call<'_> {
    pub fn send(&self, to: SocketAddr) -> Result<Answer, String> {
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\n{}Content-Length: {}\r\n\r\n",
            self.method,
            self.path,
            self.id,
            self.deadline.as_millis(),
            self.key,
            self.headers,
            self.body.len()
        );
        http::call(to, &head, self.body.as_bytes(), self.deadline).map_err(|e| e.to_string())
    }
}
