//! Brings changes of configuration and VM list to admission at once.

use std::sync::{Arc, atomic::Ordering};

use oleanderpost::types::Revision;

use crate::Node;

/// Follows the changes; the node takes requests once both are known.
pub(crate) async fn run(node: Arc<Node>) {
    let mut configured = node.convergence.ready();
    let mut snapshots = node.convergence.subscribe();
    let mut vm_lists = node.roster.subscribe();
    loop {
        snapshots.mark_unchanged();
        vm_lists.mark_unchanged();
        configured.mark_unchanged();
        // Looked at before the refresh: what is known by then, admission knows after it.
        let has_vm_list = node.roster.view().revision > Revision::default();
        let complete = *configured.borrow() && has_vm_list;
        node.admission.refresh();
        if complete && !node.initialized.swap(true, Ordering::AcqRel) {
            spdlog::info!("ready", kv: { step = "start", vm: = node.settings.vm });
        }
        let changed = tokio::select! {
            changed = snapshots.changed() => changed,
            changed = vm_lists.changed() => changed,
            changed = configured.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}
