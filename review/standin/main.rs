//! Stand-ins and clients of the review's cases. Usage: `review-standin CASE FOLDER`, with `TROUBLE=0` in the environment
//! for a run without the disruption.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod cold_without_seeds;
mod config_storm;
mod early_answer;
mod engine;
mod evacuation;
mod http;
mod node;
mod operator;
mod queued_at_shutdown;
mod record;
mod store;
mod throttle;

use std::{env, path::PathBuf, process::ExitCode};

use record::Record;

/// Outcome of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next().map(PathBuf::from)) else {
        eprintln!("usage: review-standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder.join("record.txt"));
    let work = env::temp_dir().join(format!("oleanderpost-review-{}", std::process::id()));
    std::fs::create_dir_all(&work).expect("a writable temporary folder");
    let outcome = match case.as_str() {
        "queued-at-shutdown" => queued_at_shutdown::run(trouble, &work, &record),
        "cold-without-seeds" => cold_without_seeds::run(trouble, &work, &record),
        "config-storm" => config_storm::run(trouble, &work, &record),
        "early-answer" => early_answer::run(trouble, &work, &record),
        "evacuation" => evacuation::run(trouble, &work, &record),
        _ => Outcome::NotRun,
    };
    if env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&work);
    }
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held", 0),
        Outcome::Broken => ("the rule was broken", 1),
        Outcome::NotRun => ("the case could not run", 2),
    };
    record.line(text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
