//! Behaviour of the engine stand-in, under paused time.

mod common;

use std::time::Duration;

use tokio::time::{Instant, sleep};

use oleanderpost_standin::{
    Engine, EngineFaults, EngineSettings, Error, GeneratedText, KvExport, RunEnd, Submission,
};
use oleanderpost_types::{
    Attempt, CompletionRequest, EngineRole, FencingNumber, FinishReason, Millis, ModelName, Order,
    Outcome, Priority, Prompt, ReservationRequest, StreamEvent, StreamStatus, Tokens, VmId,
};

use common::{key, read_to_end, small_engine_settings};

fn submission(number: u128, prompt: u64, answer: u64) -> Submission {
    Submission::new(key(number), Tokens::new(prompt), answer)
}

fn refusal(error: Error) -> oleanderpost_types::Problem {
    match error {
        Error::Refused(problem) => problem,
        other => panic!("not a refusal: {other}"),
    }
}

#[tokio::test(start_paused = true)]
async fn complete_answer_identifies_its_request() {
    let engine = Engine::new(small_engine_settings());
    let mut events = engine.submit(submission(7, 100, 5)).unwrap();
    let (text, end) = read_to_end(&mut events, 0).await;
    let generated_text = GeneratedText::parse(key(7), &text).unwrap();
    assert_eq!(text, generated_text.text(0, 5));
    assert_eq!(GeneratedText::parse(key(8), &text), None);
    let finish_reason = FinishReason::Length;
    let expected_end = StreamEvent::End {
        tokens: 5,
        finish_reason,
    };
    assert_eq!(end, Some(expected_end));
    assert_eq!(engine.status(key(7)), StreamStatus::Finished { tokens: 5 });
    assert_eq!(engine.evidence().held, Tokens::new(0));
}

#[tokio::test(start_paused = true)]
async fn step_model_determines_token_times() {
    let engine = Engine::new(small_engine_settings());
    let start = Instant::now();
    let mut events = engine.submit(submission(1, 100, 3)).unwrap();
    events.next().await.unwrap();
    // One step with 100 prefill tokens: 10 ms base time and 10 ms prefill.
    let first = start.elapsed();
    assert!((20..22).contains(&first.as_millis()), "{first:?}");
    read_to_end(&mut events, 1).await;
    // Two steps with one decoding stream: 11 ms each.
    let rest = start.elapsed() - first;
    assert!((21..24).contains(&rest.as_millis()), "{rest:?}");
}

#[tokio::test(start_paused = true)]
async fn cancel_frees_memory() {
    let engine = Engine::new(small_engine_settings());
    let mut events = engine.submit(submission(1, 500, 100)).unwrap();
    sleep(Duration::from_millis(100)).await;
    assert_eq!(engine.evidence().held, Tokens::new(600));
    assert_eq!(engine.cancel(key(1), None), StreamStatus::Ended);
    assert_eq!(engine.evidence().held, Tokens::new(0));
    let (_, end) = read_to_end(&mut events, 0).await;
    assert!(matches!(end, Some(StreamEvent::Error(p)) if p.outcome == Outcome::Failed));
}

#[tokio::test(start_paused = true)]
async fn cancel_of_another_attempt_does_nothing() {
    let engine = Engine::new(small_engine_settings());
    let _events = engine.submit(submission(1, 500, 100)).unwrap();
    let status = engine.cancel(key(1), Some(Attempt::new(1)));
    assert_eq!(status, StreamStatus::Absent);
    assert_eq!(engine.holdings().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn dropped_stream_holds_memory_until_its_resume_window_ends() {
    let settings = EngineSettings {
        resume_window_ms: Millis::new(1_000),
        ..small_engine_settings()
    };
    let engine = Engine::new(settings);
    drop(engine.submit(submission(1, 500, 400)).unwrap());
    sleep(Duration::from_millis(900)).await;
    assert_eq!(engine.evidence().held, Tokens::new(900));
    sleep(Duration::from_millis(200)).await;
    assert_eq!(engine.evidence().held, Tokens::new(0));
    assert_eq!(engine.evidence().runs[0].end, Some(RunEnd::Abandoned));
}

#[tokio::test(start_paused = true)]
async fn resumed_stream_continues_with_the_same_text() {
    let engine = Engine::new(small_engine_settings());
    let mut first = engine.submit(submission(1, 100, 20)).unwrap();
    first.next().await.unwrap();
    drop(first);
    let mut rest = engine.resume(key(1), None, 1).unwrap();
    let (text, end) = read_to_end(&mut rest, 1).await;
    let generated_text = GeneratedText::new(key(1), Attempt::new(0));
    assert_eq!(text, generated_text.text(1, 20));
    assert!(matches!(end, Some(StreamEvent::End { tokens: 20, .. })));
}

#[tokio::test(start_paused = true)]
async fn attempts_generate_different_text() {
    let engine = Engine::new(small_engine_settings());
    let mut texts = Vec::new();
    for attempt in 0..2 {
        let submission = submission(1, 10, 4).with_attempt(Attempt::new(attempt));
        let mut events = engine.submit(submission).unwrap();
        texts.push(read_to_end(&mut events, 0).await.0);
    }
    assert_ne!(texts[0], texts[1]);
    assert_eq!(engine.evidence().runs.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn duplicate_attempt_does_not_run_twice() {
    let engine = Engine::new(small_engine_settings());
    let _events = engine.submit(submission(1, 10, 4)).unwrap();
    let problem = refusal(engine.submit(submission(1, 10, 4)).unwrap_err());
    assert_eq!((problem.status, problem.outcome), (409, Outcome::Unknown));
    assert_eq!(engine.evidence().runs.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn full_queue_refuses_and_runs_nothing() {
    let engine = Engine::new(small_engine_settings());
    let mut open = Vec::new();
    for number in 0..5 {
        open.push(engine.submit(submission(number, 800, 100)).unwrap());
    }
    let problem = refusal(engine.submit(submission(9, 800, 100)).unwrap_err());
    assert_eq!((problem.status, problem.outcome), (503, Outcome::NotRun));
    assert!(engine.evidence().runs.iter().all(|run| run.key != key(9)));
    assert_eq!(engine.status(key(9)), StreamStatus::Absent);
}

#[tokio::test(start_paused = true)]
async fn prompt_larger_than_memory_needs_a_group() {
    let engine = Engine::new(small_engine_settings());
    let problem = refusal(engine.submit(submission(1, 2_500, 100)).unwrap_err());
    assert_eq!(problem.kind, "too-large");
    let start = Instant::now();
    let grouped = submission(1, 2_500, 100).with_group_size(5);
    let mut events = engine.submit(grouped).unwrap();
    assert_eq!(engine.evidence().held, Tokens::new(520));
    events.next().await.unwrap();
    // One fifth of the prompt, 500 tokens, in five steps of 20 ms.
    assert!((100..106).contains(&start.elapsed().as_millis()));
}

#[tokio::test(start_paused = true)]
async fn reservation_holds_memory_until_used_released_or_expired() {
    let engine = Engine::new(small_engine_settings());
    let reservation = |number, tokens| ReservationRequest {
        key: key(number),
        tokens: Tokens::new(tokens),
        holder: VmId::new("entry-1").unwrap(),
        expires: Millis::new(500),
    };
    engine.reserve(&reservation(1, 600)).unwrap();
    assert!(engine.reserve(&reservation(2, 600)).is_err());
    let used = submission(1, 500, 100).with_reservation(key(1));
    let _events = engine.submit(used).unwrap();
    assert_eq!(engine.evidence().held, Tokens::new(600));
    engine.reserve(&reservation(2, 300)).unwrap();
    assert_eq!(engine.evidence().held, Tokens::new(900));
    sleep(Duration::from_millis(501)).await;
    assert_eq!(engine.evidence().held, Tokens::new(600));
    engine.reserve(&reservation(3, 300)).unwrap();
    assert!(engine.release(key(3)));
    assert!(!engine.release(key(3)));
    let released = submission(4, 10, 10).with_reservation(key(3));
    assert_eq!(
        refusal(engine.submit(released).unwrap_err()).kind,
        "reservation-gone"
    );
}

#[tokio::test(start_paused = true)]
async fn higher_priority_is_prefilled_first() {
    let engine = Engine::new(small_engine_settings());
    let mut long = engine.submit(submission(1, 800, 10)).unwrap();
    let urgent = submission(2, 100, 1).with_priority(Priority::new(9));
    let mut short = engine.submit(urgent).unwrap();
    tokio::select! {
        biased;
        _ = long.next() => panic!("the long prompt was prefilled first"),
        event = short.next() => assert!(event.is_some()),
    }
}

#[tokio::test(start_paused = true)]
async fn decoding_continues_during_a_long_prefill() {
    let engine = Engine::new(small_engine_settings());
    let mut short = engine.submit(submission(1, 10, 8)).unwrap();
    short.next().await.unwrap();
    let mut long = engine.submit(submission(2, 800, 10)).unwrap();
    tokio::select! {
        biased;
        _ = long.next() => panic!("the long prefill blocked the short answer"),
        (_, end) = read_to_end(&mut short, 1) => assert!(matches!(end, Some(StreamEvent::End { .. }))),
    }
}

#[tokio::test(start_paused = true)]
async fn cached_prefix_shortens_time_to_first_token() {
    let engine = Engine::new(small_engine_settings());
    let request = CompletionRequest {
        model: "base".to_owned(),
        prompt: Prompt::Tokens((0..400).collect()),
        max_tokens: 2,
        stream: true,
    };
    let mut times = Vec::new();
    for number in 0..2 {
        let start = Instant::now();
        let submission = Submission::with_request(key(number), &request, Tokens::new(10));
        let mut events = engine.submit(submission).unwrap();
        events.next().await.unwrap();
        times.push(start.elapsed());
        read_to_end(&mut events, 1).await;
    }
    assert!(times[1] * 2 < times[0], "{times:?}");
}

#[tokio::test(start_paused = true)]
async fn cache_is_evicted_for_streams_and_its_events_are_delayed_and_lossy() {
    let settings = EngineSettings {
        cache_gaps: 0.2,
        ..small_engine_settings()
    };
    let engine = Engine::new(settings);
    let prefix = |base: u64| (base..base + 90).collect::<Vec<u64>>();
    for number in 0..3 {
        let part = submission(number, 900, 2).with_prefix(prefix(1_000 * number as u64));
        read_to_end(&mut engine.submit(part).unwrap(), 0).await;
    }
    assert_eq!(engine.cache_events(0).events.len(), 0);
    sleep(Duration::from_millis(1_000)).await;
    let reply = engine.cache_events(0);
    let last = reply.events.last().unwrap().sequence;
    assert!(
        (reply.events.len() as u64) < last,
        "some events should be lost"
    );
    assert!(reply.events.is_sorted_by_key(|event| event.sequence));
    let evicted = |e: &&oleanderpost_standin::CacheEvent| {
        e.change == oleanderpost_standin::CacheChange::Evicted
    };
    assert!(reply.events.iter().any(|event| evicted(&event)));
    assert_eq!(engine.cache_events(reply.next).events, []);
}

#[tokio::test(start_paused = true)]
async fn exported_cache_is_held_and_can_be_imported() {
    let engine = Engine::new(small_engine_settings());
    let mut events = engine
        .submit(submission(1, 200, 2).with_prefix((0..20).collect()))
        .unwrap();
    read_to_end(&mut events, 0).await;
    let req = KvExport {
        key: key(1),
        attempt: Attempt::new(0),
        holder: None,
    };
    let cache = engine.export(&req).unwrap();
    assert_eq!(cache.tokens, Tokens::new(200));
    assert_eq!(engine.evidence().held, Tokens::new(200));
    let other = Engine::new(small_engine_settings());
    assert_eq!(other.import(&cache).tokens, Tokens::new(200));
    sleep(Duration::from_secs(10)).await;
    assert_eq!(engine.evidence().held, Tokens::new(0));
}

#[tokio::test(start_paused = true)]
async fn time_limit_ends_a_stream() {
    let engine = Engine::new(small_engine_settings());
    let limited = submission(1, 800, 100).with_time_limit(Duration::from_millis(50));
    let mut events = engine.submit(limited).unwrap();
    let (_, end) = read_to_end(&mut events, 0).await;
    assert!(matches!(end, Some(StreamEvent::Error(p)) if p.kind == "time-limit"));
    assert_eq!(engine.evidence().held, Tokens::new(0));
}

#[tokio::test(start_paused = true)]
async fn load_reports_lag() {
    let engine = Engine::new(small_engine_settings());
    let _events = engine.submit(submission(1, 800, 100)).unwrap();
    assert_eq!(engine.load().held, Tokens::new(0));
    sleep(Duration::from_millis(500)).await;
    assert_eq!(engine.load().held, Tokens::new(900));
    assert_eq!(engine.load().age, Millis::new(500));
    engine.set_faults(EngineFaults {
        report_late_ms: Millis::new(300),
        ..EngineFaults::default()
    });
    assert_eq!(engine.load().held, Tokens::new(0));
}

#[tokio::test(start_paused = true)]
async fn dead_engine_loses_its_state_and_refuses_requests() {
    let engine = Engine::new(small_engine_settings());
    let mut events = engine.submit(submission(1, 800, 100)).unwrap();
    let dead = EngineFaults {
        dead: true,
        ..EngineFaults::default()
    };
    engine.set_faults(dead);
    assert_eq!(events.next().await, None);
    assert_eq!(
        refusal(engine.submit(submission(2, 10, 1)).unwrap_err()).kind,
        "dead"
    );
    engine.set_faults(EngineFaults::default());
    assert_eq!(engine.status(key(1)), StreamStatus::Absent);
    assert_eq!(engine.evidence().held, Tokens::new(0));
    assert_eq!(engine.evidence().runs[0].end, Some(RunEnd::Died));
}

#[tokio::test(start_paused = true)]
async fn dropping_a_reader_of_a_lost_stream_does_not_affect_later_streams() {
    let engine = Engine::new(small_engine_settings());
    let before = engine.submit(submission(1, 100, 10)).unwrap();
    let dead = EngineFaults {
        dead: true,
        ..EngineFaults::default()
    };
    engine.set_faults(dead);
    engine.set_faults(EngineFaults::default());
    let mut after = engine.submit(submission(2, 100, 10)).unwrap();
    drop(before);
    let (_, end) = read_to_end(&mut after, 0).await;
    assert!(matches!(end, Some(StreamEvent::End { tokens: 10, .. })));
}

#[tokio::test(start_paused = true)]
async fn frozen_engine_continues_after_the_freeze() {
    let engine = Engine::new(small_engine_settings());
    let start = Instant::now();
    let mut events = engine.submit(submission(1, 100, 2)).unwrap();
    engine.set_faults(EngineFaults {
        freeze_ms: Some(Millis::new(5_000)),
        ..EngineFaults::default()
    });
    read_to_end(&mut events, 0).await;
    assert!(start.elapsed() >= Duration::from_secs(5));
}

#[tokio::test(start_paused = true)]
async fn lost_cancel_changes_nothing() {
    let engine = Engine::new(small_engine_settings());
    let _events = engine.submit(submission(1, 800, 100)).unwrap();
    engine.set_faults(EngineFaults {
        lose_cancels: true,
        ..EngineFaults::default()
    });
    engine.cancel(key(1), None);
    assert_eq!(engine.holdings().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn old_fencing_number_is_refused_unless_ignored() {
    let engine = Engine::new(small_engine_settings());
    let order = |fencing, version| Order {
        fencing: FencingNumber::new(fencing),
        holder: VmId::new("entry-1").unwrap(),
        model: ModelName::new("base").unwrap(),
        version,
        adapters: Vec::new(),
        role: EngineRole::Both,
    };
    let state = engine.order(order(5, 2)).unwrap();
    assert!(state.loading);
    let request = CompletionRequest {
        model: "base".to_owned(),
        prompt: Prompt::Text("a prompt".to_owned()),
        max_tokens: 1,
        stream: true,
    };
    let early = Submission::with_request(key(1), &request, Tokens::new(10));
    assert_eq!(
        refusal(engine.submit(early.clone()).unwrap_err()).kind,
        "model-not-loaded"
    );
    sleep(Duration::from_secs(2)).await;
    assert!(!engine.state().loading);
    engine.submit(early).unwrap();
    assert_eq!(refusal(engine.order(order(4, 1)).unwrap_err()).status, 409);
    assert_eq!(engine.state().version, 2);
    engine.set_faults(EngineFaults {
        ignore_fencing: true,
        ..EngineFaults::default()
    });
    assert_eq!(engine.order(order(4, 1)).unwrap().version, 1);
    assert_eq!(engine.state().fencing, FencingNumber::new(5));
}
