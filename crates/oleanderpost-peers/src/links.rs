//! [`Links`].

use std::{marker::PhantomData, net::SocketAddr, sync::Arc, time::Duration};

use oleanderpost_types::VmId;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout, timeout_at},
};

use crate::{
    Error, LinkCounters, Message, PeerView, Reachability, Result, SendProgress,
    context::Context,
    frame::{FrameKind, decode, encode},
    link_counters::Counter,
    peer::{Peer, RequestResult, SubmitError},
    send_queue::OutgoingMessage,
};

/// Links of this node to its peers, for messages of type `M`.
///
/// Clones share the same links.
pub struct Links<M> {
    cx: Arc<Context>,
    local_addr: SocketAddr,
    messages: PhantomData<fn(M) -> M>,
}

impl<M> Clone for Links<M> {
    fn clone(&self) -> Self {
        Self {
            cx: Arc::clone(&self.cx),
            local_addr: self.local_addr,
            messages: PhantomData,
        }
    }
}

/// Abandons a request when it is dropped, for example because its caller stopped waiting.
struct AbandonOnDrop {
    peer: Arc<Peer>,
    id: u64,
}

impl Drop for AbandonOnDrop {
    fn drop(&mut self) {
        self.peer.abandon_request(self.id);
    }
}

impl<M: Message> Links<M> {
    pub(crate) fn new(cx: Arc<Context>, local_addr: SocketAddr) -> Self {
        Self {
            cx,
            local_addr,
            messages: PhantomData,
        }
    }

    /// Address of this node's link listener.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Sends a message and waits for its answer.
    ///
    /// A message is written at most once. After an error for which [`Error::maybe_handled`] holds, the caller
    /// decides whether to send it again.
    ///
    /// # Errors
    ///
    /// Any error that names the peer; [`Error::Closed`] after [`close`](Self::close).
    pub async fn request(&self, to: &VmId, msg: M, time_limit: Duration) -> Result<M> {
        let deadline = Instant::now() + time_limit;
        let id = self.cx.next_id();
        let (tx, rx) = oneshot::channel();
        let outgoing = self.encode(to, &msg, FrameKind::Request, id)?;
        drop(msg);
        let peer = self.submit(to, outgoing, Some(tx))?;
        let abandon_on_drop = AbandonOnDrop { peer, id };
        let answer = timeout_at(deadline, rx).await;
        let Ok(answer) = answer else {
            let progress = abandon_on_drop.peer.abandon_request(id);
            return Err(Error::Timeout {
                peer: to.clone(),
                progress,
            });
        };
        let body = answer.map_err(|_| Error::Closed)??;
        let decoded = decode(&body);
        let answer: M = decoded.map_err(|reason| Error::Decode {
            peer: to.clone(),
            reason,
        })?;
        self.cx.counters.record_received(answer.kind(), body.len());
        Ok(answer)
    }

    /// Queues a message that expects no answer; delivery is not guaranteed.
    ///
    /// # Errors
    ///
    /// [`Error::QueueFull`], [`Error::TooLarge`], [`Error::Encode`], [`Error::Closed`].
    pub fn send(&self, to: &VmId, msg: &M) -> Result<()> {
        let outgoing = self.encode(to, msg, FrameKind::Send, 0)?;
        self.submit(to, outgoing, None).map(drop)
    }

    fn encode(&self, to: &VmId, msg: &M, kind: FrameKind, id: u64) -> Result<OutgoingMessage> {
        let body = encode(msg).map_err(|reason| Error::Encode {
            peer: to.clone(),
            reason,
        })?;
        let limit = self.cx.limits.max_message_bytes;
        if body.len() > limit {
            return Err(Error::TooLarge {
                peer: to.clone(),
                size: body.len(),
                limit,
            });
        }
        let permit = self
            .cx
            .reserve_outgoing(body.len())
            .ok_or_else(|| self.queue_full_error(to))?;
        Ok(OutgoingMessage {
            kind,
            id,
            body,
            message_kind: Some(msg.kind()),
            permit: Some(permit),
        })
    }

    fn queue_full_error(&self, to: &VmId) -> Error {
        self.cx.counters.increment(Counter::Dropped);
        Error::QueueFull { peer: to.clone() }
    }

    fn submit(
        &self,
        to: &VmId,
        outgoing: OutgoingMessage,
        tx: Option<oneshot::Sender<RequestResult>>,
    ) -> Result<Arc<Peer>> {
        let mut unsent = Some((outgoing, tx));
        while let Some((outgoing, tx)) = unsent.take() {
            if self.cx.closing.is_cancelled() {
                break;
            }
            let peer = self.cx.get_or_add_peer(to);
            match peer.submit(&self.cx, outgoing, tx) {
                Ok(()) => return Ok(peer),
                Err(SubmitError::Full) => return Err(self.queue_full_error(to)),
                Err(SubmitError::PeerRemoved(outgoing, tx)) => unsent = Some((outgoing, tx)),
            }
        }
        Err(Error::Closed)
    }

    /// State of the links to each peer that was used and has not been removed.
    #[must_use]
    pub fn peers(&self) -> Vec<PeerView> {
        let peers: Vec<_> = self.cx.lock_peers().values().cloned().collect();
        let mut views: Vec<_> = peers.iter().map(|peer| peer.view()).collect();
        views.sort_by(|a, b| a.vm.cmp(&b.vm));
        views
    }

    /// Reachability of one peer as seen by these links; for routing only.
    #[must_use]
    pub fn reachability(&self, peer: &VmId) -> Reachability {
        let peer = self.cx.lock_peers().get(peer).cloned();
        peer.map_or(Reachability::Unknown, |peer| peer.view().reachability)
    }

    /// Counters since the links were opened.
    #[must_use]
    pub fn counters(&self) -> LinkCounters {
        self.cx.counters.snapshot()
    }

    /// Closes the links for all clones: accepts no new messages, and lets requests in progress be answered
    /// within `time_limit`.
    pub async fn close(self, time_limit: Duration) {
        self.cx.closing.cancel();
        let peers: Vec<_> = self.cx.lock_peers().values().cloned().collect();
        for peer in &peers {
            peer.close_gracefully();
        }
        let drained = async {
            for peer in &peers {
                peer.wait_drained().await;
            }
        };
        let _ = timeout(time_limit, drained).await;
        self.cx.closed.cancel();
        self.cx.tasks.close();
        self.cx.tasks.wait().await;
    }
}

impl<M> std::fmt::Debug for Links<M> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Links")
            .field("local_addr", &self.local_addr)
            .finish_non_exhaustive()
    }
}

impl SendProgress {
    /// Whether any byte of the message may have reached the peer.
    #[must_use]
    pub fn is_written(self) -> bool {
        self == Self::Written
    }
}
