//! Random operations on an engine, checked against its evidence. The default seeds are fixed;
//! `OLEANDERPOST_FUZZ_SEEDS=FIRST..END` selects others.

mod common;

use std::{collections::HashMap, time::Duration};

use bolero::generator::{
    TypeGenerator, ValueGenerator,
    bolero_generator::driver::{ByteSliceDriver, Options},
    produce,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use oleanderpost_standin::{
    Engine, EngineFaults, EngineSettings, EventStream, GeneratedText, StepModel, StepWork,
    Submission,
};
use oleanderpost_types::{
    Attempt, Millis, Priority, ReservationRequest, StreamEvent, Tokens, VmId,
};

use common::{key, read_to_end, small_engine_settings};

const OPERATION_COUNT: usize = 120;
const INPUT_LEN: usize = 8 * 1024;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Operation {
    Submit {
        #[generator(0..12)]
        key: u8,
        #[generator(0..3)]
        attempt: u8,
        #[generator(1..1_200)]
        prompt: u16,
        #[generator(0..40)]
        answer: u8,
        #[generator(0..3)]
        priority: u8,
        #[generator(1..4)]
        group: u8,
        reserved: bool,
    },
    Drop(#[generator(0..12)] u8),
    Resume {
        #[generator(0..12)]
        key: u8,
        #[generator(0..20)]
        offset: u8,
    },
    Cancel(#[generator(0..12)] u8),
    Reserve {
        #[generator(0..12)]
        key: u8,
        #[generator(1..900)]
        tokens: u16,
    },
    Release(#[generator(0..12)] u8),
    Wait(#[generator(0..400)] u16),
    Crash,
}

fn seed_range() -> std::ops::Range<u64> {
    let given = std::env::var("OLEANDERPOST_FUZZ_SEEDS").ok();
    let range = given.as_deref().and_then(|text| text.split_once(".."));
    range.map_or(0..200, |(first, end)| {
        first.parse().unwrap()..end.parse().unwrap()
    })
}

fn generate<G: ValueGenerator>(seed: u64, generator: G) -> G::Output {
    let mut bytes = vec![0; INPUT_LEN];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let options = Options::default().with_max_len(INPUT_LEN);
    let mut driver = ByteSliceDriver::new(&bytes, &options);
    generator
        .generate(&mut driver)
        .expect("the input has enough bytes")
}

struct OpenStream {
    events: EventStream,
    generated_text: GeneratedText,
    from: u64,
}

struct FuzzRun {
    engine: Engine,
    open: HashMap<u8, OpenStream>,
    accepted: usize,
}

impl FuzzRun {
    fn new() -> Self {
        let engine = Engine::new(EngineSettings {
            resume_window_ms: Millis::new(300),
            retain_ms: Millis::new(300),
            ..small_engine_settings()
        });
        Self {
            engine,
            open: HashMap::new(),
            accepted: 0,
        }
    }

    async fn apply(&mut self, operation: Operation) {
        match operation {
            Operation::Submit {
                key: number,
                attempt,
                prompt,
                answer,
                priority,
                group,
                reserved,
            } => {
                let id = key(u128::from(number));
                let attempt = Attempt::new(u32::from(attempt));
                let mut submission =
                    Submission::new(id, Tokens::new(u64::from(prompt)), u64::from(answer))
                        .with_attempt(attempt)
                        .with_priority(Priority::new(priority))
                        .with_group_size(u64::from(group));
                if reserved {
                    submission = submission.with_reservation(id);
                }
                if let Ok(events) = self.engine.submit(submission) {
                    self.accepted += 1;
                    let generated_text = GeneratedText::new(id, attempt);
                    let from = 0;
                    self.open.insert(
                        number,
                        OpenStream {
                            events,
                            generated_text,
                            from,
                        },
                    );
                }
            }
            Operation::Drop(number) => drop(self.open.remove(&number)),
            Operation::Resume {
                key: number,
                offset,
            } => {
                let Some(stream) = self.open.get(&number) else {
                    return;
                };
                let from = u64::from(offset);
                let generated_text = stream.generated_text;
                if let Ok(events) = self.engine.resume(key(u128::from(number)), None, from) {
                    self.open.insert(
                        number,
                        OpenStream {
                            events,
                            generated_text,
                            from,
                        },
                    );
                }
            }
            Operation::Cancel(number) => {
                self.engine.cancel(key(u128::from(number)), None);
            }
            Operation::Reserve {
                key: number,
                tokens,
            } => {
                let _ = self.engine.reserve(&ReservationRequest {
                    key: key(u128::from(number)),
                    tokens: Tokens::new(u64::from(tokens)),
                    holder: VmId::new("entry-1").unwrap(),
                    expires: Millis::new(500),
                });
            }
            Operation::Release(number) => {
                self.engine.release(key(u128::from(number)));
            }
            Operation::Wait(millis) => sleep(Duration::from_millis(u64::from(millis))).await,
            Operation::Crash => {
                let dead = EngineFaults {
                    dead: true,
                    ..EngineFaults::default()
                };
                self.engine.set_faults(dead);
                self.engine.set_faults(EngineFaults::default());
            }
        }
    }

    fn check_invariants(&self) {
        let evidence = self.engine.evidence();
        assert!(
            evidence.held <= small_engine_settings().memory,
            "more memory is held than the engine has"
        );
        assert_eq!(
            evidence.runs.len(),
            self.accepted,
            "there is one run per accepted request"
        );
        let mut runs: Vec<_> = evidence
            .runs
            .iter()
            .map(|run| (run.ended, run.end))
            .collect();
        runs.retain(|(ended, end)| ended.is_some() != end.is_some());
        assert_eq!(
            runs,
            [],
            "a run has an end time if and only if it has an end reason"
        );
    }

    async fn close(mut self) {
        for (number, mut stream) in self.open.drain() {
            let (text, end) = read_to_end(&mut stream.events, stream.from).await;
            let Some(StreamEvent::End { tokens, .. }) = end else {
                continue;
            };
            let from = stream.from.min(tokens);
            assert_eq!(
                text,
                stream.generated_text.text(from, tokens),
                "answer of {number}"
            );
        }
        sleep(Duration::from_secs(60)).await;
        let evidence = self.engine.evidence();
        assert_eq!(evidence.held, Tokens::new(0), "memory is leaked");
        assert!(evidence.holdings.is_empty());
        assert!(evidence.runs.iter().all(|run| run.end.is_some()));
        self.engine.close().await;
    }
}

#[tokio::test(start_paused = true)]
async fn engine_leaks_no_memory_and_does_not_mix_answers() {
    for seed in seed_range() {
        let operations = produce::<Vec<Operation>>().with().len(OPERATION_COUNT);
        let operations = generate(seed, operations);
        assert_eq!(operations.len(), OPERATION_COUNT);
        let mut run = FuzzRun::new();
        for operation in operations {
            run.apply(operation).await;
            run.check_invariants();
        }
        run.close().await;
    }
}

#[test]
fn step_duration_grows_with_each_work_component() {
    let model = StepModel::default();
    for seed in seed_range() {
        let (batch, chunk, context, before) = generate(
            seed,
            (0u64..200, 0u64..4_096, 0u64..1_000_000, 0u64..1_000_000),
        );
        let work = StepWork {
            batch,
            chunk,
            context,
            prefill_context: chunk as f64 * before as f64,
        };
        let step = model.step_duration(&work);
        let larger = [
            StepWork {
                batch: batch + 1,
                ..work
            },
            StepWork {
                chunk: chunk + 1,
                ..work
            },
            StepWork {
                context: context + 1_000,
                ..work
            },
            StepWork {
                prefill_context: work.prefill_context + 1e6,
                ..work
            },
        ];
        for work in larger {
            assert!(model.step_duration(&work) > step, "{work:?}");
        }
    }
}
