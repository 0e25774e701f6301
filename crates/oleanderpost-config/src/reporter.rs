//! The task that tells the watchers of the data centre what is in force here.

use std::{sync::Arc, time::Duration};

use oleanderpost_types::VmId;
use tokio::time::{sleep, timeout};

use crate::{ConfigMessage, Result, shared::Shared};

/// Mean time that changes are gathered before they are reported.
const REPORT_DELAY: Duration = Duration::from_millis(300);

/// Reports at intervals and after changes.
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
            // Silence is remembered: the next one in rank takes the report and the watch.
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
