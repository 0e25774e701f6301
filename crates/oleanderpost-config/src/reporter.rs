//! The task that reports the state of this node to the watchers of its data centre.

use std::{sync::Arc, time::Duration};

use oleanderpost_types::VmId;
use tokio::time::{sleep, timeout};

use crate::{ConfigMessage, Result, shared::Shared};

/// Mean delay before a change is reported, so that one report covers several changes.
const REPORT_DELAY: Duration = Duration::from_millis(300);

/// Sends reports at intervals and after changes.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let interval = shared.jitter(shared.tuning.report_interval);
        if timeout(interval, shared.report_requested.notified())
            .await
            .is_ok()
        {
            sleep(shared.jitter(REPORT_DELAY)).await;
        }
        let watchers = shared.watchers(&shared.peers());
        for vm in watchers.iter().filter(|vm| **vm != shared.vm) {
            // `Shared::request` marks a watcher that does not respond as suspect. The next node in rank then
            // receives the reports and watches the configuration service.
            let _ = report(&shared, vm).await;
        }
    }
}

async fn report(shared: &Shared, vm: &VmId) -> Result<()> {
    let root = shared.store().root();
    let report = ConfigMessage::Report {
        root,
        digests: None,
    };
    let ConfigMessage::Reported { known: false } = shared.request(vm, report).await? else {
        return Ok(());
    };
    let (root, digests) = {
        let store = shared.store();
        (store.root(), store.digests())
    };
    let report = ConfigMessage::Report {
        root,
        digests: Some(digests),
    };
    shared.request(vm, report).await?;
    Ok(())
}
