//! Requests, answers and one-way messages over TCP connections.

mod support;

use oleanderpost_peers::{Error, LinkLimits, Reachability};
use support::{LONG, Msg, NodeBuilder, pair, until, vm};

#[tokio::test]
async fn requests_are_answered_in_both_directions() {
    let (a, b) = pair().await;
    assert_eq!(
        a.echo(&b.vm, "one").await.unwrap(),
        Msg::Echo("one".to_owned())
    );
    assert_eq!(
        b.echo(&a.vm, "two").await.unwrap(),
        Msg::Echo("two".to_owned())
    );
    let view = &b.links.peers()[0];
    assert_eq!(
        view.connections, 1,
        "the answering side uses the connection it has"
    );
    assert_eq!(view.reachability, Reachability::Reachable);
    a.close().await;
    b.close().await;
}

#[tokio::test]
async fn out_of_order_answers_reach_their_callers() {
    let (a, b) = pair().await;
    let slow = a.links.request(&b.vm, Msg::Slow { millis: 50 }, LONG);
    let fast = a.echo(&b.vm, "fast");
    let (slow, fast) = tokio::join!(slow, fast);
    assert_eq!(slow.unwrap(), Msg::Slow { millis: 50 });
    assert_eq!(fast.unwrap(), Msg::Echo("fast".to_owned()));
}

#[tokio::test]
async fn a_large_message_arrives_whole_and_a_larger_one_is_refused() {
    let (a, b) = pair().await;
    let big = Msg::Big((0..1_500_000_u32).map(|n| n.to_le_bytes()[0]).collect());
    assert_eq!(
        a.links.request(&b.vm, big.clone(), LONG).await.unwrap(),
        big
    );
    let over = Msg::Big(vec![0; 3 << 20]);
    let refused = a.links.request(&b.vm, over, LONG).await;
    assert!(
        matches!(refused, Err(Error::TooLarge { .. })),
        "{refused:?}"
    );
}

#[tokio::test]
async fn one_way_messages_arrive_and_a_request_without_answer_fails() {
    let (a, b) = pair().await;
    for n in 0..100 {
        a.links.send(&b.vm, &Msg::Note(n)).unwrap();
    }
    until(|| b.handler.notes.lock().unwrap().len() == 100).await;
    let none = a.links.request(&b.vm, Msg::Silent, LONG).await;
    assert!(matches!(none, Err(Error::NoAnswer { .. })), "{none:?}");
}

#[tokio::test]
async fn a_full_queue_refuses_messages() {
    let mut builder = NodeBuilder::new("a");
    builder.limits = LinkLimits {
        max_queued_messages: 4,
        ..LinkLimits::default()
    };
    let a = builder.open().await;
    let b = vm("b");
    a.address_book.set(&b, "127.0.0.1:9".parse().unwrap());
    let sent: Vec<_> = (0..10).map(|n| a.links.send(&b, &Msg::Note(n))).collect();
    assert!(sent[..4].iter().all(Result::is_ok));
    assert!(
        sent[4..]
            .iter()
            .all(|s| matches!(s, Err(Error::QueueFull { .. })))
    );
}

#[tokio::test]
async fn close_waits_for_requests_in_progress() {
    let (a, b) = pair().await;
    a.echo(&b.vm, "open").await.unwrap();
    let (links, to) = (a.links.clone(), b.vm.clone());
    let slow =
        tokio::spawn(async move { links.request(&to, Msg::Slow { millis: 100 }, LONG).await });
    until(|| b.handler.handled.load(std::sync::atomic::Ordering::Relaxed) == 2).await;
    b.close().await;
    assert_eq!(slow.await.unwrap().unwrap(), Msg::Slow { millis: 100 });
}
