//! Merging is commutative and idempotent: offers in any order lead to the same state.

mod support;

use std::{sync::Arc, time::Duration};

use bolero::TypeGenerator;
use oleanderpost_bench::{FakePlatform, Network};
use oleanderpost_config::{
    Check, ConfigMessage, ContentHash, Convergence, FileDigest, FileStatus, Payload, SourceState,
    Verdict, Version,
};
use oleanderpost_types::{FileName, Revision, VmId};
use rand::{SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

/// One change on the platform; its position in the log is its revision.
#[derive(Clone, Debug, TypeGenerator)]
enum Change {
    Write {
        #[generator(1u8..5)]
        generation: u8,
        #[generator(0u8..3)]
        variant: u8,
    },
    UnknownField {
        #[generator(1u8..5)]
        generation: u8,
    },
    NotYaml,
    Remove,
}

/// A log of changes, and a bit mask for each node of the changes that it has seen.
#[derive(Clone, Debug, TypeGenerator)]
struct Case {
    #[generator(bolero::generator::produce::<Vec<Change>>().with().len(1usize..8))]
    log: Vec<Change>,
    #[generator(bolero::generator::produce::<Vec<u8>>().with().len(1usize..6))]
    views: Vec<u8>,
}

/// A change with the result of checking its content.
struct Entry {
    seen: SourceState,
    content: Option<String>,
    accepted: Option<Version>,
}

fn content(change: &Change) -> Option<String> {
    match change {
        Change::Write {
            generation,
            variant,
        } => Some(format!("generation: {generation}\n# {variant}\n")),
        Change::UnknownField { generation } => {
            Some(format!("generation: {generation}\nextra: 1\n"))
        }
        Change::NotYaml => Some("[".to_owned()),
        Change::Remove => None,
    }
}

fn entry((i, change): (usize, &Change)) -> Entry {
    let content = content(change);
    let check = content
        .as_ref()
        .map(|content| Check::new(content.as_bytes()));
    let seen = SourceState {
        revision: Revision::new(i as u64 + 1),
        hash: content
            .as_ref()
            .map(|content| ContentHash::of_content(content.as_bytes())),
        generation: check.as_ref().and_then(Check::generation),
    };
    let is_valid = check.is_some_and(|check| check.file().is_some());
    Entry {
        seen,
        accepted: seen.version().filter(|_| is_valid),
        content,
    }
}

fn name() -> FileName {
    "fleet".parse().expect("a name")
}

/// Digest of a node that has seen these changes.
fn digest(entries: &[&Entry]) -> FileDigest {
    let accepted = entries.iter().filter_map(|entry| entry.accepted).max();
    let others = entries.iter().filter_map(|entry| entry.accepted);
    let conflict = others
        .filter(|other| accepted.is_some_and(|a| other.conflicts_with(&a)))
        .max();
    FileDigest {
        name: name(),
        accepted,
        conflict,
        seen: entries.iter().map(|entry| entry.seen).max(),
    }
}

fn verdict(digest: &FileDigest, entries: &[&Entry]) -> Verdict {
    let Some(seen) = digest.seen else {
        return Verdict::Unchecked;
    };
    let Some(hash) = seen.hash else {
        return Verdict::Absent;
    };
    if digest
        .accepted
        .is_some_and(|accepted| accepted.hash == hash)
    {
        return Verdict::InForce;
    }
    if seen.generation.is_some() && seen.version() <= digest.accepted {
        return Verdict::Superseded;
    }
    let entry = entries
        .iter()
        .find(|entry| entry.seen == seen)
        .expect("it was seen");
    let content = entry.content.as_ref().expect("it has a hash");
    Verdict::Refused(Check::new(content.as_bytes()).findings().clone())
}

fn offer(entries: &[&Entry]) -> ConfigMessage {
    let payload = |entry: &&Entry| {
        let content = entry.content.as_ref()?;
        let payload = Payload::compress(entry.seen.hash?, content).expect("it compresses");
        Some(Arc::new(payload))
    };
    ConfigMessage::Offer {
        digest: digest(entries),
        payloads: entries.iter().filter_map(payload).collect(),
        last: true,
    }
}

async fn merge_in_order(offers: &[ConfigMessage]) -> Vec<FileStatus> {
    let vm: VmId = "vm-1".parse().expect("a name");
    let from: VmId = "vm-2".parse().expect("a name");
    let platform = FakePlatform::new();
    platform.set_down(true, false);
    let convergence = Convergence::builder().build(
        vm.clone(),
        "dc-0".parse().expect("a name"),
        platform.source(0),
        Network::new(0).peers(&vm),
    );
    convergence.run();
    for offer in offers {
        assert_eq!(
            convergence.handle(&from, offer.clone()),
            Some(ConfigMessage::Done)
        );
        sleep(Duration::from_millis(1)).await;
    }
    let files = convergence.status().files;
    convergence.close().await;
    files
}

#[tokio::test(start_paused = true)]
async fn any_order_of_offers_ends_in_the_state_of_their_union() {
    for seed in support::seeds(500) {
        let case: Case = support::value(seed);
        let entries: Vec<Entry> = case.log.iter().enumerate().map(entry).collect();
        let view = |mask: &u8| -> Vec<&Entry> {
            let seen = entries
                .iter()
                .enumerate()
                .filter(|(i, _)| mask >> i & 1 == 1);
            seen.map(|(_, entry)| entry).collect()
        };
        let union = case.views.iter().fold(0, |union, mask| union | mask);
        let all = view(&union);
        if all.is_empty() {
            continue;
        }
        let expected = digest(&all);
        let mut offers: Vec<ConfigMessage> = case
            .views
            .iter()
            .filter(|mask| !view(mask).is_empty())
            .map(|mask| offer(&view(mask)))
            .collect();
        let duplicates = offers.clone();
        offers.extend(duplicates);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..3 {
            offers.shuffle(&mut rng);
            let files = merge_in_order(&offers).await;
            let file = &files[0];
            let actual = (file.accepted, file.conflict, file.seen, &file.verdict);
            let expected = (
                expected.accepted,
                expected.conflict,
                expected.seen,
                &verdict(&expected, &all),
            );
            assert_eq!(actual, expected, "seed {seed}: {case:?}");
        }
    }
}
