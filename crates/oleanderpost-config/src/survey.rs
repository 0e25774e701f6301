//! Requests to one watcher of each data centre for the state of the whole fleet.

use std::{collections::BTreeMap, sync::Arc};

use futures_util::future::join_all;
use oleanderpost_types::{DataCentre, FileName, Millis, VmId};

use crate::{
    ConfigMessage, FileHolders, FleetStatus, RootReport, Version, VersionHolders, shared::Shared,
};

/// Maximum number of watchers of a data centre to try.
const MAX_WATCHER_TRIES: usize = 3;
/// Maximum number of nodes listed by name for one version.
const MAX_VMS: usize = 16;

/// Status of the fleet from the reports of its nodes; limited to one file if it is given.
pub(crate) async fn fleet_status(shared: &Arc<Shared>, file: Option<FileName>) -> FleetStatus {
    let peers = shared.peers();
    let data_centres = shared.ranking(&peers).data_centres();
    let requests = data_centres
        .iter()
        .map(|data_centre| request_reports(shared, data_centre, file.as_ref()));
    let responses = join_all(requests).await;
    let mut status = FleetStatus {
        nodes: u32::try_from(peers.len() + 1).unwrap_or(u32::MAX),
        ..FleetStatus::default()
    };
    let mut reports = Vec::new();
    for (data_centre, response) in data_centres.into_iter().zip(responses) {
        match response {
            Some(response) => reports.extend(response),
            None => status.silent.push(data_centre),
        }
    }
    status.reporting = reports.iter().map(|report| report.nodes).sum();
    status.age = reports
        .iter()
        .map(|report| report.age)
        .max()
        .unwrap_or_default();
    status.files = holders(&reports);
    status
}

/// Reports of one data centre, from its first watcher that responds.
async fn request_reports(
    shared: &Arc<Shared>,
    data_centre: &DataCentre,
    file: Option<&FileName>,
) -> Option<Vec<RootReport>> {
    let peers = shared.peers();
    let is_eligible = |peer: &crate::PeerView| peer.reachable && !shared.is_suspect(&peer.vm);
    let watchers = shared.ranking(&peers).watchers(data_centre, is_eligible);
    for vm in watchers.iter().take(MAX_WATCHER_TRIES) {
        if *vm == shared.vm {
            return Some(reports(shared, file));
        }
        let msg = ConfigMessage::Survey {
            file: file.cloned(),
        };
        if let Ok(ConfigMessage::Reports { reports, .. }) = shared.request(vm, msg).await {
            return Some(reports);
        }
    }
    None
}

/// Reports that this node received, including its own.
pub(crate) fn reports(shared: &Shared, file: Option<&FileName>) -> Vec<RootReport> {
    let (root, digests) = {
        let store = shared.store();
        (store.root(), store.digests())
    };
    let mut reports = shared.reports();
    reports.record(&shared.vm, root);
    reports.add_root(root, digests);
    reports.remove_older_than(shared.tuning.report_interval * 3);
    reports.grouped_by_root(file)
}

fn holders(reports: &[RootReport]) -> Vec<FileHolders> {
    let digests = reports.iter().flat_map(|report| &report.digests);
    let mut names: Vec<FileName> = digests.map(|digest| digest.name.clone()).collect();
    names.sort();
    names.dedup();
    let files = names.into_iter().map(|name| FileHolders {
        holders: holders_of(reports, &name),
        name,
    });
    files.collect()
}

fn holders_of(reports: &[RootReport], name: &FileName) -> Vec<VersionHolders> {
    let mut by_version: BTreeMap<Option<Version>, (u32, Vec<VmId>)> = BTreeMap::new();
    for report in reports {
        let digest = report.digests.iter().find(|digest| digest.name == *name);
        let accepted = digest.and_then(|digest| digest.accepted);
        let (nodes, vms) = by_version.entry(accepted).or_default();
        *nodes += report.nodes;
        vms.extend(report.vms.iter().cloned());
        vms.truncate(MAX_VMS);
    }
    let holders = by_version.into_iter().rev();
    holders
        .map(|(accepted, (nodes, vms))| VersionHolders {
            accepted,
            nodes,
            vms,
        })
        .collect()
}

/// Time since the last response of the configuration service to this node.
pub(crate) fn source_age(shared: &Shared) -> Option<Millis> {
    shared.source_age().map(Millis::from)
}
