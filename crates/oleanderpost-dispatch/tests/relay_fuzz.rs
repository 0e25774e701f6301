//! Stateful fuzzing of the relay: connections that break, go silent, repeat, leave out or come late, and
//! an engine that answers no questions or loses the stream. What comes out is always the beginning of
//! the engine's answer, and it ends only when it is whole.
//!
//! `OLEANDERPOST_FUZZ_SEEDS=first:count` runs other seeds than the fixed ones.

mod engine;

use std::{sync::Arc, time::Duration};

use bolero::{ValueGenerator, generator::bolero_generator::driver};
use engine::{Engine, Script, text};
use oleanderpost_dispatch::{Error, ResumingStream};
use oleanderpost_types::{RequestKey, StreamEvent};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, timeout};

/// Seeds of the fixed run: the first one and their number.
const FIXED_SEEDS: (u64, u64) = (1, 2_000);
/// Bytes that the generator may use for a history.
const HISTORY_BYTES: usize = 512;
const SILENCE: Duration = Duration::from_secs(2);
/// Time without a new token after which the relay must have ended: its questions are answered or not
/// within two seconds each in these histories, and three of them end it.
const STALL_LIMIT: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct Totals {
    whole: u64,
    lost: u64,
    refused: u64,
    resumed: u64,
}

fn seeds() -> (u64, u64) {
    let Ok(text) = std::env::var("OLEANDERPOST_FUZZ_SEEDS") else {
        return FIXED_SEEDS;
    };
    let (first, count) = text.split_once(':').expect("first:count");
    (
        first.parse().expect("first seed"),
        count.parse().expect("number of seeds"),
    )
}

fn script(seed: u64) -> Script {
    let mut bytes = vec![0; HISTORY_BYTES];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let options = driver::Options::default();
    let mut driver = driver::ByteSliceDriver::new(&bytes, &options);
    let generator = bolero::generator::produce::<Script>();
    generator.generate(&mut driver).expect("a script")
}

async fn play(seed: u64, totals: &mut Totals) {
    let engine = Arc::new(Engine::new(script(seed)));
    let upstream = "e1".parse().unwrap();
    let first = engine.connect(0);
    let relay = ResumingStream::new(engine.clone(), upstream, RequestKey::new(), first);
    let mut relay = relay.with_idle_timeout(SILENCE);
    let mut got = String::new();
    let mut tokens = 0;
    loop {
        let next = timeout(STALL_LIMIT + engine.longest_wait(), relay.next()).await;
        let next = next.unwrap_or_else(|_| panic!("seed {seed}: the relay stalls"));
        totals.resumed += relay.take_resumes();
        match next {
            Ok(StreamEvent::Token {
                offset,
                count,
                text,
            }) => {
                assert_eq!(offset, tokens, "seed {seed}: tokens in order, once each");
                tokens += count;
                got.push_str(&text);
                assert_eq!(relay.delivered(), tokens);
            }
            Ok(StreamEvent::End { tokens: all, .. }) => {
                assert_eq!(
                    (tokens, all),
                    (engine.len(), engine.len()),
                    "seed {seed}: whole"
                );
                totals.whole += 1;
                break;
            }
            Ok(StreamEvent::Error(problem)) => panic!("seed {seed}: {problem:?}"),
            Err(Error::Refused { .. }) => {
                assert!(engine.refused(), "seed {seed}: refused");
                assert_eq!(tokens, 0, "seed {seed}: refused after tokens");
                totals.refused += 1;
                break;
            }
            Err(e) => {
                assert!(
                    engine.may_lose(),
                    "seed {seed}: lost without a cause: {e}; {:?}",
                    engine.script()
                );
                totals.lost += 1;
                break;
            }
        }
    }
    assert_eq!(got, text(0, tokens), "seed {seed}: no splice");
}

#[test]
fn what_comes_out_is_the_engines_answer() {
    let (first, count) = seeds();
    let mut totals = Totals::default();
    for seed in first..first + count {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(play(seed, &mut totals));
    }
    println!("{totals:?}");
    let seen = [totals.whole, totals.lost, totals.refused, totals.resumed];
    assert!(seen.iter().all(|count| *count > 0), "{totals:?}");
}

#[tokio::test(start_paused = true)]
async fn a_long_prefill_is_waited_for() {
    let engine = Arc::new(Engine::new(Script::with_late_start(Duration::from_secs(
        600,
    ))));
    let first = engine.connect(0);
    let mut relay = ResumingStream::new(engine, "e1".parse().unwrap(), RequestKey::new(), first);
    let started = Instant::now();
    let event = relay.next().await.unwrap();
    assert!(matches!(event, StreamEvent::Token { offset: 0, .. }));
    assert!(started.elapsed() >= Duration::from_secs(600));
    assert_eq!(relay.take_resumes(), 0);
    relay.close();
}

#[tokio::test(start_paused = true)]
async fn a_refused_resume_is_no_refusal_of_the_request() {
    let engine = Arc::new(Engine::new(Script::with_refused_resume()));
    let first = engine.connect(0);
    let mut relay = ResumingStream::new(engine, "e1".parse().unwrap(), RequestKey::new(), first);
    let event = relay.next().await.unwrap();
    assert!(matches!(event, StreamEvent::Token { offset: 0, .. }));
    assert_eq!(relay.take_resumes(), 2);
}
