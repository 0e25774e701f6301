//! CBOR-encoded sizes, in bytes, of the messages that nodes exchange for one request.

use oleanderpost_admission::{
    Band, Completion, Demand, EngineSummary, Fingerprint, FirstTokenModel, Grant, PermitEvent,
    PermitKey, PermitMessage, PermitNotice, PermitRenewal, PermitReport, PermitRequest,
    PrefillBacklog,
};
use oleanderpost_claims::{ClaimId, ClaimMessage};
use oleanderpost_types::{Attempt, Millis, RequestKey, Tokens};
use serde::Serialize;

fn len(msg: &impl Serialize) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(msg, &mut bytes).expect("messages encode as CBOR");
    bytes.len()
}

fn permit() -> PermitKey {
    PermitKey {
        upstream: "engine-1234".parse().expect("a valid name"),
        key: RequestKey::new(),
        attempt: Attempt::new(0),
    }
}

fn demand() -> Demand {
    Demand {
        permit: permit(),
        holder: "entry-123".parse().expect("a valid name"),
        account: "account-1234".parse().expect("a valid name"),
        share: 3,
        band: Band::Short,
        prompt: Tokens::new(3_000),
        max_tokens: Tokens::new(1_000),
        remaining: Millis::new(60_000),
    }
}

fn summary() -> EngineSummary {
    let ahead = PrefillBacklog {
        tokens: Tokens::new(20_000),
        pairs: 400_000_000,
    };
    EngineSummary {
        upstream: "engine-1234".parse().expect("a valid name"),
        free: Tokens::new(300_000),
        ahead: [ahead; 3],
        longs: 1,
        memory_wait: [Millis::new(300), Millis::new(3_000)],
        step: Millis::new(30),
        model: FirstTokenModel::default(),
    }
}

fn main() {
    let fingerprint = Fingerprint {
        hash: u64::MAX / 3,
        tokens: Tokens::new(1_024),
    };
    let ask = |prefixes: usize| {
        PermitMessage::Ask(PermitRequest {
            demand: demand(),
            prefix: vec![fingerprint; prefixes],
            alternative: Some(Millis::new(500)),
        })
    };
    let granted = PermitMessage::Granted(Grant {
        permit: permit(),
        rank: Band::Short,
        cached: Tokens::new(1_024),
        summary: summary(),
    });
    let report = |notices: usize, renewed: usize| {
        let notice = PermitNotice {
            permit: permit(),
            news: PermitEvent::Closed {
                completion: Completion::Finished {
                    tokens: Tokens::new(324),
                },
                decoding: Millis::new(11_000),
            },
        };
        let renewal = PermitRenewal {
            demand: demand(),
            decoding: true,
        };
        PermitMessage::Report(PermitReport {
            notices: vec![notice; notices],
            renewed: vec![renewal; renewed],
        })
    };
    let (key, claim) = (RequestKey::new(), ClaimId::new());
    println!("permit ask, no prefix {}", len(&ask(0)));
    println!("permit ask, each prefix {}", len(&ask(1)) - len(&ask(0)));
    println!("permit granted {}", len(&granted));
    println!("permit report, empty {}", len(&report(0, 0)));
    println!(
        "permit report, each notice of the end {}",
        len(&report(2, 0)) - len(&report(1, 0))
    );
    println!(
        "permit report, each renewal {}",
        len(&report(0, 2)) - len(&report(0, 1))
    );
    println!(
        "permit reported, each engine {}",
        len(&vec![summary(); 2]) - len(&vec![summary()])
    );
    println!("claim ask {}", len(&ClaimMessage::Ask { key, claim }));
    println!(
        "claim granted {}",
        len(&ClaimMessage::Granted { witnesses: 3 })
    );
}
