//! [`ClaimsListObserver`].

use std::sync::Arc;

use oleanderpost::{claims::Claims, peers::ListObserver, types::VmList};

/// [`ListObserver`] that passes each new VM list to [`Claims`].
pub(crate) struct ClaimsListObserver {
    claims: Arc<Claims>,
}

impl ClaimsListObserver {
    pub(crate) fn new(claims: Arc<Claims>) -> Self {
        Self { claims }
    }
}

impl ListObserver for ClaimsListObserver {
    fn observe(&self, list: &Arc<VmList>) {
        self.claims.observe(list);
    }
}
