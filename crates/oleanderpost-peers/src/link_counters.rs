//! [`LinkCounters`] and [`KindCounters`].

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

/// Counters of the messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct KindCounters {
    /// Messages sent.
    pub sent: u64,
    /// Encoded bytes sent, without frame overhead.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Encoded bytes received, without frame overhead.
    pub received_bytes: u64,
}

/// Counters of all links since they were opened.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct LinkCounters {
    /// WebSocket messages sent.
    pub frames_out: u64,
    /// Bytes of WebSocket messages sent, with their headers, without TCP and IP headers.
    pub bytes_out: u64,
    /// WebSocket messages received.
    pub frames_in: u64,
    /// Bytes of WebSocket messages received, with their headers, without TCP and IP headers.
    pub bytes_in: u64,
    /// Pings sent.
    pub pings: u64,
    /// Connections opened by this node.
    pub dialled: u64,
    /// Connections that this node failed to open.
    pub dial_failures: u64,
    /// Connections accepted.
    pub accepted: u64,
    /// Handshakes that failed, on either side.
    pub refused: u64,
    /// Connections closed because a ping was not answered in time.
    pub silent: u64,
    /// Connections closed because they were idle.
    pub idle: u64,
    /// Connections closed because a later incarnation connected.
    pub superseded: u64,
    /// Messages and answers dropped because a queue, byte or handler limit was reached.
    pub dropped: u64,
    /// Messages received that could not be decoded.
    pub not_understood: u64,
    /// Messages by kind.
    pub kinds: BTreeMap<&'static str, KindCounters>,
}

/// One of the totals in [`SharedCounters`].
#[derive(Clone, Copy, Debug)]
pub(crate) enum Counter {
    FramesOut,
    BytesOut,
    FramesIn,
    BytesIn,
    Pings,
    Dialled,
    DialFailures,
    Accepted,
    Refused,
    Silent,
    Idle,
    Superseded,
    Dropped,
    NotUnderstood,
}

const COUNTER_COUNT: usize = Counter::NotUnderstood as usize + 1;

/// Counters that connections update; [`LinkCounters`] is a snapshot of them.
#[derive(Debug, Default)]
pub(crate) struct SharedCounters {
    totals: [AtomicU64; COUNTER_COUNT],
    kinds: Mutex<BTreeMap<&'static str, KindCounters>>,
}

impl SharedCounters {
    pub(crate) fn add(&self, counter: Counter, n: u64) {
        self.totals[counter as usize].fetch_add(n, Ordering::Relaxed);
    }

    pub(crate) fn increment(&self, counter: Counter) {
        self.add(counter, 1);
    }

    pub(crate) fn record_sent(&self, kind: &'static str, bytes: usize) {
        let mut kinds = self.kinds.lock().expect("no panic under this lock");
        let counters = kinds.entry(kind).or_default();
        counters.sent += 1;
        counters.sent_bytes += bytes as u64;
    }

    pub(crate) fn record_received(&self, kind: &'static str, bytes: usize) {
        let mut kinds = self.kinds.lock().expect("no panic under this lock");
        let counters = kinds.entry(kind).or_default();
        counters.received += 1;
        counters.received_bytes += bytes as u64;
    }

    fn get(&self, counter: Counter) -> u64 {
        self.totals[counter as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn snapshot(&self) -> LinkCounters {
        LinkCounters {
            frames_out: self.get(Counter::FramesOut),
            bytes_out: self.get(Counter::BytesOut),
            frames_in: self.get(Counter::FramesIn),
            bytes_in: self.get(Counter::BytesIn),
            pings: self.get(Counter::Pings),
            dialled: self.get(Counter::Dialled),
            dial_failures: self.get(Counter::DialFailures),
            accepted: self.get(Counter::Accepted),
            refused: self.get(Counter::Refused),
            silent: self.get(Counter::Silent),
            idle: self.get(Counter::Idle),
            superseded: self.get(Counter::Superseded),
            dropped: self.get(Counter::Dropped),
            not_understood: self.get(Counter::NotUnderstood),
            kinds: self.kinds.lock().expect("no panic under this lock").clone(),
        }
    }
}
