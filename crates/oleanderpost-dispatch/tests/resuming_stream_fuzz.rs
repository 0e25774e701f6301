//! Stateful fuzzing of `ResumingStream`: connections that break, stall, repeat or omit events or start late,
//! and an engine that does not answer status queries or loses the stream. The delivered tokens must always be
//! a prefix of the engine's answer, and the end may only be delivered after the whole answer.
//!
//! `OLEANDERPOST_FUZZ_SEEDS=first:count` runs other seeds than the default ones.

mod engine;

use std::{sync::Arc, time::Duration};

use bolero::{ValueGenerator, generator::bolero_generator::driver};
use engine::{Engine, Script, text};
use oleanderpost_dispatch::{Error, ResumingStream};
use oleanderpost_types::{RequestKey, StreamEvent};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, timeout};

/// Seeds of the default run: first seed and number of seeds.
const DEFAULT_SEEDS: (u64, u64) = (1, 2_000);
/// Number of random bytes from which the generator creates a history.
const HISTORY_BYTES: usize = 512;
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a new token within which the stream must have ended. In these histories each status query is
/// answered or fails within two seconds, and three failures end the stream.
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
        return DEFAULT_SEEDS;
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

async fn run_history(seed: u64, totals: &mut Totals) {
    let engine = Arc::new(Engine::new(script(seed)));
    let upstream = "e1".parse().unwrap();
    let first = engine.connect(0);
    let stream = ResumingStream::new(engine.clone(), upstream, RequestKey::new(), first);
    let mut stream = stream.with_idle_timeout(IDLE_TIMEOUT);
    let mut received = String::new();
    let mut tokens = 0;
    loop {
        let event = timeout(STALL_LIMIT + engine.first_token_delay(), stream.next()).await;
        let event = event.unwrap_or_else(|_| panic!("seed {seed}: the stream stalls"));
        totals.resumed += stream.take_resumes();
        match event {
            Ok(StreamEvent::Token {
                offset,
                count,
                text,
            }) => {
                assert_eq!(offset, tokens, "seed {seed}: tokens in order, once each");
                tokens += count;
                received.push_str(&text);
                assert_eq!(stream.delivered(), tokens);
            }
            Ok(StreamEvent::End { tokens: all, .. }) => {
                assert_eq!(
                    (tokens, all),
                    (engine.len(), engine.len()),
                    "seed {seed}: end before the whole answer"
                );
                totals.whole += 1;
                break;
            }
            Ok(StreamEvent::Error(problem)) => panic!("seed {seed}: {problem:?}"),
            Err(Error::Refused { .. }) => {
                assert!(engine.refused(), "seed {seed}: refused without a cause");
                assert_eq!(tokens, 0, "seed {seed}: refused after tokens");
                totals.refused += 1;
                break;
            }
            Err(e) => {
                assert!(
                    engine.may_lose_stream(),
                    "seed {seed}: lost without a cause: {e}; {:?}",
                    engine.script()
                );
                totals.lost += 1;
                break;
            }
        }
    }
    assert_eq!(
        received,
        text(0, tokens),
        "seed {seed}: text differs from the answer"
    );
}

#[test]
fn delivered_events_are_a_prefix_of_the_answer() {
    let (first, count) = seeds();
    let mut totals = Totals::default();
    for seed in first..first + count {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(run_history(seed, &mut totals));
    }
    println!("{totals:?}");
    let counts = [totals.whole, totals.lost, totals.refused, totals.resumed];
    assert!(counts.iter().all(|count| *count > 0), "{totals:?}");
}

#[tokio::test(start_paused = true)]
async fn long_prefill_does_not_time_out() {
    let engine = Arc::new(Engine::new(Script::with_late_start(Duration::from_secs(
        600,
    ))));
    let first = engine.connect(0);
    let mut stream = ResumingStream::new(engine, "e1".parse().unwrap(), RequestKey::new(), first);
    let started = Instant::now();
    let event = stream.next().await.unwrap();
    assert!(matches!(event, StreamEvent::Token { offset: 0, .. }));
    assert!(started.elapsed() >= Duration::from_secs(600));
    assert_eq!(stream.take_resumes(), 0);
    stream.close();
}

#[tokio::test(start_paused = true)]
async fn refused_resume_is_not_reported_as_a_refused_request() {
    let engine = Arc::new(Engine::new(Script::with_refused_resume()));
    let first = engine.connect(0);
    let mut stream = ResumingStream::new(engine, "e1".parse().unwrap(), RequestKey::new(), first);
    let event = stream.next().await.unwrap();
    assert!(matches!(event, StreamEvent::Token { offset: 0, .. }));
    assert_eq!(stream.take_resumes(), 2);
}
