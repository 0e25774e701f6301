//! [`ConfigMessage`].

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use oleanderpost_types::{FileName, Millis};

use crate::{ContentHash, FileDigest, Mechanism, Payload, RootReport};

/// A message between nodes about configuration. Each request has one response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigMessage {
    /// Announces a changed file, with contents that are small or were requested. The response is
    /// [`Self::Want`] or [`Self::Done`].
    Offer {
        /// State of the file on the sending node.
        digest: FileDigest,
        /// Compressed contents. The base of a delta is the previous content or one that the receiver has.
        payloads: Vec<Arc<Payload>>,
        /// Whether the sender has no further contents to send.
        last: bool,
    },
    /// Requests contents; the response is [`Self::Offer`].
    Want {
        /// Name of the file.
        name: FileName,
        /// Hashes of the requested contents.
        hashes: Vec<ContentHash>,
        /// Hashes of the contents that the requesting node has.
        have: Vec<ContentHash>,
    },
    /// Compares all files at once; the response is [`Self::Same`] or [`Self::Digests`].
    Sync {
        /// Root fingerprint of the requesting node: the sum of its [`FileDigest::fingerprint`]s.
        root: u64,
    },
    /// Both nodes have the same state.
    Same,
    /// State of all files on the responding node.
    Digests {
        /// Digests of all its files.
        digests: Vec<FileDigest>,
    },
    /// Reports to a watcher the state of the sending node; the response is [`Self::Reported`].
    Report {
        /// Root fingerprint of the reporting node.
        root: u64,
        /// Digests of all its files, if the watcher does not know the root.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        digests: Option<Vec<FileDigest>>,
    },
    /// Confirms a report.
    Reported {
        /// Whether the watcher knows the digests behind the root.
        known: bool,
    },
    /// Requests from a watcher the reports of the nodes in its data centre; the response is
    /// [`Self::Reports`].
    Survey {
        /// Limits the reports to one file.
        file: Option<FileName>,
    },
    /// Reports of the nodes in a data centre.
    Reports {
        /// The reports, grouped by root.
        reports: Vec<RootReport>,
        /// Time since the last response of the configuration service, if there was one.
        source_age: Option<Millis>,
    },
    /// No further contents are needed.
    Done,
}

impl ConfigMessage {
    /// Mechanism that the message belongs to.
    #[must_use]
    pub const fn mechanism(&self) -> Mechanism {
        match self {
            Self::Offer { .. } | Self::Want { .. } | Self::Done => Mechanism::Spread,
            Self::Sync { .. } | Self::Same | Self::Digests { .. } => Mechanism::AntiEntropy,
            Self::Report { .. } | Self::Reported { .. } => Mechanism::Report,
            Self::Survey { .. } | Self::Reports { .. } => Mechanism::Survey,
        }
    }

    /// Size of the message encoded as CBOR, in bytes.
    #[must_use]
    pub fn encoded_len(&self) -> u64 {
        let mut len = ByteCount(0);
        let done = ciborium::into_writer(self, &mut len);
        debug_assert!(done.is_ok(), "every message can be encoded as CBOR");
        len.0
    }
}

/// A writer that only counts the bytes written.
struct ByteCount(u64);

impl std::io::Write for ByteCount {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0 += buf.len() as u64;
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
