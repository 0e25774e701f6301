//! Connections that stop answering, fail, or belong to the wrong node.

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use ciborium::{Value, cbor};
use oleanderpost_peers::{Error, LinkLimits, Reachability, SharedKey};
use support::{
    LONG, Msg, Node, NodeBuilder, pair,
    raw_peer::{RawPeer, field},
    tcp_proxy::TcpProxy,
    until, vm,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Long enough not to expire during a test.
const NEVER: Duration = Duration::from_secs(86_400);

/// Two nodes: the first connects to the second through a proxy; the second has no address of the first.
async fn pair_with_proxy() -> (Node, Node, TcpProxy) {
    pair_with_proxy_to(NodeBuilder::new("b")).await
}

async fn pair_with_proxy_to(second: NodeBuilder) -> (Node, Node, TcpProxy) {
    let a = NodeBuilder::new("a").open().await;
    let b = second.open().await;
    let proxy = TcpProxy::open(b.links.local_addr(), Duration::ZERO).await;
    a.address_book.set(&b.vm, proxy.addr);
    (a, b, proxy)
}

fn handled(node: &Node) -> u64 {
    node.handler.handled.load(Ordering::Relaxed)
}

#[tokio::test]
async fn a_silent_connection_is_detected_and_replaced() {
    let (a, b, proxy) = pair_with_proxy().await;
    a.echo(&b.vm, "one").await.unwrap();
    proxy.drop_bytes(true, true);
    let lost = a.echo(&b.vm, "two").await.unwrap_err();
    assert!(
        matches!(lost, Error::ConnectionLost { .. }) && lost.maybe_handled(),
        "{lost}"
    );
    until(|| a.links.counters().dialled == 2).await;
    assert_eq!(a.links.reachability(&b.vm), Reachability::Reachable);
    a.echo(&b.vm, "three").await.unwrap();
    assert_eq!(a.links.counters().silent, 1);
    assert_eq!(a.links.reachability(&b.vm), Reachability::Reachable);
    assert_eq!(handled(&b), 2, "nothing was written twice");
}

#[tokio::test]
async fn an_unused_connection_is_verified_before_the_next_request() {
    let (a, b, proxy) = pair_with_proxy().await;
    a.echo(&b.vm, "one").await.unwrap();
    proxy.drop_bytes(true, true);
    sleep(support::short_timings().verify_after).await;
    a.echo(&b.vm, "two").await.unwrap();
    assert_eq!(handled(&b), 2);
    assert_eq!(a.links.counters().silent, 1);
}

#[tokio::test]
async fn a_connection_is_verified_after_a_request_timed_out() {
    let (a, b, proxy) = pair_with_proxy().await;
    a.echo(&b.vm, "one").await.unwrap();
    proxy.drop_bytes(true, true);
    let msg = Msg::Echo("two".to_owned());
    let timed_out = a
        .links
        .request(&b.vm, msg, Duration::from_millis(20))
        .await
        .unwrap_err();
    assert!(
        matches!(timed_out, Error::Timeout { .. }) && timed_out.maybe_handled(),
        "{timed_out}"
    );
    a.echo(&b.vm, "three").await.unwrap();
}

#[tokio::test]
async fn a_connection_that_loses_only_answers_is_closed() {
    let (a, b, proxy) = pair_with_proxy().await;
    a.echo(&b.vm, "one").await.unwrap();
    proxy.drop_bytes(false, true);
    let lost = a.echo(&b.vm, "two").await.unwrap_err();
    assert!(lost.maybe_handled());
    until(|| handled(&b) == 2).await;
    a.echo(&b.vm, "three").await.unwrap();
}

#[tokio::test]
async fn incoming_messages_do_not_hide_that_outgoing_ones_are_lost() {
    let mut builder = NodeBuilder::new("b");
    builder.timings.verify_after = LONG;
    builder.timings.ping_after = LONG;
    let (a, b, proxy) = pair_with_proxy_to(builder).await;
    a.echo(&b.vm, "one").await.unwrap();
    proxy.drop_bytes(true, false);
    let links = b.links.clone();
    let to = a.vm.clone();
    let sender = tokio::spawn(async move {
        loop {
            let _ = links.send(&to, &Msg::Note(1));
            sleep(Duration::from_millis(10)).await;
        }
    });
    let lost = a.echo(&b.vm, "two").await.unwrap_err();
    assert!(matches!(lost, Error::ConnectionLost { .. }), "{lost}");
    sender.abort();
    a.echo(&b.vm, "three").await.unwrap();
}

#[tokio::test]
async fn a_peer_is_unreachable_only_when_a_new_connection_fails_too() {
    let (a, b, proxy) = pair_with_proxy().await;
    a.echo(&b.vm, "one").await.unwrap();
    proxy.refuse_new(true);
    a.echo(&b.vm, "two").await.unwrap();
    assert_eq!(a.links.reachability(&b.vm), Reachability::Reachable);
    proxy.drop_bytes(true, true);
    a.echo(&b.vm, "three").await.unwrap_err();
    until(|| {
        matches!(
            a.links.reachability(&b.vm),
            Reachability::Unreachable { .. }
        )
    })
    .await;
    let refused = a.echo(&b.vm, "four").await.unwrap_err();
    assert!(
        matches!(refused, Error::Unreachable { .. }) && !refused.maybe_handled(),
        "{refused}"
    );
    proxy.refuse_new(false);
    while a.echo(&b.vm, "five").await.is_err() {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(a.links.reachability(&b.vm), Reachability::Reachable);
}

#[tokio::test]
async fn a_wrong_key_is_refused() {
    let (a, _) = pair().await;
    let mut builder = NodeBuilder::new("c");
    builder.key = SharedKey::new(b"some other key of another fleet").unwrap();
    let c = builder.open().await;
    c.add_address_of(&a);
    a.add_address_of(&c);
    for refused in [c.echo(&a.vm, "hello").await, a.echo(&c.vm, "hello").await] {
        let refused = refused.unwrap_err();
        assert!(
            refused.to_string().contains("wrong shared key"),
            "{refused}"
        );
    }
    assert_eq!(a.handler.handled.load(Ordering::Relaxed) + handled(&c), 0);
}

#[tokio::test]
async fn a_listener_refuses_a_dialler_that_cannot_prove_the_key() {
    let (a, _) = pair().await;
    let mut raw = RawPeer::connect(a.links.local_addr()).await;
    raw.write(&RawPeer::hello("c", 1)).await;
    raw.read().await.unwrap();
    let proof = cbor!({ "proof" => Value::Bytes(vec![0; 32]) }).unwrap();
    raw.write(&proof).await;
    assert_eq!(
        field(&raw.read().await.unwrap(), "refusal").as_text(),
        Some("Key")
    );
    assert!(raw.read().await.is_none());
    until(|| a.links.counters().refused == 1).await;
    assert_eq!(a.links.counters().accepted, 0);
}

#[tokio::test]
async fn a_dialler_refuses_a_listener_that_cannot_prove_the_key() {
    let a = NodeBuilder::new("a").open().await;
    let listener = TcpListener::bind(support::loopback()).await.unwrap();
    a.address_book.set(&vm("b"), listener.local_addr().unwrap());
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut raw = RawPeer(tokio_tungstenite::accept_async(stream).await.unwrap());
        raw.read().await.unwrap();
        let hello = Value::Bytes(raw.encode(&RawPeer::hello("b", 1)));
        let proof = Value::Bytes(vec![0; 32]);
        raw.write(&cbor!({ "hello" => hello, "proof" => proof }).unwrap())
            .await;
        if raw.read().await.is_some() {
            raw.write(&cbor!({ "refusal" => Value::Null }).unwrap())
                .await;
        }
        raw.read().await;
    });
    let refused = a.echo(&vm("b"), "hello").await.unwrap_err();
    assert!(
        refused.to_string().contains("wrong shared key"),
        "{refused}"
    );
}

#[tokio::test]
async fn dialling_this_node_itself_or_another_vm_is_refused() {
    let (a, b) = pair().await;
    a.address_book.set(&vm("c"), a.links.local_addr());
    a.address_book.set(&vm("d"), b.links.local_addr());
    let oneself = a.echo(&vm("c"), "hello").await.unwrap_err();
    assert!(
        oneself.to_string().contains("this node itself"),
        "{oneself}"
    );
    let another = a.echo(&vm("d"), "hello").await.unwrap_err();
    assert!(another.to_string().contains("another VM"), "{another}");
}

#[tokio::test]
async fn a_version_without_overlap_is_refused_and_a_wider_range_is_not() {
    let (a, _) = pair().await;
    let mut raw = RawPeer::connect(a.links.local_addr()).await;
    raw.write(&RawPeer::hello("c", 2)).await;
    assert_eq!(
        field(&raw.read().await.unwrap(), "refusal").as_text(),
        Some("Version")
    );
    RawPeer::open(a.links.local_addr(), "c").await;
}

#[tokio::test]
async fn a_replayed_handshake_is_refused() {
    let (a, b, proxy) = pair_with_proxy().await;
    a.echo(&b.vm, "one").await.unwrap();
    let recorded = proxy.sent_bytes().remove(0);
    let mut replay = TcpStream::connect(b.links.local_addr()).await.unwrap();
    let upgrade = recorded
        .windows(4)
        .position(|end| end == b"\r\n\r\n")
        .unwrap()
        + 4;
    replay.write_all(&recorded[..upgrade]).await.unwrap();
    assert!(replay.read_u8().await.is_ok(), "the upgrade is answered");
    replay.write_all(&recorded[upgrade..]).await.unwrap();
    until(|| b.links.counters().refused == 1).await;
    assert_eq!(b.links.counters().accepted, 1);
    assert_eq!(handled(&b), 1);
}

#[tokio::test]
async fn a_newer_incarnation_replaces_an_older_one() {
    let (mut first, mut second) = (NodeBuilder::new("a"), NodeBuilder::new("b"));
    first.timings.idle_timeout = NEVER;
    second.timings.idle_timeout = NEVER;
    let (a, b) = (first.open().await, second.open().await);
    a.add_address_of(&b);
    a.echo(&b.vm, "one").await.unwrap();
    let mut builder = NodeBuilder::new("a");
    builder.incarnation = 2;
    let newer = builder.open().await;
    newer.add_address_of(&b);
    newer.echo(&b.vm, "two").await.unwrap();
    until(|| b.links.peers()[0].connections == 1).await;
    assert_eq!(b.links.counters().superseded, 1);
    b.add_address_of(&newer);
    assert_eq!(b.links.peers()[0].identity.as_ref().unwrap().0.get(), 2);
    b.echo(&vm("a"), "three").await.unwrap();
    assert_eq!(handled(&newer), 1, "requests go to the newer process");
    until(|| a.links.peers()[0].connections == 0).await;
    let old = a.echo(&b.vm, "four").await.unwrap_err();
    assert!(old.to_string().contains("later incarnation"), "{old}");
}

#[tokio::test]
async fn unknown_frames_messages_and_fields_do_not_end_the_connection() {
    let (a, _) = pair().await;
    let mut raw = RawPeer::open(a.links.local_addr(), "c").await;
    raw.write_frame(99, 1, b"a frame of an unknown kind".to_vec())
        .await;
    let mut body = Vec::new();
    let unknown = cbor!({ "Fresh" => { "n" => 1 } }).unwrap();
    ciborium::into_writer(&unknown, &mut body).unwrap();
    raw.write_frame(0, 2, body).await;
    let answer = raw.read().await.unwrap();
    assert_eq!(
        (field(&answer, "k"), field(&answer, "i")),
        (4.into(), 2.into()),
        "not understood"
    );
    let mut body = Vec::new();
    let extended = cbor!({ "Slow" => { "millis" => 0, "extra" => "field" } }).unwrap();
    ciborium::into_writer(&extended, &mut body).unwrap();
    raw.write_frame(0, 3, body).await;
    let answer = raw.read().await.unwrap();
    assert_eq!(
        (field(&answer, "k"), field(&answer, "i")),
        (2.into(), 3.into()),
        "a reply"
    );
    assert_eq!(a.links.peers().len(), 1);
}

#[tokio::test]
async fn an_oversized_message_ends_the_connection() {
    let (a, _) = pair().await;
    let mut raw = RawPeer::open(a.links.local_addr(), "c").await;
    raw.write_frame(0, 1, vec![0; 64 << 10]).await;
    until(|| a.links.peers().iter().all(|peer| peer.connections == 0)).await;
    let mut raw = RawPeer::open(a.links.local_addr(), "d").await;
    for _ in 0..=(2 << 20) / (16 << 10) {
        raw.write_frame(6, 0, vec![0; 16 << 10]).await;
    }
    until(|| a.links.peers().iter().all(|peer| peer.connections == 0)).await;
    assert_eq!(handled(&a), 0);
}

#[tokio::test]
async fn chunks_beyond_the_byte_limit_are_dropped_and_the_request_refused() {
    let mut builder = NodeBuilder::new("a");
    builder.limits = LinkLimits {
        max_buffered_bytes: 64 << 10,
        ..LinkLimits::default()
    };
    let a = builder.open().await;
    let b = NodeBuilder::new("b").open().await;
    b.add_address_of(&a);
    let refused = b
        .links
        .request(&a.vm, Msg::Big(vec![1; 1 << 20]), LONG)
        .await;
    assert!(matches!(refused, Err(Error::Busy { .. })), "{refused:?}");
    b.echo(&a.vm, "still open").await.unwrap();
    assert_eq!(b.links.counters().dialled, 1);
}

/// Guards against small messages that are held without a limit on their bytes while they are handled.
#[tokio::test]
async fn small_messages_beyond_the_byte_limit_are_refused_as_busy() {
    let mut builder = NodeBuilder::new("a");
    builder.limits = LinkLimits {
        max_received_bytes: 64 << 10,
        ..LinkLimits::default()
    };
    let a = builder.open().await;
    let b = NodeBuilder::new("b").open().await;
    b.add_address_of(&a);
    let slow = (0..20).map(|_| {
        let text = "x".repeat(10 << 10);
        let msg = Msg::SlowText { millis: 500, text };
        b.links.request(&a.vm, msg, LONG)
    });
    let answers = futures_util::future::join_all(slow).await;
    let busy = answers
        .iter()
        .filter(|answer| matches!(answer, Err(Error::Busy { .. })));
    assert_eq!((busy.count(), handled(&a)), (14, 6));
}

#[tokio::test]
async fn a_peer_that_does_not_read_uses_bounded_memory() {
    let mut builder = NodeBuilder::new("a");
    builder.limits = LinkLimits {
        max_buffered_bytes: 1 << 20,
        ..LinkLimits::default()
    };
    let a = builder.open().await;
    let raw = RawPeer::open(a.links.local_addr(), "c").await;
    let mut refused = 0;
    for _ in 0..20_000 {
        if a.links.send(&vm("c"), &Msg::Big(vec![0; 8 << 10])).is_err() {
            refused += 1;
        }
        tokio::task::yield_now().await;
    }
    assert!(refused > 10_000, "{refused} of 20,000 refused");
    until(|| a.links.counters().silent == 1).await;
    drop(raw);
}

#[tokio::test]
async fn requests_beyond_the_handler_limit_are_refused_as_busy() {
    let mut builder = NodeBuilder::new("a");
    builder.limits = LinkLimits {
        max_handlers: 2,
        ..LinkLimits::default()
    };
    let a = builder.open().await;
    let b = NodeBuilder::new("b").open().await;
    b.add_address_of(&a);
    let slow = (0..10).map(|_| b.links.request(&a.vm, Msg::Slow { millis: 1_500 }, LONG));
    let answers = futures_util::future::join_all(slow).await;
    let busy = answers
        .iter()
        .filter(|answer| matches!(answer, Err(Error::Busy { .. })))
        .count();
    assert_eq!((busy, handled(&a)), (8, 2));
}

#[tokio::test]
async fn links_open_on_demand_and_close_when_idle() {
    let (mut first, mut second) = (NodeBuilder::new("a"), NodeBuilder::new("b"));
    first.timings.idle_timeout = Duration::from_millis(200);
    second.timings.idle_timeout = LONG;
    let (a, b) = (first.open().await, second.open().await);
    a.add_address_of(&b);
    assert_eq!(a.links.counters().dialled, 0);
    a.echo(&b.vm, "one").await.unwrap();
    until(|| b.links.peers()[0].connections == 0).await;
    assert_eq!((a.links.counters().idle, a.links.counters().pings), (1, 0));
    assert_eq!(a.links.counters().dial_failures, 0);
    a.echo(&b.vm, "two").await.unwrap();
    assert_eq!(a.links.counters().dialled, 2);
}

#[tokio::test]
async fn closing_an_idle_connection_loses_no_request() {
    let (mut first, mut second) = (NodeBuilder::new("a"), NodeBuilder::new("b"));
    first.timings.idle_timeout = Duration::from_millis(5);
    second.timings.idle_timeout = Duration::from_millis(7);
    let (a, b) = (first.open().await, second.open().await);
    a.add_address_of(&b);
    b.add_address_of(&a);
    for n in 0..100_u64 {
        sleep(Duration::from_millis(4 + 3 * (n % 5))).await;
        let (forth, back) = tokio::join!(a.echo(&b.vm, "forth"), b.echo(&a.vm, "back"));
        forth.unwrap();
        back.unwrap();
    }
    assert!(a.links.counters().idle + b.links.counters().idle > 0);
}

#[tokio::test]
async fn a_large_message_does_not_delay_small_ones() {
    let (a, b) = pair().await;
    let proxy = TcpProxy::open(b.links.local_addr(), Duration::from_millis(2)).await;
    a.address_book.set(&b.vm, proxy.addr);
    a.echo(&b.vm, "open").await.unwrap();
    let large = a.links.request(&b.vm, Msg::Big(vec![0; 2_000_000]), LONG);
    let mut large = Box::pin(large);
    assert!(
        timeout(Duration::from_millis(20), &mut large)
            .await
            .is_err()
    );
    for _ in 0..3 {
        tokio::select! {
            biased;
            _ = &mut large => panic!("the large message came first"),
            small = a.echo(&b.vm, "small") => assert!(small.is_ok()),
        }
    }
    large.await.unwrap();
}

#[tokio::test]
async fn a_request_in_transit_when_the_peer_closes_is_answered() {
    let (mut first, mut second) = (NodeBuilder::new("a"), NodeBuilder::new("b"));
    for builder in [&mut first, &mut second] {
        builder.timings.ping_after = LONG;
        builder.timings.verify_after = LONG;
        builder.timings.idle_timeout = NEVER;
    }
    second.timings.idle_timeout = Duration::from_millis(60);
    let (a, b) = (first.open().await, second.open().await);
    let proxy = TcpProxy::open(b.links.local_addr(), Duration::from_millis(40)).await;
    a.address_book.set(&b.vm, proxy.addr);
    for n in 0..12 {
        a.echo(&b.vm, "on its way").await.unwrap();
        sleep(Duration::from_millis(n * 5)).await;
    }
    until(|| b.links.counters().idle > 0).await;
}

#[tokio::test]
async fn a_large_message_in_transit_when_the_peer_closes_arrives() {
    let (first, mut second) = (NodeBuilder::new("a"), NodeBuilder::new("b"));
    second.timings.idle_timeout = Duration::from_millis(100);
    let (a, b) = (first.open().await, second.open().await);
    let proxy = TcpProxy::open(b.links.local_addr(), Duration::from_millis(2)).await;
    a.address_book.set(&b.vm, proxy.addr);
    for n in 0..6 {
        a.echo(&b.vm, "open").await.unwrap();
        sleep(Duration::from_millis(70 + n * 5)).await;
        let large = a
            .links
            .request(&b.vm, Msg::Big(vec![0; 400_000]), LONG)
            .await;
        large.unwrap();
    }
}
