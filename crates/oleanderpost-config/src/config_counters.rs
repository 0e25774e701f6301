//! [`ConfigCounters`].

use serde::{Deserialize, Serialize};

use crate::{ConfigMessage, Mechanism};

/// Numbers of messages and their size in CBOR, without the framing of the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Bytes received.
    pub bytes_received: u64,
}

impl Traffic {
    pub(crate) fn sent(&mut self, len: u64) {
        self.messages_sent += 1;
        self.bytes_sent += len;
    }

    pub(crate) fn received(&mut self, len: u64) {
        self.messages_received += 1;
        self.bytes_received += len;
    }
}

/// Counters of the convergence on this node since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCounters {
    /// Pushes of changes to peers, and fetches of contents.
    pub spread: Traffic,
    /// Periodic comparison of all files with one peer.
    pub anti_entropy: Traffic,
    /// Reports of nodes to the watchers of their data centre.
    pub report: Traffic,
    /// Requests of operators for the state of the whole fleet.
    pub survey: Traffic,
    /// Requests to peers that failed or timed out.
    #[serde(rename = "failed_asks")]
    pub failed_requests: u64,
    /// Reads of the configuration service; a watch request counts as one.
    pub source_reads: u64,
    /// Reads of the configuration service that failed.
    pub failed_source_reads: u64,
    /// Contents received from the configuration service, in bytes.
    pub source_bytes: u64,
    /// Number of contents checked.
    pub checks: u64,
    /// Time spent on decompression and checks, in microseconds.
    pub check_micros: u64,
    /// Number of changes of the configuration in force.
    pub changes: u64,
}

impl ConfigCounters {
    /// Traffic of one mechanism.
    #[must_use]
    pub const fn traffic(&self, mechanism: Mechanism) -> &Traffic {
        match mechanism {
            Mechanism::Spread => &self.spread,
            Mechanism::AntiEntropy => &self.anti_entropy,
            Mechanism::Report => &self.report,
            Mechanism::Survey => &self.survey,
        }
    }

    const fn traffic_mut(&mut self, mechanism: Mechanism) -> &mut Traffic {
        match mechanism {
            Mechanism::Spread => &mut self.spread,
            Mechanism::AntiEntropy => &mut self.anti_entropy,
            Mechanism::Report => &mut self.report,
            Mechanism::Survey => &mut self.survey,
        }
    }

    /// Counts a sent message under the mechanism of its request.
    pub(crate) fn sent(&mut self, mechanism: Mechanism, msg: &ConfigMessage) {
        self.traffic_mut(mechanism).sent(msg.encoded_len());
    }

    /// Counts a received message under the mechanism of its request.
    pub(crate) fn received(&mut self, mechanism: Mechanism, msg: &ConfigMessage) {
        self.traffic_mut(mechanism).received(msg.encoded_len());
    }
}
