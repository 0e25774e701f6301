//! Decompresses, checks and merges contents from peers and from the configuration service.

use std::sync::Arc;

use oleanderpost_types::{ConfigEntry, ConfigReply, FileName, VmId};
use tokio::sync::mpsc;

use crate::{
    ContentHash, Payload,
    shared::{PendingOffer, Shared},
    store::{CheckedContent, MergeResult},
};

/// Contents longer than this are checked with `spawn_blocking`, in bytes.
const BLOCKING_CHECK_LEN: usize = 8 * 1024;

/// A received content, with the delta from a previous content if there is one.
struct ReceivedContent {
    checked: CheckedContent,
    delta: Option<Arc<Payload>>,
}

/// Merges offers of peers sequentially.
pub(crate) async fn run(shared: Arc<Shared>, mut offers: mpsc::Receiver<PendingOffer>) {
    while let Some(offer) = offers.recv().await {
        merge_offer(&shared, offer).await;
    }
}

/// Merges one offer of a peer.
pub(crate) async fn merge_offer(shared: &Shared, offer: PendingOffer) {
    let PendingOffer {
        from,
        digest,
        payloads,
    } = offer;
    let mut received: Vec<ReceivedContent> = Vec::new();
    for payload in payloads {
        let base = payload.base.and_then(|hash| {
            let earlier = received.iter().find(|content| content.checked.hash == hash);
            let earlier = earlier.map(|content| content.checked.content.clone());
            earlier.or_else(|| shared.store().content(&digest.name, &hash))
        });
        received.extend(decompress_and_check(shared, payload, base).await);
    }
    let result = {
        let deltas: Vec<_> = received
            .iter()
            .filter_map(|content| content.delta.clone())
            .collect();
        let contents = received
            .iter()
            .map(|content| (content.checked.hash, &content.checked))
            .collect();
        let mut store = shared.store();
        store.add_deltas(&digest.name, &deltas);
        store.merge(&digest, &contents)
    };
    shared.end_fetch(&digest);
    publish(shared, &digest.name, result, Some(from));
}

/// Merges a response of the configuration service; `is_full_list` means that it lists all files.
pub(crate) async fn merge_reply(shared: &Shared, reply: ConfigReply, is_full_list: bool) {
    for entry in &reply.entries {
        merge_entry(shared, entry).await;
    }
    if is_full_list {
        let absent = shared
            .store()
            .record_absent_files(&reply.entries, reply.revision);
        for name in absent {
            shared.schedule_push(name, None);
        }
    }
}

async fn merge_entry(shared: &Shared, entry: &ConfigEntry) {
    let Some(content) = &entry.content else {
        let result = shared.store().merge_source_entry(entry, None);
        publish(shared, &entry.name, result, None);
        return;
    };
    shared.counters().source_bytes += content.len() as u64;
    let content: Arc<str> = content.as_str().into();
    let base = content_in_force(shared, &entry.name);
    let Some(received) = check_and_diff(shared, content, base).await else {
        return;
    };
    let result = {
        let mut store = shared.store();
        store.add_deltas(&entry.name, received.delta.as_slice());
        store.merge_source_entry(entry, Some(&received.checked))
    };
    publish(shared, &entry.name, result, None);
}

/// Content of a file that is in force, with its hash.
fn content_in_force(shared: &Shared, name: &FileName) -> Option<(ContentHash, Arc<str>)> {
    let store = shared.store();
    let accepted = store.file(name)?.accepted()?;
    Some((accepted.version.hash, accepted.content.clone()))
}

/// Publishes the changes of a merge to subscribers and peers.
fn publish(shared: &Shared, name: &FileName, result: MergeResult, from: Option<VmId>) {
    if result.in_force_changed {
        let store = shared.store();
        shared.snapshot.send_replace(Arc::new(store.snapshot()));
        drop(store);
        shared.counters().changes += 1;
    }
    if result.digest_changed {
        shared.schedule_push(name.clone(), from);
    }
}

/// Decompresses and checks a payload.
async fn decompress_and_check(
    shared: &Shared,
    payload: Arc<Payload>,
    base: Option<Arc<str>>,
) -> Option<ReceivedContent> {
    if payload.base.is_some() != base.is_some() {
        return None;
    }
    let len = base.as_ref().map_or(0, |base| base.len()) + payload.data.as_slice().len();
    let format = shared.newest_format;
    let job = move || {
        let content = payload.decompress(base.as_deref()).ok()?;
        let checked = CheckedContent::new(content.into(), format);
        let delta = payload.base.is_some().then_some(payload);
        Some(ReceivedContent { checked, delta })
    };
    run_measured(shared, len, job).await
}

/// Checks a content and computes the delta to it from `base`.
async fn check_and_diff(
    shared: &Shared,
    content: Arc<str>,
    base: Option<(ContentHash, Arc<str>)>,
) -> Option<ReceivedContent> {
    let len = content.len();
    let format = shared.newest_format;
    let job = move || {
        let checked = CheckedContent::new(content, format);
        let base = base.filter(|(hash, _)| *hash != checked.hash);
        let delta = base.and_then(|(hash, base)| {
            let delta = Payload::compress_with_base(checked.hash, &checked.content, hash, &base);
            delta.ok().map(Arc::new)
        });
        Some(ReceivedContent { checked, delta })
    };
    run_measured(shared, len, job).await
}

/// Runs a job on a content of length `len` and counts its duration. Long contents are processed with
/// `spawn_blocking`.
async fn run_measured(
    shared: &Shared,
    len: usize,
    job: impl FnOnce() -> Option<ReceivedContent> + Send + 'static,
) -> Option<ReceivedContent> {
    let timed_job = || {
        let start = std::time::Instant::now();
        (job(), start.elapsed())
    };
    let (received, elapsed) = if len > BLOCKING_CHECK_LEN {
        tokio::task::spawn_blocking(timed_job).await.ok()?
    } else {
        timed_job()
    };
    let mut counters = shared.counters();
    counters.checks += 1;
    counters.check_micros += u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    received
}
