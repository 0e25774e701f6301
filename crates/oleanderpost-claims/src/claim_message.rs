//! [`ClaimMessage`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::RequestKey;

use crate::{Abstention, ClaimId, Confirmation};

/// Message between a claimant and a witness, or between two witnesses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum ClaimMessage {
    /// Request to a witness to grant a key; idempotent.
    Ask {
        /// Key of the request.
        key: RequestKey,
        /// Claim that requests the key.
        claim: ClaimId,
    },
    /// Answer: the key is granted to this claim.
    Granted {
        /// Greatest size of the key's witness set in the VM lists that the witness takes into account.
        witnesses: u32,
    },
    /// Answer: the key is granted to another claim.
    Taken,
    /// Answer: the witness can neither grant nor deny the key.
    Abstained(Abstention),
    /// Releases a key: nothing was or will be dispatched under this claim.
    Release {
        /// Key of the request.
        key: RequestKey,
        /// Claim that releases the key.
        claim: ClaimId,
    },
    /// Answer to [`Self::Release`].
    Released,
    /// Request for the revision of the peer's VM list, with that of the sender.
    Confirm(Confirmation),
    /// Answer to [`Self::Confirm`].
    Confirmed(Confirmation),
}
