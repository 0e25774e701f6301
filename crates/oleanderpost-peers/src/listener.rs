//! Task that accepts connections from peers.

use std::sync::Arc;

use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::{Duration, sleep, timeout},
};
use tokio_tungstenite::accept_async_with_config;

use crate::{
    connection::Connection,
    context::Context,
    dial::socket_config,
    handshake::{self, Refusal},
    link_counters::Counter,
};

/// Delay after a failed accept, for example because the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections until the links close; the number of handshakes in progress is limited.
pub(crate) async fn run(cx: Arc<Context>, listener: TcpListener) {
    let handshake_slots = Arc::new(Semaphore::new(cx.limits.max_handshakes));
    loop {
        let Ok(permit) = Arc::clone(&handshake_slots).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            () = cx.closing.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let task_cx = Arc::clone(&cx);
        cx.tasks.spawn(async move {
            let opened = timeout(task_cx.timings.open_timeout, open(&task_cx, stream)).await;
            if !matches!(opened, Ok(Ok(()))) {
                task_cx.counters.increment(Counter::Refused);
            }
            drop(permit);
        });
    }
}

async fn open(cx: &Arc<Context>, stream: TcpStream) -> Result<(), Refusal> {
    stream.set_nodelay(true).map_err(|_| Refusal::Broken)?;
    let upgraded = accept_async_with_config(stream, Some(socket_config(&cx.limits))).await;
    let mut socket = upgraded.map_err(|_| Refusal::Broken)?;
    let admit = |peer: &handshake::Identity| cx.get_or_add_peer(&peer.vm).check_incarnation(peer);
    let identity = handshake::accept(
        &mut socket,
        &cx.own_identity,
        &cx.key,
        cx.new_nonce(),
        admit,
    )
    .await?;
    let peer = cx.get_or_add_peer(&identity.vm);
    if !Connection::start(cx, &peer, identity, socket) {
        return Err(Refusal::OldIncarnation);
    }
    cx.counters.increment(Counter::Accepted);
    Ok(())
}
