//! Compressed contents as sent between nodes.

use std::{sync::Arc, time::Duration};

use oleanderpost_bench::{FakePlatform, Network};
use oleanderpost_config::{
    Blob, ConfigMessage, ContentHash, Convergence, FileDigest, MAX_FILE_LEN, Payload, Version,
};
use oleanderpost_types::{Generation, Revision, VmId};
use tokio::time::sleep;

const OLD: &str = "generation: 1\n";
const NEW: &str = "generation: 2\n";

fn hash(content: &str) -> ContentHash {
    ContentHash::of_content(content.as_bytes())
}

#[test]
fn a_content_round_trips_with_and_without_a_base() {
    let full = Payload::compress(hash(NEW), NEW).expect("it compresses");
    assert_eq!(full.decompress(None).expect("it decompresses"), NEW);
    let delta = Payload::compress_with_base(hash(NEW), NEW, hash(OLD), OLD).expect("it compresses");
    assert_eq!(delta.decompress(Some(OLD)).expect("it decompresses"), NEW);
}

#[test]
fn a_content_that_does_not_match_its_hash_is_refused() {
    let payload = Payload::compress(hash(OLD), NEW).expect("it compresses");
    assert!(payload.decompress(None).is_err());
    let text = |start: u32| -> String { (start..start + 500).map(|i| format!("{i}\n")).collect() };
    let (base, other) = (text(1000), text(5000));
    let content = format!("{base}end\n");
    let delta = Payload::compress_with_base(hash(&content), &content, hash(&base), &base);
    assert!(
        delta
            .expect("it compresses")
            .decompress(Some(&other))
            .is_err()
    );
}

#[test]
fn corrupt_and_overlong_data_is_refused() {
    let mut payload = Payload::compress(hash(NEW), NEW).expect("it compresses");
    let data = payload.data.as_slice();
    payload.data = Blob::new(data[..data.len() / 2].to_vec());
    assert!(payload.decompress(None).is_err());
    let long = "x".repeat(MAX_FILE_LEN + 1);
    let payload = Payload::compress(hash(&long), &long).expect("it compresses");
    assert!(payload.decompress(None).is_err());
}

#[tokio::test(start_paused = true)]
async fn an_offer_with_a_wrong_hash_changes_nothing() {
    let vm: VmId = "vm-1".parse().expect("a name");
    let platform = FakePlatform::new();
    platform.set_down(true, false);
    let convergence = Convergence::builder().build(
        vm.clone(),
        "dc-0".parse().expect("a name"),
        platform.source(0),
        Network::new(0).peers(&vm),
    );
    convergence.run();
    let version = Version {
        generation: Generation::new(9),
        revision: Revision::new(9),
        hash: hash(OLD),
    };
    let offer = ConfigMessage::Offer {
        digest: FileDigest {
            name: "fleet".parse().expect("a name"),
            accepted: Some(version),
            conflict: None,
            seen: None,
        },
        payloads: vec![Arc::new(
            Payload::compress(hash(OLD), NEW).expect("it compresses"),
        )],
        last: true,
    };
    let from: VmId = "vm-2".parse().expect("a name");
    assert_eq!(convergence.handle(&from, offer), Some(ConfigMessage::Done));
    sleep(Duration::from_millis(10)).await;
    assert!(convergence.status().files.is_empty());
    convergence.close().await;
}
