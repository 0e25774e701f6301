//! [`ReservationRequest`].

use serde::{Deserialize, Serialize};

use crate::{Millis, RequestKey, Tokens, VmId};

/// Body of `POST /v1/reservations`: a reservation of memory on one engine of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationRequest {
    /// Key of the request the memory is for.
    pub key: RequestKey,
    /// Memory to reserve.
    pub tokens: Tokens,
    /// VM that requests the reservation.
    pub holder: VmId,
    /// Time after which the reservation expires and the engine frees the memory.
    pub expires: Millis,
}
