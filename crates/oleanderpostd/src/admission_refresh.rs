//! Refreshes admission at each change of the configuration or the VM list.

use std::sync::{Arc, atomic::Ordering};

use oleanderpost::types::Revision;

use crate::Node;

/// Watches for changes and refreshes admission. Marks the node as initialized once the initial
/// reads of the configuration are done and admission has the VM list.
pub(crate) async fn run(node: Arc<Node>) {
    let mut configured = node.convergence.ready();
    let mut snapshots = node.convergence.subscribe();
    let mut vm_lists = node.roster.subscribe();
    loop {
        snapshots.mark_unchanged();
        vm_lists.mark_unchanged();
        configured.mark_unchanged();
        // Read before the refresh, so that admission has everything that was available at this point.
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
