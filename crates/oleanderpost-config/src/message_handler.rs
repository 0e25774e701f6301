//! Handles messages from peers.

use std::sync::Arc;

use oleanderpost_types::VmId;

use crate::{
    ConfigMessage, ContentHash, FileDigest, Payload,
    shared::{PendingOffer, Shared},
    survey,
};

/// Handles a message from a peer and returns the response. Responses themselves have no response.
pub(crate) fn handle(shared: &Shared, from: &VmId, msg: ConfigMessage) -> Option<ConfigMessage> {
    match msg {
        ConfigMessage::Offer {
            digest,
            payloads,
            last,
        } => Some(handle_offer(shared, from, digest, payloads, last)),
        ConfigMessage::Want { name, hashes, have } => {
            let mut store = shared.store();
            let digest = store.digest(&name)?;
            let payloads = store.payloads(&name, &hashes, &have);
            Some(ConfigMessage::Offer {
                digest,
                payloads,
                last: true,
            })
        }
        ConfigMessage::Sync { root } => {
            let store = shared.store();
            if store.root() == root {
                return Some(ConfigMessage::Same);
            }
            let digests = store.digests();
            Some(ConfigMessage::Digests { digests })
        }
        ConfigMessage::Report { root, digests } => Some(handle_report(shared, from, root, digests)),
        ConfigMessage::Survey { file } => Some(ConfigMessage::Reports {
            reports: survey::reports(shared, file.as_ref()),
            source_age: survey::source_age(shared),
        }),
        _ => None,
    }
}

fn handle_offer(
    shared: &Shared,
    from: &VmId,
    digest: FileDigest,
    payloads: Vec<Arc<Payload>>,
    last: bool,
) -> ConfigMessage {
    let (is_behind, contents_to_fetch, have) = {
        let store = shared.store();
        (
            store.is_behind(&digest),
            store.contents_to_fetch(&digest),
            store.held_hashes(&digest.name),
        )
    };
    if !is_behind {
        return ConfigMessage::Done;
    }
    let decompressible = decompressible_hashes(&payloads, &have);
    let missing: Vec<_> = contents_to_fetch
        .iter()
        .filter(|hash| !decompressible.contains(hash))
        .copied()
        .collect();
    if missing.is_empty() || last {
        let started = shared.start_fetch(contents_to_fetch.clone());
        if last || contents_to_fetch.is_empty() || !started.is_empty() {
            let from = from.clone();
            // If the queue is full, the offer is dropped; a later comparison delivers the file again.
            let _ = shared.offer_queue.try_send(PendingOffer {
                from,
                digest,
                payloads,
            });
        }
        return ConfigMessage::Done;
    }
    let hashes = shared.start_fetch(missing);
    if hashes.is_empty() {
        return ConfigMessage::Done;
    }
    ConfigMessage::Want {
        name: digest.name,
        hashes,
        have,
    }
}

fn handle_report(
    shared: &Shared,
    from: &VmId,
    root: u64,
    digests: Option<Vec<FileDigest>>,
) -> ConfigMessage {
    let own_digests = {
        let store = shared.store();
        (store.root() == root).then(|| store.digests())
    };
    let mut reports = shared.reports();
    if let Some(digests) = own_digests.or(digests)
        && !reports.knows_root(root)
    {
        reports.add_root(root, digests);
    }
    let known = reports.knows_root(root);
    if known {
        reports.record(from, root);
        reports.remove_older_than(shared.tuning.report_interval * 3);
    }
    ConfigMessage::Reported { known }
}

/// Hashes of the payloads that a node with the contents `have` can decompress.
fn decompressible_hashes(payloads: &[Arc<Payload>], have: &[ContentHash]) -> Vec<ContentHash> {
    let mut decompressible: Vec<ContentHash> = Vec::new();
    for payload in payloads {
        let has_base = payload
            .base
            .is_none_or(|base| have.contains(&base) || decompressible.contains(&base));
        if has_base {
            decompressible.push(payload.hash);
        }
    }
    decompressible
}
