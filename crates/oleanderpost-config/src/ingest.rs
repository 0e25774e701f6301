//! Decompression, check and merge of contents from peers and from the configuration service.

use std::sync::Arc;

use oleanderpost_types::{ConfigEntry, ConfigReply, FileName, VmId};
use tokio::sync::mpsc;

use crate::{
    ContentHash, Payload,
    shared::{Offered, Shared},
    store::{Checked, Merged},
};

/// Contents longer than this are checked off the runtime's threads, in bytes.
const BLOCKING_LEN: usize = 8 * 1024;

/// A content with the step that leads to it.
struct Arrived {
    checked: Checked,
    step: Option<Arc<Payload>>,
}

/// Merges offers of peers, one after the other.
pub(crate) async fn run(shared: Arc<Shared>, mut offers: mpsc::Receiver<Offered>) {
    while let Some(offered) = offers.recv().await {
        merge_offer(&shared, offered).await;
    }
}

/// Merges one offer of a peer.
pub(crate) async fn merge_offer(shared: &Shared, offered: Offered) {
    let Offered {
        from,
        digest,
        payloads,
    } = offered;
    let mut arrived: Vec<Arrived> = Vec::new();
    for payload in payloads {
        let base = payload.base.and_then(|hash| {
            let earlier = arrived.iter().find(|a| a.checked.hash == hash);
            let earlier = earlier.map(|a| a.checked.content.clone());
            earlier.or_else(|| shared.store().content(&digest.name, &hash))
        });
        arrived.extend(open(shared, payload, base).await);
    }
    let merged = {
        let steps: Vec<_> = arrived.iter().filter_map(|a| a.step.clone()).collect();
        let contents = arrived
            .iter()
            .map(|a| (a.checked.hash, &a.checked))
            .collect();
        let mut store = shared.store();
        store.learn_steps(&digest.name, &steps);
        store.merge(&digest, &contents)
    };
    shared.end_fetch(&digest);
    finish(shared, &digest.name, merged, Some(from));
}

/// Merges an answer of the configuration service; `whole` says that it lists all files.
pub(crate) async fn merge_reply(shared: &Shared, reply: ConfigReply, whole: bool) {
    for entry in &reply.entries {
        merge_entry(shared, entry).await;
    }
    if whole {
        let absent = shared
            .store()
            .observe_absent(&reply.entries, reply.revision);
        for name in absent {
            shared.push(name, None);
        }
    }
}

async fn merge_entry(shared: &Shared, entry: &ConfigEntry) {
    let Some(content) = &entry.content else {
        let merged = shared.store().observe(entry, None);
        finish(shared, &entry.name, merged, None);
        return;
    };
    shared.counters().source_bytes += content.len() as u64;
    let content: Arc<str> = content.as_str().into();
    let base = in_force(shared, &entry.name);
    let Some(arrived) = check(shared, content, base).await else {
        return;
    };
    let merged = {
        let mut store = shared.store();
        store.learn_steps(&entry.name, arrived.step.as_slice());
        store.observe(entry, Some(&arrived.checked))
    };
    finish(shared, &entry.name, merged, None);
}

/// Content in force of a file.
fn in_force(shared: &Shared, name: &FileName) -> Option<(ContentHash, Arc<str>)> {
    let store = shared.store();
    let accepted = store.file(name)?.accepted()?;
    Some((accepted.version.hash, accepted.content.clone()))
}

/// Publishes what a merge changed.
fn finish(shared: &Shared, name: &FileName, merged: Merged, from: Option<VmId>) {
    if merged.in_force {
        let store = shared.store();
        shared.snapshot.send_replace(Arc::new(store.snapshot()));
        drop(store);
        shared.counters().changes += 1;
    }
    if merged.is_new {
        shared.push(name.clone(), from);
    }
}

/// Decompresses and checks a payload.
async fn open(shared: &Shared, payload: Arc<Payload>, base: Option<Arc<str>>) -> Option<Arrived> {
    if payload.base.is_some() != base.is_some() {
        return None;
    }
    let len = base.as_ref().map_or(0, |base| base.len()) + payload.data.as_slice().len();
    let format = shared.newest_format;
    let work = move || {
        let content = payload.decompress(base.as_deref()).ok()?;
        let checked = Checked::new(content.into(), format);
        let step = payload.base.is_some().then_some(payload);
        Some(Arrived { checked, step })
    };
    measure(shared, len, work).await
}

/// Checks a content and computes the step to it.
async fn check(
    shared: &Shared,
    content: Arc<str>,
    base: Option<(ContentHash, Arc<str>)>,
) -> Option<Arrived> {
    let len = content.len();
    let format = shared.newest_format;
    let work = move || {
        let checked = Checked::new(content, format);
        let base = base.filter(|(hash, _)| *hash != checked.hash);
        let step = base.and_then(|(hash, base)| {
            let step = Payload::compress_with_base(checked.hash, &checked.content, hash, &base);
            step.ok().map(Arc::new)
        });
        Some(Arrived { checked, step })
    };
    measure(shared, len, work).await
}

/// Runs work on a content of that length, off the runtime's threads if it is long.
async fn measure(
    shared: &Shared,
    len: usize,
    work: impl FnOnce() -> Option<Arrived> + Send + 'static,
) -> Option<Arrived> {
    let timed = || {
        let start = std::time::Instant::now();
        (work(), start.elapsed())
    };
    let (arrived, spent) = if len > BLOCKING_LEN {
        tokio::task::spawn_blocking(timed).await.ok()?
    } else {
        timed()
    };
    let mut counters = shared.counters();
    counters.checks += 1;
    counters.check_micros += u64::try_from(spent.as_micros()).unwrap_or(u64::MAX);
    arrived
}
