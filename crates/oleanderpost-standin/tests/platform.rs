//! Tests of the platform stand-in, most of them over HTTP.

#[path = "common/client.rs"]
mod client;

use std::time::Duration;

use hyper::StatusCode;
use tokio::time::Instant;

use oleanderpost_standin::{CallCounts, Platform, PlatformServer, PlatformSettings};
use oleanderpost_types::{
    ConfigReply, DataCentre, FileName, Incarnation, RequestRate, Revision, Vm, VmId, VmList,
    VmRole, VmState,
};

use client::Client;

const ANY_PORT: &str = "127.0.0.1:0";

async fn start_platform(settings: PlatformSettings) -> (PlatformServer, Client) {
    let server = PlatformServer::new(settings, ANY_PORT.parse().unwrap())
        .await
        .unwrap();
    let client = Client::new(server.address());
    (server, client)
}

fn vm(id: &str) -> Vm {
    Vm {
        id: VmId::new(id).unwrap(),
        role: VmRole::Entry,
        state: VmState::Live,
        data_centre: DataCentre::new("dc-1").unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: Incarnation::new(1),
    }
}

#[tokio::test]
async fn watch_returns_when_a_file_changes() {
    let (server, client) = start_platform(PlatformSettings::default()).await;
    client.put("/v1/config/fleet", "generation: 1").await;
    let watch = client.get::<ConfigReply>("/v1/config?after=1&wait_ms=60000");
    let change = client.put("/v1/config/fleet", "generation: 2");
    let (reply, ()) = tokio::join!(watch, change);
    assert_eq!(reply.revision, Revision::new(2));
    assert_eq!(reply.entries[0].content.as_deref(), Some("generation: 2"));
    let (status, _) = client.call("DELETE", "/v1/config/fleet", "").await;
    assert_eq!(status, StatusCode::OK);
    let reply: ConfigReply = client.get("/v1/config?after=2").await;
    assert_eq!(reply.entries[0].content, None);
    let calls: CallCounts = client.get("/v1/calls").await;
    assert_eq!(calls.config, 2);
    server.close().await;
}

#[tokio::test]
async fn watch_without_change_returns_no_entries() {
    let (server, client) = start_platform(PlatformSettings::default()).await;
    let reply: ConfigReply = client.get("/v1/config?after=0&wait_ms=20").await;
    assert_eq!(reply.entries, []);
    server.close().await;
}

#[tokio::test]
async fn stale_replica_answers_with_an_old_revision() {
    let (server, client) = start_platform(PlatformSettings::default()).await;
    client.put("/v1/config/fleet", "generation: 1").await;
    client.put("/v1/config/fleet", "generation: 2").await;
    client
        .put("/v1/faults", r#"{"stale": {"revision": 1, "every": 2}}"#)
        .await;
    let mut revisions = Vec::new();
    for _ in 0..4 {
        let reply: ConfigReply = client.get("/v1/config?after=0").await;
        revisions.push(reply.revision.get());
    }
    assert_eq!(revisions, [2, 1, 2, 1]);
    server.close().await;
}

#[tokio::test]
async fn down_platform_refuses_reads_and_accepts_writes() {
    let (server, client) = start_platform(PlatformSettings::default()).await;
    client.put("/v1/faults", r#"{"down": true}"#).await;
    for path in ["/v1/config", "/v1/vms", "/v1/weights/base/1"] {
        let (status, _) = client.call("GET", path, "").await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
    }
    client.put("/v1/config/fleet", "generation: 1").await;
    client.put("/v1/faults", "{}").await;
    let reply: ConfigReply = client.get("/v1/config?after=0").await;
    assert_eq!(reply.entries.len(), 1);
    server.close().await;
}

#[tokio::test]
async fn hanging_platform_answers_after_the_fault_is_cleared() {
    let (server, client) = start_platform(PlatformSettings::default()).await;
    client.put("/v1/faults", r#"{"hang": true}"#).await;
    let other = Client::new(server.address());
    let read = other.get::<ConfigReply>("/v1/config?after=0");
    let clear_fault = async {
        while client.get::<CallCounts>("/v1/calls").await.config == 0 {}
        client.put("/v1/faults", "{}").await;
    };
    let (reply, ()) = tokio::join!(read, clear_fault);
    assert_eq!(reply.entries, []);
    server.close().await;
}

#[tokio::test]
async fn vm_list_watch_can_skip_a_revision() {
    let (server, client) = start_platform(PlatformSettings::default()).await;
    client
        .put("/v1/faults", r#"{"skip_list_revisions": [2]}"#)
        .await;
    for id in ["a", "b"] {
        let body = serde_json::to_string(&vm(id)).unwrap();
        client.put(&format!("/v1/vms/{id}"), &body).await;
    }
    let list: VmList = client.get("/v1/vms?after=0").await;
    assert_eq!(list.revision, Revision::new(1));
    let watch = client.get::<VmList>("/v1/vms?after=1&wait_ms=60000");
    let change = client.call("DELETE", "/v1/vms/a", "");
    let (list, _) = tokio::join!(watch, change);
    assert_eq!(list.revision, Revision::new(3));
    assert_eq!(list.vms, [vm("b")]);
    server.close().await;
}

#[tokio::test(start_paused = true)]
async fn vm_list_lags() {
    let platform = Platform::new(PlatformSettings {
        list_lag_ms: "5000".parse().unwrap(),
        ..PlatformSettings::default()
    });
    let start = Instant::now();
    platform.put_vm(vm("a"));
    let list = platform
        .vms(Revision::new(0), Duration::ZERO)
        .await
        .unwrap();
    assert_eq!(list.vms, []);
    let list = platform
        .vms(Revision::new(0), Duration::from_secs(60))
        .await;
    assert_eq!(list.unwrap().vms, [vm("a")]);
    assert!((5_000..5_010).contains(&start.elapsed().as_millis()));
}

#[tokio::test]
async fn weights_are_rate_limited() {
    let (server, client) = start_platform(PlatformSettings {
        weight_fetches: RequestRate::new(1),
        ..PlatformSettings::default()
    })
    .await;
    let (status, body) = client.call("GET", "/v1/weights/base/1", "").await;
    assert_eq!((status, body.len()), (StatusCode::OK, 65_536));
    let mut limited = 0;
    for _ in 0..50 {
        let res = client.send("GET", "/v1/weights/base/1", &[], "").await;
        let res = res.unwrap();
        if res.status() == StatusCode::TOO_MANY_REQUESTS {
            assert_eq!(res.headers()["retry-after"], "1");
            limited += 1;
        }
    }
    assert!(limited > 0, "no fetch of the burst was rate limited");
    server.close().await;
}

#[tokio::test]
async fn bad_requests_are_refused() {
    let (server, client) = start_platform(PlatformSettings::default()).await;
    let bad = [
        ("GET", "/v1/config?after=x"),
        ("PUT", "/v1/config/UPPER"),
        ("PUT", "/v1/vms/a"),
        ("PUT", "/v1/faults"),
    ];
    for (method, path) in bad {
        let (status, _) = client.call(method, path, "{\"unknown\": 1}").await;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{method} {path}");
    }
    let long = "x".repeat(1_000_001);
    let (status, _) = client.call("PUT", "/v1/config/fleet", &long).await;
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
    let name = FileName::new("fleet").unwrap();
    assert!(
        server
            .platform()
            .put_file(name, "x".repeat(1_000_000))
            .is_ok()
    );
    server.close().await;
}
