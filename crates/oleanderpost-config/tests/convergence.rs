//! Convergence of a simulated fleet with real nodes and a fake network and platform, one fault at a time.

use std::{collections::BTreeMap, time::Duration};

use oleanderpost_bench::{Fleet, SampleFleetFile};
use oleanderpost_config::{MAX_FILE_LEN, Tuning, Verdict};
use oleanderpost_types::{FileName, Generation};
use tokio::time::{Instant, sleep};

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);

fn name() -> FileName {
    "fleet".parse().expect("a name")
}

fn content(generation: u64) -> String {
    format!("generation: {generation}\n")
}

fn other_content(generation: u64) -> String {
    format!("generation: {generation}\nrollouts: []\n")
}

/// Starts a fleet with generation 1 in force.
async fn fleet(nodes: usize, data_centres: usize) -> Fleet {
    let mut fleet = Fleet::builder(nodes, data_centres).build();
    fleet.platform().write(&name(), Some(&content(1)));
    fleet.start_all();
    assert!(fleet.wait_ready(10 * SECOND).await);
    assert!(fleet.wait_in_force(&name(), 1, 7 * SECOND).await);
    fleet
}

fn generations(fleet: &Fleet) -> Vec<u64> {
    let versions = (0..fleet.len()).map(|i| fleet.in_force(i, &name()));
    versions
        .map(|version| version.map_or(0, |v| v.generation.get()))
        .collect()
}

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_everywhere_within_seconds() {
    let fleet = fleet(60, 6).await;
    fleet.platform().write(&name(), Some(&content(2)));
    assert!(fleet.wait_in_force(&name(), 2, SECOND).await);
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn nodes_get_the_newest_file_from_a_single_peer_while_the_platform_is_down() {
    let mut fleet = fleet(20, 3).await;
    for i in 1..fleet.len() {
        fleet.kill(i).await;
    }
    fleet.platform().write(&name(), Some(&content(2)));
    assert!(fleet.wait_in_force(&name(), 2, 20 * SECOND).await);
    fleet.platform().set_down(true, true);
    for i in 1..fleet.len() {
        fleet.start(i);
    }
    assert!(fleet.wait_ready(30 * SECOND).await);
    assert!(
        generations(&fleet)
            .iter()
            .all(|generation| *generation == 2)
    );
    sleep(HOUR).await;
    assert!(
        generations(&fleet)
            .iter()
            .all(|generation| *generation == 2)
    );
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn a_stale_replica_does_not_revert_the_configuration() {
    let mut fleet = fleet(9, 3).await;
    for replica in 0..3 {
        fleet.platform().set_frozen(replica, replica > 0);
    }
    fleet.platform().write(&name(), Some(&content(2)));
    assert!(fleet.wait_in_force(&name(), 2, 7 * SECOND).await);
    for i in 0..fleet.len() {
        fleet.kill(i).await;
        fleet.start(i);
        assert!(fleet.wait_ready(10 * SECOND).await);
        assert_eq!(generations(&fleet), [2; 9]);
    }
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn a_fleet_without_files_is_not_ready() {
    let mut fleet = Fleet::builder(5, 1).build();
    fleet.platform().set_down(true, false);
    fleet.start_all();
    assert!(!fleet.wait_ready(60 * SECOND).await);
    fleet.platform().write(&name(), Some(&content(1)));
    fleet.platform().set_down(false, false);
    assert!(fleet.wait_ready(10 * SECOND).await);
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn concurrent_writes_are_reported_as_a_conflict_with_one_winner() {
    let mut fleet = fleet(12, 3).await;
    fleet.platform().set_frozen(1, true);
    fleet.platform().write(&name(), Some(&content(2)));
    sleep(SECOND).await;
    fleet.platform().write(&name(), Some(&other_content(2)));
    sleep(5 * SECOND).await;
    fleet.kill(11).await;
    fleet.start(11);
    sleep(10 * SECOND).await;
    for node in fleet.running() {
        let file = &node.status().files[0];
        let accepted = file.accepted.expect("a version");
        assert_eq!(accepted.revision.get(), 3);
        assert_eq!(file.conflict.expect("a conflict").revision.get(), 2);
    }
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn an_invalid_newer_file_is_reported_and_the_older_stays_in_force() {
    let mut fleet = fleet(8, 2).await;
    fleet
        .platform()
        .write(&name(), Some("generation: 2\nservices: 7\n"));
    sleep(5 * SECOND).await;
    fleet.kill(7).await;
    fleet.start(7);
    assert!(fleet.wait_ready(10 * SECOND).await);
    sleep(5 * SECOND).await;
    for node in fleet.running() {
        let file = &node.status().files[0];
        assert_eq!(
            file.accepted.expect("a version").generation,
            Generation::new(1)
        );
        let Verdict::Refused(findings) = &file.verdict else {
            panic!("{:?}", file.verdict);
        };
        assert!(
            findings
                .to_string()
                .contains("2:11: services: found 7; allowed: a list")
        );
        assert_eq!(
            file.seen.expect("seen").generation,
            Some(Generation::new(2))
        );
    }
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn a_lower_generation_is_reported_and_has_no_effect() {
    let fleet = fleet(6, 2).await;
    fleet.platform().write(&name(), Some(&content(5)));
    assert!(fleet.wait_in_force(&name(), 5, 7 * SECOND).await);
    fleet.platform().write(&name(), Some(&other_content(4)));
    sleep(7 * SECOND).await;
    for node in fleet.running() {
        let file = &node.status().files[0];
        assert_eq!(
            file.accepted.expect("a version").generation,
            Generation::new(5)
        );
        assert_eq!(file.verdict, Verdict::Superseded);
    }
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn a_file_is_deleted_by_a_higher_generation_but_not_by_absence() {
    let mut fleet = fleet(6, 2).await;
    let text = SampleFleetFile {
        upstreams: 1,
        accounts: 0,
    }
    .text(2);
    fleet.platform().write(&name(), Some(&text));
    assert!(fleet.wait_in_force(&name(), 2, 7 * SECOND).await);
    fleet.platform().write(&name(), None);
    sleep(7 * SECOND).await;
    for node in fleet.running() {
        assert_eq!(node.snapshot().services().count(), 1);
        assert_eq!(node.status().files[0].verdict, Verdict::Absent);
    }
    fleet
        .platform()
        .write(&name(), Some("generation: 3\ndeleted: true\n"));
    assert!(fleet.wait_in_force(&name(), 3, 7 * SECOND).await);
    fleet.platform().write(&name(), None);
    sleep(7 * SECOND).await;
    fleet.kill(0).await;
    fleet.start(0);
    assert!(fleet.wait_ready(10 * SECOND).await);
    for node in fleet.running() {
        assert_eq!(node.snapshot().services().count(), 0);
        assert!(node.status().files[0].deleted);
    }
    fleet.platform().write(&name(), Some(&text));
    sleep(7 * SECOND).await;
    assert_eq!(generations(&fleet), [3; 6]);
    fleet.platform().write(
        &name(),
        Some(&text.replace("generation: 2", "generation: 4")),
    );
    assert!(fleet.wait_in_force(&name(), 4, 7 * SECOND).await);
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn both_sides_of_a_healed_partition_converge() {
    let fleet = fleet(20, 2).await;
    let part = |i: usize| (fleet.vm(i).clone(), u8::try_from(i % 2).expect("small"));
    fleet
        .network()
        .partition((0..20).map(part).collect::<BTreeMap<_, _>>());
    fleet.platform().set_frozen(1, true);
    fleet.platform().write(&name(), Some(&content(2)));
    sleep(60 * SECOND).await;
    assert_eq!(generations(&fleet), [2, 1].repeat(10));
    fleet.network().clear_faults();
    assert!(fleet.wait_in_force(&name(), 2, 7 * SECOND).await);
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn a_change_spreads_despite_lost_duplicated_and_reordered_messages() {
    let fleet = fleet(30, 3).await;
    fleet.network().set_quality(0.2, 0.2, (1, 300));
    for generation in 2..10 {
        fleet.platform().write(&name(), Some(&content(generation)));
        assert!(fleet.wait_in_force(&name(), generation, 20 * SECOND).await);
    }
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn two_nodes_per_data_centre_watch_regardless_of_fleet_size() {
    for nodes in [12, 48, 120] {
        let fleet = fleet(nodes, 6).await;
        sleep(60 * SECOND).await;
        let reads = fleet.platform().reads();
        sleep(60 * SECOND).await;
        assert_eq!(fleet.platform().open_reads(), 12, "{nodes} nodes");
        let rate = fleet.platform().reads() - reads;
        assert!(rate <= 12 * 7, "{nodes} nodes: {rate} reads a minute");
        fleet.close().await;
    }
}

#[tokio::test(start_paused = true)]
async fn other_nodes_watch_when_the_watchers_stop_responding() {
    let fleet = fleet(10, 1).await;
    fleet.network().set_reachability_known(false);
    let watching = |fleet: &Fleet| -> Vec<usize> {
        let ids = 0..fleet.len();
        ids.filter(|i| fleet.node(*i).is_some_and(|node| node.status().watching))
            .collect()
    };
    let first = watching(&fleet);
    assert_eq!(first.len(), 2);
    for i in &first {
        fleet.network().set_silent(fleet.vm(*i), true);
    }
    sleep(30 * SECOND).await;
    assert!(watching(&fleet).len() >= 4);
    fleet.platform().write(&name(), Some(&content(2)));
    assert!(fleet.wait_in_force(&name(), 2, 7 * SECOND).await);
    fleet.network().clear_faults();
    sleep(60 * SECOND).await;
    assert_eq!(watching(&fleet), first);
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn the_read_budget_holds_when_no_node_can_reach_another() {
    let fleet = fleet(120, 6).await;
    let part = |i: usize| (fleet.vm(i).clone(), u8::try_from(i).expect("small"));
    fleet
        .network()
        .partition((0..120).map(part).collect::<BTreeMap<_, _>>());
    sleep(60 * SECOND).await;
    let reads = fleet.platform().reads();
    sleep(60 * SECOND).await;
    let rate = (fleet.platform().reads() - reads) / 60;
    assert!(rate <= 250, "{rate} reads a second");
    assert!(fleet.platform().peak_reads() <= 1000);
    fleet.platform().write(&name(), Some(&content(2)));
    assert!(fleet.wait_in_force(&name(), 2, 7 * SECOND).await);
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn fleet_status_sends_one_request_per_data_centre() {
    let mut fleet = fleet(60, 6).await;
    fleet.platform().write(&name(), Some(&content(2)));
    assert!(fleet.wait_in_force(&name(), 2, 7 * SECOND).await);
    sleep(2 * SECOND).await;
    let node = fleet.node(17).expect("the node runs").clone();
    let before = node.counters().survey.messages_sent;
    let status = node.fleet_status(Some(name())).await;
    assert!(node.counters().survey.messages_sent - before <= 6);
    assert!(
        status.holds_everywhere(&name(), Generation::new(2)),
        "{status:?}"
    );
    fleet.kill(5).await;
    sleep(20 * SECOND).await;
    let status = node.fleet_status(None).await;
    assert_eq!((status.nodes, status.reporting), (60, 59));
    assert!(!status.holds_everywhere(&name(), Generation::new(2)));
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn an_outdated_node_is_counted_under_the_version_that_it_holds() {
    let fleet = fleet(20, 2).await;
    fleet.network().set_silent(fleet.vm(3), true);
    fleet.platform().set_frozen(1, true);
    fleet.platform().write(&name(), Some(&content(2)));
    sleep(10 * SECOND).await;
    let status = fleet
        .node(0)
        .expect("the node runs")
        .fleet_status(None)
        .await;
    assert!(!status.holds_everywhere(&name(), Generation::new(2)));
    let at_generation_2: u32 = status.files[0]
        .holders
        .iter()
        .filter(|h| h.accepted.is_some_and(|v| v.generation.get() == 2))
        .map(|h| h.nodes)
        .sum();
    assert_eq!(at_generation_2, 19);
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn a_small_change_of_a_big_file_is_sent_as_a_small_delta() {
    let sample = SampleFleetFile {
        upstreams: 2900,
        accounts: 1200,
    };
    let mut fleet = Fleet::builder(6, 1).build();
    fleet.platform().write(&name(), Some(&sample.text(1)));
    fleet.start_all();
    assert!(fleet.wait_in_force(&name(), 1, 60 * SECOND).await);
    sleep(10 * SECOND).await;
    let bytes = |fleet: &Fleet| -> u64 {
        fleet
            .running()
            .map(|node| node.counters().spread.bytes_received)
            .sum()
    };
    let before = bytes(&fleet);
    for generation in 2..6 {
        fleet
            .platform()
            .write(&name(), Some(&sample.text(generation)));
        assert!(fleet.wait_in_force(&name(), generation, 7 * SECOND).await);
    }
    sleep(10 * SECOND).await;
    let received = bytes(&fleet) - before;
    assert!(
        received < 4 * 6 * 16 * 1024,
        "{received} bytes for 4 changes on 6 nodes"
    );
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn a_node_a_few_versions_behind_gets_the_deltas() {
    let sample = SampleFleetFile {
        upstreams: 500,
        accounts: 0,
    };
    let mut fleet = Fleet::builder(8, 1).build();
    fleet.platform().write(&name(), Some(&sample.text(1)));
    fleet.start_all();
    assert!(fleet.wait_in_force(&name(), 1, 60 * SECOND).await);
    let watching = |i: &usize| fleet.node(*i).is_some_and(|node| node.status().watching);
    let outdated = (0..8)
        .find(|i| !watching(i))
        .expect("a node that does not watch");
    fleet.network().set_silent(fleet.vm(outdated), true);
    for generation in 2..8 {
        fleet
            .platform()
            .write(&name(), Some(&sample.text(generation)));
        sleep(SECOND).await;
    }
    let outdated_node = fleet.node(outdated).expect("the node runs");
    let before = outdated_node.counters().spread.bytes_received
        + outdated_node.counters().anti_entropy.bytes_received;
    fleet.network().clear_faults();
    assert!(fleet.wait_in_force(&name(), 7, 20 * SECOND).await);
    let received = outdated_node.counters().spread.bytes_received
        + outdated_node.counters().anti_entropy.bytes_received
        - before;
    assert!(received < 8 * 1024, "{received} bytes");
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn a_file_above_the_maximum_size_is_refused_and_not_spread() {
    let fleet = fleet(6, 1).await;
    let long = format!("generation: 2\n#{}\n", "x".repeat(MAX_FILE_LEN));
    fleet.platform().write(&name(), Some(&long));
    sleep(20 * SECOND).await;
    let before: u64 = fleet
        .running()
        .map(|node| node.counters().spread.bytes_received)
        .sum();
    sleep(60 * SECOND).await;
    let after: u64 = fleet
        .running()
        .map(|node| node.counters().spread.bytes_received)
        .sum();
    assert!(after - before < 2048, "{} bytes", after - before);
    for node in fleet.running() {
        assert_eq!(
            node.status().files[0]
                .accepted
                .expect("a version")
                .generation
                .get(),
            1
        );
        assert_ne!(node.status().files[0].verdict, Verdict::InForce);
    }
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn names_defined_by_two_files_are_reported() {
    let fleet = fleet(4, 1).await;
    let text = SampleFleetFile {
        upstreams: 1,
        accounts: 1,
    }
    .text(1);
    let second: FileName = "second".parse().expect("a name");
    fleet.platform().write(
        &name(),
        Some(&text.replace("generation: 1", "generation: 2")),
    );
    fleet.platform().write(&second, Some(&text));
    let start = Instant::now();
    assert!(fleet.wait_in_force(&second, 1, 7 * SECOND).await);
    assert!(start.elapsed() < 7 * SECOND);
    assert!(fleet.wait_in_force(&name(), 2, 7 * SECOND).await);
    for node in fleet.running() {
        let overlaps = node.status().overlaps;
        let names: Vec<&str> = overlaps
            .iter()
            .map(|overlap| overlap.name.as_str())
            .collect();
        assert_eq!(names, ["service service-0", "account account-0"]);
        assert!(overlaps.iter().all(|overlap| overlap.other == second));
    }
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn a_node_with_an_older_program_keeps_its_file_and_forwards_the_newer_one() {
    let mut fleet = Fleet::builder(6, 1).build();
    for i in 0..3 {
        fleet.set_newest_format(i, 2);
    }
    fleet.platform().write(&name(), Some(&content(1)));
    fleet.start_all();
    assert!(fleet.wait_in_force(&name(), 1, 7 * SECOND).await);
    fleet
        .platform()
        .write(&name(), Some("format: 2\ngeneration: 2\n"));
    sleep(7 * SECOND).await;
    assert_eq!(generations(&fleet), [2, 2, 2, 1, 1, 1]);
    let sent = |fleet: &Fleet| -> u64 {
        fleet
            .running()
            .map(|node| node.counters().spread.messages_sent)
            .sum()
    };
    let before = sent(&fleet);
    sleep(60 * SECOND).await;
    assert!(sent(&fleet) - before < 6 * 60, "{}", sent(&fleet) - before);
    fleet.platform().set_down(true, false);
    for i in 0..3 {
        fleet.kill(i).await;
    }
    fleet.start(0);
    sleep(20 * SECOND).await;
    assert_eq!(
        fleet
            .in_force(0, &name())
            .expect("a version")
            .generation
            .get(),
        2
    );
    fleet.set_newest_format(3, 2);
    fleet.kill(3).await;
    fleet.start(3);
    sleep(20 * SECOND).await;
    assert_eq!(generations(&fleet), [2, 0, 0, 2, 1, 1]);
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn the_read_budget_does_not_grow_with_the_fleet() {
    // The whole fleet reads at most once in 50 ms, both during startup and while no node reaches another.
    for nodes in [40, 120] {
        let tuning = Tuning {
            read_gap_per_node: Duration::from_millis(50),
            ..Tuning::default()
        };
        let mut fleet = Fleet::builder(nodes, 6).with_tuning(tuning).build();
        fleet.platform().write(&name(), Some(&content(1)));
        fleet.start_all();
        assert!(fleet.wait_ready(60 * SECOND).await);
        assert!(
            fleet.platform().peak_reads() <= 40,
            "{}",
            fleet.platform().peak_reads()
        );
        let part = |i: usize| (fleet.vm(i).clone(), u8::try_from(i).expect("small"));
        fleet
            .network()
            .partition((0..nodes).map(part).collect::<BTreeMap<_, _>>());
        sleep(60 * SECOND).await;
        let reads = fleet.platform().reads();
        sleep(60 * SECOND).await;
        let reads = fleet.platform().reads() - reads;
        assert!(reads <= 20 * 60, "{nodes} nodes: {reads} reads a minute");
        fleet.close().await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_big_new_file_is_sent_to_each_node_once() {
    let fleet = fleet(20, 1).await;
    let sample = SampleFleetFile {
        upstreams: 2900,
        accounts: 1200,
    };
    let second: FileName = "second".parse().expect("a name");
    let text = sample.text(1);
    let hash = oleanderpost_config::ContentHash::of_content(text.as_bytes());
    let full_payload = oleanderpost_config::Payload::compress(hash, &text).expect("it compresses");
    fleet.platform().write(&second, Some(&text));
    assert!(fleet.wait_in_force(&second, 1, 20 * SECOND).await);
    sleep(10 * SECOND).await;
    let received: u64 = fleet
        .running()
        .map(|node| node.counters().spread.bytes_received)
        .sum();
    let contents = received / full_payload.data.as_slice().len() as u64;
    assert!(contents <= 20, "{contents} contents were sent to 20 nodes");
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn a_content_that_an_older_program_refuses_is_fetched_once() {
    let mut fleet = Fleet::builder(6, 1).build();
    for i in 0..3 {
        fleet.set_newest_format(i, 2);
    }
    fleet.platform().write(&name(), Some(&content(1)));
    fleet.start_all();
    assert!(fleet.wait_in_force(&name(), 1, 7 * SECOND).await);
    fleet
        .platform()
        .write(&name(), Some("format: 2\ngeneration: 2\n"));
    sleep(7 * SECOND).await;
    fleet
        .platform()
        .write(&name(), Some("generation: 3\nextra: 1\n"));
    sleep(10 * SECOND).await;
    let checks =
        |fleet: &Fleet| -> u64 { fleet.running().map(|node| node.counters().checks).sum() };
    let before = checks(&fleet);
    sleep(60 * SECOND).await;
    assert_eq!(checks(&fleet), before, "a refused content is fetched once");
    assert_eq!(generations(&fleet), [2, 2, 2, 1, 1, 1]);
    fleet.close().await;
}

#[tokio::test(start_paused = true)]
async fn a_restored_platform_with_lower_revisions_is_followed_without_reverting_files() {
    let fleet = fleet(6, 2).await;
    for generation in 2..6 {
        fleet.platform().write(&name(), Some(&content(generation)));
        assert!(fleet.wait_in_force(&name(), generation, 7 * SECOND).await);
    }
    fleet
        .platform()
        .restore(oleanderpost_types::Revision::new(2));
    sleep(90 * SECOND).await;
    assert_eq!(generations(&fleet), [5; 6]);
    fleet.platform().write(&name(), Some(&content(6)));
    assert!(fleet.wait_in_force(&name(), 6, 7 * SECOND).await);
    fleet.close().await;
}
