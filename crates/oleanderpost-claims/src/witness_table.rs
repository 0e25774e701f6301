//! [`WitnessTable`].

use std::collections::BTreeMap;

use oleanderpost_types::RequestKey;

use crate::{Abstention, ClaimId, ClaimMessage};

/// State of one key at a witness.
struct KeyEntry {
    holder: Option<ClaimId>,
    released: Option<ClaimId>,
    witnesses: u32,
}

impl KeyEntry {
    fn answer(&mut self, claim: ClaimId) -> ClaimMessage {
        if self.released == Some(claim) {
            return ClaimMessage::Taken;
        }
        if *self.holder.get_or_insert(claim) != claim {
            return ClaimMessage::Taken;
        }
        ClaimMessage::Granted {
            witnesses: self.witnesses,
        }
    }
}

/// Keys that a witness granted, ordered by time of issue.
pub(crate) struct WitnessTable {
    entries: BTreeMap<RequestKey, KeyEntry>,
    max_keys: usize,
    expired_before_ms: u64,
}

impl WitnessTable {
    pub(crate) const fn new(max_keys: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            max_keys,
            expired_before_ms: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Answer for a known key; `None` if the key is unknown.
    pub(crate) fn answer(&mut self, key: RequestKey, claim: ClaimId) -> Option<ClaimMessage> {
        Some(self.entries.get_mut(&key)?.answer(claim))
    }

    /// Whether a key issued at that time may already have been dropped from the table.
    pub(crate) const fn may_have_expired(&self, issued_ms: u64) -> bool {
        issued_ms < self.expired_before_ms
    }

    /// Grants a key that is not in the table; abstains if the table is full.
    pub(crate) fn grant(
        &mut self,
        key: RequestKey,
        claim: ClaimId,
        witnesses: u32,
    ) -> ClaimMessage {
        if self.entries.len() >= self.max_keys {
            return ClaimMessage::Abstained(Abstention::Full);
        }
        let entry = KeyEntry {
            holder: Some(claim),
            released: None,
            witnesses,
        };
        self.entries.insert(key, entry);
        ClaimMessage::Granted { witnesses }
    }

    /// Releases a key if the claim holds it; returns whether it did.
    pub(crate) fn release(&mut self, key: RequestKey, claim: ClaimId) -> bool {
        let Some(entry) = self.entries.get_mut(&key) else {
            return false;
        };
        if entry.holder != Some(claim) {
            return false;
        }
        entry.holder = None;
        entry.released = Some(claim);
        true
    }

    /// Drops the keys issued before `issued_ms`; such keys are refused from now on.
    pub(crate) fn expire_before(&mut self, issued_ms: u64) {
        self.expired_before_ms = self.expired_before_ms.max(issued_ms);
        while let Some(oldest) = self.entries.first_entry() {
            if oldest
                .key()
                .issued_ms()
                .is_some_and(|issued| issued >= issued_ms)
            {
                return;
            }
            oldest.remove();
        }
    }
}
