//! Positions of the store, and what a node remembers when the store returns from a copy.

use std::{collections::HashMap, time::Duration};

use bolero::{TypeGenerator, check};
use oleanderpost_serving::{
    BootTime, NodeState, PeerEvidence, ServingConfig, StoreHistory, StorePosition, UpstreamId,
};

/// Time within which the operator and the upstreams write again what the store has lost.
const REWRITE_TIME: Duration = Duration::from_secs(2);

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(100_000 + ms))
}

#[test]
fn position_of_a_later_era_is_ahead_whatever_its_revision() {
    let (before, after) = (StorePosition::new(1, 120), StorePosition::new(2, 118));
    assert!(before < after);
    assert_eq!(after.to_string(), "2.118");
    assert_eq!("2.118".parse(), Ok(after));
    for text in ["", "2", "2.", ".1", "a.1", "1.1.1", "-1.1"] {
        assert!(text.parse::<StorePosition>().is_err(), "{text}");
    }
    let state = NodeState::new(Duration::from_secs(5));
    state.apply_config(ServingConfig::new(7));
    state.advance(before);
    let evidence = |position| PeerEvidence {
        version: 7,
        age_ms: 0,
        position,
    };
    assert!(state.is_behind(evidence(after)));
    state.advance(after);
    assert!(!state.is_behind(evidence(before)));
}

#[test]
fn evidence_of_a_peer_that_started_in_the_new_era_does_not_hold_before_the_rewrite() {
    let state = NodeState::new(Duration::from_secs(5));
    state.apply_config(ServingConfig::new(7));
    state.advance(StorePosition::new(1, 120));
    let evidence = |era| PeerEvidence {
        version: 7,
        age_ms: 0,
        position: StorePosition::new(era, 118),
    };
    let ahead = evidence(2);
    assert!(
        !state.record_peer_evidence(BootTime::now(), ahead),
        "the era is not known here"
    );
    state.advance(StorePosition::new(2, 118));
    assert!(!state.record_peer_evidence(BootTime::now(), ahead));
    assert!(
        state.record_peer_evidence(BootTime::now(), evidence(1)),
        "from before the loss"
    );
}

#[test]
fn store_without_the_newest_configuration_gives_no_evidence_in_a_new_era() {
    let mut history = StoreHistory::default();
    assert!(!history.advance(StorePosition::new(1, 50), at(0)));
    history.note_store_version(7);
    assert!(history.advance(StorePosition::new(2, 40), at(10)));
    history.note_store_version(6);
    assert!(!history.is_evidence(at(60_000)));
    history.note_store_version(7);
    assert!(history.is_evidence(at(60_000)));
    assert!(
        !history.is_evidence(at(1_000)),
        "the rewrite may not be over"
    );
    history.note_version(9);
    assert!(!history.is_evidence(at(60_000)), "a peer has a newer one");
}

/// Guards against a node that starts after the store has returned from a copy, and trusts the copy though a peer has told it
/// of a newer configuration.
#[test]
fn store_without_the_configuration_of_a_peer_gives_no_evidence_to_a_node_that_has_just_started() {
    let mut history = StoreHistory::default();
    assert!(!history.advance(StorePosition::new(2, 40), at(0)));
    history.note_store_version(10);
    assert!(history.is_evidence(at(10)));
    history.note_peer_version(13);
    assert!(!history.is_evidence(at(60_000)));
    history.note_store_version(13);
    assert!(history.is_evidence(at(60_000)));
}

#[derive(Clone, Debug, TypeGenerator)]
enum Step {
    /// The entry of an upstream is removed.
    Remove(#[generator(0..3u8)] u8),
    /// An upstream writes its entry.
    Write(#[generator(0..3u8)] u8),
    /// The store returns from a copy.
    Restore,
    /// The full state, with all upstreams, is read.
    Read,
    Advance(u8),
}

#[test]
fn removed_upstream_is_used_again_only_once_it_writes_or_is_listed_in_the_same_era() {
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut history = StoreHistory::default();
        let (mut now, mut era) = (0, 1);
        history.advance(StorePosition::new(era, 10), at(now));
        let mut removed: HashMap<u8, u64> = HashMap::new();
        for step in steps {
            match step {
                Step::Remove(n) => {
                    history.note_removed(&UpstreamId::new(&n.to_string()), Some(1), at(now));
                    removed.insert(*n, era);
                }
                Step::Write(n) => {
                    assert!(history.accepts(&UpstreamId::new(&n.to_string()), Some(1), true));
                    removed.remove(n);
                }
                Step::Restore => {
                    era += 1;
                    assert!(history.advance(StorePosition::new(era, 5), at(now)));
                    assert!(!history.is_evidence(at(now + 1_000)));
                    let settled = at(now).after(REWRITE_TIME);
                    assert!(history.is_evidence(settled));
                }
                Step::Read => {
                    for n in 0..3 {
                        let id = UpstreamId::new(&n.to_string());
                        let expected = removed.get(&n).is_none_or(|removed| *removed == era);
                        assert_eq!(history.accepts(&id, Some(1), false), expected);
                        assert!(history.accepts(&id, Some(2), false), "another process");
                    }
                }
                Step::Advance(ms) => now += u64::from(*ms),
            }
        }
    });
}
