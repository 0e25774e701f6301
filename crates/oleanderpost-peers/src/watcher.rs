//! Task that watches the platform's VM list while this node is one of the watchers.

use std::{sync::Arc, time::Duration};

use oleanderpost_types::Millis;
use tokio::time::{Instant, sleep, timeout};

use crate::roster_core::RosterCore;

/// Interval at which a node checks whether it should watch.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

pub(crate) async fn run(core: Arc<RosterCore>) {
    let mut failures = 0;
    loop {
        if !core.is_watcher() {
            tokio::select! {
                () = sleep(core.jitter(WATCHER_CHECK_INTERVAL)) => {}
                () = core.watcher_notify.notified() => {}
            }
            continue;
        }
        failures = if read(&core).await { 0 } else { failures + 1 };
        sleep(core.jitter(read_delay(&core, failures))).await;
    }
}

fn read_delay(core: &RosterCore, failures: u32) -> Duration {
    let factor = 1_u32 << failures.min(16);
    core.timings
        .min_read_delay
        .saturating_mul(factor)
        .min(core.timings.max_read_delay)
}

/// Reads the list once; false when the read failed or returned an older list.
async fn read(core: &RosterCore) -> bool {
    let timings = &core.timings;
    let after = core.lock().held_list.revision();
    core.lock().counters.reads += 1;
    let started_at = Instant::now();
    let wait: Millis = if after.get() == 0 {
        Millis::new(0)
    } else {
        timings.read_wait.into()
    };
    match timeout(
        timings.read_wait + timings.read_timeout_margin,
        core.source.list(after, wait),
    )
    .await
    {
        Ok(Ok(list)) if list.revision >= after && list.revision.get() > 0 => {
            core.apply_platform_list(list, started_at);
            true
        }
        Ok(Ok(_)) => {
            core.lock().counters.stale_reads += 1;
            false
        }
        Ok(Err(_)) | Err(_) => {
            core.lock().counters.read_failures += 1;
            false
        }
    }
}
