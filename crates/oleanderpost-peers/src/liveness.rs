//! [`Liveness`]: decides from the times of a connection when to ping it and when to close it.

use std::time::Duration;

use tokio::time::Instant;

use crate::LinkTimings;

/// What the heartbeat of a connection does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatAction {
    /// Send a ping.
    Ping,
    /// The peer does not answer: close the connection.
    Silent,
    /// The connection is idle: close it gracefully.
    Idle,
    /// The connection is closing and has not closed in time: close it at once.
    DrainExpired,
    /// Do nothing until this time.
    Wait(Instant),
}

/// Times and state of one connection. Only answers and pongs from the peer prove that both directions work.
#[derive(Debug)]
pub(crate) struct Liveness {
    opened_at: Instant,
    last_answer: Instant,
    last_used: Instant,
    /// Time of the first write since the last answer.
    unanswered_since: Option<Instant>,
    ping_sent_at: Option<Instant>,
    /// Written requests that wait for an answer.
    pending_requests: usize,
    /// Whether a ping must be answered before the connection is used again.
    probe_required: bool,
    /// Time since which this side writes no new messages.
    closing_since: Option<Instant>,
    /// Whether the peer writes no new messages either.
    goodbye_received: bool,
}

impl Liveness {
    /// Starts with the current time as the last answer: in the handshake, each side answered a fresh nonce.
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        Self {
            opened_at: now,
            last_answer: now,
            last_used: now,
            unanswered_since: None,
            ping_sent_at: None,
            pending_requests: 0,
            probe_required: false,
            closing_since: None,
            goodbye_received: false,
        }
    }

    pub(crate) fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Records a written message; returns whether it is the first since the last answer, so that the
    /// heartbeat must be rescheduled.
    pub(crate) fn record_write(&mut self, is_request: bool) -> bool {
        let now = Instant::now();
        self.last_used = now;
        self.pending_requests += usize::from(is_request);
        let first = self.unanswered_since.is_none();
        self.unanswered_since.get_or_insert(now);
        first
    }

    /// Records a received message that is not an answer.
    pub(crate) fn record_use(&mut self) {
        self.last_used = Instant::now();
    }

    /// Records a received pong or answer.
    pub(crate) fn record_answer(&mut self) {
        self.last_answer = Instant::now();
        self.unanswered_since = None;
        self.ping_sent_at = None;
        self.probe_required = false;
    }

    /// Records that a request no longer waits for an answer.
    pub(crate) fn request_finished(&mut self) {
        self.pending_requests = self.pending_requests.saturating_sub(1);
    }

    /// Requires an answer before the connection is used again.
    pub(crate) fn require_probe(&mut self) {
        self.probe_required = true;
    }

    pub(crate) fn is_probe_required(&self) -> bool {
        self.probe_required
    }

    pub(crate) fn is_verified(&self, verify_after: Duration) -> bool {
        !self.probe_required
            && self.closing_since.is_none()
            && self.last_answer.elapsed() < verify_after
    }

    pub(crate) fn pending_requests(&self) -> usize {
        self.pending_requests
    }

    /// Stops new messages; returns whether this is the first call.
    pub(crate) fn start_closing(&mut self) -> bool {
        let first = self.closing_since.is_none();
        self.closing_since.get_or_insert_with(Instant::now);
        first
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing_since.is_some()
    }

    /// Records that the peer writes no new messages.
    pub(crate) fn record_goodbye(&mut self) {
        self.goodbye_received = true;
    }

    /// Whether the peer writes no new messages.
    pub(crate) fn is_goodbye_received(&self) -> bool {
        self.goodbye_received
    }

    /// Time at which the idle timeout, or the drain timeout of a closing connection, expires.
    fn unused_deadline(&self, timings: &LinkTimings) -> Instant {
        match self.closing_since {
            Some(since) => since.max(self.last_used) + timings.drain_timeout,
            None => self.last_used + timings.idle_timeout,
        }
    }

    /// What the heartbeat does now.
    pub(crate) fn next_action(&mut self, timings: &LinkTimings) -> HeartbeatAction {
        let now = Instant::now();
        if let Some(sent) = self.ping_sent_at {
            let pong_deadline = sent + timings.pong_timeout;
            return if now >= pong_deadline {
                HeartbeatAction::Silent
            } else {
                HeartbeatAction::Wait(pong_deadline)
            };
        }
        if self.closing_since.is_some() && now >= self.unused_deadline(timings) {
            return HeartbeatAction::DrainExpired;
        }
        let waiting_since = self
            .unanswered_since
            .or((self.pending_requests > 0).then_some(self.last_answer));
        let ping_at = if self.probe_required {
            Some(now)
        } else {
            waiting_since.map(|at| at + timings.ping_after)
        };
        if ping_at.is_some_and(|at| now >= at) {
            self.ping_sent_at = Some(now);
            return HeartbeatAction::Ping;
        }
        let check_at = if self.pending_requests > 0 && self.closing_since.is_none() {
            now + timings.ping_after
        } else {
            self.unused_deadline(timings)
        };
        if now >= check_at {
            return HeartbeatAction::Idle;
        }
        HeartbeatAction::Wait(ping_at.map_or(check_at, |at| at.min(check_at)))
    }
}
